import { Metrics } from "../base/metrics.js";
import { Result, ResultKind } from "../base/result.js";
import { FeedError, RecordFeed, WritableFeed } from "../ports/recordFeed.js";

/** Operation on a feed. */
export enum FeedCall {
    /** Reads the newest record of each key. */
    Newest = "newest",
    /** Reads from a position on. */
    From = "from",
    Write = "write",
}

function countCall<Value>(
    metrics: Metrics,
    feed: string,
    call: FeedCall,
    result: Result<Value, FeedError>,
): Result<Value, FeedError> {
    const outcome = result.kind === ResultKind.Success ? "success" : result.error.kind;
    metrics.count("jujubelane_store_calls_total", "Calls to the store.", { feed, call, outcome });
    return result;
}

/**
 * Wraps a feed so that its reads are counted.
 *
 * @example
 * const feed = wrapFeed("endpoints", ports.endpointFeed, metrics);
 */
export function wrapFeed(name: string, feed: RecordFeed, metrics: Metrics): RecordFeed {
    return {
        readNewest: async () => countCall(metrics, name, FeedCall.Newest, await feed.readNewest()),
        readFrom: async (cursor, waitMs) =>
            countCall(metrics, name, FeedCall.From, await feed.readFrom(cursor, waitMs)),
    };
}

/**
 * Wraps a feed so that its reads and writes are counted.
 *
 * @example
 * const feed = wrapWritableFeed("quarantines", ports.quarantineFeed, metrics);
 */
export function wrapWritableFeed(name: string, feed: WritableFeed, metrics: Metrics): WritableFeed {
    return {
        ...wrapFeed(name, feed, metrics),
        write: async (key, value) => countCall(metrics, name, FeedCall.Write, await feed.write(key, value)),
    };
}
