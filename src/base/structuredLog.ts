import pino from "pino";
import { EventLog } from "./log.js";
import { LogEvent } from "./logEvents.js";

/** Output is buffered up to this size before it is written: the delay costs less than a system call for each line. */
const minWriteBytes = 8 * 1024;
/** Buffered output is written at least this often. */
const flushIntervalMs = 250;
/** Largest amount of output buffered for a slow reader. Lines beyond it are dropped and counted. */
const maxBufferedBytes = 1024 * 1024;

/** A log that is written asynchronously. */
export interface StructuredLog {
    readonly log: EventLog;
    /** Writes the buffered output synchronously. */
    flush(): void;
}

/**
 * Creates a log that writes one JSON object per line to standard output. Logging never blocks: lines are dropped
 * when the reader is too slow, and the next line that is written contains the number of dropped lines.
 *
 * @example
 * const { log } = createStructuredLog("front-1");
 * log(LogEvent.ProcessStarted, { version: "0.1.0" });
 */
export function createStructuredLog(host: string): StructuredLog {
    const destination = pino.destination({
        dest: 1,
        sync: false,
        minLength: minWriteBytes,
        maxLength: maxBufferedBytes,
        periodicFlush: flushIntervalMs,
    });
    let dropped = 0;
    destination.on("drop", () => {
        dropped += 1;
    });
    const logger = pino({ base: { host }, timestamp: pino.stdTimeFunctions.isoTime }, destination);
    return {
        log(event, fields = {}) {
            const droppedField = dropped > 0 ? { droppedLines: dropped } : {};
            dropped = 0;
            logger.info({ event, name: LogEvent[event], ...fields, ...droppedField });
        },
        flush() {
            try {
                destination.flushSync();
            }
            catch {
                // Standard output is closed, so the failure cannot be reported either.
            }
        },
    };
}
