import { EndpointCapacity, WorkItem } from "./scheduler.js";

/** Time that an item takes at its endpoint, in milliseconds. */
export interface ServiceTimes {
    readonly prefillMs: number;
    readonly outputMs: number;
    /** Endpoint time that the item takes from other work: of prefill, memory or slots, whichever is most. */
    readonly endpointMs: number;
}

/** Learns which share of the permitted output tokens requests use, and how long calls without output tokens run. */
export interface ServiceEstimate {
    compute(item: WorkItem, capacity: EndpointCapacity): ServiceTimes;
    record(item: WorkItem, outputTokens: number, runMs: number): void;
}

/** Weight of one observation in the exponential moving averages. */
const learningRate = 0.05;
const millisecondsPerSecond = 1000;

/**
 * Creates the estimate. Output is taken as zero before the first observation. A higher initial value could refuse every
 * request, and then no observation would ever correct it.
 */
export function createServiceEstimate(): ServiceEstimate {
    let outputRatio = 0;
    let callMs = 0;

    return {
        compute(item, capacity) {
            const prefillTokens = item.promptTokens - item.cachedTokens;
            const prefillMs = prefillTokens / Math.max(1, capacity.prefillTokensPerSecond) * millisecondsPerSecond;
            const outputTokens = item.maxOutputTokens * outputRatio;
            const outputMs = item.maxOutputTokens === 0
                ? callMs
                : outputTokens / Math.max(1, capacity.decodeTokensPerSecond) * millisecondsPerSecond;
            const residenceMs = prefillMs + outputMs;
            const reserved = item.promptTokens + item.maxOutputTokens;
            const endpointMs = Math.max(
                prefillMs,
                residenceMs * reserved / Math.max(1, capacity.memoryTokens),
                residenceMs / Math.max(1, capacity.maxRunning),
            );
            return { prefillMs, outputMs, endpointMs };
        },
        record(item, outputTokens, runMs) {
            if (item.maxOutputTokens === 0) {
                callMs += (runMs - callMs) * learningRate;
            }
            else {
                outputRatio += (Math.min(1, outputTokens / item.maxOutputTokens) - outputRatio) * learningRate;
            }
        },
    };
}
