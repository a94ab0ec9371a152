/** Largest value of a count in a sliding window of time. */
export interface PeakCount {
    /** Records the present count and returns the largest one of the window. */
    record(count: number, nowMs: number): number;
}

/**
 * Creates a peak without records.
 *
 * @param windowMs time for which a count is remembered, in milliseconds
 *
 * @example
 * const engines = createPeakCount(30_000);
 * engines.record(45, timers.now()); // 45
 * engines.record(30, timers.now()); // 45, for the next 30 seconds
 */
export function createPeakCount(windowMs: number): PeakCount {
    /** Counts in descending order, each recorded later than the ones before it. */
    let peaks: { readonly count: number; readonly atMs: number }[] = [];
    return {
        record(count, nowMs) {
            peaks = peaks.filter(peak => peak.count > count && nowMs - peak.atMs < windowMs);
            peaks.push({ count, atMs: nowMs });
            return peaks[0]!.count;
        },
    };
}
