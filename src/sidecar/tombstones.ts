/** Maximum number of tombstones. At the planned peak load, an endpoint receives a few cancels a second. */
const maxTombstones = 10_000;

/** Ids of requests that a cancel or resume has ended as not run. A dispatch that arrives later must be refused. */
export interface Tombstones {
    add(request: string): void;
    /** Removes the tombstone of a request. Returns whether there was one. */
    take(request: string): boolean;
}

/**
 * Creates an empty set of tombstones. When it is full, the oldest is evicted.
 *
 * @example
 * const tombstones = createTombstones();
 * tombstones.add("request.1");
 */
export function createTombstones(): Tombstones {
    const requests = new Set<string>();
    return {
        add(request) {
            requests.add(request);
            if (requests.size > maxTombstones) {
                requests.delete(requests.values().next().value!);
            }
        },
        take: request => requests.delete(request),
    };
}
