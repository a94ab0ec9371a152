/** Decides how long engine slots that have become free are left to better claims. */
export interface YieldCycle {
    /** Returns whether work leaves free slots of a service to better claims now. Called only while there are some. */
    isYielding(service: string, nowMs: number): boolean;
}

/**
 * Time for which slots are left to better claims. With the longest time until the next placement run, no slot stays free
 * for longer than 40 ms because of it.
 */
const yieldMs = 24;
/** Time after it for which other work takes the slots that the better claims could not use: the longest time between runs. */
const openMs = 16;
const maxServices = 64;

/**
 * Creates the decisions. Handles a customer at many times the load of the others, whose short requests take each slot
 * that becomes free, so that a long prompt never finds several engines with a slot at the same time.
 *
 * @example
 * cycle.isYielding("models", timers.now());
 */
export function createYieldCycle(): YieldCycle {
    const startedAtMs = new Map<string, number>();
    return {
        isYielding(service, nowMs) {
            const sinceMs = nowMs - (startedAtMs.get(service) ?? Number.NEGATIVE_INFINITY);
            if (sinceMs < yieldMs + openMs) {
                return sinceMs < yieldMs;
            }
            if (startedAtMs.size >= maxServices) {
                startedAtMs.clear();
            }
            startedAtMs.set(service, nowMs);
            return true;
        },
    };
}
