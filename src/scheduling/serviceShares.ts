import { classShares, lengthClassCount } from "./lengthClass.js";
import { RankPolicy } from "./scheduler.js";

/**
 * Guaranteed shares of ranks, and of length classes inside a rank, by deficit accounting. While a rank has a backlog,
 * its deficit grows by its share of the endpoint's service and falls by the service that it receives. A rank whose
 * deficit exceeds a quantum goes ahead of more urgent ranks until the deficit has fallen to half a quantum. Length
 * classes inside a rank are treated in the same way.
 */
export interface ServiceShares {
    /**
     * Records service in tokens.
     *
     * @param hasBacklog whether a queue has work, so that it competed for the service
     */
    record(queueIndex: number, tokens: number, hasBacklog: (queueIndex: number) => boolean): void;
    /** Resets the deficit of queues and ranks without backlog, and decays the measured use to `nowMs`. */
    advance(nowMs: number, hasBacklog: (queueIndex: number) => boolean): void;
    /** Whether the rank goes ahead of more urgent ranks. */
    hasRankPrecedence(rankIndex: number): boolean;
    /** Whether the queue goes ahead of those of shorter prompts of its rank. */
    hasQueuePrecedence(queueIndex: number): boolean;
    /** Share of the endpoint's prefill rate that a queue has used recently, from 0 to 1. */
    getUse(queueIndex: number): number;
    update(ranks: readonly RankPolicy[], tokensPerSecond: number): void;
}

/** Deficit, as engine time, above which a rank or queue goes first. Smaller values interrupt urgent work more often. */
const quantumMs = 200;
/**
 * Upper bound of a deficit, as engine time, so that work that could not start for a long time does not monopolize the
 * engine later.
 */
const maxDeficitMs = 1_000;
/** Time constant of the decay of the measured use. */
const useWindowMs = 10_000;
const millisecondsPerSecond = 1000;

interface ShareAccount {
    /** Guaranteed service that has not been received yet, in tokens. Negative if more has been received. */
    deficit: number;
    hasPrecedence: boolean;
}

/** Creates the shares without ranks, which `update` sets. */
export function createServiceShares(): ServiceShares {
    let ranks: readonly RankPolicy[] = [];
    let rankAccounts: ShareAccount[] = [];
    let queueAccounts: ShareAccount[] = [];
    let queueUse: number[] = [];
    let tokensPerMs = 1;
    let lastMs: number | undefined;

    function addDeficit(account: ShareAccount, tokens: number) {
        const quantum = quantumMs * tokensPerMs;
        account.deficit = Math.min(maxDeficitMs * tokensPerMs, Math.max(-quantum, account.deficit + tokens));
        account.hasPrecedence = account.deficit > (account.hasPrecedence ? quantum / 2 : quantum);
    }

    function forgetDeficit(account: ShareAccount) {
        account.deficit = 0;
        account.hasPrecedence = false;
    }

    function hasRankBacklog(rankIndex: number, hasBacklog: (queueIndex: number) => boolean): boolean {
        for (let offset = 0; offset < lengthClassCount; offset++) {
            if (hasBacklog(rankIndex * lengthClassCount + offset)) {
                return true;
            }
        }
        return false;
    }

    return {
        record(queueIndex, tokens, hasBacklog) {
            queueUse[queueIndex] = (queueUse[queueIndex] ?? 0) + tokens / tokensPerMs / useWindowMs;
            const servedRank = Math.floor(queueIndex / lengthClassCount);
            for (let rankIndex = 0; rankIndex < ranks.length; rankIndex++) {
                const served = rankIndex === servedRank ? tokens : 0;
                if (served > 0 || hasRankBacklog(rankIndex, hasBacklog)) {
                    addDeficit(rankAccounts[rankIndex]!, ranks[rankIndex]!.share * tokens - served);
                }
            }
            for (let lengthClass = 0; lengthClass < lengthClassCount; lengthClass++) {
                const other = servedRank * lengthClassCount + lengthClass;
                const served = other === queueIndex ? tokens : 0;
                const account = queueAccounts[other];
                if (account && (served > 0 || hasBacklog(other))) {
                    addDeficit(account, classShares[lengthClass as keyof typeof classShares] * tokens - served);
                }
            }
        },
        advance(nowMs, hasBacklog) {
            const factor = Math.exp(-(nowMs - (lastMs ?? nowMs)) / useWindowMs);
            lastMs = nowMs;
            for (let queueIndex = 0; queueIndex < queueAccounts.length; queueIndex++) {
                queueUse[queueIndex] = (queueUse[queueIndex] ?? 0) * factor;
                if (!hasBacklog(queueIndex)) {
                    forgetDeficit(queueAccounts[queueIndex]!);
                }
            }
            for (let rankIndex = 0; rankIndex < rankAccounts.length; rankIndex++) {
                if (!hasRankBacklog(rankIndex, hasBacklog)) {
                    forgetDeficit(rankAccounts[rankIndex]!);
                }
            }
        },
        hasRankPrecedence: rankIndex => rankAccounts[rankIndex]?.hasPrecedence ?? false,
        hasQueuePrecedence: queueIndex => queueAccounts[queueIndex]?.hasPrecedence ?? false,
        getUse: queueIndex => Math.min(1, queueUse[queueIndex] ?? 0),
        update(nextRanks, tokensPerSecond) {
            tokensPerMs = Math.max(1, tokensPerSecond) / millisecondsPerSecond;
            if (nextRanks !== ranks) {
                ranks = nextRanks;
                rankAccounts = ranks.map(() => ({ deficit: 0, hasPrecedence: false }));
                queueAccounts = Array.from({ length: ranks.length * lengthClassCount }, () => ({
                    deficit: 0,
                    hasPrecedence: false,
                }));
                queueUse = [];
            }
        },
    };
}
