import { Disposable } from "../base/disposable.js";
import { TimerService } from "../base/timerService.js";

/** A sidecar acknowledges a dispatch at once; only a dead connection or a stopped process takes this long. */
const acknowledgementTimeoutMs = 1_000;
/** Lateness of a timer that shows that this process was busy or paused. */
const maxCheckDelayMs = 100;

/** What the watch asks about a connection. */
export interface WatchedConnection {
    /** Whether anything has arrived since the dispatch, or the connection is not in use any more. */
    isAnswered(): boolean;
    hasUnsentBytes(): boolean;
    /** The connection is open and yet delivers nothing. */
    handleUnresponsive(): void;
}

/**
 * Watches a connection after a dispatch. A check that runs late says nothing about the connection, because this process
 * did not read from it either; it is repeated.
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
        if (timers.now() - dueMs > maxCheckDelayMs || connection.hasUnsentBytes()) {
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
