import { Backlog } from "./backlog.js";
import { CustomerQueue } from "./customerQueue.js";
import { LengthClass, lengthClassCount } from "./lengthClass.js";
import { MemoryLedger } from "./memoryLedger.js";
import { PrefillModel } from "./prefillModel.js";
import { RankPolicy, SchedulerReport } from "./scheduler.js";

/** Number of queued long prompts from which on the endpoint reports that it accepts no more of them. */
const maxQueuedLongPrompts = 2;

/** State from which the report of a scheduler is built. */
export interface SchedulerState {
    readonly ranks: readonly RankPolicy[];
    /** A queue for each length class of each rank, the most urgent rank first. */
    readonly queues: readonly CustomerQueue[];
    readonly prefill: PrefillModel;
    readonly ledger: MemoryLedger;
    readonly backlog: Backlog;
}

/**
 * Builds the load report that an endpoint sends to entries.
 *
 * @example
 * const { queued, acceptsLongPrompts } = buildSchedulerReport(state);
 */
export function buildSchedulerReport({ ranks, queues, prefill, ledger, backlog }: SchedulerState): SchedulerReport {
    const countTokens = (firstQueue: number, lastQueue: number) => {
        const waiting = queues.slice(firstQueue, lastQueue + 1)
            .reduce((sum, queue) => sum + queue.getQueuedTokens(), 0);
        return Math.round(waiting + prefill.computePendingTokens(firstQueue, lastQueue));
    };
    const longWaiting = queues.filter((queue, queueIndex) => queueIndex % lengthClassCount === Number(LengthClass.Long))
        .reduce((sum, queue) => sum + queue.getSize(), 0);
    return {
        running: ledger.getRunning(),
        queued: backlog.getSize(),
        queuedBytes: backlog.getBytes(),
        pendingPrefillTokens: countTokens(0, queues.length - 1),
        reservedTokens: ledger.getReservedTokens(),
        largestRequestTokens: ledger.getLargestReservation(LengthClass.Long),
        ranks: ranks.map((rank, rankIndex) => {
            const first = rankIndex * lengthClassCount;
            return {
                rank: rank.name,
                queued: backlog.getRankSize(rankIndex),
                queuedTokens: backlog.getRankTokens(rankIndex),
                pendingShortTokens: countTokens(first, first),
                pendingLongTokens: countTokens(first + 1, first + lengthClassCount - 1),
            };
        }),
        acceptsLongPrompts: longWaiting < maxQueuedLongPrompts,
    };
}
