/** Maximum number of remembered request ids: more than an hour at ten requests a second. */
const defaultCapacity = 50_000;

/**
 * Ids of the requests that a sidecar has started. They are kept after the requests' state is dropped, so that a late
 * cancel or resume of an ended request can be distinguished from one of a request that never ran.
 */
export interface StartedRequests {
    record(request: string): void;
    /** Returns true only if it is certain that this process has not started the request. */
    isNotStarted(request: string): boolean;
}

/**
 * Creates an empty set of started requests. When it is full, the oldest id is evicted. Ids begin with a UUIDv7, which
 * sorts by time, so an unknown id that is not newer than all evicted ids may have been evicted as well.
 *
 * @example
 * const started = createStartedRequests();
 * started.record("0193a5b0-0000-7000-8000-000000000000.1");
 */
export function createStartedRequests(capacity = defaultCapacity): StartedRequests {
    const requests = new Set<string>();
    let newestEvicted = "";
    return {
        record(request) {
            requests.add(request);
            if (requests.size > capacity) {
                const oldest = requests.values().next().value!;
                requests.delete(oldest);
                newestEvicted = oldest > newestEvicted ? oldest : newestEvicted;
            }
        },
        isNotStarted: request => !requests.has(request) && request > newestEvicted,
    };
}
