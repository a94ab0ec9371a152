import { EndpointView } from "./routing.js";

/**
 * Returns the largest sum of prompt and output, in tokens, that any endpoint accepts, or `undefined` if no endpoint has
 * reported its memory yet.
 */
export function computeLargestRequestTokens(views: readonly EndpointView[]): number | undefined {
    let largest: number | undefined;
    for (const { load } of views) {
        const accepted = load?.largestRequestTokens ?? 0;
        if (accepted > 0) {
            largest = Math.max(largest ?? 0, accepted);
        }
    }
    return largest;
}

/** A request whose body has not been received yet. */
export interface UnreadRequest {
    readonly rank: string;
    /** Guaranteed share of the rank, from 0 to 1. */
    readonly rankShare: number;
    readonly promptTokens: number;
    readonly limitMs: number;
}

const millisecondsPerSecond = 1000;

/**
 * Predicts by how much a prompt would miss its time limit at the best endpoint, in milliseconds. Returns 0 if any
 * endpoint can meet the limit or has not reported yet. Only the backlog of more urgent ranks counts as ahead: within a
 * rank, a customer without backlog is served next, whatever other customers have queued. The guaranteed share of the
 * rank limits how much more urgent ranks can delay the prompt.
 */
export function computeLateness(request: UnreadRequest, views: readonly EndpointView[]): number {
    let least = Number.POSITIVE_INFINITY;
    for (const { available, load } of views) {
        if (!available || !load || load.prefillTokensPerSecond <= 0) {
            return 0;
        }
        const ownRankIndex = load.ranks.findIndex(rank => rank.rank === request.rank);
        const aheadTokens = load.ranks.slice(0, Math.max(0, ownRankIndex))
            .reduce((sum, rank) => sum + (rank.pendingShortTokens ?? 0) + (rank.pendingLongTokens ?? 0), 0);
        const tokens = Math.min(
            aheadTokens + request.promptTokens,
            request.rankShare > 0 ? request.promptTokens / request.rankShare : Number.POSITIVE_INFINITY,
        );
        least = Math.min(least, tokens / load.prefillTokensPerSecond * millisecondsPerSecond - request.limitMs);
    }
    return Number.isFinite(least) ? Math.max(0, least) : 0;
}
