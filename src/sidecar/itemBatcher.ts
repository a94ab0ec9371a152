import { Disposable } from "../base/disposable.js";
import { TimerService } from "../base/timerService.js";
import { WorkListener, WorkRunner } from "./work.js";

/**
 * Wraps a runner so that the items of a stream are sent at most once per interval. The first items are never delayed.
 * Each chunk costs the entry a frame and a write to its customer, so a fast stream is sent in chunks of several tokens.
 *
 * @param intervalMs minimum time between two chunks of one stream, in milliseconds; 0 sends each token immediately
 *
 * @example
 * const runner = createBatchingRunner(createModelRunner(engine, timers, getPriority, settings), timers, 25);
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
