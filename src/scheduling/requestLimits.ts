/** Limits on the requests in progress at one entry. */
export interface RequestLimitSettings {
    readonly maxRequests: number;
    /** Total size of the bodies of all requests in progress. */
    readonly maxBytes: number;
}

/** Why a request is refused. */
export enum LimitRefusal {
    /** The rank's share of the entry's capacity is used up. */
    Rank = "rank",
    /** More than half of the rank's share is in use and the customer exceeds its fair part of it. */
    Customer = "customer",
}

/** A request that counts against the limits. */
export interface LimitedRequest {
    readonly rank: string;
    readonly customer: string;
    readonly bytes: number;
}

/**
 * Admission control for the requests and bytes in progress at an entry. Capacity is divided so that a flood cannot
 * starve another rank or a small customer.
 */
export interface RequestLimits {
    /** Replaces the ranks, most urgent first. */
    update(ranks: readonly string[]): void;
    /** Reserves capacity for a request, or returns why it is refused. */
    acquire(request: LimitedRequest): LimitRefusal | undefined;
    release(request: LimitedRequest): void;
    getUsage(): { readonly requests: number; readonly bytes: number };
}

/** Share of the entry's capacity that the least urgent rank cannot use. */
const urgentReserve = 0.25;
/** Share of a rank's capacity up to which customers are not limited to their fair share. */
const fairnessThreshold = 0.5;

interface Usage {
    requests: number;
    bytes: number;
}

/**
 * Creates the limits of one entry. All ranks share one pool, and a rank is admitted while the pool is filled up to a
 * share that is smaller for less urgent ranks. Once more than half of that share is in use, a customer is admitted only
 * up to an equal part of it.
 *
 * @example
 * const limits = createRequestLimits({ maxRequests: 10_000, maxBytes: 64 * 1024 * 1024 });
 * limits.update(["urgent", "bulk"]);
 * limits.acquire({ rank: "bulk", customer: "council-1", bytes: 2_000 }); // undefined: admitted
 */
export function createRequestLimits(settings: RequestLimitSettings): RequestLimits {
    const total: Usage = { requests: 0, bytes: 0 };
    /** Usage by rank, then by customer, so that a customer's flood of one rank does not affect its work of another. */
    const byRank = new Map<string, Map<string, Usage>>();
    let poolShares = new Map<string, number>();

    /** Share of the pool up to which requests of a rank are admitted. */
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

    /** Share of the pool that the usage with the request would take, by requests or by bytes, whichever is larger. */
    function computeShare(usage: Usage, request: LimitedRequest): number {
        return Math.max(
            (usage.requests + 1) / settings.maxRequests,
            (usage.bytes + request.bytes) / settings.maxBytes,
        );
    }

    function check(request: LimitedRequest): LimitRefusal | undefined {
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

    function updateUsage(usage: Usage, request: LimitedRequest, sign: 1 | -1) {
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
