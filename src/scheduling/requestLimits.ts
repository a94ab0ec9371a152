/** Bounds of what one entry holds. */
export interface RequestLimitSettings {
    readonly maxRequests: number;
    /** Bytes of the bodies of all requests in progress. */
    readonly maxBytes: number;
}

/** Why a request is not held. */
export enum LimitRefusal {
    /** The rank's part of the entry is full. */
    Rank = "rank",
    /** The rank's part is nearly full and the customer holds more than its fair share of it. */
    Customer = "customer",
}

/** Size of one request. */
export interface HeldRequest {
    readonly rank: string;
    readonly customer: string;
    readonly bytes: number;
}

/** Requests and bytes that an entry holds, divided so that no flood shuts out another rank or a small customer. */
export interface RequestLimits {
    /** Replaces the ranks, most urgent first. */
    update(ranks: readonly string[]): void;
    /** Takes room for a request, or says why there is none. */
    acquire(request: HeldRequest): LimitRefusal | undefined;
    release(request: HeldRequest): void;
    getUsage(): { readonly requests: number; readonly bytes: number };
}

/** Part of the entry that is kept for work more urgent than the least urgent rank. */
const urgentReserve = 0.25;
/** Part of a rank's room up to which customers are not compared. */
const fairnessThreshold = 0.5;

interface Usage {
    requests: number;
    bytes: number;
}

/**
 * Creates the limits of one entry. Ranks share one pool; the less urgent a rank, the smaller the part of the pool up to
 * which it is admitted. Beyond half of its part, a customer is admitted only below an equal share of it.
 *
 * @example
 * const limits = createRequestLimits({ maxRequests: 10_000, maxBytes: 64 * 1024 * 1024 });
 * limits.update(["urgent", "bulk"]);
 * limits.acquire({ rank: "bulk", customer: "council-1", bytes: 2_000 }); // undefined: admitted
 */
export function createRequestLimits(settings: RequestLimitSettings): RequestLimits {
    const total: Usage = { requests: 0, bytes: 0 };
    /** Usage by rank, then by customer: a customer's flood of one rank does not count against its work of another. */
    const byRank = new Map<string, Map<string, Usage>>();
    let poolShares = new Map<string, number>();

    function getPoolShare(rank: string): number {
        return poolShares.get(rank) ?? 1 - urgentReserve;
    }

    function getCustomers(rank: string): Map<string, Usage> {
        let customers = byRank.get(rank);
        if (!customers) {
            customers = new Map();
            byRank.set(rank, customers);
        }
        return customers;
    }

    /** Largest share of the pool that the usage with the request would take, in requests or in bytes. */
    function computeShare(usage: Usage, request: HeldRequest): number {
        return Math.max(
            (usage.requests + 1) / settings.maxRequests,
            (usage.bytes + request.bytes) / settings.maxBytes,
        );
    }

    function check(request: HeldRequest): LimitRefusal | undefined {
        const poolShare = getPoolShare(request.rank);
        const share = computeShare(total, request);
        if (share > poolShare) {
            return LimitRefusal.Rank;
        }
        const byCustomer = getCustomers(request.rank);
        const usage = byCustomer.get(request.customer) ?? { requests: 0, bytes: 0 };
        const customers = byCustomer.size + (byCustomer.has(request.customer) ? 0 : 1);
        const isOverFairShare = customers > 1 && usage.requests > 0
            && computeShare(usage, request) > poolShare / customers;
        return share > poolShare * fairnessThreshold && isOverFairShare ? LimitRefusal.Customer : undefined;
    }

    function updateUsage(usage: Usage, request: HeldRequest, sign: 1 | -1) {
        usage.requests += sign;
        usage.bytes += sign * request.bytes;
    }

    return {
        update(ranks) {
            const steps = Math.max(1, ranks.length - 1);
            poolShares = new Map(ranks.map((rank, index) => [rank, 1 - urgentReserve * index / steps]));
        },
        acquire(request) {
            const refusal = check(request);
            if (refusal !== undefined) {
                return refusal;
            }
            const byCustomer = getCustomers(request.rank);
            const usage = byCustomer.get(request.customer) ?? { requests: 0, bytes: 0 };
            byCustomer.set(request.customer, usage);
            updateUsage(usage, request, 1);
            updateUsage(total, request, 1);
            return undefined;
        },
        release(request) {
            const byCustomer = getCustomers(request.rank);
            const usage = byCustomer.get(request.customer);
            if (!usage) {
                return;
            }
            updateUsage(usage, request, -1);
            updateUsage(total, request, -1);
            if (usage.requests === 0) {
                byCustomer.delete(request.customer);
            }
        },
        getUsage: () => ({ ...total }),
    };
}
