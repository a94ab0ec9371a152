/** Work that must be done between two points in time. Times and work are in milliseconds or multiples of them. */
export interface WindowedWork {
    readonly releaseMs: number;
    readonly dueMs: number;
    readonly work: number;
    /** What doing all of the work is worth. A part of the work is worth the same part of it. */
    readonly gain: number;
}

/** Computes the work that can be done between two points in time. */
export type WindowCapacity = (fromMs: number, toMs: number) => number;

/**
 * Work is divided into segments of this size by release time, and the points in time at which intervals begin and end
 * are limited for each segment, so that the cost grows with the number of requests and not with its square. Both make the
 * bound larger, never smaller: segments do not compete, and release and due times are moved outwards to such a point.
 */
const maxSegmentSize = 2_000;
const maxPoints = 150;
/** Tolerance for rounding errors of sums. */
const roundingTolerance = 1e-6;

/**
 * Computes an upper bound of the gain from work that one pool does: in each interval, the work that must be done within
 * it does not exceed the capacity of the interval. Work may be interrupted, divided and done in part.
 *
 * Feasible work under these constraints forms a polymatroid, so taking work in descending order of gain by work, each as
 * much as fits, is optimal.
 *
 * @param isWhole whether the gain is a number of requests, which has no fraction
 * @example
 * computeIntervalBound([{ releaseMs: 0, dueMs: 100, work: 60, gain: 1 }], (fromMs, toMs) => toMs - fromMs, true); // 1
 */
export function computeIntervalBound(
    items: readonly WindowedWork[],
    capacity: WindowCapacity,
    isWhole: boolean,
): number {
    const sorted = [...items].sort((left, right) => left.releaseMs - right.releaseMs);
    let bound = 0;
    for (let index = 0; index < sorted.length; index += maxSegmentSize) {
        const gain = computeSegmentBound(sorted.slice(index, index + maxSegmentSize), capacity);
        bound += isWhole ? Math.floor(gain + roundingTolerance) : gain;
    }
    return bound;
}

function computeSegmentBound(items: readonly WindowedWork[], capacity: WindowCapacity): number {
    const starts = selectPoints(items.map(item => item.releaseMs), false);
    const ends = selectPoints(items.map(item => item.dueMs), true);
    /** Capacity left in the interval from each start to each end, by row of one start. */
    const left = starts.map(start => Float64Array.from(ends, end => capacity(start, end)));
    const located = items.map(item => ({
        ...item,
        start: findLastIndex(starts, item.releaseMs),
        end: findFirstIndex(ends, item.dueMs),
    }));
    const isAbove = (item: WindowedWork, other: WindowedWork) => item.gain * other.work - other.gain * item.work;
    located.sort((item, other) => isAbove(other, item));
    let gain = 0;
    for (const item of located) {
        if (item.gain <= 0) {
            continue;
        }
        const done = Math.min(item.work, findLeast(left, item.start, item.end));
        gain += item.work > 0 ? (item.gain * done) / item.work : item.gain;
        for (let start = 0; done > 0 && start <= item.start; start++) {
            const row = left[start]!;
            for (let end = item.end; end < row.length; end++) {
                row[end]! -= done;
            }
        }
    }
    return gain;
}

/** Finds the least capacity left in the intervals that contain the one from `lastStart` to `firstEnd`. */
function findLeast(left: readonly Float64Array[], lastStart: number, firstEnd: number): number {
    let least = Number.POSITIVE_INFINITY;
    for (let start = 0; start <= lastStart; start++) {
        const row = left[start]!;
        for (let end = firstEnd; end < row.length; end++) {
            least = Math.min(least, row[end]!);
        }
        if (least <= 0) {
            return 0;
        }
    }
    return least;
}

/** Selects points in ascending order, always with the first or the last one, so that every time can move outwards. */
function selectPoints(times: readonly number[], isLastKept: boolean): number[] {
    const distinct = [...new Set(times)].sort((left, right) => left - right);
    const step = Math.ceil(distinct.length / maxPoints);
    return distinct.filter((time, index) => (isLastKept ? distinct.length - 1 - index : index) % step === 0);
}

/** Returns the index of the last of some ascending numbers that is not above the limit. The first one never is. */
function findLastIndex(ascending: readonly number[], limit: number): number {
    const firstAbove = findFirstIndex(ascending, limit);
    return ascending[firstAbove] === limit ? firstAbove : firstAbove - 1;
}

/** Returns the index of the first of some ascending numbers that is not below the limit, or their number. */
function findFirstIndex(ascending: readonly number[], limit: number): number {
    let low = 0;
    let high = ascending.length;
    while (low < high) {
        const middle = Math.floor((low + high) / 2);
        if (ascending[middle]! < limit) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}
