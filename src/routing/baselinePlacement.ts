import { makeUnsplitPlacement, PlacementPolicy, PlacementRequest } from "./enginePlacement.js";
import { EngineView } from "./engineView.js";

function listAvailable(request: PlacementRequest, views: readonly EngineView[], slots: number): EngineView[] {
    return views.filter(view =>
        !request.avoid.has(view.id) && view.running < slots && view.freeTokens >= request.tokens
    )
        .sort((left, right) => left.order - right.order);
}

/**
 * Creates a round-robin policy, a baseline for benchmarks.
 *
 * @example
 * const place = createRoundRobinPlacement();
 */
export function createRoundRobinPlacement(): PlacementPolicy {
    let turn = 0;
    return (request, views, slots) => {
        const free = listAvailable(request, views, slots);
        const chosen = free[turn++ % Math.max(1, free.length)];
        return chosen && makeUnsplitPlacement(chosen, request);
    };
}

/**
 * Chooses the engine with the fewest running requests. A baseline for benchmarks.
 *
 * @example
 * placeLeastConnections(request, views, slots, nowMs, stage, settings);
 */
export const placeLeastConnections: PlacementPolicy = (request, views, slots) => {
    const [chosen] = listAvailable(request, views, slots).sort((left, right) => left.running - right.running);
    return chosen && makeUnsplitPlacement(chosen, request);
};
