import { createPauseDetector } from "../membership/pauseDetector.js";

/** Delay with which the event loop of this process handles what is due. */
export interface LoopDelay {
    /**
     * Records that the periodic timer has run. Returns whether the process was paused before.
     *
     * @param processorMs processor time that the process has used since its start
     */
    observe(nowMs: number, processorMs: number): boolean;
    /** Returns the average delay of the last quarter of a second, in milliseconds. */
    getMeanMs(): number;
    /** Returns for how long the next run has been due, in milliseconds; 0 if the process may have been paused. */
    getOverdueMs(nowMs: number): number;
    /** Returns the delay of the last run, in milliseconds. */
    getLastMs(): number;
}

/**
 * Time constant of the average, in milliseconds. A single callback as long as the limit does not exceed it; a longer
 * constant notices the beginning of a burst too late.
 */
const averagingMs = 250;
/**
 * Time between two runs that may be a pause, in milliseconds, as for the shared reads of feeds. Load can cause it too, if
 * callbacks are long.
 */
const pauseThresholdMs = 400;
/**
 * Share of a processor that the process uses at least during a long gap that is caused by load. The smallest hosts grant
 * 0.24; a paused process uses none.
 */
const minBusyShare = 0.1;
/**
 * Bounds of the time after a pause in which what has arrived meanwhile is handled, in milliseconds. Its delay is no load
 * either. At half of what the host carries, that takes as long as the pause.
 */
const minRecoveryMs = 500;
const maxRecoveryMs = 5_000;

/**
 * Creates an estimate without delay.
 *
 * Load pattern: many requests on a host with little processor time, whose callbacks queue up.
 *
 * @param intervalMs interval of the timer that calls `observe`
 *
 * @example
 * const loopDelay = createLoopDelay(100, timers.now());
 * timers.subscribe(100, () => loopDelay.observe(timers.now(), readProcessorMs()));
 */
export function createLoopDelay(intervalMs: number, startMs: number): LoopDelay {
    const pauseDetector = createPauseDetector(pauseThresholdMs, startMs);
    let lastRunMs = startMs;
    let lastProcessorMs = 0;
    let recoveredAtMs = Number.NEGATIVE_INFINITY;
    let meanMs = 0;
    let delayMs = 0;

    return {
        observe(nowMs, processorMs) {
            const gapMs = nowMs - lastRunMs;
            const isIdle = processorMs - lastProcessorMs < minBusyShare * gapMs;
            lastRunMs = nowMs;
            lastProcessorMs = processorMs;
            const isPause = pauseDetector.observe(nowMs) > 0 && isIdle;
            if (isPause) {
                recoveredAtMs = nowMs + Math.min(maxRecoveryMs, Math.max(minRecoveryMs, gapMs));
            }
            if (nowMs >= recoveredAtMs) {
                delayMs = Math.max(0, gapMs - intervalMs);
                meanMs += (delayMs - meanMs) * (1 - Math.exp(-gapMs / averagingMs));
            }
            return isPause;
        },
        getMeanMs: () => meanMs,
        getOverdueMs: nowMs =>
            nowMs < recoveredAtMs || pauseDetector.isSuspect(nowMs) ? 0 : Math.max(0, nowMs - lastRunMs - intervalMs),
        getLastMs: () => delayMs,
    };
}
