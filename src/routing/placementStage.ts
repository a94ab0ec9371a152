import { EngineProfile } from "../ports/servingConfiguration.js";
import { WaitingWork } from "../scheduling/compareWaiting.js";
import { defaultPlacementSettings, PlacementStage } from "./enginePlacement.js";

/**
 * Range of the number of parts that a long prompt is split into, for the estimate of when it must start, and the prefill
 * time per part beyond which more parts are assumed, in milliseconds. With a fixed number, prompts with a prefill of
 * more than four times their target counted as late on arrival, and got few engines although all were idle.
 */
const minTypicalParts = 4;
const maxTypicalParts = 16;
const typicalPartMs = 1_000;
/**
 * Share of the time between a request's soft and hard start deadlines in which it is placed only where it makes no
 * other request late.
 */
const nonDisruptiveStageEndShare = 0.3;
/**
 * Share of that time after which a request is placed where it delays others least. Until then it may delay only
 * requests whose gap target is not stricter than its own.
 */
const urgentStageEndShare = 0.6;

/**
 * Decides how much a request that waits may delay others.
 *
 * @example
 * decidePlacementStage(item, timers.now()) === PlacementStage.InTime;
 */
export function decidePlacementStage(
    work: Pick<WaitingWork, "softStartDeadlineMs" | "hardStartDeadlineMs">,
    nowMs: number,
): PlacementStage {
    if (nowMs < work.softStartDeadlineMs) {
        return PlacementStage.InTime;
    }
    const waitedShare = (nowMs - work.softStartDeadlineMs)
        / Math.max(1, work.hardStartDeadlineMs - work.softStartDeadlineMs);
    if (waitedShare < nonDisruptiveStageEndShare) {
        return PlacementStage.NonDisruptive;
    }
    return waitedShare < urgentStageEndShare ? PlacementStage.Urgent : PlacementStage.LeastDisruptive;
}

/**
 * Predicts the time from the start of a prompt to its first event, in milliseconds, for the latest start of a request.
 *
 * @example
 * predictFirstEventMs(engine, 40);
 */
export function predictFirstEventMs(engine: EngineProfile, prefillMs: number): number {
    return prefillMs / countTypicalParts(prefillMs) + 2 * engine.stepsPerPass * engine.stepMs;
}

function countTypicalParts(prefillMs: number): number {
    if (prefillMs <= defaultPlacementSettings.shortPrefillMs) {
        return 1;
    }
    return Math.min(maxTypicalParts, Math.max(minTypicalParts, prefillMs / typicalPartMs));
}

/**
 * Computes the engine time that a request uses: its prefill, and its part of the passes that it shares with the
 * requests in the other slots.
 *
 * @example
 * computeEngineUseMs(engine, 40, 200);
 */
export function computeEngineUseMs(engine: EngineProfile, prefillMs: number, outputTokens: number): number {
    return prefillMs + outputTokens * engine.stepMs / Math.max(1, engine.slots);
}
