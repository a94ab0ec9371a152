import { build, Histogram } from "hdr-histogram-js";
import { RequestType } from "./loadPlan.js";
import { LoadRun } from "./loadRunner.js";
import { getLengthClass, LengthClass, Outcome, OutcomeKind } from "./outcome.js";

/** Distribution of a duration, in milliseconds. */
export interface DurationSummary {
    readonly count: number;
    readonly mean: number;
    readonly p50: number;
    readonly p95: number;
    readonly p99: number;
    readonly max: number;
}

/** Outcome counts and durations of a group of requests. */
export interface GroupSummary {
    readonly name: string;
    readonly sent: number;
    readonly completed: number;
    /** Completed within their time limit. */
    readonly withinLimit: number;
    readonly refused: number;
    /** Refused with a Retry-After header. */
    readonly refusedWithRetryAfter: number;
    readonly failed: number;
    /** Answers that broke off in the middle. Not part of `failed`. */
    readonly brokenOff: number;
    readonly wrong: number;
    readonly hung: number;
    readonly notSent: number;
    readonly unanswered: number;
    readonly promptTokens: number;
    readonly outputTokens: number;
    /** From the planned arrival to the first token, of completed streamed answers. */
    readonly firstToken: DurationSummary;
    readonly betweenTokens: DurationSummary;
    /** From the planned arrival to the end, of completed answers. */
    readonly total: DurationSummary;
    /** From the planned arrival to the refusal. */
    readonly refusal: DurationSummary;
}

/** The summary of one run. */
export interface LoadSummary {
    readonly plan: string;
    readonly seed: number;
    readonly all: GroupSummary;
    readonly byPhase: readonly GroupSummary[];
    readonly byPhaseAndLength: readonly GroupSummary[];
    readonly byPhaseAndRank: readonly GroupSummary[];
    readonly byPhaseAndCustomer: readonly GroupSummary[];
    /** Codes and messages of what was refused, failed, broken off or wrong, with their counts; the most frequent first. */
    readonly problems: readonly { readonly problem: string; readonly count: number }[];
    readonly faults: LoadRun["faults"];
    readonly overhead: LoadRun["overhead"] & { readonly lag: DurationSummary };
}

const microsecondsPerMillisecond = 1000;
const highestTrackableMicroseconds = 24 * 60 * 60 * 1e6;
const maxProblems = 20;

function createHistogram(): Histogram {
    return build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: highestTrackableMicroseconds,
        numberOfSignificantValueDigits: 3,
    });
}

/**
 * Summarizes durations in milliseconds in an HDR histogram.
 *
 * @example
 * computeDurationSummary([1, 2, 3]).p50; // 2
 */
export function computeDurationSummary(durationsMs: Iterable<number>): DurationSummary {
    const histogram = createHistogram();
    let sumMs = 0;
    for (const durationMs of durationsMs) {
        sumMs += durationMs;
        histogram.recordValue(Math.max(1, Math.round(durationMs * microsecondsPerMillisecond)));
    }
    const count = histogram.totalCount;
    const getMs = (percentile: number) =>
        count === 0 ? 0 : histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
    return {
        count,
        mean: count === 0 ? 0 : sumMs / count,
        p50: getMs(50),
        p95: getMs(95),
        p99: getMs(99),
        max: getMs(100),
    };
}

/** Returns the length class under which an outcome is reported. */
export function getOutcomeClass(run: LoadRun, outcome: Outcome): LengthClass {
    return run.plan.streams[outcome.arrival.stream]?.type === RequestType.Service
        ? LengthClass.Service
        : getLengthClass(outcome.arrival.promptTokens);
}

/**
 * Summarizes a group of outcomes.
 *
 * @example
 * computeGroupSummary("all", run.outcomes).firstToken.p95;
 */
export function computeGroupSummary(name: string, outcomes: readonly Outcome[]): GroupSummary {
    const count = (kind: OutcomeKind) => outcomes.filter(outcome => outcome.kind === kind).length;
    const completed = outcomes.filter(outcome => outcome.kind === OutcomeKind.Completed);
    const refused = outcomes.filter(outcome => outcome.kind === OutcomeKind.Refused);
    return {
        name,
        sent: outcomes.length,
        completed: completed.length,
        withinLimit: completed.filter(isWithinLimit).length,
        refused: refused.length,
        refusedWithRetryAfter: refused.filter(outcome => outcome.retryAfterSeconds !== undefined).length,
        failed: count(OutcomeKind.Failed),
        brokenOff: count(OutcomeKind.BrokenOff),
        wrong: count(OutcomeKind.Wrong),
        hung: count(OutcomeKind.Hung),
        notSent: count(OutcomeKind.NotSent),
        unanswered: count(OutcomeKind.Unanswered),
        promptTokens: completed.reduce((sum, outcome) => sum + outcome.arrival.promptTokens, 0),
        outputTokens: completed.reduce((sum, outcome) => sum + outcome.arrival.outputTokens, 0),
        firstToken: computeDurationSummary(
            completed.map(outcome => outcome.firstTokenMs).filter(value => value !== undefined),
        ),
        betweenTokens: computeDurationSummary(completed.flatMap(outcome => outcome.gapsMs)),
        total: computeDurationSummary(completed.map(outcome => outcome.totalMs)),
        refusal: computeDurationSummary(refused.map(outcome => outcome.totalMs)),
    };
}

/** Whether a request completed within its time limit. */
export function isWithinLimit(outcome: Outcome): boolean {
    return outcome.kind === OutcomeKind.Completed && outcome.totalMs <= outcome.limitMs;
}

/**
 * Summarizes a run by phase, and in each phase by length, rank and customer.
 *
 * @example
 * const summary = computeLoadSummary(await runLoad(plan, 42, targets, faults, timers));
 */
export function computeLoadSummary(run: LoadRun): LoadSummary {
    const { outcomes } = run;
    const groupBy = (getName: (outcome: Outcome) => string) => {
        const groups = new Map<string, Outcome[]>();
        for (const outcome of outcomes) {
            const name = getName(outcome);
            const group = groups.get(name) ?? [];
            groups.set(name, group);
            group.push(outcome);
        }
        return [...groups].sort(([left], [right]) => left.localeCompare(right))
            .map(([name, members]) => computeGroupSummary(name, members));
    };
    const problems = new Map<string, number>();
    for (const outcome of outcomes.filter(candidate => candidate.kind !== OutcomeKind.Completed)) {
        const problem = `${outcome.kind} ${outcome.status} ${outcome.code ?? ""}: ${outcome.message ?? ""}`;
        problems.set(problem, (problems.get(problem) ?? 0) + 1);
    }
    return {
        plan: run.plan.name,
        seed: run.seed,
        all: computeGroupSummary("all", outcomes),
        byPhase: groupBy(outcome => outcome.arrival.phase),
        byPhaseAndLength: groupBy(outcome => `${outcome.arrival.phase} / ${getOutcomeClass(run, outcome)}`),
        byPhaseAndRank: groupBy(outcome => `${outcome.arrival.phase} / ${outcome.rank}`),
        byPhaseAndCustomer: groupBy(outcome => `${outcome.arrival.phase} / ${outcome.arrival.customer}`),
        problems: [...problems].map(([problem, count]) => ({ problem, count }))
            .sort((left, right) => right.count - left.count).slice(0, maxProblems),
        faults: run.faults,
        overhead: { ...run.overhead, lag: computeDurationSummary(outcomes.map(outcome => outcome.lagMs)) },
    };
}
