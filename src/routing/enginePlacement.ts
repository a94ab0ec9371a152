import { EngineView, LatencyConstraint, passesToFirstEvent, usableMemoryShare } from "./engineView.js";

/** A request to be placed on an engine. */
export interface PlacementRequest {
    /** Predicted time to prefill the prompt on one idle engine, in milliseconds. */
    readonly prefillMs: number;
    /** Memory for the prompt and the expected output, in tokens. */
    readonly tokens: number;
    /** Time in the queue so far, in milliseconds. */
    readonly waitedMs: number;
    /** Target time of the first event, on the monotonic clock. */
    readonly dueAtMs: number;
    /** Time after which the customer cancels the request unless a first event has arrived, on the monotonic clock. */
    readonly customerTimeoutAtMs: number;
    /** Target for the longest gap between two events of the response, in milliseconds. */
    readonly gapTargetMs: number;
    /** Endpoints that this request must not be sent to again. */
    readonly avoid: ReadonlySet<string>;
    /** Whether an endpoint crashed while it ran the same request. */
    readonly isSuspect: boolean;
    /** Customers whose running requests it may delay, since they use more than their shares; absent for none. */
    readonly delayable?: ReadonlySet<number>;
}

/** How much a placement may delay other requests. A request moves to the next stage the longer it waits. */
export enum PlacementStage {
    /** The request must meet its own target and must not make any other request miss its target. */
    InTime = "in-time",
    /** The request can no longer meet its own target. It must not make any other request miss its target. */
    NonDisruptive = "harmless",
    /** The request may delay requests whose gap target is not stricter than its own. */
    Urgent = "urgent",
    /** The request would time out before it is placed. It goes where it delays others the least. */
    LeastDisruptive = "least-harm",
    /** Engines were reserved for the request and are idle now. */
    Claimed = "claimed",
}

/** Limits of placement. */
export interface PlacementSettings {
    /** Prompts with a prefill of up to this time, in milliseconds, are short and are not split among engines. */
    readonly shortPrefillMs: number;
    /** Initial limit of the prefill time of one part of a split prompt on an idle engine, in milliseconds. */
    readonly partMs: number;
    /** Share of an engine's slots that short requests fill before they use the next engine in order. */
    readonly fillShare: number;
    /** Maximum engines that prefill parts for the engine that answers. */
    readonly maxHelpers: number;
    /**
     * Share of the remaining time that the predicted time to first event of a short prompt may use on the engine that
     * is first in order. Otherwise the fastest engine is chosen. The prediction assumes an average wait for the current
     * pass, but a prompt that arrives just after a pass has begun waits for all of it.
     */
    readonly usableTimeShare: number;
}

/**
 * Default limits. A prefill of 150 ms fits into one pass next to responses with a gap target of 250 ms. A part of 350
 * ms keeps the gaps of responses to long prompts within their targets of 600 ms and more.
 */
export const defaultPlacementSettings: PlacementSettings = {
    shortPrefillMs: 150,
    partMs: 350,
    fillShare: 0.65,
    maxHelpers: 16,
    usableTimeShare: 0.6,
};

/** The engines chosen for a request. */
export interface Placement {
    /** The engine that generates the response. */
    readonly endpoint: EngineView;
    /** Engines that prefill one part of the prompt each. */
    readonly helpers: readonly EngineView[];
    /** Prefill time of each part on an idle engine, in milliseconds. */
    readonly partMs: number;
    /** Memory to reserve at each helper, in tokens. 0 if the endpoint has enough memory for the whole request. */
    readonly reservedTokens: number;
    /** Predicted time until the first event, in milliseconds. */
    readonly firstEventMs: number;
}

/** Chooses engines for a request, or returns `undefined` if it should wait. */
export type PlacementPolicy = (
    request: PlacementRequest,
    views: readonly EngineView[],
    slots: number,
    nowMs: number,
    stage: PlacementStage,
    settings: PlacementSettings,
) => Placement | undefined;

/**
 * Growth of the part limit per millisecond in the queue: longer parts on fewer engines are better than a longer wait.
 * The growth is slower for prompts with a prefill above `usualLongPrefillMs`, because a huge prompt delays many
 * requests for the sake of one.
 */
const partGrowth = 0.7;
const usualLongPrefillMs = 3_000;
/**
 * The part limit does not grow beyond the larger of these two: a time in milliseconds and a share of the whole prefill.
 */
const maxPartMs = 1_500;
const maxPartShare = 1 / 3;
/**
 * An engine with a longer pending prefill than this, in milliseconds, gets no part of a long prompt. Engines prefill
 * parts for other engines before their own prompts, so overlapping long prompts would delay each other without bound.
 */
const maxPendingPrefillMs = 60;
/**
 * Maximum prefills on an engine that no first event has confirmed yet, even if they are predicted to have ended.
 * Without this limit, an engine that is slower than predicted would be given part after part.
 */
