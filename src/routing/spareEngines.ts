import { EngineProfile } from "../ports/servingConfiguration.js";
import { chooseClaim, defaultClaimSettings } from "./engineClaim.js";
import {
    Placement,
    PlacementPolicy,
    PlacementRequest,
    PlacementSettings,
    PlacementStage,
    placeOnClaimedEngines,
} from "./enginePlacement.js";
import { computePassMs } from "./engineTiming.js";
import { buildEngineView, EngineProperties, EngineView } from "./engineView.js";
import { WorkItem, WorkPhase } from "./loadLedger.js";

/** State of an engine that another cell can spare, as a gateway of that cell has reported it. */
export interface SpareEngine {
    readonly endpoint: string;
    /** Requests that the engine runs. */
    readonly running: number;
    /** Memory in use, in tokens. */
    readonly usedTokens: number;
    /** Predicted time until all prompts on the engine are prefilled, in milliseconds. */
    readonly pendingPrefillMs: number;
    /** Prefill time that can be added before a running request misses a target, in milliseconds. */
    readonly slackMs: number;
    /** Strictest target for the gap between two events among the running requests, in milliseconds; 0 if none runs. */
    readonly gapTargetMs: number;
}

/** Engines that other cells can spare, as last reported. */
export interface SpareEngines {
    /** Records the report of a gateway, which replaces its previous one. */
    apply(reporter: string, engines: readonly SpareEngine[], nowMs: number): void;
    /** Lists the engines that were reported within `maxReportAgeMs`. */
    list(nowMs: number): readonly ReportedSpareEngine[];
}

/** A spare engine and when it was reported, on the monotonic clock. */
export interface ReportedSpareEngine extends SpareEngine {
    readonly observedAtMs: number;
}

/** Reports that are older say too little: short prompts take a free slot within some hundred milliseconds. */
const maxReportAgeMs = 250;
/** Longest time that a report of work takes to the gateway that reports spare engines, in milliseconds. */
const reportDelayMs = 50;
/** Largest number of gateways whose reports are remembered. There is one for each cell, and for a moment its successor. */
const maxReporters = 64;
/** Slots of a spare engine that are left to requests of the other cell that its report does not have yet. */
const unreportedRequests = 2;
/** Largest number of engines in a report, which has to fit into one message. */
const maxReportedEngines = 40;
/** Share of a cell's engines that it reports as spare, so that a burst of its own finds engines as well. */
const maxSpareShare = 0.5;
/** Slack that is reported of an engine whose requests set no limit, in milliseconds: more than any prefill takes. */
const unlimitedSlackMs = 600_000;
/** Share of an engine's slots up to which it counts as spare. */
const spareSlotShare = 0.65;
/** An engine with a longer pending prefill than this, in milliseconds, is not spare. */
const maxSparePrefillMs = 60;

/**
 * Creates an empty record of spare engines.
 *
 * @example
 * const spareEngines = createSpareEngines();
 * spareEngines.apply(reports, timers.now());
 */
export function createSpareEngines(): SpareEngines {
    const reports = new Map<string, { readonly engines: readonly SpareEngine[]; readonly observedAtMs: number }>();
    return {
        apply(reporter, engines, nowMs) {
            reports.delete(reporter);
            reports.set(reporter, { engines, observedAtMs: nowMs });
            [...reports.keys()].slice(0, Math.max(0, reports.size - maxReporters)).forEach(key => reports.delete(key));
        },
        list(nowMs) {
            const fresh = [...reports.values()].filter(({ observedAtMs }) => nowMs - observedAtMs <= maxReportAgeMs);
            return fresh.flatMap(({ engines, observedAtMs }) => engines.map(engine => ({ ...engine, observedAtMs })));
        },
    };
}

/**
 * Selects the engines that a cell can spare: those with the fewest requests, at most half of all.
 *
 * @example
 * selectSpareEngines(views, engine.slots);
 */
