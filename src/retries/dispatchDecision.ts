import { Verdict } from "../base/verdict.js";
import { RouteKind } from "../ports/servingConfiguration.js";

/** What is known of a request when a dispatch has failed. */
export interface FailedDispatch {
    readonly kind: RouteKind;
    readonly isResumable: boolean;
    /** Verdict of the dispatch that failed. */
    readonly verdict: Verdict;
    /** Endpoints on which the request may have run, with this one. */
    readonly endpointsRun: number;
    readonly maxEndpoints: number;
    readonly dispatches: number;
    readonly remainingMs: number;
    readonly hasCustomerLeft: boolean;
}

/** Bound of dispatches of one request, against loops between endpoints that each refuse. */
export const maxDispatches = 6;
/** Time below which another dispatch has no chance of an answer, in milliseconds. */
const minRemainingMs = 60;

/**
 * Tells whether another dispatch is allowed after a failed one. The retry budget has the last word.
 *
 * @example
 * isRedispatchAllowed({ ...failure, verdict: Verdict.NotRun }); // true while there is time
 */
export function isRedispatchAllowed(failure: FailedDispatch): boolean {
    if (
        failure.hasCustomerLeft
        || failure.dispatches >= maxDispatches
        || failure.remainingMs < minRemainingMs
    ) {
        return false;
    }
    if (failure.verdict === Verdict.NotRun) {
        return true;
    }
    return isIdempotent(failure.kind, failure.isResumable) && failure.endpointsRun < failure.maxEndpoints;
}

/** Tells whether a request may run more than once. */
export function isIdempotent(kind: RouteKind, isResumable: boolean): boolean {
    return kind === RouteKind.Safe || (kind === RouteKind.Stream && isResumable);
}
