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
    /** When the request arrived, less the time that it had already waited in line before a refusal. */
    readonly arrivedMs: number;
    readonly deadlineMs: number;
    readonly bodyBytes: number;
    /** Digest of customer and body; suspects of a crash run apart from each other. */
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
        /** Items that were removed from the queue to make room; they have not run. */
        readonly dropped: readonly WorkItem[];
        /** When a dropped item is likely to be admitted again, in milliseconds from now. */
        readonly droppedRetryAfterMs?: number;
    }
    | {
        readonly kind: AdmitKind.Refused;
        readonly code: ErrorCode;
        readonly message: string;
        readonly retryAfterMs?: number;
        readonly largestPromptTokens?: number;
    };

/** Rates and memory of the endpoint as the sidecar knows them. */
export interface EndpointCapacity {
    readonly memoryTokens: number;
    readonly prefillTokensPerSecond: number;
    readonly decodeTokensPerSecond: number;
    readonly maxRunning: number;
}

/** A rank as the scheduler needs it. */
export interface RankPolicy {
    readonly name: string;
    /** Lower numbers are more urgent. */
    readonly urgency: number;
    /** Guaranteed share of the endpoint's service, from 0 to 1. */
    readonly share: number;
}

/** What a work item is charged to its customer. */
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

/** Order of work at one endpoint. Pure state: no clock, socket or random source. */
export interface Scheduler {
    /** Offers an item to the queue. */
    admit(item: WorkItem, nowMs: number): AdmitDecision;
    /** Returns the items to start now, with their memory reserved. */
    takeNext(nowMs: number): readonly WorkItem[];
    /** The first token of a running item has come: its prefill is over. */
    markFirstToken(id: string, nowMs: number): void;
    /** A running item has ended; `outputTokens` is what it produced. */
    complete(id: string, outputTokens: number, nowMs: number): void;
    /** Removes a queued item. Returns whether it was queued. */
    remove(id: string): boolean;
    /** Removes and returns queued items whose deadline cannot be met any more. */
    expire(nowMs: number): readonly WorkItem[];
    /** Replaces ranks, cost and capacity, as the configuration or the engine's report changes. */
    update(policy: SchedulerPolicy): void;
    /** Priority of an item at the engine; lower numbers run first. */
    getPriority(item: WorkItem): number;
    report(): SchedulerReport;
}

/** Everything about scheduling that the configuration and the engine decide. */
export interface SchedulerPolicy {
    readonly ranks: readonly RankPolicy[];
    readonly capacity: EndpointCapacity;
    readonly cost: CostFunction;
    /** Weight of a customer in fair queueing; 1 for all when absent. */
    readonly getWeight?: (customer: string) => number;
    /** Whether a request with this fingerprint ran beside a crash; suspects run one at a time. */
    readonly isSuspect?: (fingerprint: string) => boolean;
    readonly maxQueuedRequests: number;
    readonly maxQueuedBytes: number;
}
