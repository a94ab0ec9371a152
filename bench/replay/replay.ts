import { createManualTimerService } from "../../src/base/manualTimerService.js";
import { createSeededRandomSource } from "../../src/base/randomSource.js";
import { Place } from "../../src/gateway/place.js";
import { createPlacementDesk } from "../../src/gateway/placementDesk.js";
import { createEndpointDirectory, defaultDirectorySettings } from "../../src/membership/endpointDirectory.js";
import { createEndpointHealth } from "../../src/membership/endpointHealth.js";
import { createEndpointShare } from "../../src/membership/endpointShare.js";
import { EndpointState } from "../../src/ports/endpointRecord.js";
import { EngineModel, Service } from "../../src/ports/servingConfiguration.js";
import { ClaimPolicy } from "../../src/routing/engineClaim.js";
import { PlacementPolicy } from "../../src/routing/enginePlacement.js";
import { computeReadMs } from "../../src/routing/engineTiming.js";
import { createLoadLedger } from "../../src/routing/loadLedger.js";
import { createPaceEstimate } from "../../src/routing/paceEstimate.js";
import { createVirtualEngine, VirtualEngine, VirtualJob } from "./virtualEngine.js";

/** A kind of request in a replayed load. */
export interface ReplayKind {
    readonly name: string;
    readonly rank: number;
    readonly perSecond: number;
    readonly meanTokens: number;
    /** Spread of the logarithm of the prompt's length. */
    readonly spread: number;
    readonly maxTokens: number;
    readonly events: number;
    readonly aimMs: number;
    readonly pauseAimMs: number;
    readonly patienceMs: number;
    readonly worth: number;
}

/** A load pattern. */
export interface ReplayLoad {
    readonly name: string;
    readonly durationMs: number;
    readonly kinds: readonly ReplayKind[];
}

/** Result of one kind. */
export interface ReplayResult {
    readonly name: string;
    readonly asked: number;
    /** First event and all pauses within their aims. */
    readonly inAim: number;
    readonly late: number;
    readonly refused: number;
    /** Share of the worth of all its requests that was served in aim; a request is worth more the longer its prompt. */
    readonly worthShare: number;
}

/** Engines like those of the first deployments. */
export const replayEngine: EngineModel = {
    slots: 11,
    memoryTokens: 315_000,
    stepsPerPass: 51,
    stepMs: 0.85,
    sequenceStepMs: 0.006,
    contextStepMs: 0.00285,
    prefillTokensPerSecond: 177_000,
    pairsMs: 0.184,
    chunkTokens: 2_048,
    usualOutputTokens: 1_600,
};
const engineCount = 14;
const settleMs = 20_000;

/** Part of a request's worth that does not depend on its size, and the most that size can make of it. */
const basicWorth = 0.3;
const greatestWorth = 4;

interface Outcome {
    promptTokens: number;
    firstMs?: number;
    longestPauseMs: number;
    isEnded: boolean;
    isRefused: boolean;
}

function pickTokens(kind: ReplayKind, random: () => number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    const median = kind.meanTokens / Math.exp(kind.spread ** 2 / 2);
    return Math.min(kind.maxTokens, median * Math.exp(kind.spread * normal));
}

/**
 * Replays a load through the real desk and its decisions, against engines in virtual time.
 *
 * @example
 * runReplay(longFlood, placeOnEngines, 1, chooseClaim);
 */
