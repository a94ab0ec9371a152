/** Limits hedges to a share of a service's requests and of its engine time in a sliding window. Times in milliseconds. */
export interface HedgeBudget {
    /** Counts a request, whether it may be hedged or not. */
    recordRequest(nowMs: number): void;
    /** Adds the engine time of a request without that of its hedge. */
    recordWork(workMs: number, nowMs: number): void;
    /** Returns whether a hedge of this predicted engine time is within both limits. */
    hasRoom(workMs: number, nowMs: number): boolean;
    /** Counts a hedge of this predicted engine time. Returns false and counts nothing if it exceeds a limit. */
    acquire(workMs: number, nowMs: number): boolean;
    /** Adds the engine time by which a hedge has exceeded the predicted one. */
    recordExcess(workMs: number, nowMs: number): void;
}

/** Length of the window in which the share holds, in milliseconds. */
export const hedgeWindowMs = 10_000;
/**
 * Share of the limit that is used. A window that ends after a hedge can contain fewer requests than the one that ends
 * with it, on which the decision is based.
 */
const usableShare = 0.8;
/** Number of buckets of the window. The bucket that leaves the window counts for hedges and not for requests. */
const bucketCount = 50;
const bucketMs = hedgeWindowMs / bucketCount;

/** Tolerance for sums of shares, which are not exact in binary fractions. */
const roundingTolerance = 1e-9;

interface WindowSum {
    add(amount: number, nowMs: number): void;
    /** Sum over the window: a part of the oldest bucket is outside the window. */
    getSum(nowMs: number, withOldest: boolean): number;
}

function createWindowSum(): WindowSum {
    const sums = new Array<number>(bucketCount + 1).fill(0);
    let newest = 0;

    function advanceTo(nowMs: number): void {
        const bucket = Math.floor(nowMs / bucketMs);
        for (let next = Math.max(newest + 1, bucket - bucketCount); next <= bucket; next++) {
            sums[next % sums.length] = 0;
        }
        newest = Math.max(newest, bucket);
    }

    return {
        add(amount, nowMs) {
            advanceTo(nowMs);
            sums[newest % sums.length]! += amount;
        },
        getSum(nowMs, withOldest) {
            advanceTo(nowMs);
            const all = sums.reduce((sum, amount) => sum + amount, 0);
            return withOldest ? all : all - sums[(newest + 1) % sums.length]!;
        },
    };
}

/**
 * Creates the budget of one service at one gateway. Each gateway limits hedges to the share of its own requests, so that
 * the share holds for all gateways together without coordination.
 *
 * @example
 * const budget = createHedgeBudget(0.05);
 * budget.recordRequest(timers.now());
 * budget.acquire(20, timers.now()); // false until enough requests were recorded
 */
export function createHedgeBudget(share: number): HedgeBudget {
    const limit = share * usableShare + roundingTolerance;
    const requests = createWindowSum();
    const work = createWindowSum();
    const hedges = createWindowSum();
    const hedgeWork = createWindowSum();

    function hasRoom(workMs: number, nowMs: number): boolean {
        return hedges.getSum(nowMs, true) + 1 <= limit * requests.getSum(nowMs, false)
            && hedgeWork.getSum(nowMs, true) + workMs <= limit * work.getSum(nowMs, false);
    }

    return {
        recordRequest: nowMs => requests.add(1, nowMs),
        recordWork: (workMs, nowMs) => work.add(workMs, nowMs),
        hasRoom,
        acquire(workMs, nowMs) {
            if (!hasRoom(workMs, nowMs)) {
                return false;
            }
            hedges.add(1, nowMs);
            hedgeWork.add(workMs, nowMs);
            return true;
        },
        recordExcess: (workMs, nowMs) => hedgeWork.add(workMs, nowMs),
    };
}
