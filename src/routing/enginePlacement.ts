import { EngineView, passesToFirstEvent } from "./engineView.js";

/** A request that needs a place on an engine. */
export interface PlacementRequest {
    /** Time to read the prompt on one idle engine, in milliseconds. */
    readonly readMs: number;
    /** Memory for prompt and expected answer, in tokens. */
    readonly tokens: number;
    /** When the first event is due, on the steady clock. */
    readonly dueAtMs: number;
    readonly pauseAimMs: number;
    /** Endpoints that this request must not be sent to again. */
    readonly avoid: ReadonlySet<string>;
    /** Whether an endpoint crashed while it ran the same request. */
    readonly isSuspect: boolean;
}

/** Whose aims a placement may not spoil. */
export enum Protection {
    /** Nobody's, and the request itself must be in time. */
    All = "all",
    /** Only those of work with a stricter pause aim than the request's. */
    Stricter = "stricter",
    /** The request goes where it does the least harm. */
    LeastHarm = "least-harm",
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

/** Share of the free memory that a placement may count on; other gateways may take some meanwhile. */
const memoryMargin = 0.92;
/** Empty engines take parts of a huge prompt of up to this share of its whole read. */
const hugePartShare = 1 / 6;
const longestPartMs = 1_500;

/**
 * Places a request on engines, or returns `undefined` if it should wait.
 *
 * Short prompts fill engines in one order, long ones in the opposite order, so that the boundary between the two follows
 * the mix of requests without any agreement between gateways. Long prompts are read in parts that fit between the events
 * of the answers that the engines write.
 *
 * @example
 * placeOnEngines(request, views, slots, timers.now(), Protection.All, defaultPlacementSettings);
 */
export function placeOnEngines(
    request: PlacementRequest,
    views: readonly EngineView[],
    slots: number,
    nowMs: number,
    protection: Protection,
    settings: PlacementSettings,
): Placement | undefined {
    const usable = views.filter(view => isUsable(view, request, slots));
    if (protection === Protection.LeastHarm) {
        return placeLeastHarm(request, usable, settings);
    }
    return request.readMs <= settings.shortReadMs
        ? placeShort(request, usable, slots, nowMs, protection, settings)
        : placeLong(request, usable, nowMs, protection, settings);
}

function isUsable(view: EngineView, request: PlacementRequest, slots: number): boolean {
    if (request.avoid.has(view.id) || view.running >= slots) {
        return false;
    }
    if (view.isTrial && view.running + view.helping > 0) {
        return false;
    }
    return !(request.isSuspect && view.hasSuspect);
}

/** Reads that an engine can take without delaying what is protected, in milliseconds. */
function computeRoomMs(view: EngineView, request: PlacementRequest, protection: Protection): number {
    const isProtected = protection === Protection.All
        ? () => true
        : (aimMs: number) => aimMs < request.pauseAimMs;
    return view.constraints.filter(item => isProtected(item.pauseAimMs))
        .reduce((room, item) => Math.min(room, item.roomMs), Number.POSITIVE_INFINITY);
}

function predictFirstEventMs(view: EngineView, readMs: number): number {
    return view.unreadMs + view.pace * readMs + passesToFirstEvent * view.passMs;
}

function placeShort(
    request: PlacementRequest,
    views: readonly EngineView[],
    slots: number,
    nowMs: number,
    protection: Protection,
    settings: PlacementSettings,
): Placement | undefined {
    const fitting = views.filter(view =>
        view.freeTokens >= request.tokens
        && view.pace * request.readMs <= computeRoomMs(view, request, protection)
        && nowMs + predictFirstEventMs(view, request.readMs) <= request.dueAtMs
    );
    const inOrder = [...fitting].sort((left, right) => left.order - right.order);
    const chosen = inOrder.find(view => view.running < slots * settings.fillShare)
        ?? inOrder.sort((left, right) => left.running - right.running)[0];
    return chosen && makeWhole(chosen, request);
}

function placeLong(
    request: PlacementRequest,
    views: readonly EngineView[],
    nowMs: number,
    protection: Protection,
    settings: PlacementSettings,
): Placement | undefined {
    const emptyRoomMs = Math.min(longestPartMs, Math.max(settings.partMs, request.readMs * hugePartShare));
    const candidates = views.map(view => ({
        view,
        roomMs: Math.min(emptyRoomMs - view.unreadMs, computeRoomMs(view, request, protection)),
        isBesideStricter: view.constraints.some(item => item.pauseAimMs < request.pauseAimMs),
    }));
    candidates.sort((left, right) =>
        Number(left.isBesideStricter) - Number(right.isBesideStricter) || right.view.order - left.view.order
    );
    for (let parts = 1; parts <= Math.min(candidates.length, settings.maxHelpers + 1); parts++) {
        const partMs = request.readMs / parts;
        const chosen = candidates.filter(item => item.view.pace * partMs <= item.roomMs).slice(0, parts);
        if (chosen.length < parts) {
            continue;
        }
        const placement = makeParts(chosen.map(item => item.view), request, partMs);
        const isInTime = protection !== Protection.All || nowMs + (placement?.firstEventMs ?? 0) <= request.dueAtMs;
        if (placement && isInTime) {
            return placement;
        }
    }
    return undefined;
}

/** The engine that answers is the one with the most free memory; the others help. */
function makeParts(
    views: readonly EngineView[],
    request: PlacementRequest,
    partMs: number,
): Placement | undefined {
    const [endpoint, ...helpers] = [...views].sort((left, right) => right.freeTokens - left.freeTokens);
    if (!endpoint) {
        return undefined;
    }
    const fitsWhole = request.tokens <= endpoint.freeTokens * memoryMargin;
    const share = Math.ceil(request.tokens / views.length);
    if (!fitsWhole && views.some(view => share > view.freeTokens * memoryMargin)) {
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

function makeWhole(view: EngineView, request: PlacementRequest): Placement {
    return {
        endpoint: view,
        helpers: [],
        partMs: request.readMs,
        reservedTokens: 0,
        firstEventMs: predictFirstEventMs(view, request.readMs),
    };
}

/** Chooses the fewest engines that hold the prompt, those with the least to read first. */
function placeLeastHarm(
    request: PlacementRequest,
    views: readonly EngineView[],
    settings: PlacementSettings,
): Placement | undefined {
    const sorted = [...views].sort((left, right) => computeHarmMs(left) - computeHarmMs(right));
    const wantedParts = Math.max(1, Math.ceil(request.readMs / longestPartMs));
    const mostParts = Math.min(sorted.length, settings.maxHelpers + 1);
    for (let parts = Math.min(wantedParts, mostParts); parts >= 1 && parts <= mostParts; parts++) {
        const placement = makeParts(sorted.slice(0, parts), request, request.readMs / parts);
        if (placement) {
            return placement;
        }
    }
    return undefined;
}

function computeHarmMs(view: EngineView): number {
    return view.unreadMs + view.passMs * (1 + view.running);
}
