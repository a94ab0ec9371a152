import { LoadReport } from "./loadReport.js";
import { EndpointView, RouteRequest } from "./routing.js";

/** Longest prompt that counts as short, in tokens. Must match the scheduler's classification. */
export const shortRouteTokens = 4_096;

const millisecondsPerSecond = 1000;
/** Assumed prefill rate of an endpoint that has not reported yet. */
const assumedPrefillTokensPerSecond = 1_000;
/** Penalty for an endpoint without memory for the request: a running request must end first. */
const memoryWaitMs = 1_000;

export function isShortPrompt(promptTokens: number): boolean {
    return promptTokens <= shortRouteTokens;
}

/**
 * Predicts the time to first token of a request at an endpoint, in milliseconds: the prefill ahead of it according to
 * the load report and to this entry's later dispatches, its own prefill, and the round trip of the link.
 *
 * @param cachedTokens prompt tokens that are probably in the endpoint's prefix cache
 */
export function predictFirstTokenMs(request: RouteRequest, view: EndpointView, cachedTokens: number): number {
    const load = view.load;
    const rate = load?.prefillTokensPerSecond || assumedPrefillTokensPerSecond;
    const aheadTokens = (load ? computeReportedAhead(request, load) : 0) + computeDispatchedAhead(request, view);
    const ownTokens = Math.max(1, request.promptTokens - cachedTokens);
    const isFull = load !== undefined && load.memoryTokens > 0
        && load.reservedTokens + request.promptTokens + request.maxOutputTokens > load.memoryTokens;
    return (aheadTokens + ownTokens) / rate * millisecondsPerSecond
        + 2 * view.latencyMs
        + (isFull ? memoryWaitMs : 0);
}

/**
 * Computes the reported prompt tokens that are served before the request: all of more urgent ranks, and those of its
 * own rank, of which long prompts are not served before a short one.
 */
function computeReportedAhead(request: RouteRequest, load: LoadReport): number {
    const ownRankIndex = load.ranks.findIndex(rank => rank.rank === request.rank);
    if (ownRankIndex < 0 || load.ranks[ownRankIndex]!.pendingShortTokens === undefined) {
        return load.pendingPrefillTokens;
    }
    let tokens = 0;
    for (let index = 0; index <= ownRankIndex; index++) {
        const rank = load.ranks[index]!;
        tokens += rank.pendingShortTokens ?? 0;
        tokens += index < ownRankIndex || !isShortPrompt(request.promptTokens) ? rank.pendingLongTokens ?? 0 : 0;
    }
    return tokens;
}

function computeDispatchedAhead(request: RouteRequest, view: EndpointView): number {
    const findRankIndex = (rank: string) => view.load?.ranks.findIndex(candidate => candidate.rank === rank) ?? -1;
    const ownRankIndex = findRankIndex(request.rank);
    let tokens = 0;
    for (const { rank, promptTokens } of view.dispatched) {
        const isAhead = rank === request.rank
            ? isShortPrompt(promptTokens) || !isShortPrompt(request.promptTokens)
            : findRankIndex(rank) < ownRankIndex;
        tokens += isAhead ? promptTokens : 0;
    }
    return tokens;
}
