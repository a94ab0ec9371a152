import { createDisposable } from "./disposable.js";
import { TimerService } from "./timerService.js";

interface ScheduledCallback {
    dueMs: number;
    readonly order: number;
    readonly intervalMs: number | undefined;
    readonly callback: () => void;
}

/** A timer service whose time advances only through `advance`, for tests and replays in virtual time. */
export interface ManualTimerService extends TimerService {
    /** Advances time by `durationMs` and runs the callbacks that become due, in order of due time. */
    advance(durationMs: number): void;
    /** Lets time pass in which the process does not run, so that callbacks that become due run late. */
    pause(durationMs: number): void;
    /** Returns the due time of the next callback, or `undefined` when none is scheduled. */
    getNextDue(): number | undefined;
}

/**
 * Creates a manual timer service.
 *
 * @param wallStartMs wall-clock time at the start, in milliseconds since the Unix epoch
 *
 * @example
 * const timers = createManualTimerService();
 * timers.schedule(10, () => log.push("due"));
 * timers.advance(10);
 */
export function createManualTimerService(startMs = 0, wallStartMs = 1_700_000_000_000): ManualTimerService {
    let nowMs = startMs;
    let nextOrder = 0;
    const entries = new Set<ScheduledCallback>();

    function register(delayMs: number, intervalMs: number | undefined, callback: () => void) {
        const entry = { dueMs: nowMs + Math.max(0, delayMs), order: nextOrder++, intervalMs, callback };
        entries.add(entry);
        return createDisposable(() => entries.delete(entry));
    }

    function findNext(): ScheduledCallback | undefined {
        let next: ScheduledCallback | undefined;
        for (const entry of entries) {
            if (!next || entry.dueMs < next.dueMs || (entry.dueMs === next.dueMs && entry.order < next.order)) {
                next = entry;
            }
        }
        return next;
    }

    return {
        now: () => nowMs,
        wallNow: () => wallStartMs + nowMs - startMs,
        schedule: (delayMs, callback) => register(delayMs, undefined, callback),
        subscribe: (intervalMs, callback) => register(intervalMs, intervalMs, callback),
        getNextDue: () => findNext()?.dueMs,
        pause(durationMs) {
            nowMs += durationMs;
        },
        advance(durationMs) {
            const endMs = nowMs + durationMs;
            for (let next = findNext(); next && next.dueMs <= endMs; next = findNext()) {
                nowMs = Math.max(nowMs, next.dueMs);
                if (next.intervalMs === undefined) {
                    entries.delete(next);
                }
                else {
                    next.dueMs = nowMs + next.intervalMs;
                }
                next.callback();
            }
            nowMs = endMs;
        },
    };
}
