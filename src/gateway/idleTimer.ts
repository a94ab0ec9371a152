import { Disposable } from "../base/disposable.js";
import { TimerService } from "../base/timerService.js";

/** Timer that fires unless it is extended in time. */
export interface IdleTimer extends Disposable {
    /** Sets the time-out to `delayMs` from now. */
    extend(delayMs: number): void;
}

/**
 * Creates an idle timer, which starts with the first call of `extend`. An extension creates no new system timer,
 * because every event of a stream extends the time-out.
 *
 * @example
 * const idleTimer = createIdleTimer(timers, () => exchange.abort());
 * idleTimer.extend(1_000);
 */
export function createIdleTimer(timers: TimerService, onTimeout: () => void): IdleTimer {
    let timeoutAtMs = 0;
    let timer: Disposable | undefined;

    function check(): void {
        const remainingMs = timeoutAtMs - timers.now();
        timer = remainingMs > 0 ? timers.schedule(remainingMs, check) : undefined;
        if (!timer) {
            onTimeout();
        }
    }

    return {
        extend(delayMs) {
            timeoutAtMs = timers.now() + delayMs;
            timer ??= timers.schedule(delayMs, check);
        },
        dispose() {
            timer?.dispose();
            timer = undefined;
        },
    };
}
