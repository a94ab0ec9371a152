import { LengthClass } from "./lengthClass.js";
import { WorkItem } from "./scheduler.js";

/** A work item with what the scheduler derives from it once. */
export interface QueueEntry {
    readonly item: WorkItem;
    /** Order of admission, to break ties. */
    readonly order: number;
    readonly admittedMs: number;
    /** Index of the rank in order of urgency, from 0. */
    readonly rankIndex: number;
    readonly lengthClass: LengthClass;
    readonly cost: number;
    /** Prompt tokens that the engine has to compute. */
    readonly prefillTokens: number;
    /** Memory that is reserved before the start, in tokens. */
    readonly reservedTokens: number;
    /** Share of the endpoint's time that the item takes from the others, in milliseconds. */
    readonly endpointMs: number;
    /** Predicted wait at admission in milliseconds, before correction. */
    predictedWaitMs: number;
    /** Last time at which a start can still meet the deadline. */
    readonly latestStartMs: number;
}

/** Compares by arrival, then by order of admission. */
export function compareArrival(left: QueueEntry, right: QueueEntry): number {
    return left.item.arrivedMs - right.item.arrivedMs || left.order - right.order;
}
