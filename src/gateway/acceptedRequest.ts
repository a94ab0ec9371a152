import { RequestHead } from "../ports/exchange.js";
import { Route, RouteKind, Service } from "../ports/servingConfiguration.js";
import { computeReadMs, estimateOutputTokens } from "../routing/engineTiming.js";
import { EngineNeeds } from "./place.js";

/** A whole request of a customer that may be served. */
export interface AcceptedRequest {
    readonly head: RequestHead;
    readonly id: string;
    readonly method: string;
    /** Path with its query, unchanged. */
    readonly path: string;
    readonly host: string;
    readonly body: Buffer | undefined;
    readonly route: Route;
    readonly service: Service;
    readonly customer?: string;
    readonly rank: number;
    readonly arrivedAtMs: number;
    /** Absent for a request without a body, which cannot be told from others of the same path. */
    readonly fingerprint?: string;
    readonly isSuspect: boolean;
    readonly configurationVersion: number;
}

/** Time that a customer waits where neither it nor the route says, in milliseconds. */
const defaultDeadlineMs = 10_000;
/** Customers leave a stream after the longest of: this pause, and multiples of the route's aims. */
const minStreamWaitMs = 2_000;
const firstByteTargetFactor = 4;
const pauseTargetFactor = 8;

/** When a request must have what, on the steady clock. */
export interface RequestTimes {
    /** When its customer, or its route, no longer waits for the answer. */
    readonly deadlineAtMs: number;
    /** When the first byte is due. */
    readonly dueAtMs: number;
    /** When the customer leaves without a first byte. */
    readonly abandonAtMs: number;
}

/**
 * Computes the times of a request from its own limit and its route's.
 *
 * @example
 * computeTimes(request).deadlineAtMs;
 */
export function computeTimes(request: AcceptedRequest): RequestTimes {
    const { route, head, arrivedAtMs } = request;
    const limitMs = Math.min(head.deadlineMs ?? defaultDeadlineMs, route.timeoutMs ?? Number.POSITIVE_INFINITY);
    const maxWaitMs = route.kind === RouteKind.Stream ? computeStreamWaitMs(route) : limitMs;
    return {
        deadlineAtMs: arrivedAtMs + limitMs,
        dueAtMs: arrivedAtMs + (route.firstByteAimMs ?? limitMs),
        abandonAtMs: arrivedAtMs + Math.min(limitMs, maxWaitMs),
    };
}

/**
 * Computes what a model request needs of an engine; `undefined` for other requests.
 *
 * @example
 * computeNeeds(request)?.readMs;
 */
export function computeNeeds(request: AcceptedRequest): EngineNeeds | undefined {
    const { engine } = request.service;
    const { prompt } = request.head;
    if (!engine || !prompt) {
        return undefined;
    }
    return {
        readMs: computeReadMs(engine, prompt.promptTokens),
        promptTokens: prompt.promptTokens,
        outputTokens: estimateOutputTokens(engine, prompt.maxOutputTokens, prompt.outputHint),
        pauseAimMs: request.route.pauseAimMs ?? minStreamWaitMs,
    };
}

function computeStreamWaitMs(route: Route): number {
    return Math.max(
        minStreamWaitMs,
        firstByteTargetFactor * (route.firstByteAimMs ?? 0),
        pauseTargetFactor * (route.pauseAimMs ?? 0),
    );
}
