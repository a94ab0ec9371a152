import { DurationSummary, GroupSummary, LoadSummary } from "./summary.js";

const millisecondsPerSecond = 1000;
const bytesPerMiB = 1024 * 1024;

/** Formats a duration for a table: a few significant digits, in milliseconds. */
export function formatMs(durationMs: number): string {
    return durationMs >= 100 ? durationMs.toFixed(0) : durationMs.toFixed(durationMs >= 10 ? 1 : 2);
}

function formatQuantiles(summary: DurationSummary): string {
    return summary.count === 0
        ? "-"
        : `${formatMs(summary.p50)} / ${formatMs(summary.p95)} / ${formatMs(summary.p99)}`;
}

/** Formats a Markdown table. */
export function formatTable(headings: readonly string[], rows: readonly (readonly (string | number)[])[]): string {
    return [headings, headings.map(() => "---"), ...rows].map(row => `| ${row.join(" | ")} |`).join("\n");
}

function formatGroups(title: string, groups: readonly GroupSummary[]): string {
    const headings = [
        title,
        "sent",
        "completed",
        "in limit",
        "refused (Retry-After)",
        "failed",
        "broken off",
        "wrong",
        "hung",
        "not sent",
        "first token p50/p95/p99 ms",
        "between tokens ms",
        "total ms",
    ];
    return formatTable(
        headings,
        groups.map(group => [
            group.name,
            group.sent,
            group.completed,
            group.withinLimit,
            `${group.refused} (${group.refusedWithRetryAfter})`,
            group.failed + group.unanswered,
            group.brokenOff,
            group.wrong,
            group.hung,
            group.notSent,
            formatQuantiles(group.firstToken),
            formatQuantiles(group.betweenTokens),
            formatQuantiles(group.total),
        ]),
    );
}

/**
 * Formats the summary of a run as Markdown.
 *
 * @example
 * process.stdout.write(formatLoadSummary(summary));
 */
export function formatLoadSummary(summary: LoadSummary): string {
    const { overhead } = summary;
    return [
        `## Load ${summary.plan}, seed ${summary.seed}`,
        'Times count from the planned arrival. "Failed" includes requests that had no answer when the run ended, '
        + '"broken off" are answers whose connection closed before they were complete.',
        formatGroups("phase", [...summary.byPhase, summary.all]),
        formatGroups("phase / prompt tokens", summary.byPhaseAndLength),
        formatGroups("phase / rank", summary.byPhaseAndRank),
        formatGroups("phase / customer", summary.byPhaseAndCustomer),
        ...(summary.problems.length === 0
            ? []
            : [formatTable(["problem", "count"], summary.problems.map(({ problem, count }) => [problem, count]))]),
        ...(summary.faults.length === 0 ? [] : [formatTable(
            ["fault at s", "action", "target", "result"],
            summary.faults.map(fault => [
                (fault.atMs / millisecondsPerSecond).toFixed(1),
                fault.action,
                fault.target,
                fault.error ?? "applied",
            ]),
        )]),
        `Load tool: sending late by p50/p95/p99 ${formatQuantiles(overhead.lag)} ms (max ${
            formatMs(overhead.lag.max)
        }), `
        + `event loop busy ${(overhead.eventLoopBusy * 100).toFixed(1)}%, `
        + `processor ${(overhead.processorMs / millisecondsPerSecond).toFixed(1)} s, `
        + `resident ${(overhead.residentBytes / bytesPerMiB).toFixed(0)} MiB, `
        + `at most ${overhead.maxInFlight} requests in flight.`,
    ].join("\n\n") + "\n";
}