export function selectSpareEngines(views: readonly EngineView[], slots: number): readonly SpareEngine[] {
    return views
        .filter(view =>
            !view.isTrial && !view.hasSuspect && view.slowdown <= 1 && view.running < slots * spareSlotShare
            && view.pendingPrefillMs <= maxSparePrefillMs
        )
        .sort((left, right) => left.running - right.running || right.freeTokens - left.freeTokens)
        .slice(0, Math.min(maxReportedEngines, Math.floor(views.length * maxSpareShare)))
        .map(view => ({
            endpoint: view.id,
            running: view.running,
            usedTokens: view.memoryTokens - view.freeTokens,
            pendingPrefillMs: view.pendingPrefillMs,
            slackMs: Math.min(...view.constraints.map(item => item.slackMs), unlimitedSlackMs),
            gapTargetMs: view.constraints.reduce(
                (strictest, { gapTargetMs }) => strictest === 0 ? gapTargetMs : Math.min(strictest, gapTargetMs),
                0,
            ),
        }));
}

/**
 * Builds the view of a spare engine from its report and from the work that was sent to it since.
 *
 * @param items work at the engine that this gateway knows of: its own, and that of other gateways of its cell
 *
 * @example
 * buildSpareView(properties, engine, report, ledger.listAt(report.endpoint, nowMs), nowMs);
 */
export function buildSpareView(
    properties: EngineProperties,
    engine: EngineProfile,
    report: ReportedSpareEngine,
    items: readonly WorkItem[],
    nowMs: number,
): EngineView {
    const newItems = items.filter(item =>
        item.phase === WorkPhase.Prefill && item.phaseSinceMs > report.observedAtMs - reportDelayMs
    );
    const added = buildEngineView(properties, engine, newItems, nowMs);
    const running = report.running + added.running;
    const usedTokens = report.usedTokens + engine.memoryTokens - added.freeTokens;
    const reportedMs = Math.max(0, report.pendingPrefillMs - (nowMs - report.observedAtMs));
    const pendingPrefillMs = reportedMs + added.pendingPrefillMs;
    const passMs = properties.slowdown * computePassMs(engine, running, usedTokens);
    return {
        ...added,
        running,
        passMs,
        pendingPrefillMs,
        freeInMs: report.running === 0 ? pendingPrefillMs : Math.max(pendingPrefillMs, added.freeInMs, passMs),
        freeTokens: engine.memoryTokens - usedTokens,
        constraints: report.gapTargetMs === 0
            ? added.constraints
            : [...added.constraints, {
                gapTargetMs: report.gapTargetMs,
                slackMs: report.slackMs - added.pendingPrefillMs,
            }],
    };
}

/**
 * Places a request that the own cell has no capacity for with the help of spare engines. Answers the load in which the
 * requests of one cell exceed its engines while those of another are idle. A very long prompt gets engines only if enough
 * of them are idle now, since this gateway cannot keep engines of another cell free.
 *
 * @example
 * placeWithSpareEngines(request, views, spareViews, engine.slots, nowMs, stage, settings, placeOnEngines);
 */
export function placeWithSpareEngines(
    request: PlacementRequest,
    own: readonly EngineView[],
    spare: readonly EngineView[],
    slots: number,
    nowMs: number,
    stage: PlacementStage,
    settings: PlacementSettings,
    placeOnEngines: PlacementPolicy,
): Placement | undefined {
    if (spare.length === 0) {
        return undefined;
    }
    if (request.prefillMs <= settings.shortPrefillMs) {
        return placeOnEngines(request, spare, Math.max(1, slots - unreportedRequests), nowMs, stage, settings);
    }
    const all = [...own, ...spare];
    return placeOnEngines(request, all, slots, nowMs, stage, settings)
        ?? placeOnIdleEngines(request, all, slots, nowMs, stage);
}

function placeOnIdleEngines(
    request: PlacementRequest,
    views: readonly EngineView[],
    slots: number,
    nowMs: number,
    stage: PlacementStage,
): Placement | undefined {
    const deadlineAtMs = stage === PlacementStage.InTime ? request.dueAtMs : request.customerTimeoutAtMs;
    const claim = chooseClaim({ ...request, deadlineAtMs }, views, slots, nowMs, {
        ...defaultClaimSettings,
        maxWaitMs: 0,
    });
    return claim && placeOnClaimedEngines(request, claim.engines);
}
