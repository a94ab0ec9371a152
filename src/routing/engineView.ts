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
    readonly helping: number;
    /** Predicted time until all prompts that it has are read, in milliseconds. */
    readonly unreadMs: number;
    /** Predicted time until all the work that it has is done, in milliseconds. */
    readonly freeInMs: number;
    /** Prompts, or parts of them, whose requests have had no first event yet. */
    readonly unconfirmedReads: number;
    /** Predicted duration of a pass without reads, in milliseconds. */
    readonly passMs: number;
    readonly freeTokens: number;
    /** Memory of the idle engine, in tokens. */
    readonly memoryTokens: number;
    /** Pause aims and due times of the work that further reads delay. */
    readonly constraints: readonly Constraint[];
    readonly hasSuspect: boolean;
}

/** A piece of work that further reads must not delay beyond its aim. */
export interface Constraint {
    readonly pauseAimMs: number;
    /** Reads that may still be added before this work is late, in milliseconds. */
    readonly roomMs: number;
}

/** Share of the free memory that a decision may count on; other gateways may take some meanwhile. */
export const memoryMargin = 0.92;
/** Share of a pause aim that predictions may use; the rest covers their error and the network. */
const pauseMargin = 0.85;
/** A prompt starts to be read half a pass after it arrives on average, and its first event ends a pass. */
export const passesToFirstEvent = 1.5;

/** Time by which a first event may exceed its prediction before its engine counts as behind, in milliseconds. */
const overdueToleranceMs = 40;
/** Bounds of the time that an engine behind its prediction is taken to need, in milliseconds. */
const leastBehindMs = 80;
const longestBehindMs = 1_000;
/** Time that work which should have ended is taken to need, in milliseconds. */
const leastEndMs = 100;

/** What is known of an engine besides its work. */
export interface EngineFacts {
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
    facts: EngineFacts,
    engine: EngineModel,
    items: readonly WorkItem[],
    nowMs: number,
): EngineView {
    const main = items.filter(item => item.pauseAimMs !== undefined);
    const contextTokens = main.reduce((sum, item) => sum + item.tokens, 0);
    const passMs = facts.pace * computePassMs(engine, main.length, contextTokens);
    const unreadMs = computeUnreadMs(items, facts.pace, passMs, nowMs);
    return {
        ...facts,
        running: main.length,
        helping: items.length - main.length,
        unreadMs,
        freeInMs: Math.max(unreadMs, ...items.map(item => Math.max(leastEndMs, item.endsAtMs - nowMs))),
        unconfirmedReads: items.filter(item => item.phase === WorkPhase.Reading).length,
        passMs,
        freeTokens: engine.memoryTokens - items.reduce((sum, item) => sum + item.tokens, 0),
        memoryTokens: engine.memoryTokens,
        constraints: main.map(item => ({
            pauseAimMs: item.pauseAimMs!,
            roomMs: computeRoomMs(item, passMs, unreadMs, nowMs),
        })),
        hasSuspect: items.some(item => item.isSuspect),
    };
}

/**
 * Prompts are read together, so that the oldest unread one tells since when the engine reads. Where its first event is
 * overdue, the engine is behind the prediction by an unknown time.
 */
function computeUnreadMs(items: readonly WorkItem[], pace: number, passMs: number, nowMs: number): number {
    const readers = items.filter(item => item.phase === WorkPhase.Reading);
    if (readers.length === 0) {
        return 0;
    }
    const totalMs = pace * readers.reduce((sum, item) => sum + item.readMs, 0);
    const readingSinceMs = Math.min(...readers.map(item => item.phaseSinceMs));
    const remainingMs = totalMs - (nowMs - readingSinceMs);
    const overdueMs = -remainingMs - passesToFirstEvent * passMs;
    return overdueMs > overdueToleranceMs
        ? Math.min(overdueMs, longestBehindMs) + leastBehindMs
        : Math.max(0, remainingMs);
}

function computeRoomMs(item: WorkItem, passMs: number, unreadMs: number, nowMs: number): number {
    const pauseRoomMs = item.pauseAimMs! * pauseMargin - passMs;
    if (item.phase === WorkPhase.Writing) {
        return pauseRoomMs - unreadMs;
    }
    // Further reads may come just after the first event. Work that is late already cannot be made late.
    const leftMs = item.dueAtMs - nowMs;
    const dueRoomMs = leftMs <= 0 ? Number.POSITIVE_INFINITY : leftMs - unreadMs - passesToFirstEvent * passMs;
    return Math.min(pauseRoomMs, dueRoomMs);
}
