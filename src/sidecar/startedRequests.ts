/** Bound of the remembered requests: over an hour at ten requests a second. */
const defaultCapacity = 50_000;

/**
 * Remembers which requests a sidecar has started, also after it has forgotten their state. Without this memory, a late
 * cancel or resume of a request that has ended could not be told apart from one that never ran.
 */
export interface StartedRequests {
    record(request: string): void;
    /** Whether a request certainly was not started by this process. */
    isNotStarted(request: string): boolean;
}

/**
 * Creates the memory of started requests. Ids begin with a UUIDv7, which sorts by time: an id that is older than the
 * newest forgotten id may have been forgotten as well.
 *
 * @example
 * const started = createStartedRequests();
 * started.record("0193a5b0-0000-7000-8000-000000000000.1");
 */
export function createStartedRequests(capacity = defaultCapacity): StartedRequests {
    const requests = new Set<string>();
    let newestForgotten = "";
    return {
        record(request) {
            requests.add(request);
            if (requests.size > capacity) {
                const oldest = requests.values().next().value!;
                requests.delete(oldest);
                newestForgotten = oldest > newestForgotten ? oldest : newestForgotten;
            }
        },
        isNotStarted: request => !requests.has(request) && request > newestForgotten,
    };
}
