import { isRefusalStatus } from "../../src/retries/finalStatus.js";
import { EndpointStandIn, ReceivedRequest, renderEvent } from "../platform/support/endpointStandIn.js";
import { RequestEnd } from "./customerConnection.js";

/** Kinds of requests that the customers of a stop soak send. */
export enum StopRequestKind {
    Resumable = "resumable",
    Once = "once",
    Safe = "safe",
    Unsafe = "unsafe",
}

/** One request as its customer saw it. */
export interface StopOutcome extends RequestEnd {
    readonly id: string;
    readonly kind: StopRequestKind;
    readonly gateway: string;
    readonly deadlineMs: number;
    /** Events of the complete stream; 0 for a plain request. */
    readonly events: number;
}

/** A planned stop of a gateway. Times are in milliseconds since the process started. */
export interface PlannedStop {
    readonly gateway: string;
    /** When SIGTERM was sent. */
    readonly atMs: number;
    readonly graceMs: number;
    /** When the process was gone; absent while it runs. */
    endedAtMs?: number;
}

/** A fault that nobody planned, such as connections to an engine that are reset. */
export interface UnplannedFault {
    readonly name: string;
    readonly atMs: number;
}

/** What an answer that broke off is put down to. */
export enum BreakCause {
    /** The promise of planned stops is broken. */
    Violation = "violation",
    Deadline = "deadline",
    /** The stream was sent in time for the load balancer to notice the stop, and ran until the end of the grace. */
    EndOfGrace = "end-of-grace",
    /** The request crossed the close of its connection: no byte was answered and no endpoint received it. */
    CrossedClose = "crossed-close",
    UnplannedFault = "unplanned-fault",
}

/** Time after SIGTERM in which customers may still choose the gateway, in milliseconds. */
const noticeMs = 3_000;
/** Last part of the grace in which a request that was sent within `noticeMs` may be broken off. */
const lastGraceShare = 1 / 6;
/** Time after its last byte was sent in which a request may cross the close of its connection, in milliseconds. */
const crossingMs = 200;
/** Time for which a fault affects requests that are sent after it, in milliseconds. */
const faultEffectMs = 3_000;

/** Returns the stop of the process that a request was sent to, if it stopped before the request ended. */
export function findStop(outcome: StopOutcome, stops: readonly PlannedStop[]): PlannedStop | undefined {
    return stops.find(stop =>
        stop.gateway === outcome.gateway && stop.atMs <= outcome.endedAtMs
        && outcome.sentAtMs <= (stop.endedAtMs ?? Number.POSITIVE_INFINITY)
    );
}

/** Decides what an answer that broke off is put down to. */
export function decideBreakCause(
    outcome: StopOutcome,
    runs: readonly ReceivedRequest[],
    stop: PlannedStop | undefined,
    faults: readonly UnplannedFault[],
): BreakCause {
    const { sentAtMs, endedAtMs } = outcome;
    if (endedAtMs >= sentAtMs + outcome.deadlineMs) {
        return BreakCause.Deadline;
    }
    if (!outcome.hasBegun && runs.length === 0 && endedAtMs - sentAtMs <= crossingMs) {
        return BreakCause.CrossedClose;
    }
    const isEndOfGrace = stop !== undefined && sentAtMs <= stop.atMs + noticeMs
        && endedAtMs >= stop.atMs + stop.graceMs * (1 - lastGraceShare);
    if (isEndOfGrace && outcome.events > 0 && runs.length > 0) {
        return BreakCause.EndOfGrace;
    }
    return faults.some(fault => fault.atMs >= sentAtMs - faultEffectMs && fault.atMs <= endedAtMs)
        ? BreakCause.UnplannedFault
        : BreakCause.Violation;
}

