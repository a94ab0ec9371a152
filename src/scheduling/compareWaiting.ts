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
    /**
     * Time by which the work is placed later in the order, in milliseconds. It is 0 where a configuration has one
     * customer, negative for work that was refused before and has come back, and positive for work of customers that
     * use more than their share: such work is ordered as if it had arrived when it must start, so that the work of
     * other customers that arrives while it waits comes before it, and none starves.
     */
    readonly orderDelayMs: number;
    /** Whether the customer uses more than its share of the service. */
    readonly isAboveShare: boolean;
}

/** Classes of claims to a place, the best first. */
export enum WaitingClass {
    /** Can be on time, and its customer uses no more than its share. */
    WithinShare,
    /** Can be on time. */
    AboveShare,
    Late,
}

/**
 * Returns the class of waiting work.
 *
 * @example
 * getWaitingClass(item, timers.now()) === WaitingClass.Late;
 */
export function getWaitingClass(work: WaitingWork, nowMs: number): WaitingClass {
    if (work.softStartDeadlineMs < nowMs) {
        return WaitingClass.Late;
    }
    return work.isAboveShare ? WaitingClass.AboveShare : WaitingClass.WithinShare;
}

/** Longest time by which work that comes back after a refusal is placed earlier, in milliseconds. */
const maxReturnGainMs = 10_000;

/**
 * Computes the delay of work in the order.
 *
 * @param slackMs time from the arrival of the work to its latest start
 * @param returnedMs time from the first arrival of work that was refused, to this one; 0 for other work
 *
 * @example
 * computeOrderDelayMs(true, 1_980, 0); // 3_960
 */
export function computeOrderDelayMs(isAboveShare: boolean, slackMs: number, returnedMs: number): number {
    const slack = Math.max(0, slackMs);
    // Work above its share that comes back gains on other work above its share only.
    return isAboveShare ? 2 * slack - Math.min(slack, returnedMs) : -Math.min(maxReturnGainMs, returnedMs);
}

/**
 * Compares waiting work by the order in which it is placed. Work that can still be on time comes first, by its latest
 * start. Late work follows, by rank and then by the time at which it becomes useless: it is worth little to its
 * customer, so it must not make other work late. The time that work takes is added to its latest start, because many
 * short prompts are served in the time of one very long prompt. Long prompts do not starve, since that addition is
 * fixed while newer work has later starts. Among work of several customers, `orderDelayMs` adds their shares.
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
            || Number(left.isAboveShare) - Number(right.isAboveShare)
            || getOrderMs(left, left.hardStartDeadlineMs) - getOrderMs(right, right.hardStartDeadlineMs)
        : getOrderMs(left, left.softStartDeadlineMs) - getOrderMs(right, right.softStartDeadlineMs);
}

function getOrderMs(work: WaitingWork, latestStartMs: number): number {
    return latestStartMs + work.prefillMs + work.orderDelayMs;
}
