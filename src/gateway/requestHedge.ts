import { Disposable } from "../base/disposable.js";
import { HedgeDecision } from "../retries/hedgePolicy.js";
import { Attempt } from "./attempt.js";
import { AttemptObservation, RequestHedgeState, RequestHedging } from "./hedging.js";
import { Place, PlacementJob } from "./place.js";
import { PlacementQueue } from "./placementQueue.js";
import { RequestReport } from "./requestReport.js";

/** What became of a hedge. */
export enum HedgeResult {
    /** The hedge was answered first. */
    Won = "won",
    /** The first attempt was answered although the hedge was sent. */
    Lost = "lost",
    /** The hedge failed, and the first attempt went on. */
    Failed = "failed",
    /** The first attempt failed, and the hedge went on. */
    FirstFailed = "first-failed",
    /** The request ended while both attempts were in flight. */
    Unanswered = "unanswered",
}

/** Sends at most one hedge for a request, and follows its attempts. */
export interface RequestHedge extends Disposable {
    /** Starts to follow an attempt, which is either the only one or the hedge. */
    startAttempt(attempt: Attempt): void;
    /** Records that an attempt has delivered its first event or its complete answer. The others are cancelled. */
    recordDelivery(attempt: Attempt): void;
    recordFailure(attempt: Attempt): void;
    /** Returns the result of the hedge, or `undefined` if none was sent. */
    getResult(): HedgeResult | undefined;
}

export interface RequestHedgeOptions {
    readonly hedging: RequestHedging;
    readonly report: RequestReport;
    readonly getState: () => RequestHedgeState;
    /** Finds a place for the hedge at once, at another endpoint than `endpointId`. */
    readonly findPlace: (endpointId: string) => Place | undefined;
    /** Returns whether the hedge may be sent to a place that was found. */
    readonly isAllowed: (place: Place) => boolean;
    readonly send: (place: Place) => void;
    readonly now: () => number;
}

/** What a job says of a request without what depends on the attempt. */
type ImmediateJob = Omit<
    PlacementJob,
    "isSuspect" | "isImmediate" | "onPlaced" | "onWaiting" | "onClaimed" | "onExpired"
>;

/**
 * Finds a place that is free at once.
 *
 * @example
 * findPlaceNow(placementQueue, { ...job, avoid: new Set([firstEndpoint]) })?.release();
 */
export function findPlaceNow(placementQueue: PlacementQueue, job: ImmediateJob): Place | undefined {
    let found: Place | undefined;
    placementQueue.submit({
        ...job,
        isSuspect: false,
        isImmediate: true,
        onPlaced(place) {
            found = place;
        },
        onWaiting: () => undefined,
        onClaimed: () => undefined,
        onExpired: () => undefined,
    });
    return found;
}

/**
 * Creates the hedge of one request.
 *
 * @example
 * hedge.startAttempt(attempt);
 * hedge.recordDelivery(attempt);
 */
export function createRequestHedge(options: RequestHedgeOptions): RequestHedge {
    const { hedging, report } = options;
    const observations = new Map<Attempt, AttemptObservation>();
    let hedgePlace: Place | undefined;
    let result: HedgeResult | undefined;

    function setResult(next: HedgeResult): void {
        if (hedgePlace && result === undefined) {
            result = next;
            report.recordHedgeResult(next);
        }
    }

    function handleBehind(attempt: Attempt, delayMs: number): void {
        if (hedgePlace) {
            return;
        }
        const endpoint = attempt.place.endpoint.id;
        const place = tryPlace(endpoint, delayMs);
        if (!place) {
            return;
        }
        hedgePlace = place;
        report.recordHedge(place, endpoint, delayMs, options.now() - attempt.getSentAtMs());
        options.send(place);
    }

    function tryPlace(endpoint: string, delayMs: number): Place | undefined {
        const decision = hedging.decide(options.getState(), endpoint);
        const place = decision === HedgeDecision.Send ? options.findPlace(endpoint) : undefined;
        if (!place) {
            const reason = decision === HedgeDecision.Send ? HedgeDecision.NoPlace : decision;
            report.recordHedgeWithheld(reason, endpoint, delayMs);
            return undefined;
        }
        // A place that needs reservations at helpers would have to wait for them.
        if (place.reservedTokens > 0 || place.isTentative || !options.isAllowed(place) || !hedging.acquire()) {
            place.release();
            report.recordHedgeWithheld(HedgeDecision.NoPlace, endpoint, delayMs);
            return undefined;
        }
        return place;
    }

    return {
        startAttempt(attempt) {
            const { endpoint, firstByteMs } = attempt.place;
            observations.set(
                attempt,
                attempt.place === hedgePlace
                    ? hedging.watchHedge(endpoint.id)
                    : hedging.watchAttempt(endpoint.id, firstByteMs, delayMs => handleBehind(attempt, delayMs)),
            );
        },
        recordDelivery(attempt) {
            setResult(attempt.place === hedgePlace ? HedgeResult.Won : HedgeResult.Lost);
            observations.get(attempt)?.recordAnswer();
            observations.forEach(other => other.recordAbandoned());
            observations.clear();
        },
        recordFailure(attempt) {
            setResult(attempt.place === hedgePlace ? HedgeResult.Failed : HedgeResult.FirstFailed);
            observations.get(attempt)?.dispose();
            observations.delete(attempt);
        },
        getResult: () => result,
        dispose() {
            setResult(HedgeResult.Unanswered);
            observations.forEach(observation => observation.dispose());
            observations.clear();
        },
    };
}
