import { RouteChoice, RouteContext, RouteRequest, RoutingPolicy, selectAvailable } from "./routing.js";
import { EndpointView } from "./routing.js";

/** Chooses the available endpoints in turn. */
export const chooseRoundRobin: RoutingPolicy = (request, candidates, context) => {
    const available = selectAvailable(request, candidates);
    return makeChoice(available[context.decision % Math.max(1, available.length)], "round-robin");
};

/**
 * Chooses the endpoint with the fewest requests in progress from this entry. Requests of other entries are not counted.
 */
export const chooseLeastConnections: RoutingPolicy = (
    request: RouteRequest,
    candidates: readonly EndpointView[],
    context: RouteContext,
) => {
    const available = selectAvailable(request, candidates);
    const offset = Math.floor(context.random() * Math.max(1, available.length));
    let best: EndpointView | undefined;
    // Starting at a random endpoint breaks ties, so that endpoints with equal load share the requests.
    for (let index = 0; index < available.length; index++) {
        const candidate = available[(index + offset) % available.length];
        if (candidate && (!best || candidate.outstandingRequests < best.outstandingRequests)) {
            best = candidate;
        }
    }
    return makeChoice(best, "least-connections");
};

function makeChoice(endpoint: EndpointView | undefined, reason: string): RouteChoice | undefined {
    return endpoint && { endpoint: endpoint.name, reason };
}