/** What the outcomes of a run add up to. */
export interface StopSummary {
    readonly answered: number;
    readonly refused: number;
    readonly refusedWithoutRetryAfter: number;
    /** Latency of refusals, in milliseconds. */
    readonly refusalP50Ms: number;
    readonly refusalMaxMs: number;
    /** Complete answers with another status, by status and id. */
    readonly failed: readonly string[];
    /** Answers that broke off, by cause and id. */
    readonly brokenOff: readonly string[];
    readonly violations: readonly string[];
}

/** Checks every outcome against the promise and against what the endpoints received. */
export function summarizeStops(
    outcomes: readonly StopOutcome[],
    endpoints: readonly EndpointStandIn[],
    stops: readonly PlannedStop[],
    faults: readonly UnplannedFault[],
): StopSummary {
    const runsById = new Map<string, ReceivedRequest[]>();
    endpoints.flatMap(endpoint => endpoint.requests).filter(item => item.hasRun).forEach(item => {
        const id = String(item.headers["x-request-id"]);
        runsById.set(id, [...runsById.get(id) ?? [], item]);
    });
    const failed: string[] = [];
    const brokenOff: string[] = [];
    const violations: string[] = [];
    const refusals: StopOutcome[] = [];
    let answered = 0;
    for (const outcome of outcomes) {
        const { answer, id } = outcome;
        const runs = runsById.get(id) ?? [];
        const stop = findStop(outcome, stops);
        const check = (holds: boolean, invariant: string) => {
            if (!holds) {
                violations.push(`${invariant}: ${describeOutcome(outcome, runs, stop)}`);
            }
        };
        const mayRepeat = outcome.kind === StopRequestKind.Resumable || outcome.kind === StopRequestKind.Safe;
        check(mayRepeat || runs.length <= 1, "a request that may not be repeated runs once at most");
        if (!answer) {
            const cause = decideBreakCause(outcome, runs, stop, faults);
            brokenOff.push(`${cause}: ${describeOutcome(outcome, runs, stop)}`);
            check(cause !== BreakCause.Violation, "a request that was read is answered completely or refused");
        }
        else if (isRefusalStatus(answer.status)) {
            refusals.push(outcome);
            check(runs.length === 0, "a request that was refused as not run did not run");
        }
        else if (answer.status === 200) {
            answered += 1;
            check(isOwnAnswer(outcome, runs), "a complete answer belongs to the request and has no gap or repetition");
        }
        else {
            failed.push(`${answer.status}: ${describeOutcome(outcome, runs, stop)}`);
        }
    }
    const latenciesMs = refusals.map(item => item.endedAtMs - item.sentAtMs).sort((left, right) => left - right);
    return {
        answered,
        refused: refusals.length,
        refusedWithoutRetryAfter: refusals.filter(item => !item.answer!.headers.has("retry-after")).length,
        refusalP50Ms: latenciesMs[Math.floor(latenciesMs.length / 2)] ?? 0,
        refusalMaxMs: latenciesMs.at(-1) ?? 0,
        failed,
        brokenOff,
        violations,
    };
}

function isOwnAnswer({ answer, events }: StopOutcome, runs: readonly ReceivedRequest[]): boolean {
    return events > 0
        ? answer!.body === Array.from({ length: events }, (unused, id) => renderEvent(id)).join("")
        : runs.some(run => answer!.body === `done by ${run.endpointId}`);
}

function describeOutcome(
    outcome: StopOutcome,
    runs: readonly ReceivedRequest[],
    stop: PlannedStop | undefined,
): string {
    const sinceStop = (atMs: number) => stop === undefined ? "" : ` (${Math.round(atMs - stop.atMs)} after SIGTERM)`;
    return `${outcome.id} (${outcome.kind}, ${outcome.events} events) at ${outcome.gateway}, `
        + `sent at ${Math.round(outcome.sentAtMs)} ms${sinceStop(outcome.sentAtMs)}, `
        + `ended at ${Math.round(outcome.endedAtMs)} ms${sinceStop(outcome.endedAtMs)}, `
        + `${runs.length} endpoints received it, answer ${outcome.hasBegun ? "begun" : "not begun"}`;
}
