/** Work that waits to be placed on an endpoint. Times are on the monotonic clock, in milliseconds. */
export interface WaitingWork {
    /** 0 is the most urgent. */
    readonly rank: number;
    /** Latest start at which the first byte is still on time. */
    readonly softStartDeadlineMs: number;
    /** Latest start at which an answer can still reach the customer before its time limit. */
    readonly hardStartDeadlineMs: number;
    /** Time that an engine needs to read the prompt, in milliseconds; 0 for plain services. */
    readonly prefillMs: number;
}

/**
 * Compares waiting work by the order in which it is placed. Work that can still be on time comes first, by its latest
 * start. Late work follows, by rank and then by the time at which it becomes useless: it is worth little to its
 * customer, so it must not make other work late. The time that work takes is added to its latest start, because many
 * short prompts are served in the time of one very long prompt. Long prompts do not starve, since that addition is
 * fixed while newer work has later starts.
 *
 * @example
 * [...waiting].sort((left, right) => compareWaiting(left, right, timers.now()));
 */
export function compareWaiting(left: WaitingWork, right: WaitingWork, nowMs: number): number {
    const isLeftLate = left.softStartDeadlineMs < nowMs;
    const isRightLate = right.softStartDeadlineMs < nowMs;
    if (isLeftLate !== isRightLate) {
        return Number(isLeftLate) - Number(isRightLate);
    }
    return isLeftLate
        ? left.rank - right.rank
            || left.hardStartDeadlineMs + left.prefillMs - right.hardStartDeadlineMs - right.prefillMs
        : left.softStartDeadlineMs + left.prefillMs - right.softStartDeadlineMs - right.prefillMs;
}
