import { LoadRun } from "../../src/load/loadRunner.js";
import { getLengthClass, LengthClass, Outcome, OutcomeKind } from "../../src/load/outcome.js";
import { computeDurationSummary, isWithinLimit } from "../../src/load/summary.js";
import { EngineSampler } from "./engineSampler.js";
import { CostMeasure, Experiment } from "./experiment.js";
import { computeAllocation, computeFairnessIndex } from "./fairness.js";

/** How a value compares with its target. */
export enum TargetKind {
    AtMost = "<=",
    AtLeast = ">=",
    /** Reported for comparison, without a target. */
    Informational = "",
}

/** A figure measured in a run, with its target. */
export interface Measure {
    readonly name: string;
    readonly unit: string;
    readonly kind: TargetKind;
    readonly target: number | undefined;
    /** `undefined` if the run has no request to compute the value from. */
    readonly value: number | undefined;
}

const millisecondsPerSecond = 1000;
const firstTokenLimitMs = 320;
const betweenTokensLimitMs = 42;
const shortClasses: readonly LengthClass[] = [LengthClass.UpTo1K, LengthClass.UpTo4K];

/** Whether a measure meets its target; `undefined` if it has no target. A measure without a value misses its target. */
export function isMet(measure: Measure): boolean | undefined {
    if (measure.target === undefined || measure.kind === TargetKind.Informational) {
        return undefined;
    }
    if (measure.value === undefined) {
        return false;
    }
    return measure.kind === TargetKind.AtMost ? measure.value <= measure.target : measure.value >= measure.target;
}

/** Computes the measures that the design sets targets for, from one run of an experiment under one policy. */
export function computeMeasures(experiment: Experiment, run: LoadRun, sampler: EngineSampler): readonly Measure[] {
    const { comparison } = experiment;
    const windows = computePhaseWindows(experiment);
    const selectPhase = (phase: string | undefined) => run.outcomes.filter(outcome => outcome.arrival.phase === phase);
    const isShort = (outcome: Outcome) =>
        comparison.shortStreams.includes(outcome.arrival.stream)
        && shortClasses.includes(getLengthClass(outcome.arrival.promptTokens));
    const isSmall = (outcome: Outcome) => !experiment.customers[outcome.arrival.customer]!.isLarge;
    const shortAlone = selectPhase(comparison.shortAlonePhase).filter(isShort);
    const shortBeside = selectPhase(comparison.shortBesidePhase).filter(isShort);
    const measures: Measure[] = [
        makeMeasure(
            "short prompts beside long ones: p95 first token against alone",
            "",
            TargetKind.AtMost,
            1.2,
            divide(computeFirstTokenP95(shortBeside), computeFirstTokenP95(shortAlone)),
        ),
        makeMeasure(
            "short prompts alone: p95 first token",
            "ms",
            TargetKind.Informational,
            undefined,
            computeFirstTokenP95(shortAlone),
        ),
        makeMeasure(
            "short prompts beside long ones: p95 first token",
            "ms",
            TargetKind.Informational,
            undefined,
            computeFirstTokenP95(shortBeside),
        ),
        makeMeasure(
            "short prompts beside long ones: first token within 0.32 s",
            "",
            TargetKind.AtLeast,
            0.95,
            computeShare(
                shortBeside.filter(outcome => outcome.arrival.streamed),
                outcome => (outcome.firstTokenMs ?? Infinity) <= firstTokenLimitMs,
            ),
        ),
        makeMeasure(
            "short prompts beside long ones: 42 ms between tokens",
            "",
            TargetKind.AtLeast,
            0.95,
            computeShareOfShortGaps(shortBeside),
        ),
    ];

    if (comparison.bulkFloodPhase !== undefined) {
        measures.push(...computeBulkFloodMeasures(experiment, run, sampler, windows));
    }
    if (comparison.urgentFloodPhase !== undefined) {
        measures.push(...computeUrgentFloodMeasures(experiment, run, windows));
    }
    if (comparison.withLargePhase !== undefined) {
        const smallWithoutLarge = selectPhase(comparison.withoutLargePhase).filter(isShort).filter(isSmall);
        const smallWithLarge = selectPhase(comparison.withLargePhase).filter(isShort).filter(isSmall);
        measures.push(
            makeMeasure(
                "small customers beside large ones: p95 first token against without them",
                "",
                TargetKind.AtMost,
                1.3,
                divide(computeFirstTokenP95(smallWithLarge), computeFirstTokenP95(smallWithoutLarge)),
            ),
            makeMeasure(
                "small customers beside large ones: completed within limit",
                "",
                TargetKind.AtLeast,
                0.95,
                computeShare(smallWithLarge, isWithinLimit),
            ),
            makeMeasure(
                `Jain's index of normalised service by ${comparison.costMeasure}`,
                "",
                TargetKind.AtLeast,
                0.95,
                computeCustomerFairness(experiment, selectPhase(comparison.withLargePhase)),
            ),
        );
    }
    const count = (kind: OutcomeKind) => run.outcomes.filter(outcome => outcome.kind === kind).length;
    measures.push(
        makeMeasure("wrong answers", "", TargetKind.AtMost, 0, count(OutcomeKind.Wrong)),
        makeMeasure("requests without an end", "", TargetKind.AtMost, 0, count(OutcomeKind.Hung)),
    );
    return measures;
}

