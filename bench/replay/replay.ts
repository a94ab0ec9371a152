import { createManualTimerService } from "../../src/base/manualTimerService.js";
import { createSeededRandomSource } from "../../src/base/randomSource.js";
import { mergeGates } from "../../src/gateway/endpointGate.js";
import { Place } from "../../src/gateway/place.js";
import { createPlacementQueue, PlacementQuota } from "../../src/gateway/placementQueue.js";
import { createFairnessState } from "../../src/gateway/queueFairness.js";
import { createEndpointDirectory, defaultDirectorySettings } from "../../src/membership/endpointDirectory.js";
import { createEndpointHealth } from "../../src/membership/endpointHealth.js";
import { createEndpointSubset } from "../../src/membership/endpointSubset.js";
import { EndpointState } from "../../src/ports/endpointRecord.js";
import { EngineProfile, Service } from "../../src/ports/servingConfiguration.js";
import { ClaimPolicy } from "../../src/routing/engineClaim.js";
import { PlacementPolicy } from "../../src/routing/enginePlacement.js";
import { computePrefillMs } from "../../src/routing/engineTiming.js";
import { createLoadLedger } from "../../src/routing/loadLedger.js";
import { createSlowdownEstimate } from "../../src/routing/slowdownEstimate.js";
import { createVirtualEngine, VirtualEngine, VirtualJob } from "./virtualEngine.js";

/** A kind of request in a simulated load. */
export interface ReplayKind {
    readonly name: string;
    readonly rank: number;
    readonly perSecond: number;
    readonly meanTokens: number;
    /** Standard deviation of the logarithm of the prompt's length. */
    readonly spread: number;
    readonly maxTokens: number;
    /** Number of events in a response. */
    readonly events: number;
    readonly firstEventTargetMs: number;
    /** Target for the longest gap between two events. */
    readonly gapTargetMs: number;
    /** Time after which the customer cancels the request unless a first event has arrived. */
    readonly customerTimeoutMs: number;
    /** Value of serving a request of mean length within its targets. */
    readonly value: number;
}

export interface ReplayLoad {
    readonly name: string;
    readonly durationMs: number;
    readonly kinds: readonly ReplayKind[];
    /** Absent: the engines of the first deployments. */
    readonly engines?: ReplayEngines;
}

/** Engines that a load is replayed against. */
export interface ReplayEngines {
    readonly count: number;
    readonly profile: EngineProfile;
}

/** Result for one kind of request. */
export interface ReplayResult {
    readonly name: string;
    readonly submitted: number;
    /** Requests that ended with the first event and all gaps within their targets. */
    readonly withinTargets: number;
    readonly late: number;
    readonly refused: number;
    /** Share of the value of all requests that was served within targets. The value grows with the prompt's length. */
    readonly valueShare: number;
}

/** Engine model of the first deployments. */
export const replayEngine: EngineProfile = {
    slots: 11,
    memoryTokens: 315_000,
    stepsPerPass: 51,
    stepMs: 0.85,
    stepMsPerSequence: 0.006,
    stepMsPerThousandTokens: 0.00285,
    prefillTokensPerSecond: 177_000,
    attentionMsPerMillionPairs: 0.184,
    prefillChunkTokens: 2_048,
    meanOutputTokens: 1_600,
};
export const replayEngineCount = 14;
const firstEngines: ReplayEngines = { count: replayEngineCount, profile: replayEngine };
const drainMs = 20_000;

/** Share of a request's value that does not depend on prompt length, and the maximum factor by prompt length. */
const baseValueShare = 0.3;
const maxValueFactor = 4;

export const unlimitedQuota: PlacementQuota = {
    isOpen: () => true,
    isLastChoice: () => false,
    getShare: () => Infinity,
    recordDispatch: () => undefined,
};

/** What became of one simulated request. */
export interface ReplayOutcome {
    readonly kind: ReplayKind;
    readonly arrivedAtMs: number;
    readonly promptTokens: number;
    readonly isWithinTargets: boolean;
}

interface Outcome {
    arrivedAtMs: number;
    promptTokens: number;
    firstMs?: number;
    longestGapMs: number;
    isEnded: boolean;
    isRefused: boolean;
}

function pickTokens(kind: ReplayKind, random: () => number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    const median = kind.meanTokens / Math.exp(kind.spread ** 2 / 2);
    return Math.min(kind.maxTokens, median * Math.exp(kind.spread * normal));
}

/**
 * Runs a simulated load through the production placement queue and placement policies against engines in virtual time.
 *
 * @example
 * runReplay(longFlood, placeOnEngines, 1, chooseClaim);
 */
