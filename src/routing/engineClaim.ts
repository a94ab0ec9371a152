import { isUsable } from "./enginePlacement.js";
import { EngineView, usableMemoryShare } from "./engineView.js";

/**
 * A request with a long prompt for which engines may be reserved. Times are on the monotonic clock, in milliseconds.
 */
export interface ClaimRequest {
    /** Predicted time to prefill the prompt on one idle engine. */
    readonly prefillMs: number;
    /** Memory for the prompt and the expected output, in tokens. */
    readonly tokens: number;
    /** Deadline of the first event. */
    readonly deadlineAtMs: number;
    /** Endpoints that this request must not be sent to. */
    readonly avoid: ReadonlySet<string>;
    /** Whether an endpoint crashed while it ran the same request. */
    readonly isSuspect: boolean;
}

/** Engines that are reserved for a long prompt: they get no other work until the prompt has been prefilled. */
export interface EngineClaim {
    readonly engines: readonly EngineView[];
    /** Predicted time until all engines of the claim are idle, in milliseconds. */
    readonly freeInMs: number;
    /** Predicted prefill time of the part that each engine gets, in milliseconds. */
    readonly partMs: number;
}

/** Limits of claims. */
export interface ClaimSettings {
    /** Prompts with a shorter prefill, in milliseconds, get no claim and share engines with decoding requests. */
    readonly minPrefillMs: number;
    /**
     * Maximum share of all engines that long prompts may occupy, including those that already prefill other long
     * prompts.
     */
    readonly maxEngineShare: number;
    /** Share of the time until the deadline that the predicted wait and prefill may use. */
    readonly usableTimeShare: number;
    /** Engines with work that is predicted to take longer than this, in milliseconds, are not claimed. */
    readonly maxWaitMs: number;
}

/**
 * Default limits. A prefill of 1.5 s or more, split into parts of 350 ms, needs more engines at once than are usually
 * available. The unused share of the time covers outputs that are longer than estimated. Engines of a claim take no
 * other work, so that a longer wait for the last of them costs short prompts more slots than it saves the long one time.
 */
export const defaultClaimSettings: ClaimSettings = {
    minPrefillMs: 1_500,
    maxEngineShare: 0.7,
    usableTimeShare: 0.8,
    maxWaitMs: 1_500,
};

/** Chooses engines to reserve for a long prompt, or returns `undefined` if none should be reserved. */
export type ClaimPolicy = (
    request: ClaimRequest,
    views: readonly EngineView[],
    slots: number,
    nowMs: number,
    settings: ClaimSettings,
) => EngineClaim | undefined;

/** An engine with a longer pending prefill than this, in milliseconds, counts as occupied by another long prompt. */
const longPrefillMs = 400;

/**
 * Predicted idle times are rounded to this unit, in milliseconds. Engines with equal rounded times are chosen by order.
 */
const freeTimeBucketMs = 300;

/**
 * Chooses the smallest set of engines that can prefill a prompt before its deadline once their current work has ended,
 * starting with the engines that become idle first. Returns `undefined` if no set can. A small set wastes less engine
 * time, because engines of a claim stay idle until the last one has finished its work.
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
    // The request may crash every engine that is reserved for it.
    if (request.prefillMs < settings.minPrefillMs || request.isSuspect) {
        return undefined;
    }
    const usable = views.filter(view =>
        isUsable(view, request, slots) && !view.isTrial && !view.hasSuspect && view.pendingPrefillMs <= longPrefillMs
        && view.freeInMs <= settings.maxWaitMs
    ).sort((left, right) =>
        Math.round(left.freeInMs / freeTimeBucketMs) - Math.round(right.freeInMs / freeTimeBucketMs)
        || right.order - left.order
    );
    const busyCount = views.filter(view => view.pendingPrefillMs > longPrefillMs).length;
    const maxCount = Math.max(0, Math.floor(views.length * settings.maxEngineShare) - busyCount);
    return findSmallestClaim(
        request,
        usable.slice(0, maxCount),
        (request.deadlineAtMs - nowMs) * settings.usableTimeShare,
    );
}

function findSmallestClaim(
    request: ClaimRequest,
    usable: readonly EngineView[],
    limitMs: number,
): EngineClaim | undefined {
    for (let count = 1; count <= usable.length; count++) {
        const engines = usable.slice(0, count);
        const partMs = request.prefillMs / count;
        const freeInMs = Math.max(...engines.map(view => view.freeInMs));
        const greatestSlowdown = Math.max(...engines.map(view => view.slowdown));
        const hasMemory = engines.every(view => request.tokens / count <= view.memoryTokens * usableMemoryShare);
        if (hasMemory && freeInMs + greatestSlowdown * partMs <= limitMs) {
            return { engines, freeInMs, partMs };
        }
    }
    return undefined;
}
