import pino from "pino";
import { EventLog } from "./log.js";
import { LogEvent } from "./logEvents.js";

/** Output that is collected before it is written, in bytes; fewer system calls cost less than the delay. */
const collectedBytes = 8 * 1024;
/** Collected output is written at least this often, in milliseconds. */
const flushIntervalMs = 250;
/** Output that waits for a slow reader; what exceeds it is dropped and counted. */
const maxWaitingBytes = 1024 * 1024;

/** A log that is written in the background. */
export interface StructuredLog {
    readonly log: EventLog;
    /** Writes what is collected, without waiting for the background. */
    flush(): void;
}

/**
 * Creates a log of one JSON object a line on standard output. It never blocks: a reader that is too slow loses lines, and
 * the number of lost lines stands in the next line that is written.
 *
 * @example
 * const { log } = createStructuredLog("front-1");
 * log(LogEvent.ProcessStarted, { version: "0.1.0" });
 */
export function createStructuredLog(host: string): StructuredLog {
    const destination = pino.destination({
        dest: 1,
        sync: false,
        minLength: collectedBytes,
        maxLength: maxWaitingBytes,
        periodicFlush: flushIntervalMs,
    });
    let dropped = 0;
    destination.on("drop", () => {
        dropped += 1;
    });
    const logger = pino({ base: { host }, timestamp: pino.stdTimeFunctions.isoTime }, destination);
    return {
        log(event, fields = {}) {
            const lost = dropped > 0 ? { droppedLines: dropped } : {};
            dropped = 0;
            logger.info({ event, name: LogEvent[event], ...fields, ...lost });
        },
        flush() {
            try {
                destination.flushSync();
            }
            catch {
                // The output is closed, so that there is nowhere to report it either.
            }
        },
    };
}
