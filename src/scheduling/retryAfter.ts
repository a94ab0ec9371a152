/** Upper bound of the retry delay, as a share of the time that the customer has left. */
const maxRemainingShare = 1 / 3;
/** Jitter of the retry delay, so that customers that were refused together do not retry together. */
const jitterShare = 0.5;
const minRetryAfterMs = 100;

/**
 * Computes after how many milliseconds a refused customer should retry: the time in which capacity is expected, plus up
 * to half of it as jitter, but at most a third of the time that the customer has left and at least 100 ms.
 *
 * @param random random number from 0 to 1
 *
 * @example
 * computeRetryAfterMs(400, 9_000, random());
 */
export function computeRetryAfterMs(expectedWaitMs: number, remainingMs: number, random: number): number {
    const latestMs = Math.max(minRetryAfterMs, remainingMs * maxRemainingShare);
    const jitteredMs = Math.max(minRetryAfterMs, expectedWaitMs) * (1 + jitterShare * random);
    return Math.min(latestMs, jitteredMs);
}

/** Bounds of the retry delay for requests that crash endpoints, in milliseconds. */
const minQuarantineRetryMs = 5_000;
const maxQuarantineRetryMs = 60_000;

/**
 * Computes after how many milliseconds a customer should retry whose requests are refused because they crash endpoints.
 *
 * @param remainingMs time until such requests are tested again
 *
 * @example
 * computeQuarantineRetryAfterMs(42_000); // 42_000
 */
export function computeQuarantineRetryAfterMs(remainingMs: number): number {
    return Math.min(maxQuarantineRetryMs, Math.max(minQuarantineRetryMs, remainingMs));
}

const millisecondsPerSecond = 1000;

/**
 * Renders the `Retry-After` header, as name and value in seconds.
 *
 * @example
 * renderRetryAfter(450); // ["Retry-After", "0.45"]
 */
export function renderRetryAfter(retryAfterMs: number): string[] {
    return ["Retry-After", (retryAfterMs / millisecondsPerSecond).toFixed(2)];
}
