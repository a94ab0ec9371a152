/** Bounds the delay with which a busy or paused process handles a signal. */
export interface SignalDelay {
    /** Records that the periodic timer has run. */
    observe(nowMs: number): void;
    /** Returns the longest time for which a signal that is handled now has waited, less two intervals, in milliseconds. */
    getMaxMs(nowMs: number): number;
}

/**
 * Creates the bound for a process that starts now.
 *
 * The event loop handles all signals that have arrived before it runs timers again. A signal that is handled now has
 * therefore arrived after the run before the last one, which is up to two intervals ago in a process that is not delayed.
 *
 * @param intervalMs interval of the timer that calls `observe`
 *
 * @example
 * const signalDelay = createSignalDelay(100, timers.now());
 * timers.subscribe(100, () => signalDelay.observe(timers.now()));
 */
export function createSignalDelay(intervalMs: number, startMs: number): SignalDelay {
    let lastRunMs = startMs;
    let runBeforeMs = startMs;
    return {
        observe(nowMs) {
            runBeforeMs = lastRunMs;
            lastRunMs = nowMs;
        },
        getMaxMs: nowMs => Math.max(0, nowMs - runBeforeMs - 2 * intervalMs),
    };
}
