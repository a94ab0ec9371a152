import { createManualTimerService } from "../../src/base/manualTimerService.js";
import { createSeededRandomSource } from "../../src/base/randomSource.js";
import { TimerService } from "../../src/base/timerService.js";
import { mergeGates } from "../../src/gateway/endpointGate.js";
import { Place } from "../../src/gateway/place.js";
import { createPlacementQueue, PlacementQuota } from "../../src/gateway/placementQueue.js";
import { createFairnessState, PlacementFairness } from "../../src/gateway/queueFairness.js";
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
import { createColdBudget, defaultColdBound } from "../../src/scheduling/coldBudget.js";
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
    /** Hash of the customer's name, if the configuration names several. */
    readonly customer?: number;
    /** Times between which requests arrive, in milliseconds. Absent: the whole time. */
    readonly periods?: readonly (readonly [fromMs: number, toMs: number])[];
    /** Standard deviation of the logarithm of the number of events, whose mean is predicted. Absent: all are the same. */
    readonly eventSpread?: number;
    /** How often a request that is refused comes back at once. Absent: not at all. */
    readonly maxRetries?: number;
}

export interface ReplayLoad {
    readonly name: string;
    readonly durationMs: number;
    readonly kinds: readonly ReplayKind[];
    /** Absent: the engines of the first deployments. */
    readonly engines?: ReplayEngines;
    /** Engines that are lost, evenly over a time. */
    readonly losses?: { readonly count: number; readonly fromMs: number; readonly toMs: number };
    /** Engines that come back from a restart and are cold. Until then they are missing. */
    readonly returns?: { readonly count: number; readonly atMs: number; readonly coldMs: number };
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
    /** Requests refused within a tenth of the time from arrival until the customer disconnects. */
    readonly refusedEarly: number;
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
/** Requests a second that a cold engine sustains. */
const coldPerSecond = 4;
/** Time from a refusal to the return of the request: a round trip. */
const retryMs = 20;

/** Share of the time until the customer disconnects within which a refusal is early. */
const earlyTimeShare = 0.1;

/** Share of a request's value that does not depend on prompt length, and the maximum factor by prompt length. */
const baseValueShare = 0.3;
const maxValueFactor = 4;

export const unlimitedQuota: PlacementQuota = {
    isOpen: () => true,
    isLastChoice: () => false,
    getShare: () => Infinity,
    recordDispatch: () => undefined,
};

/**
 * Creates the division of places between customers for gateways that all use the same endpoints and report nothing.
 *
 * @example
 * createPlacementQueue({ ...options, fairness: createSingleGroupFairness() });
 */
export function createSingleGroupFairness(): PlacementFairness {
    return {
        state: createFairnessState(),
        countSharingGroups: () => 1,
        reportWaiting: () => undefined,
        reportYield: () => undefined,
    };
}

/** What became of one simulated request. */
export interface ReplayOutcome {
    readonly kind: ReplayKind;
    readonly arrivedAtMs: number;
    readonly promptTokens: number;
    readonly isWithinTargets: boolean;
    readonly isEnded: boolean;
    readonly firstMs?: number;
    readonly longestGapMs: number;
}

interface Outcome {
    arrivedAtMs: number;
    /** Differs from the arrival for a request that was refused and has come back. */
    firstArrivedAtMs: number;
    promptTokens: number;
    events: number;
    retries: number;
    firstMs?: number;
    longestGapMs: number;
    isEnded: boolean;
    /** Time from arrival to the refusal. */
    refusedMs?: number;
}

/** A request that engines have. */
interface RunningRequest {
    readonly place: Place;
    fail(): void;
}

function pickLogNormal(mean: number, spread: number, random: () => number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    return mean / Math.exp(spread ** 2 / 2) * Math.exp(spread * normal);
}

function pickEvents({ events, eventSpread }: ReplayKind, random: () => number): number {
    return eventSpread === undefined ? events : Math.max(1, Math.round(pickLogNormal(events, eventSpread, random)));
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
    const running = new Set<RunningRequest>();

    function addEngine(index: number): void {
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
        }, timers.now());
    }

    const missing = load.returns?.count ?? 0;
    for (let index = missing; index < count; index++) {
        addEngine(index);
    }
    const endpointSubset = createEndpointSubset(directory, endpoints => endpoints);
    const slowdownEstimate = createSlowdownEstimate();
    const service: Service = { name: "models", engine: profile };
    const placementQueue = createPlacementQueue({
        timers,
        directory,
        health: createEndpointHealth(),
        slowdownEstimate,
        ledger: createLoadLedger(),
        endpointSubset,
        dataCentre: "a",
        orderSeed: "",
        keyPrefix: "replay",
        random,
        placeOnEngines,
        chooseClaim: claimPolicy,
        reportChange: () => undefined,
        quota: load.returns ? createColdQuota(load.returns, timers, seed) : unlimitedQuota,
        gate: mergeGates([]),
        fairness: createSingleGroupFairness(),
    });

    function start(place: Place, kind: ReplayKind, outcome: Outcome, avoid: ReadonlySet<string>): void {
        const { promptTokens, arrivedAtMs } = outcome;
        let lastMs: number | undefined;
        const request: RunningRequest = {
            place,
            fail() {
                running.delete(request);
                place.release();
                // What was delivered before is resumed elsewhere.
                submit(kind, outcome, new Set([...avoid, place.endpoint.id]));
            },
        };
        running.add(request);
        const job: VirtualJob = {
            events: outcome.events,
            promptTokens,
            pendingParts: 1 + place.helpers.length,
            onPrefilled: () => engines.get(place.endpoint.id)?.wake(),
            onEvent() {
                const nowMs = timers.now();
                if (!running.has(request)) {
                    return;
                }
                if (lastMs === undefined) {
                    outcome.firstMs ??= nowMs - arrivedAtMs;
                    place.startDecode();
                }
                else {
                    outcome.longestGapMs = Math.max(outcome.longestGapMs, nowMs - lastMs);
                    slowdownEstimate.record(place.endpoint.id, nowMs - lastMs, place.predictPassMs(), nowMs);
                }
                lastMs = nowMs;
            },
            onEnd() {
                if (running.delete(request)) {
                    outcome.isEnded = true;
                    place.release();
                }
            },
        };
        engines.get(place.endpoint.id)!.answer(job);
        engines.get(place.endpoint.id)!.prefill(job, place.partMs, false);
        place.helpers.forEach(helper => engines.get(helper.id)!.prefill(job, place.partMs, true));
    }

    function submit(kind: ReplayKind, outcome: Outcome, avoid: ReadonlySet<string> = new Set()): void {
        const { promptTokens, arrivedAtMs } = outcome;
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
            avoid,
            isSuspect: false,
            share: kind.customer === undefined ? undefined : {
                customer: kind.customer,
                fingerprint: `${kind.name} ${outcome.firstArrivedAtMs}`,
            },
            onPlaced: place => start(place, kind, outcome, avoid),
            onWaiting: () => undefined,
            onClaimed: () => undefined,
            onExpired() {
                outcome.refusedMs = timers.now() - arrivedAtMs;
                if (outcome.retries < (kind.maxRetries ?? 0)) {
                    const again = { ...outcome, arrivedAtMs: timers.now() + retryMs, retries: outcome.retries + 1 };
                    delete again.refusedMs;
                    outcomes.get(kind)!.push(again);
                    timers.schedule(retryMs, () => submit(kind, again));
                }
            },
        });
    }

    function loseEngine(id: string): void {
        engines.delete(id);
        directory.applyRemoval(id, timers.now());
        endpointSubset.invalidate();
        [...running].filter(({ place }) => [place.endpoint, ...place.helpers].some(endpoint => endpoint.id === id))
            .forEach(request => request.fail());
        placementQueue.run();
    }

    const outcomes = new Map<ReplayKind, Outcome[]>(load.kinds.map(kind => [kind, []]));
    for (const kind of load.kinds) {
        for (let atMs = 0;;) {
            atMs += (-Math.log(1 - random()) * 1_000) / kind.perSecond;
            if (atMs > load.durationMs) {
                break;
            }
            const promptTokens = Math.min(kind.maxTokens, pickLogNormal(kind.meanTokens, kind.spread, random));
            const outcome = makeOutcome(atMs, promptTokens, pickEvents(kind, random));
            if (kind.periods?.every(([fromMs, toMs]) => atMs < fromMs || atMs >= toMs)) {
                continue;
            }
            outcomes.get(kind)!.push(outcome);
            timers.schedule(atMs, () => submit(kind, outcome));
        }
    }
    for (let lost = 0; lost < (load.losses?.count ?? 0); lost++) {
        const { count: losses, fromMs, toMs } = load.losses!;
        timers.schedule(fromMs + (toMs - fromMs) * lost / losses, () => loseEngine(`engine-${lost}`));
    }
    for (let index = 0; index < missing; index++) {
        timers.schedule(load.returns!.atMs, () => {
            addEngine(index);
            endpointSubset.invalidate();
            placementQueue.run();
        });
    }
    timers.advance(load.durationMs + drainMs);
    placementQueue.dispose();
    outcomes.forEach((some, kind) =>
        some.forEach(({ arrivedAtMs, promptTokens, isEnded, firstMs, longestGapMs }) =>
            report({
                kind,
                arrivedAtMs,
                promptTokens,
                isEnded,
                firstMs,
                longestGapMs,
                isWithinTargets: isWithinTargets(kind, { isEnded, firstMs, longestGapMs }),
            })
        )
    );
    return load.kinds.map(kind => summarizeKind(kind, outcomes.get(kind)!));
}

