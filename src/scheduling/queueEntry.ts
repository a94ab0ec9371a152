import { LengthClass } from "./lengthClass.js";
import { WorkItem } from "./scheduler.js";

/** A work item with the values that the scheduler derives from it on admission. */
export interface QueueEntry {
    readonly item: WorkItem;
    /** Sequence number of admission, which breaks ties. */
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
    /** Endpoint time that the item takes from other work, in milliseconds. */
    readonly endpointMs: number;
    /** Wait predicted at admission in milliseconds, before the learned correction. */
    predictedWaitMs: number;
    /** Latest start at which the deadline can still be met. */
    readonly latestStartMs: number;
}

/** Compares by arrival, then by order of admission. */
export function compareArrival(left: QueueEntry, right: QueueEntry): number {
    return left.item.arrivedMs - right.item.arrivedMs || left.order - right.order;
}
