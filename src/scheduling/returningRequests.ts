/** Remembers refused requests, so that those that come back keep the order of their first arrival. */
export interface ReturningRequests {
    /** Records the refusal of a request that arrived first at `arrivedAtMs`. */
    recordRefusal(fingerprint: string, arrivedAtMs: number, nowMs: number): void;
    /** Takes the first arrival of a request like this one that was refused. */
    takeFirstArrival(fingerprint: string, nowMs: number): number | undefined;
}

const retentionMs = 10_000;
const maxRefusals = 2_000;
const maxArrivalsPerRequest = 20;

/**
 * Creates an empty memory. Each refusal counts for one return: requests that are alike do not gain from the refusal of
 * others.
 *
 * @example
 * returning.recordRefusal(fingerprint, arrivedAtMs, timers.now());
 */
export function createReturningRequests(): ReturningRequests {
    const refusals = new Map<string, { readonly arrivals: number[]; readonly atMs: number }>();

    function prune(nowMs: number): void {
        for (const [fingerprint, { atMs }] of refusals) {
            // Entries are in the order of their last refusal.
            if (nowMs - atMs <= retentionMs && refusals.size <= maxRefusals) {
                return;
            }
            refusals.delete(fingerprint);
        }
    }

    return {
        recordRefusal(fingerprint, arrivedAtMs, nowMs) {
            const arrivals = refusals.get(fingerprint)?.arrivals ?? [];
            arrivals.push(arrivedAtMs);
            refusals.delete(fingerprint);
            refusals.set(fingerprint, { arrivals: arrivals.slice(-maxArrivalsPerRequest), atMs: nowMs });
            prune(nowMs);
        },
        takeFirstArrival(fingerprint, nowMs) {
            prune(nowMs);
            const arrivedAtMs = refusals.get(fingerprint)?.arrivals.shift();
            if (refusals.get(fingerprint)?.arrivals.length === 0) {
                refusals.delete(fingerprint);
            }
            return arrivedAtMs;
        },
    };
}
