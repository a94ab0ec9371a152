import { EngineCacheEvent } from "../../ports/modelEngine.js";
import { PrefixCacheChange } from "./prefixCache.js";

/** Delay and gaps of the prefix cache events of an emulated engine. */
export interface CacheEventSettings {
    /** Time until an event can be read, in milliseconds. */
    readonly cacheEventDelayMs: number;
    /** Every n-th event is dropped and leaves a gap in the sequence; 0 drops none. */
    readonly cacheEventGapEvery: number;
}

/** The events of a prefix cache, delivered with the configured delay and gaps. */
export interface CacheEvents {
    append(changes: readonly PrefixCacheChange[], nowMs: number): void;
    /** Returns the events with a sequence number of at least `fromSequence` that are visible at `nowMs`. */
    read(fromSequence: number, nowMs: number): readonly EngineCacheEvent[];
}

/** Number of newest events that are kept for readers. */
const maxEvents = 4_096;

/**
 * Creates an empty list of cache events.
 *
 * @example
 * const events = createCacheEvents({ cacheEventDelayMs: 200, cacheEventGapEvery: 10 });
 */
export function createCacheEvents(settings: CacheEventSettings): CacheEvents {
    const events: { readonly visibleMs: number; readonly event: EngineCacheEvent }[] = [];
    let nextSequence = 0;

    return {
        append(changes, nowMs) {
            for (const change of changes) {
                const sequence = nextSequence++;
                const isDropped = settings.cacheEventGapEvery > 0
                    && sequence % settings.cacheEventGapEvery === settings.cacheEventGapEvery - 1;
                if (!isDropped) {
                    events.push({ visibleMs: nowMs + settings.cacheEventDelayMs, event: { sequence, ...change } });
                }
            }
            events.splice(0, Math.max(0, events.length - maxEvents));
        },
        read: (fromSequence, nowMs) =>
            events
                .filter(({ visibleMs, event }) => event.sequence >= fromSequence && visibleMs <= nowMs)
                .map(({ event }) => event),
    };
}
