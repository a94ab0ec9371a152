import { Verdict } from "./verdict.js";

/**
 * Error codes that a customer can receive. The value is sent in the `code` field of the JSON error.
 */
export enum ErrorCode {
    BadRequest = "bad_request",
    Unauthorized = "unauthorized",
    Forbidden = "forbidden",
    UnknownModel = "unknown_model",
    UnknownService = "unknown_service",
    UnknownRank = "unknown_rank",
    NotFound = "not_found",
    BodyTooLarge = "body_too_large",
    PromptTooLarge = "prompt_too_large",
    Overloaded = "overloaded",
    NoEndpoint = "no_endpoint",
    TimedOut = "timed_out",
    Cancelled = "cancelled",
    EndpointFailed = "endpoint_failed",
    Quarantined = "quarantined",
    Leaving = "leaving",
    KeyExpired = "key_expired",
    KeyReused = "key_reused",
    KeyInvalid = "key_invalid",
    InProgress = "in_progress",
    OutcomeUnknown = "outcome_unknown",
    LogUnavailable = "log_unavailable",
    RetryBudgetExhausted = "retry_budget_exhausted",
    StaleIncarnation = "stale_incarnation",
    ProtocolViolation = "protocol_violation",
    Internal = "internal",
}

/**
 * Describes why a request failed and whether it may have run.
 */
export interface RequestError {
    readonly code: ErrorCode;
    readonly message: string;
    readonly verdict: Verdict;
    /** Delay after which a retry is likely to be admitted, in milliseconds. */
    readonly retryAfterMs?: number;
    /** Largest prompt that would fit, in tokens; set with `PromptTooLarge`. */
    readonly largestPromptTokens?: number;
    /** Signed ticket that preserves the request's queue position for a retry; set with `Overloaded`. */
    readonly ticket?: string;
}

const httpStatusByCode: Readonly<Record<ErrorCode, number>> = {
    [ErrorCode.BadRequest]: 400,
    [ErrorCode.Unauthorized]: 401,
    [ErrorCode.Forbidden]: 403,
    [ErrorCode.UnknownModel]: 404,
    [ErrorCode.UnknownService]: 404,
    [ErrorCode.UnknownRank]: 400,
    [ErrorCode.NotFound]: 404,
    [ErrorCode.BodyTooLarge]: 413,
    [ErrorCode.PromptTooLarge]: 413,
    [ErrorCode.Overloaded]: 429,
    [ErrorCode.NoEndpoint]: 503,
    [ErrorCode.TimedOut]: 504,
    [ErrorCode.Cancelled]: 499,
    [ErrorCode.EndpointFailed]: 502,
    [ErrorCode.Quarantined]: 422,
    [ErrorCode.Leaving]: 503,
    [ErrorCode.KeyExpired]: 409,
    [ErrorCode.KeyReused]: 422,
    [ErrorCode.KeyInvalid]: 400,
    [ErrorCode.InProgress]: 409,
    [ErrorCode.OutcomeUnknown]: 409,
    [ErrorCode.LogUnavailable]: 503,
    [ErrorCode.RetryBudgetExhausted]: 503,
    [ErrorCode.StaleIncarnation]: 503,
    [ErrorCode.ProtocolViolation]: 502,
    [ErrorCode.Internal]: 500,
};

/**
 * Returns the HTTP status code with which an error is sent to a customer.
 *
 * @example
 * getHttpStatus(ErrorCode.Overloaded); // 429
 */
export function getHttpStatus(code: ErrorCode): number {
    return httpStatusByCode[code];
}

/**
 * Builds a request error from its required fields and optional details.
 *
 * @example
 * buildRequestError(ErrorCode.UnknownModel, "model \"m\" is not configured", Verdict.NotRun);
 */
export function buildRequestError(
    code: ErrorCode,
    message: string,
    verdict: Verdict,
    details: Pick<RequestError, "retryAfterMs" | "largestPromptTokens" | "ticket"> = {},
): RequestError {
    return { code, message, verdict, ...details };
}
