import { Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { ResultKind } from "../base/result.js";
import { TimerService, waitFor } from "../base/timerService.js";
import { FeedErrorKind, KeyedRecord, RecordFeed } from "../ports/recordFeed.js";

/** How a feed is followed, in milliseconds. */
export interface PollTiming {
    /** Time that one read waits for the first record. */
    readonly waitMs: number;
    /** Time between the end of a read and the next; records that come meanwhile are read together. */
    readonly pauseMs: number;
}

/** Receives what a feed says. */
export interface FeedListener {
    /** The newest record of every key; whatever is missing does not exist. */
    onSnapshot(records: readonly KeyedRecord[]): void;
    onUpdate(records: readonly KeyedRecord[]): void;
    onUnavailable(): void;
    onAvailable(): void;
}

/** What following a feed needs. */
export interface FeedFollowerOptions {
    readonly name: string;
    readonly feed: RecordFeed;
    readonly timing: PollTiming;
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly listener: FeedListener;
}

/** Time before a failed read is repeated. */
const retryDelayMs = 150;

/**
 * Follows a feed until disposed: reads everything once, then what follows, and everything again after a gap.
 *
 * @example
 * const following = followFeed({ name: "endpoints", feed, pace, timers, log, listener });
 */
export function followFeed(options: FeedFollowerOptions): Disposable {
    const { feed, timing, timers, log, listener } = options;
    let isDisposed = false;
    let offset: number | undefined;
    let unavailableSinceMs: number | undefined;

    function markUnavailable(reason: string): void {
        if (unavailableSinceMs === undefined) {
            unavailableSinceMs = timers.now();
            log(LogEvent.StoreFeedLost, { feed: options.name, reason, offset });
            listener.onUnavailable();
        }
    }

    function markAvailable(): void {
        if (unavailableSinceMs !== undefined) {
            log(LogEvent.StoreFeedBack, {
                feed: options.name,
                awayMs: Math.round(timers.now() - unavailableSinceMs),
                offset,
            });
            unavailableSinceMs = undefined;
            listener.onAvailable();
        }
    }

    async function readSnapshot(): Promise<void> {
        const result = await feed.readNewest();
        if (isDisposed) {
            return;
        }
        if (result.kind === ResultKind.Failure) {
            markUnavailable(result.error.reason);
            await waitFor(timers, retryDelayMs);
            return;
        }
        markAvailable();
        offset = result.value.nextOffset;
        listener.onSnapshot(result.value.records);
    }

    async function readUpdates(from: number): Promise<void> {
        const result = await feed.readFrom(from, timing.waitMs);
        if (isDisposed) {
            return;
        }
        if (result.kind === ResultKind.Success) {
            markAvailable();
            offset = result.value.nextOffset;
            listener.onUpdate(result.value.records);
            await waitFor(timers, timing.pauseMs);
            return;
        }
        if (result.error.kind === FeedErrorKind.Expired) {
            log(LogEvent.StoreFeedGap, { feed: options.name, offset: from });
            offset = undefined;
            return;
        }
        markUnavailable(result.error.reason);
        await waitFor(timers, retryDelayMs);
    }

    async function follow(): Promise<void> {
        while (!isDisposed) {
            await (offset === undefined ? readSnapshot() : readUpdates(offset));
        }
    }

    follow().catch((error: unknown) => log(LogEvent.TaskFailed, { task: options.name, error: String(error) }));
    return {
        dispose() {
            isDisposed = true;
        },
    };
}
