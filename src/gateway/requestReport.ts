import { LogFields } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { Verdict } from "../base/verdict.js";
import { HedgeDecision } from "../retries/hedgePolicy.js";
import { AcceptedRequest, computeTimes } from "./acceptedRequest.js";
import { CustomerEvent } from "./customerMetrics.js";
import { ClaimReport, Place, PlacementRefusal } from "./place.js";
import { HedgeResult } from "./requestHedge.js";
import { RequestServices } from "./requestServices.js";

/** How a request ended, as the log and the request counter report it. */
export enum EndKind {
    Answered = "answered",
    /**
     * Answered by its endpoint with a status that would promise that it has not run, although it may have. The customer got
     * an error of the gateway instead.
     */
    Replaced = "replaced",
    CustomerLeft = "customer-left",
    Deadline = "deadline",
    /** Refused, because no endpoint had the capacity to serve the request in time. */
    NoCapacity = "no-room",
    /** All attempts that the rules and the retry budget allow have failed. */
    Failed = "failed",
    /** Refused or aborted, because requests like it crash endpoints. */
    Quarantined = "quarantined",
    /** Refused or ended because the process stops. */
    Stopped = "stopped",
    /** Ended because the customer read so slowly that the answer needed too much memory. */
    SlowReader = "slow-reader",
}

/** Describes a request at its end. */
export interface RequestEnd {
    readonly kind: EndKind;
    /** Cause of the end, where the kind does not tell it. */
    readonly reason?: string;
    /** Status that the customer got. */
    readonly status?: number;
    /** Status of the answer of the endpoint that the request was assigned to, if it is another one. */
    readonly endpointStatus?: number;
    /** Id of the endpoint that the request was assigned to when it ended. */
    readonly endpoint?: string;
    readonly verdict?: Verdict;
    readonly attempts: number;
    /** Decision to refuse the request a place. */
    readonly refusal?: PlacementRefusal;
    readonly events: number;
    /** Time of the first event on the monotonic clock, unless it was held. */
    readonly firstEventAtMs?: number;
    readonly longestPauseMs: number;
    /** Whether the answer was held back until it was whole, because the process stops. */
    readonly wasHeld?: boolean;
    /** Predicted time to prefill the prompt on one engine, in milliseconds. */
    readonly readMs?: number;
    /** What became of the second attempt, if one was sent. */
    readonly hedge?: HedgeResult;
}

/** Writes the log lines and metrics of one request. */
export interface RequestReport {
    /** Records that no endpoint has capacity for the request. `attempt` counts dispatches from 1. */
    recordWaiting(inputs: string, attempt: number): void;
    recordClaim(claim: ClaimReport): void;
    recordDispatch(place: Place, attempt: number): void;
    recordFirstEvent(): void;
    /** Records that a dispatch has failed and the request is retried. */
    recordRetry(retry: RequestRetry): void;
    /** Records that a second attempt is sent. `firstEndpoint` has the request; times are in milliseconds. */
    recordHedge(place: Place, firstEndpoint: string, delayMs: number, afterMs: number): void;
    /** Records that a request was behind at an endpoint after `delayMs` and no second attempt is sent. */
    recordHedgeWithheld(reason: HedgeDecision, endpoint: string, delayMs: number): void;
    recordHedgeResult(result: HedgeResult): void;
    /** Records that other gateways have assigned the memory of an engine at the same time. */
    recordMemoryTaken(): void;
    recordTaskFailure(task: string, error: unknown): void;
    recordEnd(end: RequestEnd): void;
}

/** Describes a failed dispatch that is retried. */
export interface RequestRetry {
    readonly endpoint?: string;
    readonly reason: string;
    readonly verdict: Verdict;
    readonly sentAtMs: number;
    readonly attempt: number;
    /** Events of the answer that were received before the failure, in all attempts. */
    readonly events: number;
}

/**
 * Creates the report of a request.
 *
 * @example
 * const report = createRequestReport(request, services);
 * report.recordEnd({ kind: EndKind.Answered, status: 200, attempts: 1, events: 0, longestPauseMs: 0 });
 */
