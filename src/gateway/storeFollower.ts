import { Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { ResultKind } from "../base/result.js";
import { TimerService, waitFor } from "../base/timerService.js";
import { FeedErrorKind, KeyedRecord, RecordFeed } from "../ports/recordFeed.js";

/** How a feed is followed, in milliseconds. */
export interface FollowPace {
    /** Time that one read waits for the first record. */
    readonly waitMs: number;
    /** Time between the end of a read and the next; records that come meanwhile are read together. */
    readonly pauseMs: number;
}

/** Receives what a feed says. */
export interface FeedListener {
    /** The newest record of every key; whatever is missing does not exist. */
    onWhole(records: readonly KeyedRecord[]): void;
    onRecords(records: readonly KeyedRecord[]): void;
    onLost(): void;
    onBack(): void;
}

/** What following a feed needs. */
export interface FollowOptions {
    readonly name: string;
    readonly feed: RecordFeed;
    readonly pace: FollowPace;
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly listener: FeedListener;
}

/** Time before a failed read is repeated. */
const retryMs = 150;

/**
 * Follows a feed until disposed: reads everything once, then what follows, and everything again after a gap.
 *
 * @example
 * const following = followFeed({ name: "endpoints", feed, pace, timers, log, listener });
 */
export function followFeed(options: FollowOptions): Disposable {
    const { feed, pace, timers, log, listener } = options;
    let isDisposed = false;
    let offset: number | undefined;
    let lostAtMs: number | undefined;

    function markLost(reason: string): void {
        if (lostAtMs === undefined) {
            lostAtMs = timers.now();
            log(LogEvent.StoreFeedLost, { feed: options.name, reason, offset });
            listener.onLost();
        }
    }

    function markBack(): void {
        if (lostAtMs !== undefined) {
            log(LogEvent.StoreFeedBack, { feed: options.name, awayMs: Math.round(timers.now() - lostAtMs), offset });
            lostAtMs = undefined;
            listener.onBack();
        }
    }

    async function readWhole(): Promise<void> {
        const result = await feed.readNewest();
        if (isDisposed) {
            return;
        }
        if (result.kind === ResultKind.Failure) {
            markLost(result.error.reason);
            await waitFor(timers, retryMs);
            return;
        }
        markBack();
        offset = result.value.nextOffset;
        listener.onWhole(result.value.records);
    }

    async function readNext(from: number): Promise<void> {
        const result = await feed.readFrom(from, pace.waitMs);
        if (isDisposed) {
            return;
        }
        if (result.kind === ResultKind.Success) {
            markBack();
            offset = result.value.nextOffset;
            listener.onRecords(result.value.records);
            await waitFor(timers, pace.pauseMs);
            return;
        }
        if (result.error.kind === FeedErrorKind.Expired) {
            log(LogEvent.StoreFeedGap, { feed: options.name, offset: from });
            offset = undefined;
            return;
        }
        markLost(result.error.reason);
        await waitFor(timers, retryMs);
    }

    async function follow(): Promise<void> {
        while (!isDisposed) {
            await (offset === undefined ? readWhole() : readNext(offset));
        }
    }

    follow().catch((error: unknown) => log(LogEvent.TaskFailed, { task: options.name, error: String(error) }));
    return {
        dispose() {
            isDisposed = true;
        },
    };
}
