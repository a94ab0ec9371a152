/** Endpoints whose prefix caches probably hold a prefix, from this entry's own dispatches. */
export interface PrefixDirectory {
    /** Newest first. */
    list(prefix: string): readonly string[];
    record(prefix: string, endpoint: string): void;
    /** Learns how many tokens a warm endpoint found in its cache. */
    recordCached(prefix: string, cachedTokens: number): void;
    /** Tokens of a prefix that warm endpoints have held; 0 until a usage figure shows it. */
    getCachedTokens(prefix: string): number;
}

interface PrefixEntry {
    endpoints: readonly string[];
    cachedTokens: number;
}

/** Endpoints remembered per prefix. More would spread one prefix over many caches of limited memory. */
const maxEndpoints = 4;

/**
 * Creates a directory that forgets the prefix used longest ago beyond `maxPrefixes`.
 *
 * @example
 * const directory = createPrefixDirectory(10_000);
 * directory.record("digest", "engine-1");
 */
export function createPrefixDirectory(maxPrefixes: number): PrefixDirectory {
    // A map iterates in order of insertion; a used prefix is inserted again.
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
