import { Disposable } from "../base/disposable.js";
import { scheduleInRunningTime } from "../base/runningTime.js";
import { TimerService } from "../base/timerService.js";

/** Holds back work that arrives before a starting process knows enough to handle it. */
export interface StartupGate extends Disposable {
    /** Runs the held work, and all further work at once. */
    open(): void;
    /** Runs `work` at once if the gate is open, otherwise when it opens or after the time limit. */
    run(work: () => void): void;
}

/**
 * Creates a closed gate.
 *
 * @param maxWaitMs time after which work runs even if the gate is still closed; time in which the process does not run is not
 *   counted
 *
 * @example
 * const gate = createStartupGate(timers, 400);
 * gate.run(() => handle(request));
 * gate.open(); // handles the request
 */
export function createStartupGate(timers: TimerService, maxWaitMs: number): StartupGate {
    const held = new Map<() => void, Disposable>();
    let isOpen = false;

    function release(work: () => void): void {
        held.get(work)?.dispose();
        held.delete(work);
        work();
    }

    return {
        open() {
            isOpen = true;
            [...held.keys()].forEach(release);
        },
        run(work) {
            if (isOpen) {
                work();
                return;
            }
            held.set(work, scheduleInRunningTime(timers, maxWaitMs, () => release(work)));
        },
        dispose() {
            held.forEach(timer => timer.dispose());
            held.clear();
        },
    };
}
