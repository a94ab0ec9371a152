import murmurhash from "murmurhash";
import { RequestHead } from "../ports/exchange.js";
import { Customer, Route, RouteKind, Service, ServingConfiguration } from "../ports/servingConfiguration.js";
import { isIdempotent } from "../retries/dispatchDecision.js";
import { computePrefillMs, estimateOutputTokens } from "../routing/engineTiming.js";
import { AllowedRegions, mergeAllowedRegions } from "../routing/regionRestriction.js";
import { CustomerShare, EngineNeeds, PlacementJob } from "./place.js";

/** A completely received customer request that has passed all checks. */
export interface AcceptedRequest {
    readonly head: RequestHead;
    readonly id: string;
    readonly method: string;
    /** Path and query string, unchanged. */
    readonly path: string;
    readonly host: string;
    readonly body: Buffer | undefined;
    readonly route: Route;
    readonly service: Service;
    readonly customer?: string;
    /** Absent if the configuration has fewer than two customers. */
    readonly share?: CustomerShare;
    readonly rank: number;
    readonly arrivedAtMs: number;
    /**
     * What may crash endpoints and other requests may share: the shared parts of the prompt, then the fingerprint.
     */
    readonly traits: readonly string[];
    readonly configurationVersion: number;
    /** Regions that the request may run in; absent if there is no restriction. */
    readonly allowedRegions?: AllowedRegions;
}

/** Deadline of requests for which neither the customer nor the route sets one, in milliseconds. */
const defaultDeadlineMs = 10_000;
/**
 * A customer is assumed to disconnect from a stream that has not begun after the longest of these times, in
 * milliseconds: this minimum, and the multiples below of the route's first-byte target and of its gap target.
 */
const minStreamWaitMs = 2_000;
const firstByteTargetFactor = 4;
const gapTargetFactor = 8;

/** What a request gets because of its customer. */
export type CustomerTerms = Pick<AcceptedRequest, "customer" | "share" | "rank" | "allowedRegions">;

/**
 * Computes what a request of a customer gets on a route.
 *
 * @param fingerprint identifies requests that are alike; absent for a request that is not sent
 *
 * @example
 * computeCustomerTerms(table.configuration, route, customer, fingerprint).rank;
 */
export function computeCustomerTerms(
    { customers = [] }: ServingConfiguration,
    route: Route,
    customer: Customer | undefined,
    fingerprint: string | undefined,
): CustomerTerms {
    return {
        customer: customer?.name,
        share: customers.length > 1 ? { customer: murmurhash.v3(customer?.name ?? ""), fingerprint } : undefined,
        rank: customer?.rank ?? route.rank,
        allowedRegions: mergeAllowedRegions(route.allowedRegions, customer?.allowedRegions),
    };
}

/** Points in time that matter to a request, on the monotonic clock. */
export interface RequestTimes {
    /** When the time limit of the customer or of the route ends. */
    readonly deadlineAtMs: number;
    /** When the first byte should be sent to meet the route's target. */
    readonly dueAtMs: number;
    /** When the customer is assumed to disconnect if no first byte has arrived. */
    readonly customerTimeoutAtMs: number;
}

/**
 * Computes the times of a request from its own time limit and the limits and targets of its route.
 *
 * @example
 * computeTimes(request).deadlineAtMs;
 */
export function computeTimes(request: Pick<AcceptedRequest, "route" | "head" | "arrivedAtMs">): RequestTimes {
    const { route, head, arrivedAtMs } = request;
    const limitMs = Math.min(head.deadlineMs ?? defaultDeadlineMs, route.timeoutMs ?? Number.POSITIVE_INFINITY);
    const maxWaitMs = route.kind === RouteKind.Stream ? computeStreamWaitMs(route) : limitMs;
    return {
        deadlineAtMs: arrivedAtMs + limitMs,
        dueAtMs: arrivedAtMs + (route.firstByteTargetMs ?? limitMs),
        customerTimeoutAtMs: arrivedAtMs + Math.min(limitMs, maxWaitMs),
    };
}

/**
 * Computes the engine time and memory that a model request needs. Returns `undefined` for other requests.
 *
 * @example
 * computeEngineNeeds(request)?.prefillMs;
 */
export function computeEngineNeeds(request: AcceptedRequest): EngineNeeds | undefined {
    const { engine } = request.service;
    const { prompt } = request.head;
    if (!engine || !prompt) {
        return undefined;
    }
    return {
        prefillMs: computePrefillMs(engine, prompt.promptTokens),
        promptTokens: prompt.promptTokens,
        outputTokens: estimateOutputTokens(engine, prompt.maxOutputTokens, prompt.outputTokensHint),
        ...(prompt.maxOutputTokens > 0 && { maxOutputTokens: prompt.maxOutputTokens }),
        gapTargetMs: request.route.gapTargetMs ?? minStreamWaitMs,
    };
}

/** What placement depends on before a request was sent to any endpoint. */
export type PlacementTerms = Omit<
    PlacementJob,
    "isSuspect" | "isImmediate" | "onPlaced" | "onWaiting" | "onClaimed" | "onExpired"
>;

/**
 * Makes the terms on which a request is placed.
 *
 * @param avoid ids of endpoints that the request must not be sent to again
 *
 * @example
 * placementQueue.submit({ ...makePlacementTerms(request, new Set()), isSuspect, ...listeners });
 */
export function makePlacementTerms(request: AcceptedRequest, avoid: ReadonlySet<string>): PlacementTerms {
    const { route, service, rank, arrivedAtMs, allowedRegions } = request;
    const { dueAtMs, customerTimeoutAtMs } = computeTimes(request);
    const needs = computeEngineNeeds(request);
    return {
        service,
        rank,
        arrivedAtMs,
        dueAtMs,
        customerTimeoutAtMs,
        needs,
        isUnsafe: !isIdempotent(route.kind, route.isResumable),
        avoid,
        allowedRegions,
        share: request.share,
    };
}

function computeStreamWaitMs(route: Route): number {
    return Math.max(
        minStreamWaitMs,
        firstByteTargetFactor * (route.firstByteTargetMs ?? 0),
        gapTargetFactor * (route.gapTargetMs ?? 0),
    );
}
