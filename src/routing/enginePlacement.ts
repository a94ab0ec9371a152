import { EngineView, passesToFirstEvent, usableMemoryShare } from "./engineView.js";

/** A request that needs a place on an engine. */
export interface PlacementRequest {
    /** Time to read the prompt on one idle engine, in milliseconds. */
    readonly readMs: number;
    /** Memory for prompt and expected answer, in tokens. */
    readonly tokens: number;
    /** Time for which it has waited, in milliseconds. */
    readonly waitedMs: number;
    /** When the first event is due, on the steady clock. */
    readonly dueAtMs: number;
    /** When the customer will have left without a first event. */
    readonly giveUpAtMs: number;
    readonly pauseAimMs: number;
    /** Endpoints that this request must not be sent to again. */
    readonly avoid: ReadonlySet<string>;
    /** Whether an endpoint crashed while it ran the same request. */
    readonly isSuspect: boolean;
}

/** What a placement may cost; a request that has waited longer may cost more. */
export enum PlacementStage {
    /** The request must be in time and delay nobody beyond its aim. */
    InTime = "in-time",
    /** The request is late; it must not make others late as well. */
    Harmless = "harmless",
    /** The request may delay work whose pause aim is not stricter than its own. */
    Urgent = "urgent",
    /** The request would be lost; it goes where it does the least harm. */
    LeastHarm = "least-harm",
    /** Engines were freed for the request. */
    Claimed = "claimed",
}

/** Limits of placement. */
export interface PlacementSettings {
    /** Reads up to this long go to one engine whole, in milliseconds. */
    readonly shortReadMs: number;
    /** Length of a part on an engine that runs nothing, in milliseconds. */
    readonly partMs: number;
    /** Share of an engine's slots that short requests fill before they use the next engine. */
    readonly fillShare: number;
    readonly maxHelpers: number;
    /**
     * Share of the time left that the prediction of a short prompt may use where another engine would be sooner. A
     * prompt that comes just after a pass began waits for all of it.
     */
    readonly usableTimeShare: number;
}

/**
 * Default limits. A short read fits into one pass beside answers with a pause aim of 250 ms. A part of 350 ms leaves the
 * pauses of long prompts' answers, 600 ms and more, within their aims.
 */
export const defaultPlacementSettings: PlacementSettings = {
    shortReadMs: 150,
    partMs: 350,
    fillShare: 0.65,
    maxHelpers: 16,
    usableTimeShare: 0.6,
};

/** Where a request goes. */
export interface Placement {
    readonly endpoint: EngineView;
    /** Engines that read a part each. */
    readonly helpers: readonly EngineView[];
    /** Read time of each part, in milliseconds. */
    readonly partMs: number;
    /** Memory to reserve at each helper, in tokens; 0 where the endpoint itself has enough. */
    readonly reservedTokens: number;
    /** Predicted time until the first event, in milliseconds. */
    readonly firstEventMs: number;
}

/** Chooses engines for a request, or `undefined` if it should wait. */
export type PlacementPolicy = (
    request: PlacementRequest,
    views: readonly EngineView[],
    slots: number,
    nowMs: number,
    stage: PlacementStage,
    settings: PlacementSettings,
) => Placement | undefined;

/**
 * Growth of the longest part with the time waited: longer parts on fewer engines are better than a longer wait. It is
 * slower for prompts above the usual read time, because a huge one holds up many others for one customer.
 */
const partGrowth = 0.7;
const usualLongPrefillMs = 3_000;
/** Bounds of the growth, in milliseconds and as a share of the whole read. */
const maxPartMs = 1_500;
const maxPartShare = 1 / 3;
/**
 * An engine with more unread prompts than this takes no part of a long one: an engine reads parts of others' prompts
 * before its own, so that overlapping long prompts delay each other without bound.
 */
const maxPendingPrefillMs = 60;
/**
 * Prompts whose reading is predicted to end but not confirmed by a first event. With more than one, an engine that is
 * slower than predicted would be given part after part.
 */
const maxUnconfirmedPrefills = 1;
/** Share of the time until the customer leaves in which the last parts of a prompt must be read. */
const prefillTimeShare = 0.5;

/**
 * Places a request on engines, or returns `undefined` if it should wait.
 *
 * Short prompts fill engines in one order, long ones in the opposite order, so that the boundary between the two follows
 * the mix of requests. Long prompts are read in parts that fit between the events of the answers that the engines write.
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
    const isShort = request.readMs <= settings.shortReadMs;
    if (stage === PlacementStage.LeastHarm) {
        return isShort
            ? placeShortLeastDisruptive(request, usable)
            : placeLongLeastDisruptive(request, usable, nowMs, settings);
    }
    return isShort
        ? placeShort(request, usable, slots, nowMs, stage, settings)
        : placeLong(request, usable, nowMs, stage, settings);
}

/** Tells whether an engine may have another request of this kind at all. */
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

