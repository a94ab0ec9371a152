/** How many gateways use an endpoint, and how many of them know of each other's requests. */
export interface LimitSharing {
    /** Gateways that use the endpoint, this one included. */
    readonly gateways: number;
    /** Those whose requests this gateway hears of, this one included. */
    readonly heard: number;
}

/** Keeps the requests of all gateways to endpoints within the limits that these have named. */
export interface LimitBudget {
    /** Sets the limit of an endpoint in requests a second; `undefined` for none. */
    setLimit(endpoint: string, perSecond: number | undefined, nowMs: number): void;
    isLimited(endpoint: string): boolean;
    /** Returns whether this gateway may send a request now. Always true for an endpoint without a limit. */
    canSend(endpoint: string, sharing: LimitSharing, nowMs: number): boolean;
    /** Returns what `canSend` would return, without updating the allowance. */
    peekSend(endpoint: string, sharing: LimitSharing, nowMs: number): boolean;
    /** Records a request of this gateway, or of another one that it has heard of. */
    recordDispatch(endpoint: string, isOwn: boolean, sharing: LimitSharing, nowMs: number): void;
    /** Returns the requests a second that this gateway can expect to send if all others send as many. */
    getShare(endpoint: string, sharing: LimitSharing): number;
    /** Returns the time since any gateway is known to have sent a request, or since the limit is known. */
    getIdleMs(endpoint: string, nowMs: number): number;
}

/** Share of a limit that is used. The rest covers requests that this gateway does not hear of in time. */
const usableShare = 0.95;
/** Share of a limit that is divided among the gateways and not lent, so that none goes without while others are busy. */
const ownShare = 0.2;
/**
 * Time for which an unused request can still be sent, in seconds. All gateways of a service that was idle would otherwise
 * send one each at the same time.
 */
const maxIdleSeconds = 1;
/** Time over which gateways that hear of each other spread their next request, in seconds; longer than a message takes. */
const spreadSeconds = 0.1;
/**
 * Time by which a gateway that has sent a request puts off its next one until the others have had their turns, in
 * seconds. The allowances that gateways compute differ by up to about a request, a difference that stays: without turns,
 * the gateway with the lowest one never sends. Shorter than `maxIdleSeconds`, after which the request would be dropped.
 */
const turnSeconds = 0.8;
/** Most requests beyond the limit that are made up for later. Others may know nothing of the limit for some time. */
const maxDebtSeconds = 2;
const minDebt = 3;
/**
 * Lowest rate at which an endpoint is asked, in requests a second of all gateways together, whatever limit it names: only
 * its answers show that the limit has ended.
 */
const minPerSecond = 0.05;
const millisecondsPerSecond = 1_000;

interface Bucket {
    perSecond: number;
    /** Requests that the gateways that hear of each other may send. */
    shared: number;
    /** Requests that this gateway may send in any case. */
    own: number;
    /** Rate at which `shared` grows. */
    sharedPerSecond: number;
    /** Random number from 0 to 1, another one after each request. */
    spread: number;
    /** Requests of others after which it is this gateway's turn again. */
    turnsOfOthers: number;
    updatedAtMs: number;
    lastDispatchAtMs: number;
}

/**
 * Creates a budget without limits.
 *
 * Gateways that hear of each other's requests draw on one allowance, which each of them computes for itself. It is the
 * part of the limit that falls to these gateways; the rest belongs to those that are not heard, which may know just as
 * much. A gateway that hears nobody thereby has its equal share, and the sum stays within the limit.
 *
 * @example
 * budget.setLimit("engine-1", 0.5, nowMs);
 * if (budget.canSend("engine-1", sharing, nowMs)) {
 *     budget.recordDispatch("engine-1", true, sharing, nowMs);
 * }
 */
