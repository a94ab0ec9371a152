import { Disposable } from "../base/disposable.js";
import { TimerService } from "../base/timerService.js";

/** Calls back when nothing has happened for a time. */
export interface IdleTimer extends Disposable {
    /** Moves the end of the silence to `delayMs` from now. */
    extend(delayMs: number): void;
}

/**
 * Creates a watch that starts with the first `extend`. One timer serves all extensions, because every event of a stream
 * extends the watch.
 *
 * @example
 * const watch = createSilenceWatch(timers, () => exchange.abort());
 * watch.extend(1_000);
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
