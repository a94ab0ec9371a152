import { isRefusalStatus } from "../../src/retries/finalStatus.js";
import { EndpointStandIn, ReceivedRequest, renderEvent } from "../platform/support/endpointStandIn.js";

/** Kinds of requests that the soak test's customers send. */
export enum SoakKind {
    Stream = "stream",
    Safe = "safe",
    Unsafe = "unsafe",
}

/** Result of one request as its customer saw it. */
export interface SoakOutcome {
    readonly id: string;
    readonly kind: SoakKind;
    readonly sentAtMs: number;
    readonly deadlineMs: number;
    readonly endedAtMs: number;
    /** Absent if the connection broke before the response headers. */
    readonly status?: number;
    /** Whether the answer bears the seal of an endpoint. */
    readonly isSealed?: boolean;
    readonly body?: string;
    /** Whether the body was received completely. */
    readonly isComplete: boolean;
    /** Whether the request was sent so long after the revocation of its API key that it has to be refused. */
    readonly isRevoked: boolean;
    /** Whether the prompt of the request has a part that crashes engines. */
    readonly isCrashing: boolean;
}

/** Number of events in each stream. */
export const eventsPerStream = 12;
/** Time by which an answer may exceed its deadline: a process may be paused for 1.2 s, and the machine is shared. */
const lateAnswerToleranceMs = 2_500;
const expectedStream = Array.from({ length: eventsPerStream }, (unused, id) => renderEvent(id)).join("");

/** Checks one outcome against the requests that the endpoints received; returns the violated invariants. */
export function checkOutcome(outcome: SoakOutcome, endpoints: readonly EndpointStandIn[]): string[] {
    const runs = endpoints.flatMap(endpoint =>
        endpoint.requests.filter(item => item.hasRun && item.headers["x-request-id"] === outcome.id)
    );
    const violations: string[] = [];
    const check = (holds: boolean, invariant: string) => {
        if (!holds) {
            violations.push(`${invariant}: request ${outcome.id} (${outcome.kind}), status ${outcome.status}`);
        }
    };
    const isRefusal = outcome.status !== undefined && isRefusalStatus(outcome.status);
    // An endpoint may give such a status to a request that may run again, after it ran.
    const isPassedOn = outcome.isSealed === true && outcome.kind !== SoakKind.Unsafe;
    check(!isRefusal || isPassedOn || runs.length === 0, "a request that was refused as not run did not run");
    check(outcome.kind !== SoakKind.Unsafe || runs.length <= 1, "an unsafe request runs once at most");
    check(runs.length <= 2, "a request runs on no more endpoints than its route allows");
    check(!outcome.isRevoked || runs.length === 0, "a request with a revoked key does not run");
    check(!outcome.isRevoked || outcome.status !== 200, "a revoked key is refused");
    check(
        outcome.endedAtMs - outcome.sentAtMs <= outcome.deadlineMs + lateAnswerToleranceMs,
        "every request ends within its deadline",
    );
    if (outcome.status === 200 && outcome.isComplete) {
        check(runs.length > 0, "an answer comes from an endpoint that ran the request");
        check(isOwnAnswer(outcome, runs), "a complete answer belongs to the request and has no gap or repetition");
    }
    return violations;
}

function isOwnAnswer(
    outcome: SoakOutcome,
    runs: readonly ReceivedRequest[],
): boolean {
    return outcome.kind === SoakKind.Stream
        ? outcome.body === expectedStream
        : runs.some(run => outcome.body === `done by ${run.endpointId}`);
}
