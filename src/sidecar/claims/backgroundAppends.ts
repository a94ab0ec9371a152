import { AppendOutcomeKind, IdentifiedRecord, LogAppender } from "../../adapters/logAppender.js";
import { EventLog } from "../../base/log.js";
import { LogEvent } from "../../base/logEvents.js";
import { TimerService, waitFor } from "../../base/timerService.js";

/** Appends that are retried in the background until the log has stored the record. */
export interface BackgroundAppends {
    /**
     * Appends a record, with retries. Resolves when the log has stored it or `untilMs` has passed.
     *
     * @param untilMs monotonic time after which the record is no longer needed and is dropped
     */
    append(stream: string, record: IdentifiedRecord, untilMs: number): Promise<void>;
    countPending(): number;
    /** Resolves when no append is pending or after `timeLimitMs`. */
    drain(timeLimitMs: number): Promise<void>;
}

const attemptLimitMs = 2_000;
const firstDelayMs = 100;
const maxDelayMs = 2_000;
const drainCheckMs = 20;

/**
 * Creates background appends.
 *
 * @example
 * const appends = createBackgroundAppends(appender, timers, log);
 * void appends.append("claims-0", release, timers.now() + 60_000);
 */
export function createBackgroundAppends(
    appender: LogAppender,
    timers: TimerService,
    log: EventLog,
): BackgroundAppends {
    let pending = 0;

    async function run(stream: string, record: IdentifiedRecord, untilMs: number) {
        let delayMs = firstDelayMs;
        while (timers.now() < untilMs) {
            const outcome = await appender.append(stream, record, attemptLimitMs);
            if (outcome.kind === AppendOutcomeKind.Appended) {
                return;
            }
            log(LogEvent.ClaimRecordDelayed, { stream, record: record.id, error: outcome.error.message });
            await waitFor(timers, delayMs);
            delayMs = Math.min(maxDelayMs, delayMs * 2);
        }
        log(LogEvent.ClaimRecordDropped, { stream, record: record.id });
    }

    return {
        async append(stream, record, untilMs) {
            pending++;
            await run(stream, record, untilMs);
            pending--;
        },
        countPending: () => pending,
        async drain(timeLimitMs) {
            const endMs = timers.now() + timeLimitMs;
            while (pending > 0 && timers.now() < endMs) {
                await waitFor(timers, drainCheckMs);
            }
        },
    };
}
