import { EngineProfile } from "../ports/servingConfiguration.js";
import { computePassMs } from "./engineTiming.js";
import { WorkItem, WorkPhase } from "./loadLedger.js";

/** Snapshot of an engine's state for placement decisions. */
export interface EngineView {
    readonly id: string;
    readonly address: string;
    /** Sort key of the engine in this gateway's order of endpoints. */
    readonly order: number;
    /** Whether the endpoint may get only one request, which tests whether it works again. */
    readonly isTrial: boolean;
    /** Factor on predicted times. It is above 1 for an engine that is slower than its model. */
    readonly slowdown: number;
    /** Requests sent to the engine that have not ended, without parts for other engines. */
    readonly running: number;
    /** Prompt parts that the engine prefills for requests of other engines. */
    readonly helperParts: number;
    /** Predicted time until all prompts on the engine are prefilled, in milliseconds. */
    readonly pendingPrefillMs: number;
    /** Predicted time until the engine has no work, in milliseconds. */
    readonly freeInMs: number;
    /** Prompts and prompt parts whose requests have produced no first event yet. */
    readonly unconfirmedPrefills: number;
    /** Predicted duration of a pass without prefill, in milliseconds. */
    readonly passMs: number;
    readonly freeTokens: number;
    /** Total memory of the engine, in tokens. */
    readonly memoryTokens: number;
    /** Latency constraints of the requests that additional prefill on this engine would delay. */
    readonly constraints: readonly LatencyConstraint[];
    /** Whether the engine runs a request that may have crashed an endpoint. */
    readonly hasSuspect: boolean;
}

/** Limit that a running request sets for additional prefill on its engine. */
export interface LatencyConstraint {
    /** Target for the longest gap between two events of the request, in milliseconds. */
    readonly gapTargetMs: number;
    /** Prefill time that can be added before the request misses a target, in milliseconds. */
    readonly slackMs: number;
    /** Hash of the name of the request's customer. */
    readonly customer?: number;
}

/** Share of the free memory that a placement may use. Another gateway may use some of it at the same time. */
export const usableMemoryShare = 0.92;
/** Share of a gap target that predictions may use. The rest covers prediction errors and network delays. */
const usableGapShare = 0.85;
/**
 * Passes until the first event: on average half a pass before prefill starts, and the pass that ends with the event.
 */
export const passesToFirstEvent = 1.5;

/** Tolerated delay of a first event beyond its prediction, in milliseconds. Beyond it the engine counts as overdue. */
const overdueToleranceMs = 40;
/** An overdue engine is assumed to need as long again as it is overdue, up to the maximum, plus the base. */
const overdueBaseMs = 80;
const maxOverdueMs = 1_000;
/** Assumed remaining time of work that should have ended already, in milliseconds. */
const minRemainingMs = 100;

/** Properties of an engine that do not depend on its current work. */
export interface EngineProperties {
    readonly id: string;
    readonly address: string;
    readonly order: number;
    readonly isTrial: boolean;
    readonly slowdown: number;
}

/**
 * Builds the view of an engine from its current work.
 *
 * @example
 * buildEngineView(properties, engine, ledger.listAt("engine-1", nowMs), nowMs);
 */
export function buildEngineView(
    properties: EngineProperties,
    engine: EngineProfile,
    items: readonly WorkItem[],
    nowMs: number,
): EngineView {
    const { slowdown } = properties;
    // A single pass without intermediate lists: each placement builds the views of all engines.
    let running = 0;
    let contextTokens = 0;
    let usedTokens = 0;
    let unconfirmedPrefills = 0;
    let hasSuspect = false;
    for (const item of items) {
        usedTokens += item.tokens;
        hasSuspect ||= item.isSuspect;
        unconfirmedPrefills += item.phase === WorkPhase.Prefill ? 1 : 0;
        if (item.gapTargetMs !== undefined) {
            running += 1;
            contextTokens += item.tokens;
        }
    }
    const passMs = slowdown * computePassMs(engine, running, contextTokens);
    const pendingPrefillMs = unconfirmedPrefills === 0 ? 0 : computePendingPrefillMs(items, slowdown, passMs, nowMs);
    let freeInMs = pendingPrefillMs;
    const constraints: LatencyConstraint[] = [];
    for (const item of items) {
        freeInMs = Math.max(freeInMs, minRemainingMs, item.endsAtMs - nowMs);
        if (item.gapTargetMs !== undefined) {
            constraints.push({
                gapTargetMs: item.gapTargetMs,
                slackMs: computeSlackMs(item, item.gapTargetMs, passMs, pendingPrefillMs, nowMs),
                customer: item.customer,
            });
        }
    }
    return {
        id: properties.id,
        address: properties.address,
        order: properties.order,
        isTrial: properties.isTrial,
        slowdown,
        running,
        helperParts: items.length - running,
        pendingPrefillMs,
        freeInMs,
        unconfirmedPrefills,
        passMs,
        freeTokens: engine.memoryTokens - usedTokens,
        memoryTokens: engine.memoryTokens,
        constraints,
        hasSuspect,
    };
}

/**
 * Predicts the time until an engine has prefilled all its prompts, in milliseconds. Prompts are prefilled together, so
 * the oldest unfinished one tells when the prefill began. If the first event is overdue, the engine is behind the
 * prediction by an unknown time.
 */
function computePendingPrefillMs(items: readonly WorkItem[], slowdown: number, passMs: number, nowMs: number): number {
    let prefillMs = 0;
    let prefillingSinceMs = Number.POSITIVE_INFINITY;
    for (const item of items) {
        if (item.phase === WorkPhase.Prefill) {
            prefillMs += item.prefillMs;
            prefillingSinceMs = Math.min(prefillingSinceMs, item.phaseSinceMs);
        }
    }
    const totalMs = slowdown * prefillMs;
    const remainingMs = totalMs - (nowMs - prefillingSinceMs);
    const overdueMs = -remainingMs - passesToFirstEvent * passMs;
    return overdueMs > overdueToleranceMs
        ? Math.min(overdueMs, maxOverdueMs) + overdueBaseMs
        : Math.max(0, remainingMs);
}

function computeSlackMs(
    item: WorkItem,
    gapTargetMs: number,
    passMs: number,
    pendingPrefillMs: number,
    nowMs: number,
): number {
    const gapSlackMs = gapTargetMs * usableGapShare - passMs;
    if (item.phase === WorkPhase.Decode) {
        return gapSlackMs - pendingPrefillMs;
    }
    // Additional prefill may start just after the first event and then delays the second one. A request that has
    // already missed its due time sets no limit for the first event.
    const remainingMs = item.dueAtMs - nowMs;
    const dueSlackMs = remainingMs <= 0
        ? Number.POSITIVE_INFINITY
        : remainingMs - pendingPrefillMs - passesToFirstEvent * passMs;
    return Math.min(gapSlackMs, dueSlackMs);
}
