import { LengthClass, lengthClassCount } from "./lengthClass.js";
import { computeLane } from "./prefillModel.js";
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
    update(capacity: EndpointCapacity, lanes: number): void;
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

interface LaneUse {
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
    let uses: LaneUse[] = [];
    let reservedTokens = 0;
    let running = 0;
    let shortTokens = 0;
    let shortRunning = 0;
    let lastMs: number | undefined;

    function getUse(lane: number): LaneUse {
        return uses[lane] ??= { tokens: 0, running: 0, peakTokens: 0, peakRunning: 0 };
    }

    function isProtectedFrom(lane: number, other: number): boolean {
        const isMoreUrgent = Math.floor(other / lengthClassCount) < Math.floor(lane / lengthClassCount);
        const isShorter = other % lengthClassCount === Number(LengthClass.Short)
            && lane % lengthClassCount !== Number(LengthClass.Short);
        return isMoreUrgent || isShorter;
    }

    function hasRoomBesideDemand(entry: QueueEntry): boolean {
        const lane = computeLane(entry);
        let tokens = 0;
        let slots = 0;
        for (let other = 0; other < uses.length; other++) {
            const use = uses[other];
            if (use && isProtectedFrom(lane, other)) {
                tokens += Math.max(0, use.peakTokens - use.tokens);
                slots += Math.max(0, use.peakRunning - use.running);
            }
        }
        const keptTokens = Math.min(tokens, capacity.memoryTokens * maxDemandShare);
        const keptSlots = Math.min(Math.ceil(slots), Math.floor(capacity.maxRunning * maxDemandShare));
        const isAlone = getUse(lane).running === 0;
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
                const longAfter = after - shortTokens;
                const longRunning = running - shortRunning;
                if (longAfter > capacity.memoryTokens - keptTokens) {
                    return MemoryCheck.Full;
                }
                if (longRunning >= capacity.maxRunning - getShortSlots()) {
                    return MemoryCheck.Kept;
                }
            }
            // Short prompts go on in their own part while the rest empties for a large item.
            const isInOwnPart = isShort && shortTokens + entry.reservedTokens <= keptTokens;
            if (after + heldTokens > capacity.memoryTokens && !isInOwnPart) {
                return MemoryCheck.Kept;
            }
            return ignoresDemand || hasRoomBesideDemand(entry) ? MemoryCheck.Fits : MemoryCheck.Kept;
        },
        reserve(entry) {
            const use = getUse(computeLane(entry));
            use.tokens += entry.reservedTokens;
            use.running++;
            use.peakTokens = Math.max(use.peakTokens, use.tokens);
            use.peakRunning = Math.max(use.peakRunning, use.running);
            reservedTokens += entry.reservedTokens;
            running++;
            if (entry.lengthClass === LengthClass.Short) {
                shortTokens += entry.reservedTokens;
                shortRunning++;
            }
        },
        release(entry) {
            const use = getUse(computeLane(entry));
            use.tokens -= entry.reservedTokens;
            use.running--;
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
            for (const use of uses) {
                if (use) {
                    use.peakTokens = Math.max(use.tokens, use.peakTokens * factor);
                    use.peakRunning = Math.max(use.running, use.peakRunning * factor);
                }
            }
        },
        update(next, lanes) {
            capacity = next;
            uses.length = Math.max(uses.length, lanes);
            uses = Array.from(
                uses,
                (use: LaneUse | undefined) => use ?? { tokens: 0, running: 0, peakTokens: 0, peakRunning: 0 },
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
