import { PlacementRequest } from "../routing/enginePlacement.js";
import { EngineNeeds, PlacementJob } from "./place.js";

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
        tokens: needs.promptTokens + needs.outputTokens,
        waitedMs: nowMs - job.arrivedAtMs,
        dueAtMs: job.dueAtMs,
        customerTimeoutAtMs: job.customerTimeoutAtMs,
        gapTargetMs: needs.gapTargetMs,
        avoid: job.avoid,
        isSuspect: job.isSuspect,
        ...(delayable && { delayable }),
    };
}
