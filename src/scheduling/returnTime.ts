/** Customers come back after at most this share of the time that they have left. */
const maxRemainingShare = 1 / 3;
/** Spread of return times, so that those refused together do not come back together. */
const jitterShare = 0.5;
const minRetryAfterMs = 100;

/**
 * Computes when a refused customer should come back, in milliseconds: when room is predicted, spread over half of that
 * time, and no later than the customer would wait.
 *
 * @example
 * computeReturnMs(400, 9_000, random());
 */
export function computeReturnMs(expectedWaitMs: number, remainingMs: number, random: number): number {
    const latestMs = Math.max(minRetryAfterMs, remainingMs * maxRemainingShare);
    const jitteredMs = Math.max(minRetryAfterMs, expectedWaitMs) * (1 + jitterShare * random);
    return Math.min(latestMs, jitteredMs);
}

const millisecondsPerSecond = 1000;

/**
 * Renders the header that tells a customer when to come back, as name and value.
 *
 * @example
 * renderRetryAfter(450); // ["Retry-After", "0.45"]
 */
export function renderRetryAfter(retryAfterMs: number): string[] {
    return ["Retry-After", (retryAfterMs / millisecondsPerSecond).toFixed(2)];
}