function computeBulkFloodMeasures(
    experiment: Experiment,
    run: LoadRun,
    sampler: EngineSampler,
    windows: ReadonlyMap<string, PhaseWindow>,
): Measure[] {
    const { comparison } = experiment;
    const flood = run.outcomes.filter(outcome => outcome.arrival.phase === comparison.bulkFloodPhase);
    const withoutFlood = run.outcomes.filter(outcome => outcome.arrival.phase === comparison.shortBesidePhase);
    const hasRank = (rank: string) => (outcome: Outcome) => outcome.rank === rank;
    const urgent = flood.filter(hasRank(comparison.urgentRank));
    const bulk = flood.filter(outcome => outcome.arrival.stream === comparison.bulkFloodStream);
    const refused = bulk.filter(outcome => outcome.kind === OutcomeKind.Refused);
    const window = windows.get(comparison.bulkFloodPhase!)!;
    const capacity = experiment.engines.reduce((sum, group) => sum + group.count * group.prefillTokensPerSecond, 0);
    const offered = bulk.reduce((sum, outcome) => sum + outcome.arrival.promptTokens, 0)
        / ((window.endMs - window.startMs) / millisecondsPerSecond);
    const computeMiddleShare = (outcomes: readonly Outcome[]) =>
        computeShare(outcomes.filter(hasRank(comparison.middleRank)), isWithinLimit);
    // The first second is left out, because the flood has not reached all engines yet.
    const busyShare = sampler.computeBusyShare(window.startMs + millisecondsPerSecond, window.endMs);
    return [
        makeMeasure(
            "bulk flood: offered prompt tokens against prefill capacity",
            "",
            TargetKind.Informational,
            undefined,
            offered / capacity,
        ),
        makeMeasure(
            "bulk flood: urgent within limit",
            "",
            TargetKind.AtLeast,
            0.99,
            computeShare(urgent, isWithinLimit),
        ),
        makeMeasure(
            "bulk flood: urgent p95 first token against without the flood",
            "",
            TargetKind.AtMost,
            1.2,
            divide(
                computeFirstTokenP95(urgent),
                computeFirstTokenP95(withoutFlood.filter(hasRank(comparison.urgentRank))),
            ),
        ),
        makeMeasure(
            "bulk flood: urgent p95 first token",
            "ms",
            TargetKind.Informational,
            undefined,
            computeFirstTokenP95(urgent),
        ),
        makeMeasure(
            "bulk flood: middle rank's throughput against without the flood",
            "",
            TargetKind.AtLeast,
            0.9,
            divide(computeMiddleShare(flood), computeMiddleShare(withoutFlood)),
        ),
        makeMeasure("bulk flood: engines busy", "", TargetKind.AtLeast, 0.9, busyShare),
        makeMeasure(
            "bulk flood: refused of the flood",
            "",
            TargetKind.Informational,
            undefined,
            bulk.length === 0 ? undefined : refused.length / bulk.length,
        ),
        makeMeasure(
            "bulk flood: refusals with Retry-After",
            "",
            TargetKind.AtLeast,
            0.99,
            refused.length === 0
                ? undefined
                : refused.filter(outcome => outcome.retryAfterSeconds !== undefined).length / refused.length,
        ),
        makeMeasure(
            "bulk flood: refusals with a queue position (ticket)",
            "",
            TargetKind.AtLeast,
            0.99,
            refused.length === 0 ? undefined : refused.filter(outcome => outcome.hasTicket).length / refused.length,
        ),
        makeMeasure(
            "bulk flood: p95 time to a refusal",
            "ms",
            TargetKind.Informational,
            undefined,
            computeDurationSummary(refused.map(outcome => outcome.totalMs)).p95,
        ),
    ];
}