const maxUnconfirmedPrefills = 1;
/** Share of the time until the customer's timeout that the prefill may take in the stage `LeastDisruptive`. */
const prefillTimeShare = 0.5;

/**
 * Places a request on engines, or returns `undefined` if it should wait.
 *
 * Short prompts fill engines in ascending order, long ones in descending order, so that the boundary between the two
 * adapts to the mix of requests. Long prompts are split into parts, each short enough to prefill between two events of
 * the responses that the engine generates.
 *
 * @example
 * placeOnEngines(request, views, slots, timers.now(), PlacementStage.InTime, defaultPlacementSettings);
 */
export function placeOnEngines(
    request: PlacementRequest,
    views: readonly EngineView[],
    slots: number,
    nowMs: number,
    stage: PlacementStage,
    settings: PlacementSettings,
): Placement | undefined {
    const usable = views.filter(view => isUsable(view, request, slots));
    const isShort = request.prefillMs <= settings.shortPrefillMs;
    if (stage === PlacementStage.LeastDisruptive) {
        return isShort
            ? placeShortLeastDisruptive(request, usable)
            : placeLongLeastDisruptive(request, usable, nowMs, settings);
    }
    return isShort
        ? placeShort(request, usable, slots, nowMs, stage, settings)
        : placeLong(request, usable, nowMs, stage, settings);
}

/** Returns whether an engine may get the request at all, regardless of targets and memory. */
export function isUsable(
    view: EngineView,
    request: Pick<PlacementRequest, "avoid" | "isSuspect">,
    slots: number,
): boolean {
    if (request.avoid.has(view.id) || view.running >= slots) {
        return false;
    }
    if (view.isTrial && view.running + view.helperParts > 0) {
        return false;
    }
    return !(request.isSuspect && view.hasSuspect);
}

/** Computes the prefill time that an engine can add without delaying work that the stage protects, in milliseconds. */
function computeSlackMs(view: EngineView, request: PlacementRequest, stage: PlacementStage): number {
    const isProtected = stage === PlacementStage.Urgent
        ? (gapTargetMs: number) => gapTargetMs < request.gapTargetMs
        : () => true;
    return view.constraints.filter(item => isProtected(item.gapTargetMs) && !isDelayable(item, request))
        .reduce((slackMs, item) => Math.min(slackMs, item.slackMs), Number.POSITIVE_INFINITY);
}

function predictFirstEventMs(view: EngineView, prefillMs: number): number {
    return view.pendingPrefillMs + view.slowdown * prefillMs + passesToFirstEvent * view.passMs;
}

function placeShort(
    request: PlacementRequest,
    views: readonly EngineView[],
    slots: number,
    nowMs: number,
    stage: PlacementStage,
    settings: PlacementSettings,
): Placement | undefined {
    const fitting = views.filter(view =>
        view.freeTokens >= request.tokens
        && view.slowdown * request.prefillMs <= computeSlackMs(view, request, stage)
        && isInTime(request, nowMs + predictFirstEventMs(view, request.prefillMs), stage)
    );
    const firstEventMs = (view: EngineView) => predictFirstEventMs(view, request.prefillMs);
    const inOrder = [...fitting].sort((left, right) => left.order - right.order);
    const chosen = inOrder.find(view =>
        view.running < slots * (request.delayable?.size ? 1 : settings.fillShare)
        && firstEventMs(view) <= (request.dueAtMs - nowMs) * settings.usableTimeShare
    ) ?? inOrder.sort((left, right) => firstEventMs(left) - firstEventMs(right))[0];
    return chosen && makeUnsplitPlacement(chosen, request);
}

function placeLong(
    request: PlacementRequest,
    views: readonly EngineView[],
    nowMs: number,
    stage: PlacementStage,
    settings: PlacementSettings,
): Placement | undefined {
    const limitMs = computePartLimitMs(request, nowMs, settings);
    const candidates = views.filter(isAvailableForPart).map(view => ({
        view,
        slackMs: Math.min(limitMs, computeSlackMs(view, request, stage)),
        hasStricterTargets: hasStricterTargets(view, request),
    }));
    // In this stage the request may delay others, and should delay as few as possible.
    const countDelayed = (view: EngineView) => stage === PlacementStage.Urgent ? view.constraints.length : 0;
    candidates.sort((left, right) =>
        Number(left.hasStricterTargets) - Number(right.hasStricterTargets)
        || countDelayed(left.view) - countDelayed(right.view)
        || right.view.order - left.view.order
    );
    for (let parts = 1; parts <= Math.min(candidates.length, settings.maxHelpers + 1); parts++) {
        const partMs = request.prefillMs / parts;
        const chosen = candidates.filter(item => item.view.slowdown * partMs <= item.slackMs).slice(0, parts);
        if (chosen.length < parts) {
            continue;
        }
        const placement = makeSplitPlacement(chosen.map(item => item.view), request, partMs);
        if (placement && isInTime(request, nowMs + placement.firstEventMs, stage)) {
            return placement;
        }
    }
    return undefined;
}

