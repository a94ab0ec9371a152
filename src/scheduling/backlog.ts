import { createOrderedHeap, OrderedHeap } from "./orderedHeap.js";
import { compareArrival, QueueEntry } from "./queueEntry.js";

/** Limits on the size of a queue. */
export interface BacklogBounds {
    readonly maxQueuedRequests: number;
    readonly maxQueuedBytes: number;
}

/** Accounts for queued work by rank and customer, and picks the entry to evict when the queue is full. */
export interface Backlog {
    enqueue(entry: QueueEntry): void;
    remove(entry: QueueEntry): void;
    /** Whether the queue is within its bounds. */
    isWithinBounds(): boolean;
    /**
     * Picks the entry to evict from a queue that exceeds its bounds: the newest entry of the customer with the largest
     * backlog, in the least urgent rank that exceeds its equal share of the queue.
     */
    pickVictim(): QueueEntry | undefined;
    update(bounds: BacklogBounds, rankCount: number): void;
    getSize(): number;
    getBytes(): number;
    getRankSize(rankIndex: number): number;
    getRankTokens(rankIndex: number): number;
}

/** Queued work of one customer in one rank. */
interface CustomerBacklog {
    /** Entries, the latest arrival first. */
    readonly newest: OrderedHeap<QueueEntry>;
    bytes: number;
}

interface RankBacklog {
    readonly customers: Map<string, CustomerBacklog>;
    /** Customers with queued entries, the largest backlog first. */
    readonly longest: OrderedHeap<CustomerBacklog>;
    size: number;
    bytes: number;
    tokens: number;
}

/** Creates an empty backlog. */
export function createBacklog(initialBounds: BacklogBounds): Backlog {
    let bounds = initialBounds;
    let rankCount = 1;
    let ranks: RankBacklog[] = [];
    let size = 0;
    let bytes = 0;

    /** Share of the queue's capacity in use, by requests or by bytes, whichever is larger. */
    function computeUse(load: { readonly size: number; readonly bytes: number }): number {
        return Math.max(load.size / bounds.maxQueuedRequests, load.bytes / bounds.maxQueuedBytes);
    }

    function computeCustomerUse(customerBacklog: CustomerBacklog): number {
        return computeUse({ size: customerBacklog.newest.getSize(), bytes: customerBacklog.bytes });
    }

    function getRank(rankIndex: number): RankBacklog {
        return ranks[rankIndex] ??= {
            customers: new Map(),
            longest: createOrderedHeap((left, right) => computeCustomerUse(right) - computeCustomerUse(left)),
            size: 0,
            bytes: 0,
            tokens: 0,
        };
    }

    function updateCounts(rank: RankBacklog, customerBacklog: CustomerBacklog, entry: QueueEntry, sign: 1 | -1) {
        const entryBytes = sign * entry.item.bodyBytes;
        customerBacklog.bytes += entryBytes;
        rank.bytes += entryBytes;
        rank.size += sign;
        rank.tokens += sign * entry.item.promptTokens;
        size += sign;
        bytes += entryBytes;
    }

    return {
        enqueue(entry) {
            const rank = getRank(entry.rankIndex);
            let customerBacklog = rank.customers.get(entry.item.customer);
            if (!customerBacklog) {
                customerBacklog = { newest: createOrderedHeap((left, right) => compareArrival(right, left)), bytes: 0 };
                rank.customers.set(entry.item.customer, customerBacklog);
            }
            rank.longest.remove(customerBacklog);
            customerBacklog.newest.enqueue(entry);
            updateCounts(rank, customerBacklog, entry, 1);
            rank.longest.enqueue(customerBacklog);
        },
        remove(entry) {
            const rank = getRank(entry.rankIndex);
            const customerBacklog = rank.customers.get(entry.item.customer);
            if (!customerBacklog?.newest.has(entry)) {
                return;
            }
            rank.longest.remove(customerBacklog);
            customerBacklog.newest.remove(entry);
            updateCounts(rank, customerBacklog, entry, -1);
            if (customerBacklog.newest.getSize() > 0) {
                rank.longest.enqueue(customerBacklog);
            }
            else {
                rank.customers.delete(entry.item.customer);
            }
        },
        isWithinBounds: () => size <= bounds.maxQueuedRequests && bytes <= bounds.maxQueuedBytes,
        pickVictim() {
            const share = 1 / rankCount;
            let victimRank: RankBacklog | undefined;
            for (const rank of ranks) {
                if (rank && computeUse(rank) > share) {
                    victimRank = rank;
                }
            }
            return victimRank?.longest.getFirst()?.newest.getFirst();
        },
        update(next, nextRankCount) {
            bounds = next;
            rankCount = Math.max(1, nextRankCount);
            ranks = Array.from(ranks);
        },
        getSize: () => size,
        getBytes: () => bytes,
        getRankSize: rankIndex => ranks[rankIndex]?.size ?? 0,
        getRankTokens: rankIndex => ranks[rankIndex]?.tokens ?? 0,
    };
}
