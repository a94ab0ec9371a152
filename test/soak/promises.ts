import { EndpointStandIn, ReceivedRequest, renderEvent } from "../platform/support/endpointStandIn.js";

/** Kinds of request that customers of the soak send. */
export enum SoakKind {
    Stream = "stream",
    Safe = "safe",
    Unsafe = "unsafe",
}

/** What a customer saw of one request. */
export interface SoakOutcome {
    readonly id: string;
    readonly kind: SoakKind;
    readonly sentAtMs: number;
    readonly deadlineMs: number;
    readonly endedAtMs: number;
    /** Absent where the connection broke before the head. */
    readonly status?: number;
    readonly body?: string;
    /** Whether the body ended as whole. */
    readonly isWhole: boolean;
    /** Whether its key was taken away long enough before it was sent. */
    readonly isRevoked: boolean;
}

/** Events of every stream of the soak. */
export const soakEvents = 12;
/** Time by which an answer may exceed its limit: a process may be paused for up to 1.2 s, and the machine is shared. */
const lateAnswerMs = 2_500;
const wholeStream = Array.from({ length: soakEvents }, (unused, id) => renderEvent(id)).join("");

/** Checks one outcome against what the endpoints saw; returns the promises that it breaks. */
export function checkOutcome(outcome: SoakOutcome, endpoints: readonly EndpointStandIn[]): string[] {
    const runs = endpoints.flatMap(endpoint =>
        endpoint.requests.filter(item => item.hasRun && item.headers["x-request-id"] === outcome.id)
            .map(item => ({ endpoint, item }))
    );
    const broken: string[] = [];
    const check = (holds: boolean, promise: string) => {
        if (!holds) {
            broken.push(`${promise}: request ${outcome.id} (${outcome.kind}), status ${outcome.status}`);
        }
    };
    const isNotRunStatus = outcome.status === 503 || outcome.status === 429;
    check(!isNotRunStatus || runs.length === 0, "a request that was refused as not run did not run");
    check(outcome.kind !== SoakKind.Unsafe || runs.length <= 1, "an unsafe request runs once at most");
    check(runs.length <= 2, "a request runs on no more endpoints than its route allows");
    check(!outcome.isRevoked || runs.length === 0, "a request with a key that was taken away does not run");
    check(!outcome.isRevoked || outcome.status !== 200, "a key that was taken away is refused");
    check(outcome.endedAtMs - outcome.sentAtMs <= outcome.deadlineMs + lateAnswerMs, "every request ends in its time");
    if (outcome.status === 200 && outcome.isWhole) {
        check(runs.length > 0, "an answer comes from an endpoint that ran the request");
        check(isOwnAnswer(outcome, runs), "a whole answer is the request's own, without gap or repetition");
    }
    return broken;
}

function isOwnAnswer(
    outcome: SoakOutcome,
    runs: readonly { readonly endpoint: EndpointStandIn; readonly item: ReceivedRequest }[],
): boolean {
    return outcome.kind === SoakKind.Stream
        ? outcome.body === wholeStream
        : runs.some(({ endpoint }) => outcome.body === `done by ${endpoint.id}`);
}
