import { LogEvent } from "../base/logEvents.js";
import { Verdict } from "../base/verdict.js";
import { AcceptedRequest } from "./acceptedRequest.js";
import { RequestServices } from "./requestServices.js";

/** How a request ended, for the counter. */
export enum EndKind {
    Answered = "answered",
    CustomerLeft = "customer-left",
    Deadline = "deadline",
    /** It was refused, because no endpoint could serve it in its time. */
    NoRoom = "no-room",
    /** Every attempt that is allowed has failed. */
    Failed = "failed",
}

/** What is known of a request at its end. */
export interface RequestEnd {
    readonly kind: EndKind;
    /** Cause in words, where the kind does not say it. */
    readonly reason?: string;
    readonly status?: number;
    /** Last endpoint that had the request. */
    readonly endpoint?: string;
    readonly verdict?: Verdict;
    readonly attempts: number;
    /** Inputs of a refusal. */
    readonly inputs?: string;
    readonly events: number;
    /** Time of the first event on the steady clock. */
    readonly firstEventAtMs?: number;
    readonly longestPauseMs: number;
    /** Predicted time to read the prompt on one engine, in milliseconds. */
    readonly readMs?: number;
}

/**
 * Logs the end of a request and counts it.
 *
 * @example
 * recordRequestEnd(request, { kind: EndKind.Answered, status: 200, attempts: 1, events: 0, longestPauseMs: 0 }, services);
 */
export function recordRequestEnd(request: AcceptedRequest, end: RequestEnd, services: RequestServices): void {
    const { log, metrics, timers } = services;
    const tookMs = timers.now() - request.arrivedAtMs;
    log(LogEvent.RequestEnded, {
        request: request.id,
        route: request.route.name,
        config: request.configurationVersion,
        result: end.kind,
        reason: end.reason,
        status: end.status,
        endpoint: end.endpoint,
        verdict: end.verdict,
        attempts: end.attempts,
        inputs: end.inputs,
        events: end.events,
        firstEventMs: end.firstEventAtMs && Math.round(end.firstEventAtMs - request.arrivedAtMs),
        longestPauseMs: Math.round(end.longestPauseMs),
        readMs: end.readMs && Math.round(end.readMs),
        tookMs: Math.round(tookMs),
    });
    const result = end.kind === EndKind.Answered ? `${end.kind}-${end.status}` : end.kind;
    const labels = { kind: request.route.kind };
    metrics.count("jujubelane_requests_total", "Requests by result.", { result });
    metrics.recordDuration("jujubelane_request_seconds", "Duration of requests by kind.", tookMs, labels);
}
