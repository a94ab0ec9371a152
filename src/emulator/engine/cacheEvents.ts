import { EngineCacheEvent } from "../../ports/modelEngine.js";
import { PrefixCacheChange } from "./prefixCache.js";

/** How an emulated engine reports changes of its prefix cache. */
export interface CacheEventSettings {
    /** Time until an event can be read, in milliseconds. */
    readonly cacheEventDelayMs: number;
    /** Every n-th event is lost and leaves a gap in the sequence; 0 loses none. */
    readonly cacheEventGapEvery: number;
}

/** The events of a prefix cache: late and with gaps. */
export interface CacheEvents {
    append(changes: readonly PrefixCacheChange[], nowMs: number): void;
    /** Returns the events from a sequence on that may be read at `nowMs`. */
    read(fromSequence: number, nowMs: number): readonly EngineCacheEvent[];
}

/** Bound of the events that are kept for readers. */
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
                const isLost = settings.cacheEventGapEvery > 0
                    && sequence % settings.cacheEventGapEvery === settings.cacheEventGapEvery - 1;
                if (!isLost) {
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
