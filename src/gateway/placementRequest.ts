import { PlacementRequest } from "../routing/enginePlacement.js";
import { EngineNeeds, PlacementJob } from "./place.js";

/**
 * Computes the memory that a request may need: for its prompt and the longest output that its customer allows or, without a
 * limit, the expected one.
 *
 * @example
 * computeMemoryTokens(needs); // 22_000 for 18,000 prompt tokens and a limit of 4,000
 */
export function computeMemoryTokens({ promptTokens, outputTokens, maxOutputTokens = 0 }: EngineNeeds): number {
    return promptTokens + Math.max(outputTokens, maxOutputTokens);
}

/**
 * Makes the request for the choice of engines from a job.
 *
 * @example
 * makePlacementRequest(job, needs, timers.now()).waitedMs;
 */
export function makePlacementRequest(
    job: PlacementJob,
    needs: EngineNeeds,
    nowMs: number,
    delayable?: ReadonlySet<number>,
): PlacementRequest {
    return {
        prefillMs: needs.prefillMs,
        tokens: computeMemoryTokens(needs),
        waitedMs: nowMs - job.arrivedAtMs,
        dueAtMs: job.dueAtMs,
        customerTimeoutAtMs: job.customerTimeoutAtMs,
        gapTargetMs: needs.gapTargetMs,
        avoid: job.avoid,
        isSuspect: job.isSuspect,
        ...(delayable && { delayable }),
    };
}
