/** Work that waits for a place. Times are on the steady clock, in milliseconds. */
export interface WaitingWork {
    /** 0 is the most urgent. */
    readonly rank: number;
    /** Start after which the first byte is late. */
    readonly latestStartMs: number;
    /** Start after which no answer can reach the customer in its time. */
    readonly lastStartMs: number;
    /** Time that it takes from an engine, in milliseconds. */
    readonly readMs: number;
}

/**
 * Orders waiting work: first what can still be in time, by how soon it has to start; then what is late, by rank and by
 * how soon it would be lost. Late work is worth little to its customer, so it must not make more work late. Work that
 * takes long yields by that time to shorter work, since many short prompts are served in the time of a huge one; as it
 * waits its turn comes all the same.
 *
 * @example
 * [...waiting].sort((left, right) => compareWaiting(left, right, timers.now()));
 */
export function compareWaiting(left: WaitingWork, right: WaitingWork, nowMs: number): number {
    const isLeftLate = left.latestStartMs < nowMs;
    const isRightLate = right.latestStartMs < nowMs;
    if (isLeftLate !== isRightLate) {
        return Number(isLeftLate) - Number(isRightLate);
    }
    return isLeftLate
        ? left.rank - right.rank || left.lastStartMs + left.readMs - right.lastStartMs - right.readMs
        : left.latestStartMs + left.readMs - right.latestStartMs - right.readMs;
}
