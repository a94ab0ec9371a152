import { maxDispatches } from "./dispatchDecision.js";
import { ObservedTimes } from "./latencyHistogram.js";

/** Whether a second attempt is sent, or why not. */
export enum HedgeDecision {
    Send = "send",
    /** The request must not run twice. */
    NotRepeatable = "not-repeatable",
    /** The route allows no further endpoint. */
    AttemptsUsed = "attempts-used",
    /** Too little time is left for an answer. */
    TooLate = "too-late",
    /** Requests like this one crash endpoints. */
    Suspect = "suspect",
    /** Requests of the service wait for a place. */
    WorkWaits = "work-waits",
    /** Too many slots of the service are taken. */
    SlotsTaken = "slots-taken",
    /** Endpoints of the service were lost lately. */
    EndpointsLost = "endpoints-lost",
    /** Most requests at the other endpoints are behind too. */
    AllBehind = "all-behind",
    /** The share of the service is used up. */
    ShareUsed = "share-used",
    /** The retry budget is used up. */
    RetryBudgetUsed = "retry-budget-used",
    /** No other endpoint has capacity now. */
    NoPlace = "no-place",
}

/** State of a request that is behind, and of its service. Times in milliseconds. */
export interface HedgeState {
    readonly isRepeatable: boolean;
    /** Number of endpoints on which the request may have run, without the current one. */
    readonly endpointsRun: number;
    readonly maxEndpoints: number;
    readonly dispatches: number;
    readonly remainingMs: number;
    readonly medianMs: number;
    readonly isSuspect: boolean;
    /** Requests of the service that wait for a place at this gateway. */
    readonly waiting: number;
    /** Slots of the service's usable endpoints, and how many of them the work of all gateways takes. */
    readonly slots: number;
    readonly slotsTaken: number;
    /** Time since an endpoint of the service was lost; infinite if none was. */
    readonly sinceLossMs: number;
    readonly isMostlyBehind: boolean;
    readonly hasShareLeft: boolean;
    readonly retryBalance: number;
}

/** A request of the service that is in flight, or was answered lately. */
export interface ComparedRequest {
    readonly endpoint: string;
    /** Time since it was sent, in milliseconds. */
    readonly ageMs: number;
    /** Median and 95th percentile of its kind, in milliseconds. */
    readonly medianMs: number;
    readonly p95Ms: number;
    /** Time since the first event, complete answer or cancellation, in milliseconds; `undefined` while in flight. */
    readonly endedForMs?: number;
}

/** Number of observed times of a kind from which the 95th percentile is used. */
export const minObservations = 20;
/** The predicted time to the first byte must be exceeded by this factor. */
const predictionFactor = 1.5;
/** With less time left than this, in milliseconds, another dispatch cannot be answered before the deadline. */
const minRemainingMs = 60;
const maxSlotShare = 0.7;
/** Time after the loss of an endpoint in which its work burdens the others, in milliseconds. */
const lossSettlingMs = 5_000;
/**
 * Share of the other requests from which all count as slow. With more than half instead, 5 instead of 3 of 450 requests
 * were hedged after a slowdown of all endpoints, and the gain for a tail of 1 in 100 was the same.
 */
const mostShare = 0.5;

/**
 * Computes the time after which a request is behind, in milliseconds, or `undefined` while its kind has too few
 * observations.
 *
 * @example
 * computeHedgeDelayMs({ count: 200, medianMs: 20, p95Ms: 48 }, 20); // 48
 */
export function computeHedgeDelayMs(
    times: ObservedTimes | undefined,
    predictedFirstByteMs: number,
): number | undefined {
    if (!times || times.count < minObservations) {
        return undefined;
    }
    return Math.max(times.p95Ms, predictionFactor * predictedFirstByteMs);
}

/**
 * Returns whether half or more of the requests at other endpoints are behind, so that a second attempt would be as slow. A request in
 * flight counts as behind when it is older than the median of its kind: the 95th percentile would show a slowdown of all
 * endpoints only after the first hedges were sent. A request that has ended counts for the median time of its kind, and
 * as behind if it took longer than the 95th percentile. Requests at the endpoint itself do not count, because one slow
 * endpoint makes all of its requests slow.
 *
 * @example
 * isMostlyBehind("desk-0", [{ endpoint: "desk-1", ageMs: 90, medianMs: 20, p95Ms: 30 }]); // true
 */
export function isMostlyBehind(endpoint: string, requests: readonly ComparedRequest[]): boolean {
    const others = requests.filter(request =>
        request.endpoint !== endpoint && (request.endedForMs ?? 0) <= request.medianMs
    );
    const behind = others.filter(({ ageMs, medianMs, p95Ms, endedForMs }) =>
        endedForMs === undefined ? ageMs > medianMs : ageMs - endedForMs > p95Ms
    );
    return others.length > 0 && behind.length >= mostShare * others.length;
}

/**
 * Decides whether a request that is behind is sent to a second endpoint. The caller must also find a place and acquire a
 * hedge from the share of the service and a retry from the retry budget.
 *
 * @example
 * decideHedge({ ...state, waiting: 3 }); // HedgeDecision.WorkWaits
 */
export function decideHedge(state: HedgeState): HedgeDecision {
    const refusals: readonly [boolean, HedgeDecision][] = [
        [!state.isRepeatable, HedgeDecision.NotRepeatable],
        [
            state.endpointsRun + 2 > state.maxEndpoints || state.dispatches >= maxDispatches,
            HedgeDecision.AttemptsUsed,
        ],
        [state.remainingMs < Math.max(minRemainingMs, state.medianMs), HedgeDecision.TooLate],
        [state.isSuspect, HedgeDecision.Suspect],
        [state.waiting > 0, HedgeDecision.WorkWaits],
        [state.slotsTaken > maxSlotShare * state.slots, HedgeDecision.SlotsTaken],
        [state.sinceLossMs < lossSettlingMs, HedgeDecision.EndpointsLost],
        [state.isMostlyBehind, HedgeDecision.AllBehind],
        [!state.hasShareLeft, HedgeDecision.ShareUsed],
        [state.retryBalance < 1, HedgeDecision.RetryBudgetUsed],
    ];
    return refusals.find(([isRefused]) => isRefused)?.[1] ?? HedgeDecision.Send;
}
