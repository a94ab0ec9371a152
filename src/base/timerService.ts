import { Disposable } from "./disposable.js";

/**
 * Source of time for everything that waits. Parts subscribe to it instead of reading a clock.
 */
export interface TimerService {
    /** Monotonic time in milliseconds; its origin has no meaning. */
    now(): number;
    /** Wall-clock time in milliseconds since the Unix epoch; used only for ages of keys and records. */
    wallNow(): number;
    /** Calls `callback` once after `delayMs`. */
    schedule(delayMs: number, callback: () => void): Disposable;
    /** Calls `callback` every `intervalMs` until disposed. */
    subscribe(intervalMs: number, callback: () => void): Disposable;
}

/**
 * Resolves after `delayMs`.
 *
 * @example
 * await waitFor(timers, 100);
 */
export function waitFor(timers: TimerService, delayMs: number): Promise<void> {
    return new Promise(resolve => timers.schedule(delayMs, resolve));
}
