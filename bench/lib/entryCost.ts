import { fileURLToPath } from "node:url";
import { createSystemTimerService } from "../../src/base/systemTimerService.js";
import { LoadPlan, loadPlanSchema } from "../../src/load/loadPlan.js";
import { runLoad } from "../../src/load/loadRunner.js";
import { Outcome, OutcomeKind } from "../../src/load/outcome.js";
import { computeDurationSummary, DurationSummary, LoadSummary } from "../../src/load/summary.js";
import { experimentModel, makeCustomerKey } from "./experiment.js";
import { runLoadProcesses } from "./loadProcesses.js";
import { Measure, TargetKind } from "./measures.js";
import { FleetProcess, readUsage } from "./processes.js";
import { benchCustomer, SingleEntryFleet, startSingleEntryFleet } from "./singleEntryFleet.js";

/** Latency and resource usage that the entry and its sidecars add to requests. */
export interface EntryCost {
    readonly measures: readonly Measure[];
    readonly notes: readonly string[];
}

const timers = createSystemTimerService();
const noFaults = { processes: {}, controls: {} };
const fastEnginePath = fileURLToPath(new URL("./fastEngine.js", import.meta.url));
const bytesPerMiB = 2 ** 20;
const memoryBudgetMiB = 128;
const processorShareBudget = 0.033;
const linkBytesPerSecondBudget = 2_048;

/** Requests of this stream go through the entry. */
const entryStream = "path";
/** Requests of this stream go directly to the engine. */
const directStream = "direct";

function makePlan(streams: object, rates: object, seconds: number, seed: number): LoadPlan {
    return loadPlanSchema.parse({
        name: "entry cost",
        model: experimentModel,
        seed,
        keys: { [benchCustomer]: makeCustomerKey(benchCustomer) },
        streams,
        phases: [{ name: "load", seconds, rates }],
        drainSeconds: 5,
    });
}

/**
 * Measures what entry and sidecar add to the time to the first token at 60 requests/s. One load run through the entry and
 * one directly to the same engine run at the same time, so that other work on the machine affects both alike.
 */
async function measureAddedLatency(seconds: number, seed: number): Promise<EntryCost> {
    const fleet = await startSingleEntryFleet({
        engines: 1,
        engineScript: { path: fastEnginePath, args: ["0", "100"] },
    });
    try {
        const stream = {
            rank: "normal",
            customers: { [benchCustomer]: 1 },
            prompt: [{ weight: 1, minTokens: 1000, maxTokens: 4000 }],
            maxOutputTokens: 16,
        };
        const entryPlan = makePlan({ [entryStream]: stream }, { [entryStream]: 60 }, seconds, seed);
        const directPlan = makePlan({ [directStream]: stream }, { [directStream]: 60 }, seconds, seed + 1);
        const [entryRun, directRun] = await Promise.all([
            runLoad(entryPlan, seed, [fleet.entry.address], noFaults, timers),
            runLoad(directPlan, seed + 1, fleet.engineUrls, noFaults, timers),
        ]);
        const entrySummary = summarizeFirstToken(entryRun.outcomes);
        const directSummary = summarizeFirstToken(directRun.outcomes);
        return {
            measures: [
                makeMeasure(
                    "60 requests/s: first token added by the path, p50",
                    "ms",
                    1,
                    entrySummary.p50 - directSummary.p50,
                ),
                makeMeasure(
                    "60 requests/s: first token added by the path, p99",
                    "ms",
                    5,
                    entrySummary.p99 - directSummary.p99,
                ),
            ],
            notes: [
                `through the path p50 ${entrySummary.p50.toFixed(2)} ms, p99 ${entrySummary.p99.toFixed(2)} ms `
                + `(${entrySummary.count} requests); direct p50 ${directSummary.p50.toFixed(2)} ms, `
                + `p99 ${directSummary.p99.toFixed(2)} ms (${directSummary.count} requests)`,
            ],
        };
    }
    finally {
        await fleet.stop();
    }
}

/**
 * Summarizes the time from sending a request to its first token. The load tool's own lag is subtracted, because both runs
 * share the tool's process.
 */
