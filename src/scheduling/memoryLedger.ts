import { LengthClass, lengthClassCount } from "./lengthClass.js";
import { computeQueueIndex } from "./prefillModel.js";
import { QueueEntry } from "./queueEntry.js";
import { EndpointCapacity } from "./scheduler.js";

/** Why an item cannot start now. */
export enum MemoryCheck {
    Fits = "fits",
    /** The memory or the slots are in use. */
    Full = "full",
    /** The item would use what is kept for shorter or more urgent work. */
    Kept = "kept",
}

/** Exact reservations of memory and running slots. */
export interface MemoryLedger {
    /** @param heldTokens memory that is held for an item before this one in order */
    check(entry: QueueEntry, heldTokens: number, ignoresDemand: boolean): MemoryCheck;
    reserve(entry: QueueEntry): void;
    release(entry: QueueEntry): void;
    /** Decays the remembered demand to `nowMs`. */
    advance(nowMs: number): void;
    update(capacity: EndpointCapacity, queueCount: number): void;
    getReservedTokens(): number;
    getRunning(): number;
    /** Largest reservation of a length class that can ever fit. */
    getLargestReservation(lengthClass: LengthClass): number;
}

/** Part of the memory and the slots that only short prompts use. */
const shortShare = 0.1;
/** Most of the memory and the slots that remembered demand of more urgent lanes keeps free. */
const maxDemandShare = 0.3;
/** Time constant with which the remembered demand decays. */
const demandWindowMs = 30_000;

interface QueueUsage {
    tokens: number;
    running: number;
    peakTokens: number;
    peakRunning: number;
}

/** Creates a ledger for no lanes; `update` gives the capacity. */
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

    function isProtectedFrom(queueIndex: number, other: number): boolean {
        const isMoreUrgent = Math.floor(other / lengthClassCount) < Math.floor(queueIndex / lengthClassCount);
        const isShorter = other % lengthClassCount === Number(LengthClass.Short)
            && queueIndex % lengthClassCount !== Number(LengthClass.Short);
        return isMoreUrgent || isShorter;
    }

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
            // Short prompts go on in their own part while the rest empties for a large item.
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