function makeOutcome(arrivedAtMs: number, promptTokens: number, events: number): Outcome {
    const firstArrivedAtMs = arrivedAtMs;
    return { arrivedAtMs, firstArrivedAtMs, promptTokens, events, retries: 0, longestGapMs: 0, isEnded: false };
}

/** Creates the limit of engines that have come back cold, with the rules that keep work off cold endpoints. */
function createColdQuota(
    { count, atMs, coldMs }: NonNullable<ReplayLoad["returns"]>,
    timers: TimerService,
    seed: number,
): PlacementQuota {
    const cold = new Set(Array.from({ length: count }, (unused, index) => `engine-${index}`));
    const budget = createColdBudget(createSeededRandomSource(seed), defaultColdBound);
    const isCold = (id: string) => cold.has(id) && timers.now() < atMs + coldMs;
    return {
        ...unlimitedQuota,
        isOpen: id => !isCold(id) || budget.canSend(id, coldPerSecond, 1, timers.now()),
        getShare: id => isCold(id) ? coldPerSecond : Infinity,
        recordDispatch: id => budget.recordDispatch(id, true, timers.now()),
    };
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
    const refused = outcomes.filter(outcome => outcome.refusedMs !== undefined);
    const earlyMs = kind.customerTimeoutMs * earlyTimeShare;
    const sumValue = (some: readonly Outcome[]) =>
        some.reduce((sum, outcome) => sum + computeValue(kind, outcome.promptTokens), 0);
    return {
        name: kind.name,
        submitted: outcomes.length,
        withinTargets,
        late: outcomes.length - withinTargets - refused.length,
        refused: refused.length,
        refusedEarly: refused.filter(outcome => outcome.refusedMs! <= earlyMs).length,
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
