import { LengthClass, lengthClassCount } from "./lengthClass.js";
import { computeQueueIndex } from "./prefillModel.js";
import { QueueEntry } from "./queueEntry.js";
import { EndpointCapacity } from "./scheduler.js";

/** Whether an entry can start now. */
export enum MemoryCheck {
    Fits = "fits",
    /** Not enough memory or running slots are free. */
    Full = "full",
    /** The entry would use capacity that is kept for other work: shorter, more urgent or earlier in order. */
    Kept = "kept",
}

/** Tracks reservations of the endpoint's memory and running slots. */
export interface MemoryLedger {
    /**
     * @param heldTokens memory that is set aside for an entry earlier in order
     * @param ignoresDemand whether the entry may use capacity that is kept for recent demand of other queues
     */
    check(entry: QueueEntry, heldTokens: number, ignoresDemand: boolean): MemoryCheck;
    reserve(entry: QueueEntry): void;
    release(entry: QueueEntry): void;
    /** Decays the recent peak demand of the queues to `nowMs`. */
    advance(nowMs: number): void;
    update(capacity: EndpointCapacity, queueCount: number): void;
    getReservedTokens(): number;
    getRunning(): number;
    /** Largest reservation of a length class that fits an idle endpoint, in tokens. */
    getLargestReservation(lengthClass: LengthClass): number;
}

/** Share of the memory and the slots that is reserved for short prompts. */
const shortShare = 0.1;
/** Largest share of the memory and the slots that is kept free for recent demand of more urgent or shorter work. */
const maxDemandShare = 0.3;
/** Time constant of the decay of peak demand. */
const demandWindowMs = 30_000;

/** Current use and decaying peak use of one queue. */
interface QueueUsage {
    tokens: number;
    running: number;
    peakTokens: number;
    peakRunning: number;
}

/** Creates a ledger without capacity, which `update` sets. */
export function createMemoryLedger(): MemoryLedger {
    let capacity: EndpointCapacity = {
        memoryTokens: 0,
        prefillTokensPerSecond: 1,
        decodeTokensPerSecond: 1,
        maxRunning: 0,
    };
    let usages: QueueUsage[] = [];
    let reservedTokens = 0;
    let running = 0;
    let shortTokens = 0;
    let shortRunning = 0;
    let lastMs: number | undefined;

    function getUsage(queueIndex: number): QueueUsage {
        return usages[queueIndex] ??= { tokens: 0, running: 0, peakTokens: 0, peakRunning: 0 };
    }

    /** Whether capacity is kept free for the queue `other` when an entry of the first queue starts. */
    function isProtectedFrom(queueIndex: number, other: number): boolean {
        const isMoreUrgent = Math.floor(other / lengthClassCount) < Math.floor(queueIndex / lengthClassCount);
        const isShorter = other % lengthClassCount === Number(LengthClass.Short)
            && queueIndex % lengthClassCount !== Number(LengthClass.Short);
        return isMoreUrgent || isShorter;
    }

    /** Whether the entry fits while the capacity kept for recent demand of other queues stays free. */
    function hasCapacityBesideDemand(entry: QueueEntry): boolean {
        const queueIndex = computeQueueIndex(entry);
        let tokens = 0;
        let slots = 0;
        for (let other = 0; other < usages.length; other++) {
            const usage = usages[other];
            if (usage && isProtectedFrom(queueIndex, other)) {
                tokens += Math.max(0, usage.peakTokens - usage.tokens);
                slots += Math.max(0, usage.peakRunning - usage.running);
            }
        }
        const keptTokens = Math.min(tokens, capacity.memoryTokens * maxDemandShare);
        const keptSlots = Math.min(Math.ceil(slots), Math.floor(capacity.maxRunning * maxDemandShare));
        const isAlone = getUsage(queueIndex).running === 0;
        return running + keptSlots < capacity.maxRunning
            && (isAlone || reservedTokens + entry.reservedTokens + keptTokens <= capacity.memoryTokens);
    }

    function getShortSlots(): number {
        return Math.floor(capacity.maxRunning * shortShare);
    }

    return {
        check(entry, heldTokens, ignoresDemand) {
            const after = reservedTokens + entry.reservedTokens;
            if (running >= capacity.maxRunning || after > capacity.memoryTokens) {
                return MemoryCheck.Full;
            }
            const isShort = entry.lengthClass === LengthClass.Short;
            const keptTokens = capacity.memoryTokens * shortShare;
            if (!isShort) {
                const longerTokens = after - shortTokens;
                const longerRunning = running - shortRunning;
                if (longerTokens > capacity.memoryTokens - keptTokens) {
                    return MemoryCheck.Full;
                }
                if (longerRunning >= capacity.maxRunning - getShortSlots()) {
                    return MemoryCheck.Kept;
                }
            }
            // Short prompts may still use their reserved share while other memory is freed for a large entry.
            const isInOwnPart = isShort && shortTokens + entry.reservedTokens <= keptTokens;
            if (after + heldTokens > capacity.memoryTokens && !isInOwnPart) {
                return MemoryCheck.Kept;
            }
            return ignoresDemand || hasCapacityBesideDemand(entry) ? MemoryCheck.Fits : MemoryCheck.Kept;
        },
        reserve(entry) {
            const usage = getUsage(computeQueueIndex(entry));
            usage.tokens += entry.reservedTokens;
            usage.running++;
            usage.peakTokens = Math.max(usage.peakTokens, usage.tokens);
            usage.peakRunning = Math.max(usage.peakRunning, usage.running);
            reservedTokens += entry.reservedTokens;
            running++;
            if (entry.lengthClass === LengthClass.Short) {
                shortTokens += entry.reservedTokens;
                shortRunning++;
            }
        },
        release(entry) {
            const usage = getUsage(computeQueueIndex(entry));
            usage.tokens -= entry.reservedTokens;
            usage.running--;
            reservedTokens -= entry.reservedTokens;
            running--;
            if (entry.lengthClass === LengthClass.Short) {
                shortTokens -= entry.reservedTokens;
                shortRunning--;
            }
        },
        advance(nowMs) {
            const factor = Math.exp(-(nowMs - (lastMs ?? nowMs)) / demandWindowMs);
            lastMs = nowMs;
            for (const usage of usages) {
                if (usage) {
                    usage.peakTokens = Math.max(usage.tokens, usage.peakTokens * factor);
                    usage.peakRunning = Math.max(usage.running, usage.peakRunning * factor);
                }
            }
        },
        update(next, queueCount) {
            capacity = next;
            usages.length = Math.max(usages.length, queueCount);
            usages = Array.from(
                usages,
                (usage: QueueUsage | undefined) => usage ?? { tokens: 0, running: 0, peakTokens: 0, peakRunning: 0 },
            );
        },
        getReservedTokens: () => reservedTokens,
        getRunning: () => running,
        getLargestReservation: lengthClass =>
            lengthClass === LengthClass.Short
                ? capacity.memoryTokens
                : Math.floor(capacity.memoryTokens * (1 - shortShare)),
    };
}
