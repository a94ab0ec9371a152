import { CustomerQueue } from "./customerQueue.js";
import { classShares, lengthClassCount } from "./lengthClass.js";
import { computeLane, PrefillModel } from "./prefillModel.js";
import { QueueEntry } from "./queueEntry.js";
import { RankPolicy } from "./scheduler.js";
import { ServiceShares } from "./serviceShares.js";

/** State that a prediction reads. */
export interface EstimateState {
    readonly lanes: readonly CustomerQueue[];
    readonly ranks: readonly RankPolicy[];
    readonly shares: ServiceShares;
    readonly prefill: PrefillModel;
    readonly prefillTokensPerSecond: number;
}

/** Smallest part of the endpoint that a prediction assumes, so that it stays finite. */
const minFraction = 0.01;
const millisecondsPerSecond = 1000;

/**
 * Predicts how long an entry waits before its prefill starts, in milliseconds: by strict order of urgency, or by the
 * guaranteed share of its rank where that is sooner.
 */
export function predictWaitMs(entry: QueueEntry, state: EstimateState): number {
    const { lanes, shares, ranks } = state;
    const lane = computeLane(entry);
    const firstLane = entry.rankIndex * lengthClassCount;
    let moreUrgentMs = 0;
    let moreUrgentUse = 0;
    for (let other = 0; other < firstLane; other++) {
        moreUrgentMs += lanes[other]!.getQueuedMs();
        moreUrgentUse += shares.getUse(other);
    }
    let shorterMs = 0;
    for (let other = firstLane; other < lane; other++) {
        shorterMs += lanes[other]!.getQueuedMs();
    }
    const aheadMs = lanes[lane]!.computeAheadMs(entry);
    const ownMs = Math.min(shorterMs + aheadMs, aheadMs / classShares[entry.lengthClass]);
    const runningMs = state.prefill.computePendingTokens(0, lane)
        / Math.max(1, state.prefillTokensPerSecond) * millisecondsPerSecond;
    const strictFraction = 1 - moreUrgentUse - computeLowerGuarantees(entry.rankIndex, state);
    const strictMs = (runningMs + moreUrgentMs + ownMs) / Math.max(minFraction, strictFraction);
    const share = ranks[entry.rankIndex]?.share ?? 0;
    const ownRunningMs = state.prefill.computePendingTokens(firstLane, lane)
        / Math.max(1, state.prefillTokensPerSecond) * millisecondsPerSecond;
    return share > 0 ? Math.min(strictMs, (ownRunningMs + ownMs) / share) : strictMs;
}

function computeLowerGuarantees(rankIndex: number, { lanes, ranks }: EstimateState): number {
    let sum = 0;
    for (let other = rankIndex + 1; other < ranks.length; other++) {
        const first = other * lengthClassCount;
        if (lanes.slice(first, first + lengthClassCount).some(lane => lane.getSize() > 0)) {
            sum += ranks[other]!.share;
        }
    }
    return sum;
}
