/** Customers come back after at most this share of the time that they have left. */
const honoredShare = 1 / 3;
/** Spread of return times, so that those refused together do not come back together. */
const spreadShare = 0.5;
const leastReturnMs = 100;

/**
 * Computes when a refused customer should come back, in milliseconds: when room is predicted, spread over half of that
 * time, and no later than the customer would wait.
 *
 * @example
 * computeReturnMs(400, 9_000, random());
 */
export function computeReturnMs(roomInMs: number, remainingMs: number, random: number): number {
    const latestMs = Math.max(leastReturnMs, remainingMs * honoredShare);
    const wantedMs = Math.max(leastReturnMs, roomInMs) * (1 + spreadShare * random);
    return Math.min(latestMs, wantedMs);
}

const millisecondsPerSecond = 1000;

/**
 * Renders the header that tells a customer when to come back, as name and value.
 *
 * @example
 * renderRetryAfter(450); // ["Retry-After", "0.45"]
 */
export function renderRetryAfter(returnMs: number): string[] {
    return ["Retry-After", (returnMs / millisecondsPerSecond).toFixed(2)];
}
