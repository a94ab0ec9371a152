import { CustomerQueue } from "./customerQueue.js";
import { classShares, lengthClassCount } from "./lengthClass.js";
import { computeQueueIndex, PrefillModel } from "./prefillModel.js";
import { QueueEntry } from "./queueEntry.js";
import { RankPolicy } from "./scheduler.js";
import { ServiceShares } from "./serviceShares.js";

/** Scheduler state from which a wait is predicted. */
export interface WaitPredictionState {
    /** One queue per rank and length class, in the order of `computeQueueIndex`. */
    readonly queues: readonly CustomerQueue[];
    readonly ranks: readonly RankPolicy[];
    readonly shares: ServiceShares;
    readonly prefill: PrefillModel;
    readonly prefillTokensPerSecond: number;
}

/** Lower bound of the share of the endpoint that a prediction assumes, so that the predicted wait stays finite. */
const minFraction = 0.01;
const millisecondsPerSecond = 1000;

/**
 * Predicts how long an entry waits before its prefill starts, in milliseconds: the smaller of the wait under strict
 * priority between ranks and the wait under the guaranteed share of the entry's rank.
 */
export function predictWaitMs(entry: QueueEntry, state: WaitPredictionState): number {
    const { queues, shares, ranks } = state;
    const queueIndex = computeQueueIndex(entry);
    const firstOfRank = entry.rankIndex * lengthClassCount;
    let moreUrgentMs = 0;
    let moreUrgentUse = 0;
    for (let other = 0; other < firstOfRank; other++) {
        moreUrgentMs += queues[other]!.getQueuedMs();
        moreUrgentUse += shares.getUse(other);
    }
    let shorterMs = 0;
    for (let other = firstOfRank; other < queueIndex; other++) {
        shorterMs += queues[other]!.getQueuedMs();
    }
    const aheadMs = queues[queueIndex]!.computeAheadMs(entry);
    const ownMs = Math.min(shorterMs + aheadMs, aheadMs / classShares[entry.lengthClass]);
    const runningMs = state.prefill.computePendingTokens(0, queueIndex)
        / Math.max(1, state.prefillTokensPerSecond) * millisecondsPerSecond;
    const strictFraction = 1 - moreUrgentUse - computeLowerGuarantees(entry.rankIndex, state);
    const strictMs = (runningMs + moreUrgentMs + ownMs) / Math.max(minFraction, strictFraction);
    const share = ranks[entry.rankIndex]?.share ?? 0;
    const ownRunningMs = state.prefill.computePendingTokens(firstOfRank, queueIndex)
        / Math.max(1, state.prefillTokensPerSecond) * millisecondsPerSecond;
    return share > 0 ? Math.min(strictMs, (ownRunningMs + ownMs) / share) : strictMs;
}

/** Sum of the guaranteed shares of less urgent ranks that have queued work. */
function computeLowerGuarantees(rankIndex: number, { queues, ranks }: WaitPredictionState): number {
    let sum = 0;
    for (let other = rankIndex + 1; other < ranks.length; other++) {
        const first = other * lengthClassCount;
        if (queues.slice(first, first + lengthClassCount).some(queue => queue.getSize() > 0)) {
            sum += ranks[other]!.share;
        }
    }
    return sum;
}
