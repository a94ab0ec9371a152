import { PlacementStage } from "./enginePlacement.js";

/** State of a service on engines, from which the start of a further request of a customer above its share is predicted. */
export interface EngineBacklog {
    /** Requests that wait at any gateway and come before the further one. */
    readonly ahead: number;
    /** Prefill of the requests that wait here and come before the further one, in milliseconds. */
    readonly aheadPrefillMs: number;
    /** Prefill that engines have not done yet, in milliseconds, on average. */
    readonly pendingPrefillMs: number;
    readonly endpoints: number;
    /** Requests that engines have now. */
    readonly running: number;
    /** Time for which a request has its slot, in milliseconds; absent until one has ended. */
    readonly residenceMs?: number;
}

/**
 * Predicts the time until engines start a request that found no place, in milliseconds. Engines start as many requests
 * as end, since those that wait have not found a place either, and prefill what comes before. Handles a customer at
 * many times the load of the others: without the first term, the queue of its short prompts grows until all are late.
 *
 * @example
 * predictEngineStartMs({ ahead: 9, aheadPrefillMs: 300, pendingPrefillMs: 20, endpoints: 14, running: 140, residenceMs: 1_800 });
 */
export function predictEngineStartMs(backlog: EngineBacklog): number {
    const { ahead, aheadPrefillMs, pendingPrefillMs, endpoints, running, residenceMs } = backlog;
    const slotMs = residenceMs === undefined ? 0 : (ahead + 1) * residenceMs / Math.max(1, running);
    return Math.max(slotMs, pendingPrefillMs + aheadPrefillMs / Math.max(1, endpoints));
}

/**
 * Limits how much the placement of work above its customer's share may delay other requests while work of other customers
 * waits that can be on time. Handles a customer at many times the load of the others: its late requests took each slot
 * that became free, since late work may delay others, and the work that waited found no engine that could start it
 * without delaying those.
 *
 * @example
 * chooseStage(PlacementStage.Urgent, true); // PlacementStage.NonDisruptive
 */
export function chooseStage(stage: PlacementStage, isHeldBack: boolean): PlacementStage {
    return isHeldBack && (stage === PlacementStage.Urgent || stage === PlacementStage.LeastDisruptive)
        ? PlacementStage.NonDisruptive
        : stage;
}
