import { isUsable } from "./enginePlacement.js";
import { EngineView, memoryMargin } from "./engineView.js";

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
    readonly leastReadMs: number;
    /** Share of the engines that one prompt may claim. */
    readonly greatestShare: number;
    /** Share of the time until the first event must come that the prediction may use. */
    readonly timeShare: number;
}

/**
 * Default limits. Prompts of this length need more engines at once than are usually free for parts of 350 ms. The time
 * left over covers answers that turn out longer than expected.
 */
export const defaultClaimSettings: ClaimSettings = {
    leastReadMs: 1_500,
    greatestShare: 0.7,
    timeShare: 0.8,
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
const longReadMs = 400;

/** Engines that are free within this time of one another are chosen by their order, in milliseconds. */
const similarMs = 300;

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
    if (request.readMs < settings.leastReadMs || request.isSuspect) {
        return undefined;
    }
    const usable = views.filter(view =>
        isUsable(view, request, slots) && !view.isTrial && !view.hasSuspect && view.unreadMs <= longReadMs
    ).sort((left, right) =>
        Math.round(left.freeInMs / similarMs) - Math.round(right.freeInMs / similarMs) || right.order - left.order
    );
    const taken = views.filter(view => view.unreadMs > longReadMs).length;
    const most = Math.max(0, Math.floor(views.length * settings.greatestShare) - taken);
    return findFewest(request, usable.slice(0, most), (request.latestMs - nowMs) * settings.timeShare);
}

function findFewest(request: ClaimRequest, usable: readonly EngineView[], limitMs: number): EngineClaim | undefined {
    for (let count = 1; count <= usable.length; count++) {
        const engines = usable.slice(0, count);
        const partMs = request.readMs / count;
        const freeInMs = Math.max(...engines.map(view => view.freeInMs));
        const slowest = Math.max(...engines.map(view => view.pace));
        const hasMemory = engines.every(view => request.tokens / count <= view.memoryTokens * memoryMargin);
        if (hasMemory && freeInMs + slowest * partMs <= limitMs) {
            return { engines, freeInMs, partMs };
        }
    }
    return undefined;
}
