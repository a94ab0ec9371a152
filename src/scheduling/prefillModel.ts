import { lengthClassCount } from "./lengthClass.js";
import { createOrderedHeap } from "./orderedHeap.js";
import { QueueEntry } from "./queueEntry.js";

/** Receives the number of prompt tokens that were computed for a queue. */
export type ServedHandler = (queueIndex: number, tokens: number) => void;

/**
 * Simulates the engine's prefill of started work: by priority, then by order of start, at the engine's prefill rate.
 * The engine reports only the first token of each request. Between those reports, the model estimates how much prefill
 * is pending and how much service each queue has received.
 */
export interface PrefillModel {
    /** Advances the model to `nowMs` and reports the tokens computed for each queue in the meantime. */
    advance(nowMs: number, tokensPerSecond: number, handleServed: ServedHandler): void;
    /**
     * Records the start of an entry.
     *
     * @param isBelowFairShare whether the engine serves the entry before others of its queue
     */
    record(entry: QueueEntry, isBelowFairShare: boolean): void;
    /**
     * Ends the prefill of an entry, at its first token or when the request ends. Returns the tokens that the model had
     * not counted as computed yet.
     */
    release(id: string): number;
    /**
     * Returns the pending prefill of a range of queues in tokens, both ends included. With `isLastBelowFairShareOnly`,
     * only entries of customers below their fair share count in the last queue.
     */
    computePendingTokens(firstQueue: number, lastQueue: number, isLastBelowFairShareOnly?: boolean): number;
    /** Priority of a started entry at the engine. */
    getPriority(id: string): number | undefined;
    /** Number of started entries of a queue that have no first token yet. */
    countInPrefill(queueIndex: number): number;
    /** Whether the model expects that the engine still has prefill work of the queue. */
    hasUnfinished(queueIndex: number): boolean;
}

interface RunningPrefill {
    readonly entry: QueueEntry;
    /** Priority at the engine. Each queue has two levels: customers below their fair share, then the others. */
    readonly level: number;
    readonly order: number;
    /** Tokens that are not counted as computed yet. */
    remainingTokens: number;
    /** Tokens that the engine could have computed since it started this prompt. */
    spentTokens: number;
}

/** Returns the index of an entry's queue: ordered by rank, then by length class. */
export function computeQueueIndex(entry: Pick<QueueEntry, "rankIndex" | "lengthClass">): number {
    return entry.rankIndex * lengthClassCount + entry.lengthClass;
}

const levelsPerQueue = 2;
const millisecondsPerSecond = 1000;
/** Share of a prompt that counts as pending until the engine reports the first token. */
const minPendingShare = 0.1;
/** Multiple of the expected prefill time after which the model moves on to the next prompt without a first token. */
const maxOverrun = 2;

/** Creates a model without started work. */
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

    /** Advances the first prefill and returns the part of `budget`, in tokens, that is left for the next ones. */
    function advanceFirst(first: RunningPrefill, budget: number, handleServed: ServedHandler): number {
        const step = Math.min(budget, Math.max(0, first.remainingTokens - first.entry.prefillTokens * minPendingShare));
        first.remainingTokens -= step;
        first.spentTokens += budget;
        addTokens(first.level, -step);
        handleServed(computeQueueIndex(first.entry), step);
        // Until its first token is reported, the engine is still computing this prompt, so the model does not move on
        // to the next one. The overrun limit keeps an engine that does not answer from blocking the model.
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
