import { RandomSource } from "../base/randomSource.js";
import { LoadReport } from "./loadReport.js";

/** A prompt that an endpoint's load report does not contain yet. */
export interface DispatchedPrompt {
    readonly rank: string;
    readonly promptTokens: number;
}

/** What an entry knows of an endpoint that it has a link to. */
export interface EndpointView {
    readonly name: string;
    readonly dataCentre: string;
    /** Whether the link is open, answers, and the endpoint takes new work. */
    readonly available: boolean;
    readonly load: LoadReport | undefined;
    /** Age of `load` in milliseconds. */
    readonly loadAgeMs: number;
    /** Requests that this entry has dispatched and that have not ended. */
    readonly outstandingRequests: number;
    /** What this entry has dispatched since `load` came and what has not produced a first token. */
    readonly dispatched: readonly DispatchedPrompt[];
    /** One-way latency of the link in milliseconds. */
    readonly latencyMs: number;
    /** Prefix digests that the endpoint's cache probably holds. */
    readonly warmPrefixes: ReadonlySet<string>;
}

/** What routing needs to know of a request. */
export interface RouteRequest {
    readonly id: string;
    readonly customer: string;
    readonly rank: string;
    /** Name of the model; absent for calls of a plain service. */
    readonly model?: string;
    readonly promptTokens: number;
    readonly maxOutputTokens: number;
    readonly prefixDigest: string;
    readonly remainingMs: number;
    /** Endpoints that have refused or failed this request already. */
    readonly excluded: ReadonlySet<string>;
    /** Key for stable affinity, for example the idempotency key of a service call. */
    readonly affinityKey?: string;
}

/** The result of a routing decision with the figure that decided. */
export interface RouteChoice {
    readonly endpoint: string;
    /** Name of the rule that decided, for the log. */
    readonly reason: string;
    /** Predicted time to first token in milliseconds, where the policy predicts one. */
    readonly predictedMs?: number;
}

/** State that a policy keeps between decisions; each entry creates its own. */
export interface RouteContext {
    readonly dataCentre: string;
    readonly random: RandomSource;
    /** Counter of decisions, for round robin. */
    readonly decision: number;
}

/** Chooses an endpoint, or `undefined` when no candidate is available. */
export type RoutingPolicy = (
    request: RouteRequest,
    candidates: readonly EndpointView[],
    context: RouteContext,
) => RouteChoice | undefined;

/** Keeps the candidates that may receive the request. */
export function selectAvailable(request: RouteRequest, candidates: readonly EndpointView[]): readonly EndpointView[] {
    return candidates.filter(candidate => candidate.available && !request.excluded.has(candidate.name));
}