function summarizeFirstToken(outcomes: readonly Outcome[]): DurationSummary {
    return computeDurationSummary(
        outcomes.filter(outcome => outcome.kind === OutcomeKind.Completed && outcome.firstTokenMs !== undefined)
            .map(outcome => outcome.firstTokenMs! - outcome.lagMs),
    );
}

/**
 * Measures the resource usage of one entry and its sidecars, first idle and then with streaming requests. The processor
 * time per token depends on how many tokens a chunk carries, and so on the token rate of each stream.
 */
export async function measureStreams(
    requestsPerSecond: number,
    streamRate: number,
    seconds: number,
    seed: number,
    nodeArgs: readonly string[] = [],
): Promise<EntryCost> {
    const tokensPerRequest = 267;
    const label = `${requestsPerSecond} requests/s, ${streamRate} tokens/s a stream`;
    const loadProcesses = 4;
    const fleet = await startSingleEntryFleet({
        engines: 6,
        engineScript: { path: fastEnginePath, args: ["5", String(streamRate)] },
        nodeArgs,
    });
    try {
        const idleMeasures = await measureIdleUsage(fleet);
        const plan = makePlan(
            {
                [entryStream]: {
                    rank: "normal",
                    customers: { [benchCustomer]: 1 },
                    prompt: [{ weight: 1, minTokens: 1000, maxTokens: 4000 }],
                    minOutputTokens: tokensPerRequest,
                    maxOutputTokens: tokensPerRequest,
                },
            },
            { [entryStream]: requestsPerSecond / loadProcesses },
            seconds,
            seed,
        );
        const before = readUsages(fleet);
        const startedMs = timers.now();
        const memorySampler = startMemorySampler(fleet);
        const summaries = await runLoadProcesses(plan, seed, fleet.entry.address, loadProcesses);
        const elapsedSeconds = (timers.now() - startedMs) / 1000;
        const peakBytes = memorySampler.stop();
        const after = readUsages(fleet);
        const sum = (read: (summary: LoadSummary) => number) => summaries.reduce((total, one) => total + read(one), 0);
        const max = (read: (summary: LoadSummary) => number) => Math.max(...summaries.map(read));
        const sent = sum(summary => summary.all.sent);
        const tokens = sum(summary => summary.all.outputTokens);
        return {
            measures: [
                ...idleMeasures,
                makeMeasure(
                    `${label}: completed and verified`,
                    "",
                    0.999,
                    sum(summary => summary.all.completed) / sent,
                    TargetKind.AtLeast,
                ),
                makeMeasure(
                    `${label}: streamed tokens verified`,
                    "1/s",
                    tokensPerRequest * requestsPerSecond * 0.95,
                    tokens / seconds,
                    TargetKind.AtLeast,
                ),
                makeMeasure(
                    `${label}: p95 first token (engine takes 5 ms)`,
                    "ms",
                    320,
                    max(summary => summary.all.firstToken.p95),
                ),
                makeMeasure(
                    `${label}: p95 between events `,
                    "ms",
                    42,
                    max(summary => summary.all.betweenTokens.p95),
                ),
                makeMeasure(
                    `${label}: entry resident memory, largest`,
                    "MiB",
                    memoryBudgetMiB,
                    peakBytes.entry / bytesPerMiB,
                ),
                makeMeasure(
                    `${label}: sidecar resident memory, largest`,
                    "MiB",
                    memoryBudgetMiB,
                    peakBytes.sidecar / bytesPerMiB,
                ),
            ],
            notes: [
                `${label}: ${sent} requests and ${tokens} tokens by ${loadProcesses} load processes; entry ${
                    (after.entry - before.entry).toFixed(1)
                } s of processor time in ${seconds} s of load, the ${fleet.sidecars.length} sidecars together ${
                    (after.sidecars - before.sidecars).toFixed(1)
                } s (whole run ${elapsedSeconds.toFixed(1)} s); load tools late by p99 at most ${
                    max(summary => summary.overhead.lag.p99).toFixed(1)
                } ms, busy at most ${(max(summary => summary.overhead.eventLoopBusy) * 100).toFixed(0)}%; problems: ${
                    summaries.flatMap(summary =>
                        summary.problems.slice(0, 2).map(({ problem, count }) => `${count} x ${problem}`)
                    )
                        .join("; ") || "none"
                }`,
            ],
        };
    }
    finally {
        await fleet.stop();
    }
}

