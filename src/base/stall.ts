/**
 * A callback that runs later than this after it was due, in milliseconds, shows that the process did not run: it was busy
 * or paused, or waited for a processor.
 */
const toleratedLatenessMs = 100;

/**
 * Returns whether the process did not run for a while before a callback. What arrived in that time has not been read, so
 * that silence says nothing about a peer.
 *
 * @example
 * hasStalled(1_000, 3_500); // true
 */
export function hasStalled(dueMs: number, nowMs: number): boolean {
    return nowMs - dueMs > toleratedLatenessMs;
}