export function createLimitBudget(random: () => number): LimitBudget {
    const buckets = new Map<string, Bucket>();

    function updateBucket(bucket: Bucket, { gateways, heard }: LimitSharing, nowMs: number): void {
        const seconds = Math.max(0, nowMs - bucket.updatedAtMs) / millisecondsPerSecond;
        bucket.sharedPerSecond = usableShare * bucket.perSecond * Math.min(1, heard / gateways);
        bucket.shared = addAllowance(bucket.shared, bucket.sharedPerSecond, seconds);
        bucket.own = addAllowance(bucket.own, ownShare * bucket.perSecond / gateways, seconds);
        bucket.updatedAtMs = nowMs;
    }

    /** Returns whether the common allowance permits a request, each gateway at a slightly different time. */
    function isSharedOpen({ shared, sharedPerSecond, spread, turnsOfOthers }: Bucket): boolean {
        const turnDelaySeconds = turnsOfOthers > 0 ? turnSeconds : 0;
        return shared >= 1 + (turnDelaySeconds + spread * spreadSeconds) * sharedPerSecond;
    }

    /** Returns whether the common allowance is so large that no other gateway can have waited for it. */
    function isUnused({ shared, sharedPerSecond }: Bucket): boolean {
        return shared >= 1 + turnSeconds * sharedPerSecond;
    }

    function updateOpen(bucket: Bucket, sharing: LimitSharing, nowMs: number): boolean {
        updateBucket(bucket, sharing, nowMs);
        return isSharedOpen(bucket) || bucket.own >= 1;
    }

    return {
        setLimit(endpoint, perSecond, nowMs) {
            const known = buckets.get(endpoint);
            if (perSecond === undefined) {
                buckets.delete(endpoint);
                return;
            }
            const usedPerSecond = Math.max(minPerSecond, perSecond);
            if (known) {
                known.perSecond = usedPerSecond;
                return;
            }
            buckets.set(endpoint, {
                perSecond: usedPerSecond,
                // Gateways that do not hear of each other begin at different times.
                shared: random(),
                own: random(),
                sharedPerSecond: 0,
                spread: random(),
                turnsOfOthers: 0,
                updatedAtMs: nowMs,
                lastDispatchAtMs: nowMs,
            });
        },
        isLimited: endpoint => buckets.has(endpoint),
        canSend(endpoint, sharing, nowMs) {
            const bucket = buckets.get(endpoint);
            return !bucket || updateOpen(bucket, sharing, nowMs);
        },
        peekSend(endpoint, sharing, nowMs) {
            const bucket = buckets.get(endpoint);
            return !bucket || updateOpen({ ...bucket }, sharing, nowMs);
        },
        recordDispatch(endpoint, isOwn, sharing, nowMs) {
            const bucket = buckets.get(endpoint);
            if (!bucket) {
                return;
            }
            updateBucket(bucket, sharing, nowMs);
            const { heard } = sharing;
            if (!isOwn) {
                bucket.turnsOfOthers = Math.max(0, bucket.turnsOfOthers - 1);
            }
            else if (isSharedOpen(bucket)) {
                bucket.turnsOfOthers = isUnused(bucket) ? 0 : heard - 1;
            }
            else {
                bucket.own -= 1;
            }
            bucket.shared = Math.max(-Math.max(minDebt, maxDebtSeconds * bucket.perSecond), bucket.shared - 1);
            bucket.spread = random();
            bucket.lastDispatchAtMs = nowMs;
        },
        getShare: (endpoint, { gateways }) => usableShare * (buckets.get(endpoint)?.perSecond ?? Infinity) / gateways,
        getIdleMs: (endpoint, nowMs) => nowMs - (buckets.get(endpoint)?.lastDispatchAtMs ?? nowMs),
    };
}

/**
 * Adds to an allowance what a rate permits in some time. A request that was not sent for too long is dropped; its time
 * counts for the next one, so that gateways that began at different times stay apart.
 */
function addAllowance(allowance: number, perSecond: number, seconds: number): number {
    const most = 1 + maxIdleSeconds * perSecond;
    const sum = allowance + seconds * perSecond;
    return sum <= most ? sum : Math.min(most, Math.max(sum % 1, most - 1));
}
