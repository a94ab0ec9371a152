/** Detects that this process did not run for a while, for example because of SIGSTOP and SIGCONT. */
export interface PauseDetector {
    /** Records that the process runs. Returns the length of a pause that has just ended, in milliseconds, or 0. */
    observe(nowMs: number): number;
    /** Returns whether the process may have been paused since the last observation. */
    isSuspect(nowMs: number): boolean;
}

/**
 * Creates a pause detector.
 *
 * @param thresholdMs time without an observation that counts as a pause, several times the observation interval
 *
 * @example
 * const detector = createPauseDetector(2_000, timers.now());
 * timers.subscribe(250, () => detector.observe(timers.now()));
 */
export function createPauseDetector(thresholdMs: number, startMs: number): PauseDetector {
    let lastMs = startMs;
    return {
        observe(nowMs) {
            const gapMs = nowMs - lastMs;
            lastMs = nowMs;
            return gapMs > thresholdMs ? gapMs : 0;
        },
        isSuspect: nowMs => nowMs - lastMs > thresholdMs,
    };
}