/** Reads that an engine can take without delaying what is protected, in milliseconds. */
function computeSlackMs(view: EngineView, request: PlacementRequest, stage: PlacementStage): number {
    const isProtected = stage === PlacementStage.Urgent
        ? (gapTargetMs: number) => gapTargetMs < request.pauseAimMs
        : () => true;
    return view.constraints.filter(item => isProtected(item.gapTargetMs))
        .reduce((slackMs, item) => Math.min(slackMs, item.slackMs), Number.POSITIVE_INFINITY);
}

function predictFirstEventMs(view: EngineView, prefillMs: number): number {
    return view.unreadMs + view.pace * prefillMs + passesToFirstEvent * view.passMs;
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
        && view.pace * request.readMs <= computeSlackMs(view, request, stage)
        && isInTime(request, nowMs + predictFirstEventMs(view, request.readMs), stage)
    );
    const firstEventMs = (view: EngineView) => predictFirstEventMs(view, request.readMs);
    const inOrder = [...fitting].sort((left, right) => left.order - right.order);
    const chosen = inOrder.find(view =>
        view.running < slots * settings.fillShare
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
    const limitMs = computePartLimitMs(request, settings);
    const candidates = views.filter(isAvailableForPart).map(view => ({
        view,
        slackMs: Math.min(limitMs, computeSlackMs(view, request, stage)),
        hasStricterTargets: hasStricterTargets(view, request),
    }));
    // Whoever may delay equals delays as few as possible.
    const countDelayed = (view: EngineView) => stage === PlacementStage.Urgent ? view.constraints.length : 0;
    candidates.sort((left, right) =>
        Number(left.hasStricterTargets) - Number(right.hasStricterTargets)
        || countDelayed(left.view) - countDelayed(right.view)
        || right.view.order - left.view.order
    );
    for (let parts = 1; parts <= Math.min(candidates.length, settings.maxHelpers + 1); parts++) {
        const partMs = request.readMs / parts;
        const chosen = candidates.filter(item => item.view.pace * partMs <= item.slackMs).slice(0, parts);
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
    return view.unreadMs <= maxPendingPrefillMs && view.unconfirmedPrefills <= maxUnconfirmedPrefills;
}

function computePartLimitMs(request: PlacementRequest, settings: PlacementSettings): number {
    const growth = partGrowth * Math.min(1, usualLongPrefillMs / request.readMs);
    const wantedMs = settings.partMs + request.waitedMs * growth;
    return Math.min(wantedMs, Math.max(maxPartMs, request.readMs * maxPartShare));
}

/**
 * Places a prompt on engines that were freed for it, all of which read a part; `undefined` where one of them is still
 * busy or lacks memory.
 *
 * @example
 * placeOnFreedEngines(request, views);
 */
export function placeOnFreedEngines(request: PlacementRequest, views: readonly EngineView[]): Placement | undefined {
    const isFree = (view: EngineView) => view.running === 0 && view.unreadMs <= maxPendingPrefillMs;
    return views.every(isFree) ? makeSplitPlacement(views, request, request.readMs / views.length) : undefined;
}

/** The engine that answers is the one with the most free memory; the others help. */
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

/** Places a prompt on one engine, which reads all of it. */
export function makeUnsplitPlacement(view: EngineView, request: PlacementRequest): Placement {
    return {
        endpoint: view,
        helpers: [],
        partMs: request.readMs,
        reservedTokens: 0,
        firstEventMs: predictFirstEventMs(view, request.readMs),
    };
}

function isInTime(request: PlacementRequest, firstEventAtMs: number, stage: PlacementStage): boolean {
    return stage !== PlacementStage.InTime || firstEventAtMs <= request.dueAtMs;
}

function hasStricterTargets(view: EngineView, request: PlacementRequest): boolean {
    return view.constraints.some(item => item.gapTargetMs < request.pauseAimMs);
}

function placeShortLeastDisruptive(request: PlacementRequest, views: readonly EngineView[]): Placement | undefined {
    const fitting = views.filter(view => view.freeTokens >= request.tokens);
    const [chosen] = fitting.sort((left, right) => computeDisruptionMs(left) - computeDisruptionMs(right));
    return chosen && makeUnsplitPlacement(chosen, request);
}

function computeDisruptionMs(view: EngineView): number {
    return view.unreadMs + view.passMs * (1 + view.running);
}

/** Chooses as few engines as can still read the prompt, none of which answers requests with stricter aims. */
function placeLongLeastDisruptive(
    request: PlacementRequest,
    views: readonly EngineView[],
    nowMs: number,
    settings: PlacementSettings,
): Placement | undefined {
    const free = views.filter(view => isAvailableForPart(view) && !hasStricterTargets(view, request))
        .sort((left, right) => left.constraints.length - right.constraints.length || right.order - left.order);
    const partLimitMs = Math.max(settings.partMs, (request.giveUpAtMs - nowMs) * prefillTimeShare);
    for (let parts = 1; parts <= Math.min(free.length, settings.maxHelpers + 1); parts++) {
        const placement = makeSplitPlacement(free.slice(0, parts), request, request.readMs / parts);
        if (placement && placement.partMs <= partLimitMs) {
            return placement;
        }
    }
    return undefined;
}