export function createRequestReport(request: AcceptedRequest, services: RequestServices): RequestReport {
    const { log, metrics, customerMetrics, timers } = services;
    const { route, customer = "" } = request;
    const { dueAtMs, deadlineAtMs } = computeTimes(request);
    let hasWaited = false;
    let dataCentre: string | undefined;
    customerMetrics.recordArrival(customer);

    function countEvent(event: CustomerEvent): void {
        customerMetrics.count(event, route.kind, customer, dataCentre);
    }

    /** Counts a request that was refused for lack of capacity or was late. */
    function countOverload({ kind, firstEventAtMs }: RequestEnd): void {
        const answeredAtMs = firstEventAtMs ?? timers.now();
        if (kind === EndKind.NoCapacity) {
            countEvent(CustomerEvent.Refused);
        }
        else if (kind === EndKind.Deadline || (kind === EndKind.Answered && answeredAtMs > dueAtMs)) {
            countEvent(CustomerEvent.Late);
        }
    }

    function write(event: LogEvent, fields: LogFields): void {
        log(event, { request: request.id, route: request.route.name, config: request.configurationVersion, ...fields });
    }

    return {
        recordWaiting(inputs, attempt) {
            write(LogEvent.RequestWaiting, { inputs, attempt });
            if (!hasWaited) {
                hasWaited = true;
                countEvent(CustomerEvent.Waiting);
            }
        },
        recordClaim({ engineIds, ...inputs }) {
            write(LogEvent.EnginesClaimed, { endpoints: engineIds.join(","), ...inputs });
            metrics.count("jujubelane_claims_total", "Times that engines were freed for a long prompt.");
        },
        recordDispatch(place, attempt) {
            ({ dataCentre } = place.endpoint);
            write(LogEvent.EndpointChosen, {
                endpoint: place.endpoint.id,
                address: place.endpoint.address,
                helpers: place.helpers.map(helper => helper.id).join(",") || undefined,
                parts: request.head.sharedPromptParts.join(",") || undefined,
                partMs: Math.round(place.partMs),
                waitedMs: Math.round(timers.now() - request.arrivedAtMs),
                predictedMs: Math.round(place.firstByteMs),
                attempt,
                inputs: place.reason,
            });
        },
        recordFirstEvent() {
            metrics.recordDuration(
                "jujubelane_first_event_seconds",
                "Time to the first event by rank.",
                timers.now() - request.arrivedAtMs,
                { rank: String(request.rank) },
            );
        },
        recordRetry({ sentAtMs, ...retry }) {
            write(LogEvent.RequestRetried, { ...retry, afterMs: Math.round(timers.now() - sentAtMs) });
            const labels = { verdict: retry.verdict };
            metrics.count("jujubelane_redispatches_total", "Further dispatches by verdict.", labels);
        },
        recordHedge(place, firstEndpoint, delayMs, afterMs) {
            write(LogEvent.HedgeSent, {
                endpoint: place.endpoint.id,
                firstEndpoint,
                delayMs: Math.round(delayMs),
                afterMs: Math.round(afterMs),
            });
            const labels = { service: request.service.name };
            metrics.count("jujubelane_hedges_total", "Second attempts sent by service.", labels);
        },
        recordHedgeWithheld(reason, endpoint, delayMs) {
            write(LogEvent.HedgeWithheld, { reason, endpoint, delayMs: Math.round(delayMs) });
            const help = "Requests that were behind and not sent to a second endpoint, by reason.";
            metrics.count("jujubelane_hedges_withheld_total", help, { reason });
        },
        recordHedgeResult(result) {
            metrics.count("jujubelane_hedge_results_total", "Second attempts by result.", { result });
        },
        recordMemoryTaken() {
            metrics.count(
                "jujubelane_memory_conflicts_total",
                "Times that a place was given up because other gateways had assigned the same memory.",
            );
        },
        recordTaskFailure: (task, error) => write(LogEvent.TaskFailed, { task, error: String(error) }),
        recordEnd(end) {
            countOverload(end);
            const tookMs = timers.now() - request.arrivedAtMs;
            const { kind: result, firstEventAtMs, refusal, ...fields } = end;
            const { inputs, startMs } = refusal ?? {};
            if (startMs !== undefined) {
                write(LogEvent.StartTooLate, { inputs, startMs: Math.round(startMs) });
                metrics.count("jujubelane_early_refusals_total", "Requests refused because they would start too late.");
            }
            write(LogEvent.RequestEnded, {
                result,
                ...fields,
                inputs,
                firstEventMs: firstEventAtMs && Math.round(firstEventAtMs - request.arrivedAtMs),
                longestPauseMs: Math.round(end.longestPauseMs),
                readMs: end.readMs && Math.round(end.readMs),
                promptTokens: request.head.prompt?.promptTokens,
                deadlineMs: Math.round(deadlineAtMs - request.arrivedAtMs),
                tookMs: Math.round(tookMs),
            });
            if (end.wasHeld) {
                const help = "Answers that were held back until they were whole, by result of the request.";
                metrics.count("jujubelane_held_answers_total", help, { result });
            }
            if (result === EndKind.Replaced) {
                const help =
                    "Answers of endpoints that were replaced, since their status would have been a false promise.";
                metrics.count("jujubelane_replaced_answers_total", help, { status: String(end.endpointStatus) });
            }
            const labels = { result: result === EndKind.Answered ? `${result}-${end.status}` : result };
            metrics.count("jujubelane_requests_total", "Requests by result.", labels);
            metrics.recordDuration(
                "jujubelane_request_seconds",
                "Duration of requests by kind.",
                tookMs,
                { kind: request.route.kind },
            );
        },
    };
}
