/** A planned stop of this process. Times are on the monotonic clock, in milliseconds. */
export interface Drain {
    /** When the signal has arrived, or the earliest time at which it may have. */
    readonly startedAtMs: number;
    /**
     * From when on a request is late: its customer could know of the stop, and is owed a whole answer or none. The answer
     * to an earlier request may be cut off at the end.
     */
    readonly lateFromMs: number;
    /**
     * When idle connections are closed. Until then customers come on connections that were open before the stop, and on
     * new ones from a load balancer that has not noticed it.
     */
    readonly closesIdleAtMs: number;
    /** When requests that are still running are cut off. */
    readonly endsAtMs: number;
}

/** What a request is about to do when it is decided whether it may go on. */
export enum DrainStep {
    /** It has been received completely. */
    Arrival = "arrival",
    /** No endpoint has capacity for it. */
    Wait = "wait",
    /** It is sent to the endpoint that was chosen for it. */
    Dispatch = "dispatch",
    /** An attempt has failed and another one would follow. */
    Retry = "retry",
    /** A second attempt would be sent while the first one is running. */
    Hedge = "hedge",
}

/** Predicted time from now to the end of an answer, in milliseconds. */
export interface PredictedDuration {
    /** With the length of the answer that its customer estimates. */
    readonly usualMs: number;
    /** With the longest answer that its customer allows. */
    readonly longestMs: number;
    /** Time after which the request ends in any case: its deadline or the time-out of its route. */
    readonly boundMs: number;
    /** Time for which the customer is expected to wait for the first byte, in milliseconds. */
    readonly customerTimeoutMs: number;
    /** Whether the prediction rests on answers that were seen lately, and not on the profile of the endpoints alone. */
    readonly isMeasured: boolean;
    /** Whether the customer has received a part of the answer, which breaks off if the request does not go on. */
    readonly hasBegun: boolean;
    /** When the request arrived, on the monotonic clock. */
    readonly arrivedAtMs: number;
}

/** Decision on one step of a request. Durations are in milliseconds. */
export interface DrainDecision {
    readonly isAllowed: boolean;
    /** Time that the request needs to its end. */
    readonly neededMs: number;
    /** Time within which the request has to end: until requests are cut off, or until its customer is expected to leave. */
    readonly remainingMs: number;
    /** Whether the answer is held until it is whole. */
    readonly isHeld: boolean;
}

/**
 * Time within which the load balancer stops sending customers to a process that reports itself unready, in
 * milliseconds: two failed checks, one a second, and the time that the checks take.
 */
const loadBalancerNoticeMs = 2_200;
/** Time from the end of the drain until the next run of the process takes requests, in milliseconds. */
export const restartMs = 1_500;
/** Factor on the usual duration of a request, which queues and other work on the endpoint lengthen. */
const durationFactor = 1.5;
/** The same where the pace was measured, so that the length of the answer is the main uncertainty. */
const measuredDurationFactor = 1.25;
/** Factor on the duration of the longest answer, since work that the endpoint gets later makes it slower. */
const longestDurationFactor = 1.15;
/** Part of a request's duration that does not grow with it, in milliseconds: transfers and the wait for a pass. */
const durationMarginMs = 300;

/**
 * Returns whether the answer to a request must be held until it is whole: the request is late, and nothing but a
 * prediction says that its answer ends before the process does.
 *
 * @param deadlineAtMs when the request ends in any case, on the monotonic clock
 *
 * @example
 * const drain = { startedAtMs: 0, lateFromMs: 2_800, closesIdleAtMs: 3_000, endsAtMs: 7_600 };
 * isAnswerHeld(drain, 3_100, 15_000); // true
 */
export function isAnswerHeld(drain: Drain, arrivedAtMs: number, deadlineAtMs: number): boolean {
    return arrivedAtMs >= drain.lateFromMs && deadlineAtMs > drain.endsAtMs;
}

/**
 * Decides whether a request of a process that is stopping may take its next step. It may if it is predicted to end
 * before the process does, or if its own time limit ends before. An answer that has begun needs no reserve. One that is
 * held must also end before its customer, who gets nothing until then, is expected to leave.
 *
 * Load pattern: all processes of a data centre stop at about the same time, so that the load balancer has no other
 * process to choose. Requests that can end before the process does are served; the others are refused before they run,
 * because they would be cut off. A request that arrives once idle connections are closed must be able to end even with
 * its longest answer.
 *
 * @example
 * const drain = { startedAtMs: 0, lateFromMs: 2_800, closesIdleAtMs: 3_000, endsAtMs: 7_600 };
 * const predicted = { usualMs: 9_000, longestMs: 12_000, boundMs: 15_000, customerTimeoutMs: 8_000, isMeasured: false, ...state };
 * decideDrainStep(drain, predicted, 1_000).isAllowed; // false
 */
export function decideDrainStep(drain: Drain, predicted: PredictedDuration, nowMs: number): DrainDecision {
    const usualMs = predicted.usualMs * (predicted.isMeasured ? measuredDurationFactor : durationFactor);
    const longestMs = predicted.longestMs * longestDurationFactor;
    const countedMs = predicted.arrivedAtMs < drain.lateFromMs
        ? Math.min(usualMs, predicted.longestMs)
        : Math.max(predicted.isMeasured ? 0 : usualMs, longestMs);
    const neededMs = predicted.hasBegun
        ? Math.min(predicted.usualMs, predicted.boundMs)
        : Math.min(countedMs + durationMarginMs, predicted.boundMs);
    const untilEndMs = drain.endsAtMs - nowMs;
    const isHeld = !predicted.hasBegun && isAnswerHeld(drain, predicted.arrivedAtMs, nowMs + predicted.boundMs);
    const remainingMs = isHeld ? Math.min(untilEndMs, predicted.customerTimeoutMs) : untilEndMs;
    return { isAllowed: neededMs <= remainingMs, neededMs, remainingMs, isHeld };
}

/**
 * Computes the time after which a customer that was refused should come back, in milliseconds: when the load balancer
 * has noticed the stop and another process takes requests.
 *
 * @param processReturnMs time until a process that does not stop is expected to take requests, in milliseconds
 *
 * @example
 * computeDrainReturnMs({ startedAtMs: 0, lateFromMs: 2_800, closesIdleAtMs: 3_000, endsAtMs: 7_600 }, 0, 1_000); // 1_200
 */
export function computeDrainReturnMs(drain: Drain, processReturnMs: number, nowMs: number): number {
    return Math.max(0, drain.startedAtMs + loadBalancerNoticeMs - nowMs, processReturnMs);
}
