/** Tracks which endpoints probably have a prefix in their cache, based on this entry's own dispatches. */
export interface PrefixDirectory {
    /** Lists the endpoints that probably cache a prefix, most recently used first. */
    list(prefix: string): readonly string[];
    record(prefix: string, endpoint: string): void;
    /** Records how many tokens of a prefix an endpoint found in its cache. */
    recordCached(prefix: string, cachedTokens: number): void;
    /** Returns the tokens of a prefix that were last found in a cache, or 0 before the first usage figure. */
    getCachedTokens(prefix: string): number;
}

interface PrefixEntry {
    endpoints: readonly string[];
    cachedTokens: number;
}

/** Maximum endpoints per prefix. More would store the same prefix in many caches of limited size. */
const maxEndpoints = 4;

/**
 * Creates a directory that evicts the least recently used prefix beyond `maxPrefixes`.
 *
 * @example
 * const directory = createPrefixDirectory(10_000);
 * directory.record("digest", "engine-1");
 */
export function createPrefixDirectory(maxPrefixes: number): PrefixDirectory {
    // Maps iterate in insertion order. A used prefix is inserted again, so the first key is the least recently used.
    const entries = new Map<string, PrefixEntry>();
    return {
        list: prefix => entries.get(prefix)?.endpoints ?? [],
        record(prefix, endpoint) {
            const entry = entries.get(prefix) ?? { endpoints: [], cachedTokens: 0 };
            entry.endpoints = [endpoint, ...entry.endpoints.filter(name => name !== endpoint)].slice(0, maxEndpoints);
            entries.delete(prefix);
            entries.set(prefix, entry);
            if (entries.size > maxPrefixes) {
                entries.delete(entries.keys().next().value!);
            }
        },
        recordCached(prefix, cachedTokens) {
            const entry = entries.get(prefix);
            if (entry) {
                entry.cachedTokens = cachedTokens;
            }
        },
        getCachedTokens: prefix => entries.get(prefix)?.cachedTokens ?? 0,
    };
}