export function runReplay(
    load: ReplayLoad,
    placeOnEngines: PlacementPolicy,
    seed: number,
    claimPolicy: ClaimPolicy,
    report: (outcome: ReplayOutcome) => void = () => undefined,
): readonly ReplayResult[] {
    const { count, profile } = load.engines ?? firstEngines;
    const timers = createManualTimerService();
    const random = createSeededRandomSource(seed);
    const directory = createEndpointDirectory(defaultDirectorySettings);
    const engines = new Map<string, VirtualEngine>();
    for (let index = 0; index < count; index++) {
        const id = `engine-${index}`;
        engines.set(id, createVirtualEngine(profile, timers));
        directory.applyRecord({
            id,
            startedAtMs: 0,
            service: "models",
            address: `10.0.0.${index}:80`,
            dataCentre: "a",
            slots: profile.slots,
            state: EndpointState.Ready,
        }, 0);
    }
    const slowdownEstimate = createSlowdownEstimate();
    const service: Service = { name: "models", engine: profile };
    const placementQueue = createPlacementQueue({
        timers,
        directory,
        health: createEndpointHealth(),
        slowdownEstimate,
        ledger: createLoadLedger(),
        endpointSubset: createEndpointSubset(directory, endpoints => endpoints),
        dataCentre: "a",
        orderSeed: "",
        keyPrefix: "replay",
        random,
        placeOnEngines,
        chooseClaim: claimPolicy,
        reportChange: () => undefined,
        quota: unlimitedQuota,
        gate: mergeGates([]),
        fairness: {
            state: createFairnessState(),
            countSharingGroups: () => 1,
            reportWaiting: () => undefined,
            reportYield: () => undefined,
        },
    });

    function start(place: Place, kind: ReplayKind, promptTokens: number, arrivedAtMs: number, outcome: Outcome): void {
        let lastMs: number | undefined;
        const job: VirtualJob = {
            events: kind.events,
            promptTokens,
            pendingParts: 1 + place.helpers.length,
            onPrefilled: () => engines.get(place.endpoint.id)!.wake(),
            onEvent() {
                const nowMs = timers.now();
                if (lastMs === undefined) {
                    outcome.firstMs = nowMs - arrivedAtMs;
                    place.startDecode();
                }
                else {
                    outcome.longestGapMs = Math.max(outcome.longestGapMs, nowMs - lastMs);
                    slowdownEstimate.record(place.endpoint.id, nowMs - lastMs, place.predictPassMs(), nowMs);
                }
                lastMs = nowMs;
            },
            onEnd() {
                outcome.isEnded = true;
                place.release();
            },
        };
        engines.get(place.endpoint.id)!.answer(job);
        engines.get(place.endpoint.id)!.prefill(job, place.partMs, false);
        place.helpers.forEach(helper => engines.get(helper.id)!.prefill(job, place.partMs, true));
    }

    function submit(kind: ReplayKind, outcome: Outcome): void {
        const arrivedAtMs = timers.now();
        const { promptTokens } = outcome;
        placementQueue.submit({
            service,
            rank: kind.rank,
            arrivedAtMs,
            dueAtMs: arrivedAtMs + kind.firstEventTargetMs,
            customerTimeoutAtMs: arrivedAtMs + kind.customerTimeoutMs,
            needs: {
                prefillMs: computePrefillMs(replayEngine, promptTokens),
                promptTokens,
                outputTokens: kind.events * replayEngine.stepsPerPass,
                gapTargetMs: kind.gapTargetMs,
            },
            isUnsafe: false,
            avoid: new Set(),
            isSuspect: false,
            onPlaced: place => start(place, kind, promptTokens, arrivedAtMs, outcome),
            onWaiting: () => undefined,
            onClaimed: () => undefined,
            onExpired() {
                outcome.isRefused = true;
            },
        });
    }

    const outcomes = new Map<ReplayKind, Outcome[]>(load.kinds.map(kind => [kind, []]));
    for (const kind of load.kinds) {
        for (let atMs = 0;;) {
            atMs += (-Math.log(1 - random()) * 1_000) / kind.perSecond;
            if (atMs > load.durationMs) {
                break;
            }
            const promptTokens = pickTokens(kind, random);
            const outcome: Outcome = {
                arrivedAtMs: atMs,
                promptTokens,
                longestGapMs: 0,
                isEnded: false,
                isRefused: false,
            };
            outcomes.get(kind)!.push(outcome);
            timers.schedule(atMs, () => submit(kind, outcome));
        }
    }
    timers.advance(load.durationMs + drainMs);
    placementQueue.dispose();
    outcomes.forEach((some, kind) =>
        some.forEach(({ arrivedAtMs, promptTokens, ...outcome }) =>
            report({ kind, arrivedAtMs, promptTokens, isWithinTargets: isWithinTargets(kind, outcome) })
        )
    );
    return load.kinds.map(kind => summarizeKind(kind, outcomes.get(kind)!));
}

function isWithinTargets(
    kind: ReplayKind,
    { isEnded, firstMs, longestGapMs }: Pick<Outcome, "isEnded" | "firstMs" | "longestGapMs">,
): boolean {
    return isEnded && firstMs! <= kind.firstEventTargetMs && longestGapMs <= kind.gapTargetMs;
}

function summarizeKind(kind: ReplayKind, outcomes: readonly Outcome[]): ReplayResult {
    const isServed = (outcome: Outcome) => isWithinTargets(kind, outcome);
    const withinTargets = outcomes.filter(isServed).length;
    const refused = outcomes.filter(outcome => outcome.isRefused).length;
    const sumValue = (some: readonly Outcome[]) =>
        some.reduce((sum, outcome) => sum + computeValue(kind, outcome.promptTokens), 0);
    return {
        name: kind.name,
        submitted: outcomes.length,
        withinTargets,
        late: outcomes.length - withinTargets - refused,
        refused,
        valueShare: sumValue(outcomes.filter(isServed)) / Math.max(1, sumValue(outcomes)),
    };
}

function computeValue(kind: ReplayKind, promptTokens: number): number {
    const sizeFactor = baseValueShare + (1 - baseValueShare) * promptTokens / kind.meanTokens;
    return kind.value * Math.min(maxValueFactor, sizeFactor);
}

/** Computes the share of the total value of all kinds that was served within targets. */
export function computeValueShare(load: ReplayLoad, results: readonly ReplayResult[]): number {
    const getValue = (name: string) => load.kinds.find(kind => kind.name === name)!.value;
    const totalValue = results.reduce((sum, result) => sum + result.submitted * getValue(result.name), 0);
    return results.reduce((sum, result) => sum + result.valueShare * result.submitted * getValue(result.name), 0)
        / totalValue;
}
