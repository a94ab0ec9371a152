import { Disposable } from "../base/disposable.js";
import { TimerService, waitFor } from "../base/timerService.js";
import { LogService, LogServiceError, LogServiceErrorKind } from "../ports/logService.js";

/** A record with an id, by which copies of the same record are recognized. */
export interface IdentifiedRecord {
    readonly id: string;
}

/** Tag of an {@link AppendOutcome}. */
export enum AppendOutcomeKind {
    Appended = "appended",
    /** The record is not in the log and will not appear there later. */
    NotAppended = "not-appended",
    /** The record may be in the log, or may appear there later. */
    Unknown = "unknown",
}

/** Outcome of an append. */
export type AppendOutcome =
    | {
        readonly kind: AppendOutcomeKind.Appended;
        /** Offset of the record's first copy. */
        readonly offset: number;
    }
    | { readonly kind: AppendOutcomeKind.NotAppended | AppendOutcomeKind.Unknown; readonly error: LogServiceError };

/** Appends identified records to a log and determines the outcome of each append. */
export interface LogAppender {
    /**
     * Appends a record within a time limit. If the answer to an append is lost, the stream is searched for the record's
     * id, and the record is appended again if it is not found. Readers must therefore use only the first copy of a
     * record. Never throws.
     *
     * @param timeLimitMs time after which the outcome known by then is returned, in milliseconds
     */
    append(stream: string, record: IdentifiedRecord, timeLimitMs: number): Promise<AppendOutcome>;
}

/** Settings of an appender. */
export interface LogAppenderSettings {
    /** Largest number of records in one append. */
    readonly maxGroupRecords: number;
    /** Delay before an append that failed or has an unknown outcome is retried, in milliseconds. */
    readonly retryDelayMs: number;
}

/** Default settings of an appender. */
export const defaultLogAppenderSettings: LogAppenderSettings = { maxGroupRecords: 100, retryDelayMs: 50 };

interface PendingAppend {
    readonly record: IdentifiedRecord;
    readonly timer: Disposable;
    /** Whether the record was sent in an append that may have taken effect. */
    sent: boolean;
    settled: boolean;
    settle(outcome: AppendOutcome): void;
}

interface StreamState {
    readonly queue: PendingAppend[];
    /** Lower bound of the stream's end offset, from which records with a lost answer are searched. */
    endOffset: number | undefined;
    committing: boolean;
}

const scanPageRecords = 500;

/**
 * Creates an appender with group commit: queued records of the same stream are sent in one append.
 *
 * @example
 * const appender = createLogAppender(log, timers);
 * const outcome = await appender.append("control", { id: makeId(), lease: "load-1" }, 1_000);
 */
