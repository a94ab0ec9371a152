import { Verdict } from "../base/verdict.js";

/**
 * Statuses that promise that the request has not run and never will, so that its customer may send it again. HTTP leaves
 * this open for 429 and 503; the interface towards customers promises it of all four.
 */
const refusalStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** What is known of a request when its final answer is sent. */
export interface FinalAnswer {
    /** Status of the endpoint's answer; absent if the gateway itself answers. */
    readonly endpointStatus?: number;
    /** Verdict over all attempts. */
    readonly verdict: Verdict;
    /** Whether the request may run more than once. */
    readonly isRepeatable: boolean;
    readonly isDeadlineOver: boolean;
}

/**
 * Returns whether a status promises that the request has not run.
 *
 * @example
 * isRefusalStatus(429); // true
 */
export function isRefusalStatus(status: number): boolean {
    return refusalStatuses.has(status);
}

/**
 * Decides the HTTP status of the final answer to a request. The status of an endpoint is kept, unless it would promise the
 * customer of a request that may run once only that it has not run, and an attempt may have run it.
 *
 * @example
 * decideFinalStatus({ endpointStatus: 503, verdict: Verdict.MayHaveRun, isRepeatable: false, isDeadlineOver: false }); // 502
 */
export function decideFinalStatus({ endpointStatus, verdict, isRepeatable, isDeadlineOver }: FinalAnswer): number {
    if (endpointStatus !== undefined) {
        const isFalsePromise = isRefusalStatus(endpointStatus) && verdict !== Verdict.NotRun && !isRepeatable;
        return isFalsePromise ? 502 : endpointStatus;
    }
    return verdict === Verdict.NotRun ? 503 : isDeadlineOver ? 504 : 502;
}
