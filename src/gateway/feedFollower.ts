import { Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { ResultKind } from "../base/result.js";
import { TimerService, waitFor } from "../base/timerService.js";
import { FeedCursor, FeedErrorKind, KeyedRecord, RecordFeed } from "../ports/recordFeed.js";
import { FeedSharing } from "./feedSharing.js";

/** Timing of reads of a feed, in milliseconds. */
export interface PollTiming {
    /** Longest time that one read waits for a record. */
    readonly waitMs: number;
    /** Pause between two reads. Records that are written meanwhile are read together. */
    readonly pauseMs: number;
}

/** Receives the records and the availability of a feed. */
export interface FeedListener {
    /**
     * Receives the newest record of every key. A key that is missing does not exist any more.
     *
     * @param era era of the store, if it names one
     */
    onSnapshot(records: readonly KeyedRecord[], era: number | undefined): void;
    /**
     * Called before the snapshot that follows when the store has come back from an older copy. The snapshot can have older
     * values than known ones, and lack what its writers have not written again yet.
     */
    onRestored(): void;
    /** Receives records that were written since the last call. */
    onUpdate(records: readonly KeyedRecord[]): void;
    onUnavailable(): void;
    onAvailable(): void;
}

export interface FeedFollowerOptions {
    readonly name: string;
    readonly feed: RecordFeed;
    readonly timing: PollTiming;
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly listener: FeedListener;
    /** Shares reads with other gateways. Without it, this follower reads by itself. */
    readonly sharing?: FeedSharing;
}

/** Delay before a failed read is retried, in milliseconds. */
const retryDelayMs = 150;
/** Delay after an unexpected error, which may occur again at once. */
const failedReadDelayMs = 1_000;

/**
 * Follows a feed until disposed. Reads a snapshot, then updates. Reads a new snapshot if updates have expired unread, or if
 * the store has come back from an older copy.
 *
 * @example
 * const following = followFeed({ name: "endpoints", feed, timing, timers, log, listener });
 */
export function followFeed(options: FeedFollowerOptions): Disposable {
    const { feed, timing, timers, log, listener } = options;
    const shared = options.sharing?.register(options.name, timing);
    let isDisposed = false;
    let cursor: FeedCursor | undefined;
    let era: number | undefined;
    let unavailableSinceMs: number | undefined;

    function markUnavailable(reason: string): void {
        if (unavailableSinceMs === undefined) {
            unavailableSinceMs = timers.now();
            log(LogEvent.StoreFeedLost, { feed: options.name, reason, ...cursor });
            listener.onUnavailable();
        }
    }

    function markAvailable(): void {
        if (unavailableSinceMs !== undefined) {
            log(LogEvent.StoreFeedBack, {
                feed: options.name,
                awayMs: Math.round(timers.now() - unavailableSinceMs),
                ...cursor,
            });
            unavailableSinceMs = undefined;
            listener.onAvailable();
        }
    }

    function recordEra(next: FeedCursor): void {
        if (era !== undefined && next.era !== era) {
            log(LogEvent.StoreRestored, { feed: options.name, previousEra: era, ...next });
            listener.onRestored();
        }
        era = next.era ?? era;
    }

    async function readSnapshot(): Promise<void> {
        const startedAtMs = timers.now();
        const result = await feed.readNewest();
        if (isDisposed) {
            return;
        }
        if (result.kind === ResultKind.Failure) {
            markUnavailable(result.error.reason);
            await waitFor(timers, retryDelayMs);
            return;
        }
        cursor = result.value.next;
        markAvailable();
        recordEra(cursor);
        listener.onSnapshot(result.value.records, cursor.era);
        shared?.recordRead(cursor, startedAtMs);
    }

    async function readUpdates(from: FeedCursor): Promise<void> {
        const startedAtMs = timers.now();
        const result = await feed.readFrom(from, shared?.getWaitMs() ?? timing.waitMs);
        if (isDisposed) {
            return;
        }
        if (result.kind === ResultKind.Success) {
            cursor = result.value.next;
            markAvailable();
            listener.onUpdate(result.value.records);
            shared?.recordRead(cursor, startedAtMs);
            await waitFor(timers, timing.pauseMs);
            await shared?.rest();
            return;
        }
        if (result.error.kind === FeedErrorKind.Restored) {
            cursor = undefined;
            await waitFor(timers, retryDelayMs);
            return;
        }
        if (result.error.kind === FeedErrorKind.Expired) {
            log(LogEvent.StoreFeedGap, { feed: options.name, ...from });
            cursor = undefined;
            return;
        }
        markUnavailable(result.error.reason);
        await waitFor(timers, retryDelayMs);
    }

    /** Reads once. After an unexpected error, everything is read again, as some of it may not have been applied. */
    async function readOnce(): Promise<void> {
        try {
            await (cursor === undefined ? readSnapshot() : readUpdates(cursor));
        }
        catch (error) {
            log(LogEvent.TaskFailed, { task: options.name, error: String(error) });
            cursor = undefined;
            await waitFor(timers, failedReadDelayMs);
        }
    }

    async function follow(): Promise<void> {
        while (!isDisposed) {
            await readOnce();
        }
    }

    void follow();
    return {
        dispose() {
            isDisposed = true;
            shared?.dispose();
        },
    };
}
