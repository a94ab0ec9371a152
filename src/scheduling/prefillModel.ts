import { lengthClassCount } from "./lengthClass.js";
import { createOrderedHeap } from "./orderedHeap.js";
import { QueueEntry } from "./queueEntry.js";

/** Receives the tokens that a lane has been served. */
export type ServedHandler = (queueIndex: number, tokens: number) => void;

/**
 * Prefill of started work as the engine runs it: by priority, then by start, at the engine's measured rate. The engine
 * shows only the first token; the model shows what is still ahead of an item and what each lane has received.
 */
export interface PrefillModel {
    /** Moves the model to `nowMs` and reports the tokens that lanes received meanwhile. */
    advance(nowMs: number, tokensPerSecond: number, handleServed: ServedHandler): void;
    /** @param isBelowFairShare whether the engine serves the entry before others of its lane */
    record(entry: QueueEntry, isBelowFairShare: boolean): void;
    /** The prefill is over, by the first token or the end. Returns the tokens that the model had not counted yet. */
    release(id: string): number;
    /** Tokens not yet computed of a range of lanes, both ends included; of the last lane only light work if so asked. */
    computePendingTokens(firstQueue: number, lastQueue: number, isLastBelowFairShareOnly?: boolean): number;
    /** Priority of a started entry at the engine. */
    getPriority(id: string): number | undefined;
    /** Started items of a lane without a first token. */
    countInPrefill(queueIndex: number): number;
    /** Whether the engine still has prefill to do for the lane, by the model. */
    hasUnfinished(queueIndex: number): boolean;
}

interface RunningPrefill {
    readonly entry: QueueEntry;
    /** Priority at the engine: two levels in each lane. */
    readonly level: number;
    readonly order: number;
    /** Tokens that are not counted as served yet. */
    remainingTokens: number;
    /** What the engine could have computed since it reached this prompt, in tokens. */
    spentTokens: number;
}

/** Lane of an entry: rank by rank, in each rank by length class. */
export function computeQueueIndex(entry: Pick<QueueEntry, "rankIndex" | "lengthClass">): number {
    return entry.rankIndex * lengthClassCount + entry.lengthClass;
}

const levelsPerQueue = 2;
const millisecondsPerSecond = 1000;
/** Part of a prompt that counts as pending until its first token, whatever the model says. */
const minPendingShare = 0.1;
/** Multiple of the expected prefill time after which the model passes on from a prompt without a first token. */
const maxOverrun = 2;

/** Creates the model without running work. */
export function createPrefillModel(): PrefillModel {
    const running = new Map<string, RunningPrefill>();
    const levelTokens: number[] = [];
    const prefillCounts: number[] = [];
    const unfinishedCounts: number[] = [];
    const unfinished = createOrderedHeap<RunningPrefill>((left, right) =>
        left.level - right.level || left.order - right.order
    );
    let nextOrder = 0;
    let lastMs: number | undefined;

    function addTokens(level: number, tokens: number) {
        levelTokens[level] = Math.max(0, (levelTokens[level] ?? 0) + tokens);
    }

    function removeUnfinished(prefill: RunningPrefill) {
        if (unfinished.remove(prefill)) {
            unfinishedCounts[computeQueueIndex(prefill.entry)]!--;
        }
    }

    /** Moves one prefill and returns the tokens of `budget` that are left for those behind it. */
    function advanceFirst(first: RunningPrefill, budget: number, handleServed: ServedHandler): number {
        const step = Math.min(budget, Math.max(0, first.remainingTokens - first.entry.prefillTokens * minPendingShare));
        first.remainingTokens -= step;
        first.spentTokens += budget;
        addTokens(first.level, -step);
        handleServed(computeQueueIndex(first.entry), step);
        // Until its first token comes, the engine is still at this prompt; the model does not pass on to the next. An
        // engine that does not answer within this factor must not stop the model.
        const left = first.spentTokens - first.entry.prefillTokens * maxOverrun;
        if (left >= 0) {
            removeUnfinished(first);
            return Math.min(budget, left);
        }
        return 0;
    }

    return {
        advance(nowMs, tokensPerSecond, handleServed) {
            let budget = Math.max(0, nowMs - (lastMs ?? nowMs)) * tokensPerSecond / millisecondsPerSecond;
            lastMs = nowMs;
            for (let first = unfinished.getFirst(); first && budget > 0; first = unfinished.getFirst()) {
                budget = advanceFirst(first, budget, handleServed);
            }
        },
        record(entry, isBelowFairShare) {
            const queueIndex = computeQueueIndex(entry);
            const level = queueIndex * levelsPerQueue + (isBelowFairShare ? 0 : 1);
            const remainingTokens = entry.prefillTokens;
            const prefill = { entry, level, order: nextOrder++, remainingTokens, spentTokens: 0 };
            running.set(entry.item.id, prefill);
            unfinished.enqueue(prefill);
            addTokens(level, entry.prefillTokens);
            prefillCounts[queueIndex] = (prefillCounts[queueIndex] ?? 0) + 1;
            unfinishedCounts[queueIndex] = (unfinishedCounts[queueIndex] ?? 0) + 1;
        },
        release(id) {
            const prefill = running.get(id);
            if (!prefill) {
                return 0;
            }
            const queueIndex = computeQueueIndex(prefill.entry);
            running.delete(id);
            removeUnfinished(prefill);
            prefillCounts[queueIndex] = prefillCounts[queueIndex]! - 1;
            addTokens(prefill.level, -prefill.remainingTokens);
            return prefill.remainingTokens;
        },
        computePendingTokens(firstQueue, lastQueue, isLastBelowFairShareOnly = false) {
            let sum = 0;
            const end = (lastQueue + 1) * levelsPerQueue - (isLastBelowFairShareOnly ? 1 : 0);
            for (let level = firstQueue * levelsPerQueue; level < end; level++) {
                sum += levelTokens[level] ?? 0;
            }
            return sum;
        },
        getPriority: id => running.get(id)?.level,
        countInPrefill: queueIndex => prefillCounts[queueIndex] ?? 0,
        hasUnfinished: queueIndex => (unfinishedCounts[queueIndex] ?? 0) > 0,
    };
}
