import { isUsable } from "./enginePlacement.js";
import { EngineView, usableMemoryShare } from "./engineView.js";

/** A long prompt for which engines are to be freed. Times are on the steady clock, in milliseconds. */
export interface ClaimRequest {
    /** Time to read the prompt on one idle engine. */
    readonly readMs: number;
    /** Memory for prompt and expected answer, in tokens. */
    readonly tokens: number;
    /** When the first event must have come. */
    readonly latestMs: number;
    readonly avoid: ReadonlySet<string>;
    readonly isSuspect: boolean;
}

/** Engines that take no other work until a long prompt is read there. */
export interface EngineClaim {
    readonly engines: readonly EngineView[];
    /** Predicted time until all of them are free. */
    readonly freeInMs: number;
    readonly partMs: number;
}

/** Limits of claims. */
export interface ClaimSettings {
    /** Prompts that take less than this are placed beside others' answers instead, in milliseconds. */
    readonly minPrefillMs: number;
    /** Share of the engines that one prompt may claim. */
    readonly maxEngineShare: number;
    /** Share of the time until the first event must come that the prediction may use. */
    readonly usableTimeShare: number;
}

/**
 * Default limits. Prompts of this length need more engines at once than are usually free for parts of 350 ms. The time
 * left over covers answers that turn out longer than expected.
 */
export const defaultClaimSettings: ClaimSettings = {
    minPrefillMs: 1_500,
    maxEngineShare: 0.7,
    usableTimeShare: 0.8,
};

/** Chooses engines that a prompt is to be read on as soon as they are free, or `undefined` if none should be. */
export type ClaimPolicy = (
    request: ClaimRequest,
    views: readonly EngineView[],
    slots: number,
    nowMs: number,
    settings: ClaimSettings,
) => EngineClaim | undefined;

/** Engines that have more than this to read, in milliseconds, are taken by other long prompts. */
const longPrefillMs = 400;

/** Engines that are free within this time of one another are chosen by their order, in milliseconds. */
const freeTimeBucketMs = 300;

/**
 * Chooses the fewest engines that can read a prompt in its time once their present work has ended, those that are free
 * soonest first; `undefined` if no number of them can. Fewer engines stand idle for less time while the others end.
 *
 * @example
 * chooseClaim(request, views, slots, timers.now(), defaultClaimSettings);
 */
export function chooseClaim(
    request: ClaimRequest,
    views: readonly EngineView[],
    slots: number,
    nowMs: number,
    settings: ClaimSettings,
): EngineClaim | undefined {
    // A suspect may crash the engines that were freed for it.
    if (request.readMs < settings.minPrefillMs || request.isSuspect) {
        return undefined;
    }
    const usable = views.filter(view =>
        isUsable(view, request, slots) && !view.isTrial && !view.hasSuspect && view.unreadMs <= longPrefillMs
    ).sort((left, right) =>
        Math.round(left.freeInMs / freeTimeBucketMs) - Math.round(right.freeInMs / freeTimeBucketMs)
        || right.order - left.order
    );
    const busyCount = views.filter(view => view.unreadMs > longPrefillMs).length;
    const maxCount = Math.max(0, Math.floor(views.length * settings.maxEngineShare) - busyCount);
    return findSmallestClaim(request, usable.slice(0, maxCount), (request.latestMs - nowMs) * settings.usableTimeShare);
}

function findSmallestClaim(
    request: ClaimRequest,
    usable: readonly EngineView[],
    limitMs: number,
): EngineClaim | undefined {
    for (let count = 1; count <= usable.length; count++) {
        const engines = usable.slice(0, count);
        const partMs = request.readMs / count;
        const freeInMs = Math.max(...engines.map(view => view.freeInMs));
        const greatestSlowdown = Math.max(...engines.map(view => view.pace));
        const hasMemory = engines.every(view => request.tokens / count <= view.memoryTokens * usableMemoryShare);
        if (hasMemory && freeInMs + greatestSlowdown * partMs <= limitMs) {
            return { engines, freeInMs, partMs };
        }
    }
    return undefined;
}
