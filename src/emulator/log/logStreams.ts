import { TimerService } from "../../base/timerService.js";
import { LogPage, LogRecord } from "../../ports/logService.js";

/** Limits of the records that a log service keeps. */
export interface LogRetention {
    /** Age at which a record expires, in milliseconds. */
    readonly retentionMs: number;
    /** Number of newest records that each stream keeps. */
    readonly maxRecords: number;
}

/** The streams of an emulated log service, without faults. */
export interface LogStreams {
    append(stream: string, values: readonly unknown[]): number;
    read(stream: string, fromOffset: number, limit: number): LogPage;
    /** Drops all records. Offsets continue, or restart at 0 if `resetsOffsets` is set. */
    dropRecords(resetsOffsets: boolean): void;
}

interface Stream {
    readonly records: LogRecord[];
    endOffset: number;
}

/**
 * Creates empty streams.
 *
 * @example
 * const streams = createLogStreams({ retentionMs: 3_600_000, maxRecords: 100_000 }, timers);
 * streams.append("config", [{ id: "1" }]); // 0
 */
export function createLogStreams(retention: LogRetention, timers: TimerService): LogStreams {
    const streams = new Map<string, Stream>();

    function getOrCreateStream(name: string): Stream {
        let stream = streams.get(name);
        if (!stream) {
            stream = { records: [], endOffset: 0 };
            streams.set(name, stream);
        }
        return stream;
    }

    function expire(stream: Stream) {
        const oldestMs = timers.wallNow() - retention.retentionMs;
        const firstUnexpired = stream.records.findIndex(record => record.timeMs >= oldestMs);
        const expiredCount = firstUnexpired < 0 ? stream.records.length : firstUnexpired;
        stream.records.splice(0, Math.max(expiredCount, stream.records.length - retention.maxRecords));
    }

    return {
        append(name, values) {
            const stream = getOrCreateStream(name);
            const first = stream.endOffset;
            for (const value of values) {
                stream.records.push({ offset: stream.endOffset++, timeMs: timers.wallNow(), value });
            }
            expire(stream);
            return first;
        },
        read(name, fromOffset, limit) {
            const stream = getOrCreateStream(name);
            expire(stream);
            const firstOffset = stream.records[0]?.offset ?? stream.endOffset;
            const start = Math.max(0, fromOffset - firstOffset);
            return { records: stream.records.slice(start, start + limit), firstOffset, endOffset: stream.endOffset };
        },
        dropRecords(resetsOffsets) {
            for (const stream of streams.values()) {
                stream.records.length = 0;
                stream.endOffset = resetsOffsets ? 0 : stream.endOffset;
            }
        },
    };
}
