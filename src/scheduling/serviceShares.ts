import { classShares, lengthClassCount } from "./lengthClass.js";
import { RankPolicy } from "./scheduler.js";

/**
 * Guaranteed shares of ranks, and of length classes inside a rank. What a rank with backlog lacks of its share of the
 * service is counted as owed to it; a rank that is owed more than a quantum goes before more urgent ones until most of it
 * is paid.
 */
export interface ServiceShares {
    /** Counts service in tokens, `hasBacklog` telling which lanes wanted it. */
    record(lane: number, tokens: number, hasBacklog: (lane: number) => boolean): void;
    /** Forgets what is owed to lanes and ranks without backlog, and decays the measured use to `nowMs`. */
    advance(nowMs: number, hasBacklog: (lane: number) => boolean): void;
    /** Whether the rank goes before more urgent ranks. */
    isRankOwed(rankIndex: number): boolean;
    /** Whether the lane goes before shorter prompts of its rank. */
    isLaneOwed(lane: number): boolean;
    /** Part of the endpoint's prefill rate that a lane has used lately, from 0 to 1. */
    getUse(lane: number): number;
    update(ranks: readonly RankPolicy[], tokensPerSecond: number): void;
}

/** Engine time that must be owed before a rank or lane goes first. Smaller values interrupt urgent work more often. */
const quantumMs = 200;
/** Most that is remembered as owed, as engine time; work that cannot start for long gets no unbounded turn later. */
const maxOwedMs = 1_000;
/** Time constant of the measured use. */
const useWindowMs = 10_000;
const millisecondsPerSecond = 1000;

interface Account {
    owed: number;
    first: boolean;
}

/** Creates the accounts for no ranks; `update` gives them. */
export function createServiceShares(): ServiceShares {
    let ranks: readonly RankPolicy[] = [];
    let rankAccounts: Account[] = [];
    let laneAccounts: Account[] = [];
    let laneUse: number[] = [];
    let tokensPerMs = 1;
    let lastMs: number | undefined;

    function addCredit(account: Account, tokens: number) {
        const quantum = quantumMs * tokensPerMs;
        account.owed = Math.min(maxOwedMs * tokensPerMs, Math.max(-quantum, account.owed + tokens));
        account.first = account.owed > (account.first ? quantum / 2 : quantum);
    }

    function drop(account: Account) {
        account.owed = 0;
        account.first = false;
    }

    function hasRankBacklog(rankIndex: number, hasBacklog: (lane: number) => boolean): boolean {
        for (let offset = 0; offset < lengthClassCount; offset++) {
            if (hasBacklog(rankIndex * lengthClassCount + offset)) {
                return true;
            }
        }
        return false;
    }

    return {
        record(lane, tokens, hasBacklog) {
            laneUse[lane] = (laneUse[lane] ?? 0) + tokens / tokensPerMs / useWindowMs;
            const servedRank = Math.floor(lane / lengthClassCount);
            for (let rankIndex = 0; rankIndex < ranks.length; rankIndex++) {
                const served = rankIndex === servedRank ? tokens : 0;
                if (served > 0 || hasRankBacklog(rankIndex, hasBacklog)) {
                    addCredit(rankAccounts[rankIndex]!, ranks[rankIndex]!.share * tokens - served);
                }
            }
            for (let lengthClass = 0; lengthClass < lengthClassCount; lengthClass++) {
                const other = servedRank * lengthClassCount + lengthClass;
                const served = other === lane ? tokens : 0;
                const account = laneAccounts[other];
                if (account && (served > 0 || hasBacklog(other))) {
                    addCredit(account, classShares[lengthClass as keyof typeof classShares] * tokens - served);
                }
            }
        },
        advance(nowMs, hasBacklog) {
            const factor = Math.exp(-(nowMs - (lastMs ?? nowMs)) / useWindowMs);
            lastMs = nowMs;
            for (let lane = 0; lane < laneAccounts.length; lane++) {
                laneUse[lane] = (laneUse[lane] ?? 0) * factor;
                if (!hasBacklog(lane)) {
                    drop(laneAccounts[lane]!);
                }
            }
            for (let rankIndex = 0; rankIndex < rankAccounts.length; rankIndex++) {
                if (!hasRankBacklog(rankIndex, hasBacklog)) {
                    drop(rankAccounts[rankIndex]!);
                }
            }
        },
        isRankOwed: rankIndex => rankAccounts[rankIndex]?.first ?? false,
        isLaneOwed: lane => laneAccounts[lane]?.first ?? false,
        getUse: lane => Math.min(1, laneUse[lane] ?? 0),
        update(nextRanks, tokensPerSecond) {
            tokensPerMs = Math.max(1, tokensPerSecond) / millisecondsPerSecond;
            if (nextRanks !== ranks) {
                ranks = nextRanks;
                rankAccounts = ranks.map(() => ({ owed: 0, first: false }));
                laneAccounts = Array.from({ length: ranks.length * lengthClassCount }, () => ({
                    owed: 0,
                    first: false,
                }));
                laneUse = [];
            }
        },
    };
}
