import { Disposable } from "../base/disposable.js";
import { hasStalled } from "../base/stall.js";
import { TimerService } from "../base/timerService.js";

/** Sidecars acknowledge a dispatch immediately. Only a dead connection or a stopped process exceeds this timeout. */
const acknowledgementTimeoutMs = 1_000;

/** A connection whose acknowledgement of a dispatch is awaited. */
export interface WatchedConnection {
    /** Whether anything has arrived since the dispatch, or the connection is no longer in use. */
    isAnswered(): boolean;
    hasUnsentBytes(): boolean;
    /** Called when the connection is open but has delivered nothing within the timeout. */
    handleUnresponsive(): void;
}

/**
 * Checks that a connection delivers data after a dispatch. A check that runs late is repeated, because this process did
 * not read from the connection during the delay either.
 *
 * @example
 * const watch = watchAcknowledgement(timers, connection);
 * watch.dispose();
 */
export function watchAcknowledgement(timers: TimerService, connection: WatchedConnection): Disposable {
    let timer: Disposable;

    function check(dueMs: number) {
        if (connection.isAnswered()) {
            return;
        }
        if (hasStalled(dueMs, timers.now()) || connection.hasUnsentBytes()) {
            scheduleCheck();
            return;
        }
        connection.handleUnresponsive();
    }

    function scheduleCheck() {
        const dueMs = timers.now() + acknowledgementTimeoutMs;
        timer = timers.schedule(acknowledgementTimeoutMs, () => check(dueMs));
    }

    scheduleCheck();
    return { dispose: () => timer.dispose() };
}
