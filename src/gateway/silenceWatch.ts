import { Disposable } from "../base/disposable.js";
import { TimerService } from "../base/timerService.js";

/** Calls back when nothing has happened for a time. */
export interface SilenceWatch extends Disposable {
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
export function createSilenceWatch(timers: TimerService, onSilence: () => void): SilenceWatch {
    let endsAtMs = 0;
    let timer: Disposable | undefined;

    function check(): void {
        const remainingMs = endsAtMs - timers.now();
        timer = remainingMs > 0 ? timers.schedule(remainingMs, check) : undefined;
        if (!timer) {
            onSilence();
        }
    }

    return {
        extend(delayMs) {
            endsAtMs = timers.now() + delayMs;
            timer ??= timers.schedule(delayMs, check);
        },
        dispose() {
            timer?.dispose();
            timer = undefined;
        },
    };
}
