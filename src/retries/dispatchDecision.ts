import { Verdict } from "../base/verdict.js";
import { RouteKind } from "../ports/servingConfiguration.js";

/** State of a request after a failed dispatch. */
export interface FailedDispatch {
    readonly kind: RouteKind;
    readonly isResumable: boolean;
    /** Whether the failed dispatch may have executed the request. */
    readonly verdict: Verdict;
    /** Number of endpoints on which the request may have run, including the endpoint of the failed dispatch. */
    readonly endpointsRun: number;
    readonly maxEndpoints: number;
    readonly dispatches: number;
    readonly remainingMs: number;
    readonly hasCustomerLeft: boolean;
}

/** Maximum dispatches of one request. Prevents loops between endpoints that all refuse it. */
export const maxDispatches = 6;
/** With less time left than this, in milliseconds, another dispatch cannot be answered before the deadline. */
const minRemainingMs = 60;

/**
 * Returns whether a request may be dispatched again after a failed dispatch. The caller must also acquire a retry from
 * the retry budget.
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

/** Returns whether a request may run more than once. */
export function isIdempotent(kind: RouteKind, isResumable: boolean): boolean {
    return kind === RouteKind.Safe || (kind === RouteKind.Stream && isResumable);
}
