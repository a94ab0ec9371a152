import { ErrorCode } from "../base/requestError.js";
import { Verdict } from "../base/verdict.js";

/** State of a request after a failed attempt. */
export interface FailedAttempt {
    readonly code: ErrorCode;
    /** Whether the failed attempt may have executed the request. */
    readonly verdict: Verdict;
    /** Whether the request may be executed more than once. */
    readonly repeatable: boolean;
    /** Whether the customer has already received part of the response. */
    readonly delivered: boolean;
    readonly remainingMs: number;
    readonly attempts: number;
}

/** Action after a failed attempt. */
export enum RetryDecision {
    GiveUp = "give-up",
    /**
     * Try another endpoint without using the retry budget, because the endpoint rejected the request without any work.
     */
    Reroute = "reroute",
    /** Try again if the retry budget allows it. */
    Retry = "retry",
}

/** Maximum attempts of one request. Prevents loops between endpoints that all refuse it. */
export const maxAttempts = 4;

/** Errors that every other endpoint would return as well. */
const finalCodes = new Set([
    ErrorCode.PromptTooLarge,
    ErrorCode.Quarantined,
    ErrorCode.TimedOut,
    ErrorCode.Cancelled,
    ErrorCode.KeyExpired,
    ErrorCode.KeyReused,
    ErrorCode.KeyInvalid,
    ErrorCode.InProgress,
    ErrorCode.OutcomeUnknown,
    ErrorCode.LogUnavailable,
]);

/** Errors of an endpoint that does not accept new work. Returning them costs the endpoint no work. */
const rerouteCodes = new Set([ErrorCode.Leaving, ErrorCode.StaleIncarnation, ErrorCode.NoEndpoint]);

/**
 * Decides whether to attempt a request again after a failed attempt.
 *
 * @example
 * decideRetry({ code: ErrorCode.EndpointFailed, verdict: Verdict.MayHaveRun, repeatable: true, delivered: false,
 *     remainingMs: 5000, attempts: 1 }); // RetryDecision.Retry
 */
export function decideRetry(attempt: FailedAttempt): RetryDecision {
    const isSafe = attempt.verdict === Verdict.NotRun || attempt.repeatable;
    if (
        !isSafe
        || attempt.verdict === Verdict.Ran
        || attempt.delivered
        || attempt.remainingMs <= 0
        || attempt.attempts >= maxAttempts
        || finalCodes.has(attempt.code)
    ) {
        return RetryDecision.GiveUp;
    }
    return rerouteCodes.has(attempt.code) ? RetryDecision.Reroute : RetryDecision.Retry;
}