export function createLogAppender(
    log: LogService,
    timers: TimerService,
    settings: LogAppenderSettings = defaultLogAppenderSettings,
): LogAppender {
    const states = new Map<string, StreamState>();

    function getStreamState(stream: string): StreamState {
        let state = states.get(stream);
        if (!state) {
            state = { queue: [], endOffset: undefined, committing: false };
            states.set(stream, state);
        }
        return state;
    }

    async function readEnd(stream: string): Promise<number> {
        return (await log.read(stream, 0, 0)).endOffset;
    }

    /** Searches the stream for a group's records and settles those that it finds. Returns the next unread offset. */
    async function scan(stream: string, fromOffset: number, group: readonly PendingAppend[]): Promise<number> {
        let next = fromOffset;
        for (;;) {
            const page = await log.read(stream, next, scanPageRecords);
            if (page.endOffset < next) {
                // The stream was emptied and its offsets restarted at 0.
                next = page.firstOffset;
                continue;
            }
            for (const record of page.records) {
                const id = (record.value as Partial<IdentifiedRecord> | null)?.id;
                const found = group.find(pending => pending.record.id === id);
                found?.settle({ kind: AppendOutcomeKind.Appended, offset: record.offset });
            }
            const last = page.records.at(-1);
            next = last ? last.offset + 1 : page.endOffset;
            if (next >= page.endOffset || group.every(pending => pending.settled)) {
                return next;
            }
        }
    }

    function settleAll(group: readonly PendingAppend[], error: LogServiceError) {
        for (const pending of group) {
            pending.settle(describeFailure(pending, error));
        }
    }

    /** Appends the unsettled records of a group. Returns an error if they remain unsettled. */
    async function tryAppend(
        stream: string,
        state: StreamState,
        unsettled: readonly PendingAppend[],
    ): Promise<LogServiceError | undefined> {
        const isRepeated = unsettled.some(pending => pending.sent);
        markSent(unsettled, true);
        try {
            const first = await log.append(stream, unsettled.map(pending => pending.record));
            state.endOffset = first + unsettled.length;
            if (isRepeated) {
                // A copy from an earlier append may have a lower offset. The next scan finds the first copy.
                return new LogServiceError(
                    LogServiceErrorKind.OutcomeUnknown,
                    "records were appended more than once; the offset of the first copy is not yet known",
                );
            }
            unsettled.forEach((pending, index) => {
                pending.settle({ kind: AppendOutcomeKind.Appended, offset: first + index });
            });
            return undefined;
        }
        catch (error) {
            const failure = toLogServiceError(error);
            markSent(unsettled, isRepeated || failure.kind === LogServiceErrorKind.OutcomeUnknown);
            return failure;
        }
    }

    async function commitGroup(stream: string, state: StreamState, group: readonly PendingAppend[]): Promise<void> {
        let scanFrom: number;
        try {
            scanFrom = state.endOffset ??= await readEnd(stream);
        }
        catch (error) {
            settleAll(group, toLogServiceError(error));
            return;
        }
        const listUnsettled = () => group.filter(pending => !pending.settled);
        for (let unsettled = listUnsettled(); unsettled.length > 0; unsettled = listUnsettled()) {
            const failure = await tryAppend(stream, state, unsettled);
            if (!failure) {
                return;
            }
            const isFinal = failure.kind === LogServiceErrorKind.Refused
                || (failure.kind === LogServiceErrorKind.Unavailable && !unsettled.some(pending => pending.sent));
            if (isFinal) {
                settleAll(unsettled, failure);
                return;
            }
            try {
                scanFrom = await scan(stream, scanFrom, unsettled);
            }
            catch {
                // The log does not answer. The records remain unsettled until their time limits.
            }
            if (listUnsettled().length > 0) {
                await waitFor(timers, settings.retryDelayMs);
            }
        }
    }

    async function commitQueue(stream: string, state: StreamState): Promise<void> {
        state.committing = true;
        while (state.queue.length > 0) {
            const group = state.queue.splice(0, settings.maxGroupRecords).filter(pending => !pending.settled);
            if (group.length > 0) {
                await commitGroup(stream, state, group);
            }
        }
        state.committing = false;
    }

    return {
        append(stream, record, timeLimitMs) {
            const state = getStreamState(stream);
            return new Promise(resolve => {
                const error = new LogServiceError(
                    LogServiceErrorKind.Unavailable,
                    "log did not answer within the time limit",
                );
                const pending: PendingAppend = {
                    record,
                    timer: timers.schedule(timeLimitMs, () => pending.settle(describeFailure(pending, error))),
                    sent: false,
                    settled: false,
                    settle(outcome) {
                        if (!pending.settled) {
                            pending.settled = true;
                            pending.timer.dispose();
                            resolve(outcome);
                        }
                    },
                };
                state.queue.push(pending);
                if (!state.committing) {
                    void commitQueue(stream, state);
                }
            });
        },
    };
}

function markSent(group: readonly PendingAppend[], sent: boolean): void {
    for (const pending of group) {
        pending.sent = sent;
    }
}

function describeFailure(pending: PendingAppend, error: LogServiceError): AppendOutcome {
    return { kind: pending.sent ? AppendOutcomeKind.Unknown : AppendOutcomeKind.NotAppended, error };
}

function toLogServiceError(error: unknown): LogServiceError {
    return error instanceof LogServiceError
        ? error
        : new LogServiceError(LogServiceErrorKind.OutcomeUnknown, String(error));
}
