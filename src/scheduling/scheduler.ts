import { ErrorCode } from "../base/requestError.js";
import { RankLoad } from "../routing/loadReport.js";

/** A request in the queue of one endpoint. Times are monotonic milliseconds of this process. */
export interface WorkItem {
    readonly id: string;
    readonly rank: string;
    readonly customer: string;
    readonly kind: string;
    readonly promptTokens: number;
    /** Prompt tokens that the endpoint's prefix cache probably holds. */
    readonly cachedTokens: number;
    readonly maxOutputTokens: number;
    /** Arrival of the request, set back by the time that it had already waited in the queue before a refusal. */
    readonly arrivedMs: number;
    readonly deadlineMs: number;
    readonly bodyBytes: number;
    /** Digest of customer and body, by which suspects of a crash are recognized and run one at a time. */
    readonly fingerprint: string;
}

/** Tag of an {@link AdmitDecision}. */
export enum AdmitKind {
    Queued = "queued",
    Refused = "refused",
}

/** Whether a work item entered the queue. */
export type AdmitDecision =
    | {
        readonly kind: AdmitKind.Queued;
        readonly position: number;
        /** Items that were dropped because the queue exceeded its bounds. They have not run. */
        readonly dropped: readonly WorkItem[];
        /** Delay after which a dropped item is likely to be admitted again, in milliseconds. */
        readonly droppedRetryAfterMs?: number;
    }
    | {
        readonly kind: AdmitKind.Refused;
        readonly code: ErrorCode;
        readonly message: string;
        readonly retryAfterMs?: number;
        readonly largestPromptTokens?: number;
    };

/** Rates, memory and slots of the endpoint as known to the sidecar. */
export interface EndpointCapacity {
    readonly memoryTokens: number;
    readonly prefillTokensPerSecond: number;
    readonly decodeTokensPerSecond: number;
    readonly maxRunning: number;
}

/** Scheduling settings of a rank. */
export interface RankPolicy {
    readonly name: string;
    /** Lower numbers are more urgent. */
    readonly urgency: number;
    /** Guaranteed share of the endpoint's service, from 0 to 1. */
    readonly share: number;
}

/** Returns the cost of a work item, which fair queueing charges to its customer. */
export type CostFunction = (item: WorkItem) => number;

/** Counts of a scheduler, for load reports and metrics. */
export interface SchedulerReport {
    readonly running: number;
    readonly queued: number;
    readonly queuedBytes: number;
    readonly pendingPrefillTokens: number;
    readonly reservedTokens: number;
    /** Largest prompt with its output that is accepted, in tokens. */
    readonly largestRequestTokens: number;
    readonly ranks: readonly RankLoad[];
    readonly acceptsLongPrompts: boolean;
}

/** Queues and orders the work of one endpoint. Holds state only: no clock, socket or random source. */
export interface Scheduler {
    /** Queues an item or refuses it. */
    admit(item: WorkItem, nowMs: number): AdmitDecision;
    /** Returns the items to start now, with their memory reserved. */
    takeNext(nowMs: number): readonly WorkItem[];
    /** Reports the first token of a running item, which ends its prefill. */
    markFirstToken(id: string, nowMs: number): void;
    /** Reports the end of a running item and the number of tokens that it produced. */
    complete(id: string, outputTokens: number, nowMs: number): void;
    /** Removes a queued item. Returns whether it was queued. */
    remove(id: string): boolean;
    /** Removes and returns queued items that can no longer meet their deadline. */
    expire(nowMs: number): readonly WorkItem[];
    /** Replaces the policy, when the configuration or the capacity reported by the engine changes. */
    update(policy: SchedulerPolicy): void;
    /** Priority of an item at the engine; lower numbers run first. */
    getPriority(item: WorkItem): number;
    report(): SchedulerReport;
}

/** Settings of a scheduler, from the configuration and from the capacity that the engine reports. */
export interface SchedulerPolicy {
    readonly ranks: readonly RankPolicy[];
    readonly capacity: EndpointCapacity;
    readonly cost: CostFunction;
    /** Weight of a customer in fair queueing; 1 for all when absent. */
    readonly getWeight?: (customer: string) => number;
    /** Whether a request with this fingerprint was running when an endpoint crashed. Suspects run one at a time. */
    readonly isSuspect?: (fingerprint: string) => boolean;
    readonly maxQueuedRequests: number;
    readonly maxQueuedBytes: number;
}
