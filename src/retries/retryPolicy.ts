import { ErrorCode } from "../base/requestError.js";
import { Verdict } from "../base/verdict.js";

/** What is known when an attempt has failed. */
export interface FailedAttempt {
    readonly code: ErrorCode;
    /** Verdict of this attempt. */
    readonly verdict: Verdict;
    /** Whether the request may run more than once. */
    readonly repeatable: boolean;
    /** Whether the customer has received a part of the answer. */
    readonly delivered: boolean;
    readonly remainingMs: number;
    readonly attempts: number;
}

/** What to do after a failed attempt. */
export enum RetryDecision {
    GiveUp = "give-up",
    /** Another attempt that the retry budget does not limit: the endpoint did no work and said so. */
    Reroute = "reroute",
    /** Another attempt that the retry budget must allow. */
    Retry = "retry",
}

/** Bound of attempts of one request, against loops between endpoints that each refuse. */
export const maxAttempts = 4;

/** Codes that another endpoint would answer in the same way. */
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

/** Codes of an endpoint that is out of service for new work, which costs it nothing to say. */
const rerouteCodes = new Set([ErrorCode.Leaving, ErrorCode.StaleIncarnation, ErrorCode.NoEndpoint]);

/**
 * Decides whether a failed attempt is followed by another.
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
