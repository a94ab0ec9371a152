/** Settings of the exponential backoff between attempts. */
export interface BackoffSettings {
    readonly baseMs: number;
    readonly maxMs: number;
}

/**
 * Computes the delay before the next attempt in milliseconds. It grows exponentially with the number of failures, and
 * its upper half is random, so that endpoints that failed at the same time do not retry at the same time.
 *
 * @example
 * computeBackoff({ baseMs: 200, maxMs: 10_000 }, 3, random); // 400 to 800
 */
export function computeBackoff(settings: BackoffSettings, failures: number, random: () => number): number {
    const fullMs = Math.min(settings.maxMs, settings.baseMs * 2 ** Math.max(0, failures - 1));
    return fullMs * (1 + random()) / 2;
}
