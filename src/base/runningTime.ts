import { Disposable } from "./disposable.js";
import { TimerService } from "./timerService.js";

/** Step in which time is counted, in milliseconds. */
const stepMs = 20;

/**
 * Calls `callback` once after `delayMs` in which the process runs. A pause counts as one step, however long it is. A timer that
 * becomes due in a pause runs before what has arrived meanwhile is read, so that its time-out says nothing about others.
 *
 * @param delayMs a multiple of 20
 *
 * @example
 * const timeout = scheduleInRunningTime(timers, 100, () => finish());
 * timeout.dispose(); // the answer has arrived
 */
export function scheduleInRunningTime(timers: TimerService, delayMs: number, callback: () => void): Disposable {
    let remainingMs = delayMs;
    const steps = timers.subscribe(stepMs, () => {
        remainingMs -= stepMs;
        if (remainingMs <= 0) {
            steps.dispose();
            callback();
        }
    });
    return steps;
}
