/** Bounds of the delay between attempts. */
export interface BackoffSettings {
    readonly baseMs: number;
    readonly maxMs: number;
}

/**
 * Returns the delay before the next attempt in milliseconds: exponential in the number of failures, with the upper half
 * random, so that endpoints that failed together do not return together.
 *
 * @example
 * computeBackoff({ baseMs: 200, maxMs: 10_000 }, 3, random); // 400 to 800
 */
export function computeBackoff(settings: BackoffSettings, failures: number, random: () => number): number {
    const fullMs = Math.min(settings.maxMs, settings.baseMs * 2 ** Math.max(0, failures - 1));
    return fullMs * (1 + random()) / 2;
}
