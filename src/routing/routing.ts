import { RandomSource } from "../base/randomSource.js";
import { LoadReport } from "./loadReport.js";

/** A dispatched prompt that the endpoint's latest load report does not include yet. */
export interface DispatchedPrompt {
    readonly rank: string;
    readonly promptTokens: number;
}

/** State of an endpoint that an entry has a link to. */
export interface EndpointView {
    readonly name: string;
    readonly dataCentre: string;
    /** Whether the link is open and responsive and the endpoint accepts new work. */
    readonly available: boolean;
    readonly load: LoadReport | undefined;
    /** Age of `load` in milliseconds. */
    readonly loadAgeMs: number;
    /** Number of requests that this entry has dispatched and that have not ended. */
    readonly outstandingRequests: number;
    /** Prompts that this entry has dispatched since the last load report and that have no first token yet. */
    readonly dispatched: readonly DispatchedPrompt[];
    /** One-way latency of the link in milliseconds. */
    readonly latencyMs: number;
    /** Digests of the prefixes that are probably in the endpoint's cache. */
    readonly warmPrefixes: ReadonlySet<string>;
}

/** Attributes of a request that routing uses. */
export interface RouteRequest {
    readonly id: string;
    readonly customer: string;
    readonly rank: string;
    /** Name of the model. Absent for calls of a plain service. */
    readonly model?: string;
    readonly promptTokens: number;
    readonly maxOutputTokens: number;
    readonly prefixDigest: string;
    readonly remainingMs: number;
    /** Endpoints that have already refused or failed this request. */
    readonly excluded: ReadonlySet<string>;
    /** Key for stable affinity, for example the idempotency key of a service call. */
    readonly affinityKey?: string;
}

/** Result of a routing decision. */
export interface RouteChoice {
    readonly endpoint: string;
    /** Name of the rule that chose the endpoint, for the log. */
    readonly reason: string;
    /** Predicted time to first token in milliseconds, if the policy predicts it. */
    readonly predictedMs?: number;
}

/** State of an entry that a policy uses for its decisions. */
export interface RouteContext {
    readonly dataCentre: string;
    readonly random: RandomSource;
    /** Number of the decision, for round robin. */
    readonly decision: number;
}

/** Chooses an endpoint, or returns `undefined` if no candidate is available. */
export type RoutingPolicy = (
    request: RouteRequest,
    candidates: readonly EndpointView[],
    context: RouteContext,
) => RouteChoice | undefined;

/** Selects the available candidates that have not refused or failed the request. */
export function selectAvailable(request: RouteRequest, candidates: readonly EndpointView[]): readonly EndpointView[] {
    return candidates.filter(candidate => candidate.available && !request.excluded.has(candidate.name));
}
