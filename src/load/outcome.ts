import { Arrival } from "./arrivals.js";

/** How a request of a load run ended for its customer. */
export enum OutcomeKind {
    /** The complete answer arrived and every byte was verified. */
    Completed = "completed",
    /** Refused before it ran, with the verdict "not run". No status is such a statement by itself. */
    Refused = "refused",
    /** An error answer, a connection that broke before the answer began, or a stream that ended with an error event. */
    Failed = "failed",
    /** The connection closed in the middle of an answer, or a stream ended without its final event. */
    BrokenOff = "broken-off",
    /** The answer was not the one that belongs to the request. */
    Wrong = "wrong",
    /** Neither an answer nor an error within the time limit and its grace period. */
    Hung = "hung",
    /** The load tool did not send it, because too many requests were in flight. */
    NotSent = "not-sent",
    /** Still in progress when the run ended, without counting as hung. */
    Unanswered = "unanswered",
}

/** Outcome of one request. Times are in milliseconds. */
export interface Outcome {
    readonly arrival: Arrival;
    readonly kind: OutcomeKind;
    readonly rank: string;
    /** Time limit that the request carried. */
    readonly limitMs: number;
    /** Delay of the load tool itself, from the planned to the actual time of sending. */
    readonly lagMs: number;
    /** From the planned time of arrival to the first token; streamed answers only. */
    readonly firstTokenMs: number | undefined;
    /** From the planned time of arrival to the end. */
    readonly totalMs: number;
    /** Times between two events of a stream. */
    readonly gapsMs: readonly number[];
    readonly status: number;
    /** Error code of the answer. */
    readonly code: string | undefined;
    readonly verdict: string | undefined;
    readonly retryAfterSeconds: number | undefined;
    /** Whether the refusal came with a ticket that preserves the request's queue position. */
    readonly hasTicket: boolean;
    /** Number of times that the request was sent again after a refusal. */
    readonly repeats: number;
    readonly message: string | undefined;
}

/** Prompt lengths that are reported together. */
export enum LengthClass {
    UpTo1K = "<=1k",
    UpTo4K = "<=4k",
    UpTo32K = "<=32k",
    UpTo128K = "<=128k",
    UpTo1M = "<=1M",
    Service = "service",
}

const lengthLimits: readonly (readonly [number, LengthClass])[] = [
    [1_024, LengthClass.UpTo1K],
    [4_096, LengthClass.UpTo4K],
    [32_768, LengthClass.UpTo32K],
    [131_072, LengthClass.UpTo128K],
];

/**
 * Returns the class of a prompt length in tokens.
 *
 * @example
 * getLengthClass(3_000); // LengthClass.UpTo4K
 */
export function getLengthClass(promptTokens: number): LengthClass {
    return lengthLimits.find(([limit]) => promptTokens <= limit)?.[1] ?? LengthClass.UpTo1M;
}
