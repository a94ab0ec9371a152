import { EndpointCapacity, WorkItem } from "./scheduler.js";

/** Time that an item takes at its endpoint, in milliseconds. */
export interface ServiceTimes {
    readonly prefillMs: number;
    readonly outputMs: number;
    /** Share of the endpoint's time that it takes from others: of prefill, memory or slots, whichever is most. */
    readonly endpointMs: number;
}

/** Learns how much of the permitted output requests use, and how long calls without output run. */
export interface ServiceEstimate {
    compute(item: WorkItem, capacity: EndpointCapacity): ServiceTimes;
    record(item: WorkItem, outputTokens: number, runMs: number): void;
}

/** Weight of one observation in the moving averages. */
const learningRate = 0.05;
const millisecondsPerSecond = 1000;

/**
 * Creates the estimate. Before any observation the output counts as nothing: a request that might be in time is tried,
 * so that the estimate learns instead of refusing for ever.
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
