import { Disposable } from "./disposable.js";

/**
 * Source of time and timers. Components use it instead of the system clock, so that tests and replays can control time.
 */
export interface TimerService {
    /** Returns a monotonic time in milliseconds from an arbitrary origin. */
    now(): number;
    /** Returns the wall-clock time in milliseconds since the Unix epoch. Used only for the age of keys and records. */
    wallNow(): number;
    /** Calls `callback` once after `delayMs`. */
    schedule(delayMs: number, callback: () => void): Disposable;
    /** Calls `callback` every `intervalMs` until disposed. */
    subscribe(intervalMs: number, callback: () => void): Disposable;
}

/**
 * Returns a promise that resolves after `delayMs`.
 *
 * @example
 * await waitFor(timers, 100);
 */
export function waitFor(timers: TimerService, delayMs: number): Promise<void> {
    return new Promise(resolve => timers.schedule(delayMs, resolve));
}
