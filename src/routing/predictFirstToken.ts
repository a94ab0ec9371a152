import { LoadReport } from "./loadReport.js";
import { EndpointView, RouteRequest } from "./routing.js";

/** Longest short prompt in tokens, as the scheduler classes them. */
export const shortRouteTokens = 4_096;

const millisecondsPerSecond = 1000;
/** Rate that is assumed of an endpoint that has not reported yet. */
const assumedPrefillTokensPerSecond = 1_000;
/** Added when the endpoint's memory cannot take the request now: a running request has to end first. */
const memoryWaitMs = 1_000;

/** Whether a prompt counts as short. */
export function isShortPrompt(promptTokens: number): boolean {
    return promptTokens <= shortRouteTokens;
}

/**
 * Predicts the time to first token of a request at an endpoint, in milliseconds: the prefill that the endpoint runs before
 * it by its load report and by this entry's dispatches since, its own prefill, and the link's latency both ways.
 *
 * @param cachedTokens prompt tokens that the endpoint's prefix cache probably holds
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

/** Prefill of ranks at or above the request's; of its own rank only short prompts come before a short one. */
function computeReportedAhead(request: RouteRequest, load: LoadReport): number {
    const own = load.ranks.findIndex(rank => rank.rank === request.rank);
    if (own < 0 || load.ranks[own]!.pendingShortTokens === undefined) {
        return load.pendingPrefillTokens;
    }
    let tokens = 0;
    for (let index = 0; index <= own; index++) {
        const rank = load.ranks[index]!;
        tokens += rank.pendingShortTokens ?? 0;
        tokens += index < own || !isShortPrompt(request.promptTokens) ? rank.pendingLongTokens ?? 0 : 0;
    }
    return tokens;
}

function computeDispatchedAhead(request: RouteRequest, view: EndpointView): number {
    const order = (rank: string) => view.load?.ranks.findIndex(candidate => candidate.rank === rank) ?? -1;
    const own = order(request.rank);
    let tokens = 0;
    for (const { rank, promptTokens } of view.dispatched) {
        const isAhead = rank === request.rank
            ? isShortPrompt(promptTokens) || !isShortPrompt(request.promptTokens)
            : order(rank) < own;
        tokens += isAhead ? promptTokens : 0;
    }
    return tokens;
}