function isAvailableForPart(view: EngineView): boolean {
    return view.pendingPrefillMs <= maxPendingPrefillMs && view.unconfirmedPrefills <= maxUnconfirmedPrefills;
}

/**
 * Computes the limit of one part, in milliseconds. A request that may delay others for the sake of its customer's share
 * takes as few engines as its target allows: engines on which a flood takes each slot hardly ever have a slot each at
 * the same time, and longer parts delay the requests of fewer engines.
 */
function computePartLimitMs(request: PlacementRequest, nowMs: number, settings: PlacementSettings): number {
    const shareLimitMs = request.delayable?.size ? (request.dueAtMs - nowMs) * settings.usableTimeShare : 0;
    const growth = partGrowth * Math.min(1, usualLongPrefillMs / request.prefillMs);
    const wantedMs = settings.partMs + request.waitedMs * growth;
    return Math.max(shareLimitMs, Math.min(wantedMs, Math.max(maxPartMs, request.prefillMs * maxPartShare)));
}

/**
 * Places a prompt on the engines that were reserved for it, each of which prefills one part. Returns `undefined` if one
 * of them is still busy or lacks memory.
 *
 * @example
 * placeOnClaimedEngines(request, views);
 */
export function placeOnClaimedEngines(request: PlacementRequest, views: readonly EngineView[]): Placement | undefined {
    const isFree = (view: EngineView) => view.running === 0 && view.pendingPrefillMs <= maxPendingPrefillMs;
    return views.every(isFree) ? makeSplitPlacement(views, request, request.prefillMs / views.length) : undefined;
}

/**
 * Splits a prompt among engines. The engine with the most free memory generates the response, the others help to
 * prefill.
 */
function makeSplitPlacement(
    views: readonly EngineView[],
    request: PlacementRequest,
    partMs: number,
): Placement | undefined {
    const [endpoint, ...helpers] = [...views].sort((left, right) => right.freeTokens - left.freeTokens);
    if (!endpoint) {
        return undefined;
    }
    const fitsWhole = request.tokens <= endpoint.freeTokens * usableMemoryShare;
    const share = Math.ceil(request.tokens / views.length);
    if (!fitsWhole && views.some(view => share > view.freeTokens * usableMemoryShare)) {
        return undefined;
    }
    return {
        endpoint,
        helpers,
        partMs,
        reservedTokens: fitsWhole ? 0 : share,
        firstEventMs: Math.max(...views.map(view => predictFirstEventMs(view, partMs))),
    };
}

/** Places a request on one engine, which prefills the whole prompt. */
export function makeUnsplitPlacement(view: EngineView, request: PlacementRequest): Placement {
    return {
        endpoint: view,
        helpers: [],
        partMs: request.prefillMs,
        reservedTokens: 0,
        firstEventMs: predictFirstEventMs(view, request.prefillMs),
    };
}

function isInTime(request: PlacementRequest, firstEventAtMs: number, stage: PlacementStage): boolean {
    return stage !== PlacementStage.InTime || firstEventAtMs <= request.dueAtMs;
}

function hasStricterTargets(view: EngineView, request: PlacementRequest): boolean {
    return view.constraints.some(item => item.gapTargetMs < request.gapTargetMs && !isDelayable(item, request));
}

function isDelayable({ customer }: LatencyConstraint, { delayable }: PlacementRequest): boolean {
    return customer !== undefined && delayable !== undefined && delayable.has(customer);
}

function placeShortLeastDisruptive(request: PlacementRequest, views: readonly EngineView[]): Placement | undefined {
    const fitting = views.filter(view => view.freeTokens >= request.tokens);
    const [chosen] = fitting.sort((left, right) => computeDisruptionMs(left) - computeDisruptionMs(right));
    return chosen && makeUnsplitPlacement(chosen, request);
}

function computeDisruptionMs(view: EngineView): number {
    return view.pendingPrefillMs + view.passMs * (1 + view.running);
}

/**
 * Chooses the fewest engines that can prefill the prompt before the customer's timeout. Engines that generate responses
 * with stricter gap targets are left out.
 */
function placeLongLeastDisruptive(
    request: PlacementRequest,
    views: readonly EngineView[],
    nowMs: number,
    settings: PlacementSettings,
): Placement | undefined {
    const free = views.filter(view => isAvailableForPart(view) && !hasStricterTargets(view, request))
        .sort((left, right) => left.constraints.length - right.constraints.length || right.order - left.order);
    const partLimitMs = Math.max(settings.partMs, (request.customerTimeoutAtMs - nowMs) * prefillTimeShare);
    for (let parts = 1; parts <= Math.min(free.length, settings.maxHelpers + 1); parts++) {
        const placement = makeSplitPlacement(free.slice(0, parts), request, request.prefillMs / parts);
        if (placement && placement.partMs <= partLimitMs) {
            return placement;
        }
    }
    return undefined;
}
