/** Bound of the number of tombstones; at the planned peak an endpoint sees a few cancels a second. */
const maxTombstones = 10_000;

/** Requests that were cancelled before their dispatch arrived. */
export interface Tombstones {
    add(request: string): void;
    /** Removes the tombstone of a request. Returns whether there was one. */
    take(request: string): boolean;
}

/**
 * Creates an empty set of tombstones. The oldest is dropped when the set is full.
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
