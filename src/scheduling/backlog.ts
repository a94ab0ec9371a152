import { createOrderedHeap, OrderedHeap } from "./orderedHeap.js";
import { compareArrival, QueueEntry } from "./queueEntry.js";

/** Bounds of a queue. */
export interface BacklogBounds {
    readonly maxQueuedRequests: number;
    readonly maxQueuedBytes: number;
}

/** What is queued by rank and customer, and what gives way when the queue is full. */
export interface Backlog {
    enqueue(entry: QueueEntry): void;
    remove(entry: QueueEntry): void;
    /** Whether the queue is within its bounds. */
    hasRoom(): boolean;
    /**
     * Picks the entry that leaves a queue beyond its bounds: the newest of the longest customer backlog of the least
     * urgent rank above its share of the queue.
     */
    pickVictim(): QueueEntry | undefined;
    update(bounds: BacklogBounds, rankCount: number): void;
    getSize(): number;
    getBytes(): number;
    getRankSize(rankIndex: number): number;
    getRankTokens(rankIndex: number): number;
}

interface Holding {
    readonly newest: OrderedHeap<QueueEntry>;
    bytes: number;
}

interface RankBacklog {
    readonly customers: Map<string, Holding>;
    readonly longest: OrderedHeap<Holding>;
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

    /** Part of the queue's bounds in use, by the tighter of the two. */
    function computeUse(held: { readonly size: number; readonly bytes: number }): number {
        return Math.max(held.size / bounds.maxQueuedRequests, held.bytes / bounds.maxQueuedBytes);
    }

    function computeHoldingUse(holding: Holding): number {
        return computeUse({ size: holding.newest.getSize(), bytes: holding.bytes });
    }

    function getRank(rankIndex: number): RankBacklog {
        return ranks[rankIndex] ??= {
            customers: new Map(),
            longest: createOrderedHeap((left, right) => computeHoldingUse(right) - computeHoldingUse(left)),
            size: 0,
            bytes: 0,
            tokens: 0,
        };
    }

    function count(rank: RankBacklog, holding: Holding, entry: QueueEntry, sign: 1 | -1) {
        const entryBytes = sign * entry.item.bodyBytes;
        holding.bytes += entryBytes;
        rank.bytes += entryBytes;
        rank.size += sign;
        rank.tokens += sign * entry.item.promptTokens;
        size += sign;
        bytes += entryBytes;
    }

    return {
        enqueue(entry) {
            const rank = getRank(entry.rankIndex);
            let holding = rank.customers.get(entry.item.customer);
            if (!holding) {
                holding = { newest: createOrderedHeap((left, right) => compareArrival(right, left)), bytes: 0 };
                rank.customers.set(entry.item.customer, holding);
            }
            rank.longest.remove(holding);
            holding.newest.enqueue(entry);
            count(rank, holding, entry, 1);
            rank.longest.enqueue(holding);
        },
        remove(entry) {
            const rank = getRank(entry.rankIndex);
            const holding = rank.customers.get(entry.item.customer);
            if (!holding?.newest.has(entry)) {
                return;
            }
            rank.longest.remove(holding);
            holding.newest.remove(entry);
            count(rank, holding, entry, -1);
            if (holding.newest.getSize() > 0) {
                rank.longest.enqueue(holding);
            }
            else {
                rank.customers.delete(entry.item.customer);
            }
        },
        hasRoom: () => size <= bounds.maxQueuedRequests && bytes <= bounds.maxQueuedBytes,
        pickVictim() {
            const share = 1 / rankCount;
            let victim: RankBacklog | undefined;
            for (const rank of ranks) {
                if (rank && computeUse(rank) > share) {
                    victim = rank;
                }
            }
            return victim?.longest.getFirst()?.newest.getFirst();
        },
        update(next, count) {
            bounds = next;
            rankCount = Math.max(1, count);
            ranks = Array.from(ranks);
        },
        getSize: () => size,
        getBytes: () => bytes,
        getRankSize: rankIndex => ranks[rankIndex]?.size ?? 0,
        getRankTokens: rankIndex => ranks[rankIndex]?.tokens ?? 0,
    };
}