export function runReplay(
    load: ReplayLoad,
    placeOnEngines: PlacementPolicy,
    seed: number,
    claimPolicy: ClaimPolicy,
): readonly ReplayResult[] {
    const timers = createManualTimerService();
    const random = createSeededRandomSource(seed);
    const directory = createEndpointDirectory(defaultDirectorySettings);
    const engines = new Map<string, VirtualEngine>();
    for (let index = 0; index < engineCount; index++) {
        const id = `engine-${index}`;
        engines.set(id, createVirtualEngine(replayEngine, timers));
        directory.applyRecord({
            id,
            bornMs: 0,
            service: "models",
            address: `10.0.0.${index}:80`,
            dataCentre: "a",
            slots: replayEngine.slots,
            state: EndpointState.Ready,
        }, 0);
    }
    const pace = createPaceEstimate();
    const service: Service = { name: "models", engine: replayEngine };
    const desk = createPlacementDesk({
        timers,
        directory,
        health: createEndpointHealth(),
        pace,
        ledger: createLoadLedger(),
        share: createEndpointShare(directory, endpoints => endpoints),
        dataCentre: "a",
        orderSeed: "",
        keyPrefix: "replay",
        random,
        placeOnEngines,
        chooseClaim: claimPolicy,
        reportChange: () => undefined,
    });

    function start(place: Place, kind: ReplayKind, promptTokens: number, arrivedAtMs: number, outcome: Outcome): void {
        let lastMs: number | undefined;
        const job: VirtualJob = {
            events: kind.events,
            promptTokens,
            unreadParts: 1 + place.helpers.length,
            onRead: () => engines.get(place.endpoint.id)!.wake(),
            onEvent() {
                const nowMs = timers.now();
                if (lastMs === undefined) {
                    outcome.firstMs = nowMs - arrivedAtMs;
                    place.startWriting();
                }
                else {
                    outcome.longestPauseMs = Math.max(outcome.longestPauseMs, nowMs - lastMs);
                    pace.record(place.endpoint.id, nowMs - lastMs, place.predictPassMs(), nowMs);
                }
                lastMs = nowMs;
            },
            onEnd() {
                outcome.isEnded = true;
                place.release();
            },
        };
        engines.get(place.endpoint.id)!.answer(job);
        engines.get(place.endpoint.id)!.read(job, place.partMs, false);
        place.helpers.forEach(helper => engines.get(helper.id)!.read(job, place.partMs, true));
    }

    function ask(kind: ReplayKind, outcome: Outcome): void {
        const arrivedAtMs = timers.now();
        const { promptTokens } = outcome;
        desk.submit({
            service,
            rank: kind.rank,
            arrivedAtMs,
            dueAtMs: arrivedAtMs + kind.aimMs,
            giveUpAtMs: arrivedAtMs + kind.patienceMs,
            needs: {
                readMs: computeReadMs(replayEngine, promptTokens),
                promptTokens,
                outputTokens: kind.events * replayEngine.stepsPerPass,
                pauseAimMs: kind.pauseAimMs,
            },
            isUnsafe: false,
            avoid: new Set(),
            isSuspect: false,
            onPlaced: place => start(place, kind, promptTokens, arrivedAtMs, outcome),
            onWaiting: () => undefined,
            onClaimed: () => undefined,
            onHopeless() {
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
            const outcome: Outcome = { promptTokens, longestPauseMs: 0, isEnded: false, isRefused: false };
            outcomes.get(kind)!.push(outcome);
            timers.schedule(atMs, () => ask(kind, outcome));
        }
    }
    timers.advance(load.durationMs + settleMs);
    desk.dispose();
    return load.kinds.map(kind => summarizeKind(kind, outcomes.get(kind)!));
}

function summarizeKind(kind: ReplayKind, outcomes: readonly Outcome[]): ReplayResult {
    const isInAim = (outcome: Outcome) =>
        outcome.isEnded && outcome.firstMs! <= kind.aimMs && outcome.longestPauseMs <= kind.pauseAimMs;
    const inAim = outcomes.filter(isInAim).length;
    const refused = outcomes.filter(outcome => outcome.isRefused).length;
    const sumWorth = (some: readonly Outcome[]) =>
        some.reduce((sum, outcome) => sum + computeWorth(kind, outcome.promptTokens), 0);
    return {
        name: kind.name,
        asked: outcomes.length,
        inAim,
        late: outcomes.length - inAim - refused,
        refused,
        worthShare: sumWorth(outcomes.filter(isInAim)) / Math.max(1, sumWorth(outcomes)),
    };
}

function computeWorth(kind: ReplayKind, promptTokens: number): number {
    const sized = basicWorth + (1 - basicWorth) * promptTokens / kind.meanTokens;
    return kind.worth * Math.min(greatestWorth, sized);
}

/** Computes the share of all worth that was served in aim. */
export function computeWorthShare(load: ReplayLoad, results: readonly ReplayResult[]): number {
    const worthOf = (name: string) => load.kinds.find(kind => kind.name === name)!.worth;
    const owed = results.reduce((sum, result) => sum + result.asked * worthOf(result.name), 0);
    return results.reduce((sum, result) => sum + result.worthShare * result.asked * worthOf(result.name), 0) / owed;
}