function computeUrgentFloodMeasures(
    experiment: Experiment,
    run: LoadRun,
    windows: ReadonlyMap<string, PhaseWindow>,
): Measure[] {
    const { comparison } = experiment;
    const flood = run.outcomes.filter(outcome => outcome.arrival.phase === comparison.urgentFloodPhase);
    const window = windows.get(comparison.urgentFloodPhase!)!;
    const getEndMs = (outcome: Outcome) => outcome.arrival.atMs + outcome.totalMs;
    const served = run.outcomes.filter(outcome =>
        outcome.kind === OutcomeKind.Completed && getEndMs(outcome) >= window.startMs
        && getEndMs(outcome) < window.endMs
    );
    const sumTokens = (outcomes: readonly Outcome[]) =>
        outcomes.reduce((sum, { arrival }) => sum + arrival.promptTokens + arrival.outputTokens, 0);
    const urgent = flood.filter(outcome => outcome.rank === comparison.urgentRank);
    const admitted = urgent.filter(outcome =>
        outcome.kind !== OutcomeKind.Refused && outcome.kind !== OutcomeKind.NotSent
    );
    const others = Object.keys(experiment.ranks).filter(rank => rank !== comparison.urgentRank);
    const totalServed = sumTokens(served);
    const capacity = experiment.engines.reduce((sum, group) => sum + group.count * group.prefillTokensPerSecond, 0);
    const seconds = (window.endMs - window.startMs) / millisecondsPerSecond;
    return [
        makeMeasure(
            "urgent flood: offered urgent prompt tokens against prefill capacity",
            "",
            TargetKind.Informational,
            undefined,
            sumTokens(urgent) / seconds / capacity,
        ),
        makeMeasure(
            "urgent flood: admitted urgent within limit",
            "",
            TargetKind.AtLeast,
            0.99,
            computeShare(admitted, isWithinLimit),
        ),
        makeMeasure(
            "urgent flood: admitted of urgent",
            "",
            TargetKind.Informational,
            undefined,
            urgent.length === 0 ? undefined : admitted.length / urgent.length,
        ),
        ...others.map(rank => {
            const demand = sumTokens(flood.filter(outcome => outcome.rank === rank)) / seconds / capacity;
            const share = divide(sumTokens(served.filter(outcome => outcome.rank === rank)), totalServed);
            return makeMeasure(
                `urgent flood: share of service of rank ${rank} (offers ${demand.toFixed(3)} of capacity)`,
                "",
                TargetKind.AtLeast,
                Math.min(0.05, demand * 0.9),
                share,
            );
        }),
    ];
}

/** Computes Jain's index over the service that each customer received, divided by its max-min fair allocation. */
function computeCustomerFairness(experiment: Experiment, outcomes: readonly Outcome[]): number | undefined {
    const getCost = (outcome: Outcome) => {
        const { promptTokens, outputTokens, stream } = outcome.arrival;
        if (experiment.comparison.costMeasure === CostMeasure.Tokens) {
            return promptTokens + outputTokens;
        }
        return experiment.kinds[experiment.plan.streams[stream]!.kind ?? ""]?.costWeight ?? 1;
    };
    const customers = [...new Set(outcomes.map(outcome => outcome.arrival.customer))];
    const sumCosts = (selected: readonly Outcome[]) => selected.reduce((total, outcome) => total + getCost(outcome), 0);
    const rows = customers.map(customer => {
        const customerOutcomes = outcomes.filter(outcome => outcome.arrival.customer === customer);
        return {
            weight: experiment.customers[customer]!.weight,
            demand: sumCosts(customerOutcomes),
            served: sumCosts(customerOutcomes.filter(outcome => outcome.kind === OutcomeKind.Completed)),
        };
    });
    const allocations = computeAllocation(rows, rows.reduce((total, row) => total + row.served, 0));
    return computeFairnessIndex(rows.map((row, index) => row.served / allocations[index]!));
}

interface PhaseWindow {
    readonly startMs: number;
    readonly endMs: number;
}

function computePhaseWindows(experiment: Experiment): ReadonlyMap<string, PhaseWindow> {
    const windows = new Map<string, PhaseWindow>();
    let startMs = 0;
    for (const phase of experiment.plan.phases) {
        const endMs = startMs + phase.seconds * millisecondsPerSecond;
        windows.set(phase.name, { startMs, endMs });
        startMs = endMs;
    }
    return windows;
}

function makeMeasure(
    name: string,
    unit: string,
    kind: TargetKind,
    target: number | undefined,
    value: number | undefined,
): Measure {
    return { name, unit, kind, target, value };
}

function divide(numerator: number | undefined, denominator: number | undefined): number | undefined {
    return numerator === undefined || !denominator ? undefined : numerator / denominator;
}

function computeFirstTokenP95(outcomes: readonly Outcome[]): number | undefined {
    const times = outcomes.filter(outcome => outcome.kind === OutcomeKind.Completed)
        .map(outcome => outcome.firstTokenMs).filter(value => value !== undefined);
    return times.length === 0 ? undefined : computeDurationSummary(times).p95;
}

/** Computes the share of requests that satisfy a condition; requests without an answer count as well. */
function computeShare(outcomes: readonly Outcome[], condition: (outcome: Outcome) => boolean): number | undefined {
    return outcomes.length === 0 ? undefined : outcomes.filter(condition).length / outcomes.length;
}

/** Computes the share of the gaps between tokens that stay within the limit. */
function computeShareOfShortGaps(outcomes: readonly Outcome[]): number | undefined {
    const gaps = outcomes.flatMap(outcome => outcome.gapsMs);
    return gaps.length === 0 ? undefined : gaps.filter(gap => gap <= betweenTokensLimitMs).length / gaps.length;
}
