import { createDisposable } from "./disposable.js";
import { TimerService } from "./timerService.js";

/**
 * Creates a timer service that uses the clocks and timers of the process.
 *
 * @example
 * const timers = createSystemTimerService();
 */
export function createSystemTimerService(): TimerService {
    return {
        now: () => performance.now(),
        wallNow: () => Date.now(),
        schedule(delayMs, callback) {
            const handle = setTimeout(callback, Math.max(0, delayMs));
            return createDisposable(() => clearTimeout(handle));
        },
        subscribe(intervalMs, callback) {
            const handle = setInterval(callback, intervalMs);
            return createDisposable(() => clearInterval(handle));
        },
    };
}
