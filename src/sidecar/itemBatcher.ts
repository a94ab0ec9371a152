import { Disposable } from "../base/disposable.js";
import { TimerService } from "../base/timerService.js";
import { WorkListener, WorkRunner } from "./work.js";

/**
 * Least time between two chunks of one stream, in milliseconds. A token costs the entry a frame and a write to its
 * caller, so a fast stream is sent in chunks of several tokens. The interval stays below the 42 ms between tokens that
 * callers are promised, and an engine that is slower than the interval is not delayed at all.
 */
export const chunkIntervalMs = 25;

/**
 * Wraps a runner so that the items of a stream come at most once an interval. The first items are never held back.
 *
 * @example
 * const runner = createBatchingRunner(createModelRunner(engine, timers, getPriority, settings), timers, chunkIntervalMs);
 */
export function createBatchingRunner(runner: WorkRunner, timers: TimerService, intervalMs: number): WorkRunner {
    return (work, listener) => runner(work, createItemBatcher(listener, timers, intervalMs));
}

function createItemBatcher(listener: WorkListener, timers: TimerService, intervalMs: number): WorkListener {
    let pending: string[] = [];
    let timer: Disposable | undefined;
    let sentMs = -Infinity;

    function emitPending() {
        timer?.dispose();
        timer = undefined;
        if (pending.length > 0) {
            const items = pending;
            pending = [];
            sentMs = timers.now();
            listener.handleItems(items);
        }
    }

    return {
        handleItems(items) {
            pending.push(...items);
            const waitMs = sentMs + intervalMs - timers.now();
            if (waitMs <= 0) {
                emitPending();
            }
            else {
                timer ??= timers.schedule(waitMs, emitPending);
            }
        },
        handleEnd(messages, outputTokens) {
            emitPending();
            listener.handleEnd(messages, outputTokens);
        },
    };
}
