import { createDisposable } from "./disposable.js";
import { TimerService } from "./timerService.js";

interface Entry {
    dueMs: number;
    readonly order: number;
    readonly intervalMs: number | undefined;
    readonly callback: () => void;
}

/** A timer service that moves only when told to; for tests and replays in virtual time. */
export interface ManualTimerService extends TimerService {
    /** Moves time forward by `durationMs` and runs what falls due, in order. */
    advance(durationMs: number): void;
    /** Time of the next due callback, or `undefined` when nothing is scheduled. */
    getNextDue(): number | undefined;
}

/**
 * Creates a manual timer service.
 *
 * @example
 * const timers = createManualTimerService();
 * timers.schedule(10, () => log.push("due"));
 * timers.advance(10);
 */
export function createManualTimerService(startMs = 0, wallStartMs = 1_700_000_000_000): ManualTimerService {
    let nowMs = startMs;
    let nextOrder = 0;
    const entries = new Set<Entry>();

    function register(delayMs: number, intervalMs: number | undefined, callback: () => void) {
        const entry = { dueMs: nowMs + Math.max(0, delayMs), order: nextOrder++, intervalMs, callback };
        entries.add(entry);
        return createDisposable(() => entries.delete(entry));
    }

    function findNext(): Entry | undefined {
        let next: Entry | undefined;
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
        advance(durationMs) {
            const endMs = nowMs + durationMs;
            for (let next = findNext(); next && next.dueMs <= endMs; next = findNext()) {
                nowMs = next.dueMs;
                if (next.intervalMs === undefined) {
                    entries.delete(next);
                }
                else {
                    next.dueMs += next.intervalMs;
                }
                next.callback();
            }
            nowMs = endMs;
        },
    };
}
