import { EngineView } from "../routing/engineView.js";
import { countPlaces, PlainView } from "../routing/plainPlacement.js";

/** Capacity of a service, from which the start of a further request is predicted. */
export interface ServiceCapacity {
    readonly running: number;
    /** Places that the request may use and no request has. Plain services only. */
    readonly freePlaces: number;
    /** Prefill that engines have not done yet, in milliseconds, on average. */
    readonly pendingPrefillMs: number;
    readonly endpoints: number;
}

/**
 * Describes the capacity of a service on engines.
 *
 * @example
 * describeEngineCapacity(views).pendingPrefillMs;
 */
export function describeEngineCapacity(views: readonly EngineView[]): ServiceCapacity {
    const pendingMs = views.reduce((sum, view) => sum + view.pendingPrefillMs, 0);
    return {
        running: views.reduce((sum, view) => sum + view.running, 0),
        freePlaces: 0,
        pendingPrefillMs: pendingMs / Math.max(1, views.length),
        endpoints: views.length,
    };
}

/**
 * Describes the capacity of a plain service for one request.
 *
 * @param aboveShareGroups see `countPlaces`
 *
 * @example
 * describePlainCapacity(views, new Set(), undefined).freePlaces;
 */
export function describePlainCapacity(
    views: readonly PlainView[],
    avoid: ReadonlySet<string>,
    aboveShareGroups: number | undefined,
): ServiceCapacity {
    return {
        running: views.reduce((sum, view) => sum + view.running, 0),
        freePlaces: views.filter(view => !avoid.has(view.id) && !view.isTrial)
            .reduce((sum, view) => sum + Math.max(0, countPlaces(view.slots, aboveShareGroups) - view.running), 0),
        pendingPrefillMs: 0,
        endpoints: views.length,
    };
}
