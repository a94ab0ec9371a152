import { EngineModel } from "../ports/servingConfiguration.js";
import { computePassMs } from "./engineTiming.js";
import { WorkItem, WorkPhase } from "./loadLedger.js";

/** What placement knows of one engine at one moment. */
export interface EngineView {
    readonly id: string;
    readonly address: string;
    /** Position in this gateway's order of endpoints. */
    readonly order: number;
    /** Whether only one request, which tries the endpoint, may be sent. */
    readonly isTrial: boolean;
    /** Factor on predicted times; over 1 where the engine is slow. */
    readonly pace: number;
    /** Requests that it runs or will run. */
    readonly running: number;
    /** Prompt parts that it reads for requests of other engines. */
    readonly helperParts: number;
    /** Predicted time until all prompts that it has are read, in milliseconds. */
    readonly unreadMs: number;
    /** Predicted time until all the work that it has is done, in milliseconds. */
    readonly freeInMs: number;
    /** Prompts, or parts of them, whose requests have had no first event yet. */
    readonly unconfirmedPrefills: number;
    /** Predicted duration of a pass without reads, in milliseconds. */
    readonly passMs: number;
    readonly freeTokens: number;
    /** Memory of the idle engine, in tokens. */
    readonly memoryTokens: number;
    /** Pause aims and due times of the work that further reads delay. */
    readonly constraints: readonly LatencyConstraint[];
    readonly hasSuspect: boolean;
}

/** A piece of work that further reads must not delay beyond its aim. */
export interface LatencyConstraint {
    readonly gapTargetMs: number;
    /** Reads that may still be added before this work is late, in milliseconds. */
    readonly slackMs: number;
}

/** Share of the free memory that a decision may count on; other gateways may take some meanwhile. */
export const usableMemoryShare = 0.92;
/** Share of a pause aim that predictions may use; the rest covers their error and the network. */
const usableGapShare = 0.85;
/** A prompt starts to be read half a pass after it arrives on average, and its first event ends a pass. */
export const passesToFirstEvent = 1.5;

/** Time by which a first event may exceed its prediction before its engine counts as behind, in milliseconds. */
const overdueToleranceMs = 40;
/** Bounds of the time that an engine behind its prediction is taken to need, in milliseconds. */
const overdueBaseMs = 80;
const maxOverdueMs = 1_000;
/** Time that work which should have ended is taken to need, in milliseconds. */
const minRemainingMs = 100;

/** What is known of an engine besides its work. */
export interface EngineProperties {
    readonly id: string;
    readonly address: string;
    readonly order: number;
    readonly isTrial: boolean;
    readonly pace: number;
}

/**
 * Builds the view of an engine from the work that it has.
 *
 * @example
 * buildEngineView(facts, engine, ledger.listAt("engine-1", nowMs), nowMs);
 */
export function buildEngineView(
    properties: EngineProperties,
    engine: EngineModel,
    items: readonly WorkItem[],
    nowMs: number,
): EngineView {
    const answeredItems = items.filter(item => item.pauseAimMs !== undefined);
    const contextTokens = answeredItems.reduce((sum, item) => sum + item.tokens, 0);
    const passMs = properties.pace * computePassMs(engine, answeredItems.length, contextTokens);
    const pendingPrefillMs = computePendingPrefillMs(items, properties.pace, passMs, nowMs);
    return {
        ...properties,
        running: answeredItems.length,
        helperParts: items.length - answeredItems.length,
        unreadMs: pendingPrefillMs,
        freeInMs: Math.max(pendingPrefillMs, ...items.map(item => Math.max(minRemainingMs, item.endsAtMs - nowMs))),
        unconfirmedPrefills: items.filter(item => item.phase === WorkPhase.Reading).length,
        passMs,
        freeTokens: engine.memoryTokens - items.reduce((sum, item) => sum + item.tokens, 0),
        memoryTokens: engine.memoryTokens,
        constraints: answeredItems.map(item => ({
            gapTargetMs: item.pauseAimMs!,
            slackMs: computeSlackMs(item, passMs, pendingPrefillMs, nowMs),
        })),
        hasSuspect: items.some(item => item.isSuspect),
    };
}

/**
 * Prompts are read together, so that the oldest unread one tells since when the engine reads. Where its first event is
 * overdue, the engine is behind the prediction by an unknown time.
 */
function computePendingPrefillMs(items: readonly WorkItem[], slowdown: number, passMs: number, nowMs: number): number {
    const prefilling = items.filter(item => item.phase === WorkPhase.Reading);
    if (prefilling.length === 0) {
        return 0;
    }
    const totalMs = slowdown * prefilling.reduce((sum, item) => sum + item.readMs, 0);
    const prefillingSinceMs = Math.min(...prefilling.map(item => item.phaseSinceMs));
    const remainingMs = totalMs - (nowMs - prefillingSinceMs);
    const overdueMs = -remainingMs - passesToFirstEvent * passMs;
    return overdueMs > overdueToleranceMs
        ? Math.min(overdueMs, maxOverdueMs) + overdueBaseMs
        : Math.max(0, remainingMs);
}

function computeSlackMs(item: WorkItem, passMs: number, pendingPrefillMs: number, nowMs: number): number {
    const gapSlackMs = item.pauseAimMs! * usableGapShare - passMs;
    if (item.phase === WorkPhase.Writing) {
        return gapSlackMs - pendingPrefillMs;
    }
    // Further reads may come just after the first event. Work that is late already cannot be made late.
    const remainingMs = item.dueAtMs - nowMs;
    const dueSlackMs = remainingMs <= 0
        ? Number.POSITIVE_INFINITY
        : remainingMs - pendingPrefillMs - passesToFirstEvent * passMs;
    return Math.min(gapSlackMs, dueSlackMs);
}