const idleSeconds = 8;

/** Measures the overhead of the control plane: what entry and sidecars use while there is no request. */
async function measureIdleUsage(fleet: SingleEntryFleet): Promise<Measure[]> {
    await waitMs(1_000);
    const before = readUsages(fleet);
    const linkBytesBefore = await readLinkBytes(fleet.entry);
    await waitMs(idleSeconds * 1000);
    const after = readUsages(fleet);
    const linkBytesAfter = await readLinkBytes(fleet.entry);
    const entryMiB = readUsage(fleet.entry.processId).residentBytes / bytesPerMiB;
    const sidecarMiB = readUsage(fleet.sidecars[0]!.processId).residentBytes / bytesPerMiB;
    return [
        makeMeasure(
            "at rest: entry processor share of a core",
            "",
            processorShareBudget,
            (after.entry - before.entry) / idleSeconds,
        ),
        makeMeasure(
            "at rest: sidecar processor share of a core",
            "",
            processorShareBudget,
            (after.sidecars - before.sidecars) / fleet.sidecars.length / idleSeconds,
        ),
        makeMeasure("at rest: entry resident memory", "MiB", memoryBudgetMiB, entryMiB),
        makeMeasure("at rest: sidecar resident memory", "MiB", memoryBudgetMiB, sidecarMiB),
        ...(linkBytesBefore === undefined || linkBytesAfter === undefined ? [] : [
            makeMeasure(
                "at rest: link bytes of one sidecar, both directions",
                "B/s",
                linkBytesPerSecondBudget,
                (linkBytesAfter - linkBytesBefore) / fleet.sidecars.length / idleSeconds,
            ),
        ]),
    ];
}

/** Reads from the entry's metrics the bytes sent and received on its links; `undefined` if it does not report them. */
async function readLinkBytes(entry: FleetProcess): Promise<number | undefined> {
    const text = await (await fetch(`${entry.address}/metrics`)).text();
    const values = [...text.matchAll(/^jujubelane_link_(?:sent|received)_bytes(?:\{[^}]*\})? (\S+)$/gm)];
    return values.length === 0 ? undefined : values.reduce((sum, match) => sum + Number(match[1]), 0);
}

/** Reads the processor time used so far, of the entry and of all sidecars together. */
function readUsages(fleet: SingleEntryFleet) {
    return {
        entry: readUsage(fleet.entry.processId).processorSeconds,
        sidecars: fleet.sidecars.reduce((sum, sidecar) => sum + readUsage(sidecar.processId).processorSeconds, 0),
    };
}

/** Starts to sample resident memory; `stop` returns the largest of the entry and the largest of any sidecar. */
function startMemorySampler(fleet: SingleEntryFleet) {
    const peakBytes = { entry: 0, sidecar: 0 };
    const timer = setInterval(() => {
        peakBytes.entry = Math.max(peakBytes.entry, readUsage(fleet.entry.processId).residentBytes);
        peakBytes.sidecar = Math.max(
            peakBytes.sidecar,
            ...fleet.sidecars.map(({ processId }) => readUsage(processId).residentBytes),
        );
    }, 250);
    return {
        stop() {
            clearInterval(timer);
            return peakBytes;
        },
    };
}

function waitMs(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

function makeMeasure(name: string, unit: string, target: number, value: number, kind = TargetKind.AtMost): Measure {
    return { name, unit, kind, target, value };
}

/** Measures the latency and the resource usage that the entry adds, with the targets of the design. */
export async function measureEntryCost(
    isQuick: boolean,
    seed: number,
    nodeArgs: readonly string[] = [],
): Promise<EntryCost> {
    const added = await measureAddedLatency(isQuick ? 5 : 20, seed);
    const parts = [added];
    for (const streamRate of isQuick ? [200] : [200, 60]) {
        parts.push(await measureStreams(300, streamRate, isQuick ? 6 : 12, seed, nodeArgs));
    }
    return { measures: parts.flatMap(part => part.measures), notes: parts.flatMap(part => part.notes) };
}
