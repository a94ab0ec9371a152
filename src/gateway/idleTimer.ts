import { Disposable } from "../base/disposable.js";
import { hasStalled } from "../base/stall.js";
import { TimerService } from "../base/timerService.js";

/** Timer that fires unless it is extended in time. */
export interface IdleTimer extends Disposable {
    /** Sets the time-out to `delayMs` from now. */
    extend(delayMs: number): void;
}

/**
 * Creates an idle timer, which starts with the first call of `extend`. An extension creates no new system timer,
 * because every event of a stream extends the time-out. If the process did not run when it ended, it begins anew: what
 * arrived in the meantime has not been read.
 *
 * @example
 * const idleTimer = createIdleTimer(timers, () => exchange.abort());
 * idleTimer.extend(1_000);
 */
export function createIdleTimer(timers: TimerService, onTimeout: () => void): IdleTimer {
    let timeoutMs = 0;
    let timeoutAtMs = 0;
    let timer: Disposable | undefined;

    function schedule(delayMs: number): void {
        const dueMs = timers.now() + delayMs;
        timer = timers.schedule(delayMs, () => check(dueMs));
    }

    function check(dueMs: number): void {
        const nowMs = timers.now();
        timer = undefined;
        if (hasStalled(dueMs, nowMs)) {
            schedule(timeoutMs);
        }
        else if (nowMs < timeoutAtMs) {
            schedule(timeoutAtMs - nowMs);
        }
        else {
            onTimeout();
        }
    }

    return {
        extend(delayMs) {
            timeoutMs = delayMs;
            timeoutAtMs = timers.now() + delayMs;
            if (!timer) {
                schedule(delayMs);
            }
        },
        dispose() {
            timer?.dispose();
            timer = undefined;
        },
    };
}
