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
    makeCopy(): LogCopy;
    /** Comes back from a copy. What was appended since is lost, offsets are given out again, and the era changes. */
    restore(copy: LogCopy): void;
}

/** The records of all streams at one time. */
export type LogCopy = ReadonlyMap<string, { readonly records: readonly LogRecord[]; readonly endOffset: number }>;

interface Stream {
    records: LogRecord[];
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
    let era = 1;

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
            const records = stream.records.slice(start, start + limit);
            return { records, firstOffset, endOffset: stream.endOffset, era };
        },
        dropRecords(resetsOffsets) {
            for (const stream of streams.values()) {
                stream.records.length = 0;
                stream.endOffset = resetsOffsets ? 0 : stream.endOffset;
            }
            era += resetsOffsets ? 1 : 0;
        },
        makeCopy: () =>
            new Map([...streams].map(([name, { records, endOffset }]) => [name, { records: [...records], endOffset }])),
        restore(copy) {
            era += 1;
            for (const [name, stream] of streams) {
                stream.records = [...copy.get(name)?.records ?? []];
                stream.endOffset = copy.get(name)?.endOffset ?? 0;
            }
        },
    };
}
