import { Disposable } from "../base/disposable.js";
import { TimerService, waitFor } from "../base/timerService.js";
import { LogService, LogServiceError, LogServiceErrorKind } from "../ports/logService.js";

/** A record with the id by which its first copy is recognised. */
export interface IdentifiedRecord {
    readonly id: string;
}

/** Tag of an {@link AppendOutcome}. */
export enum AppendOutcomeKind {
    Appended = "appended",
    /** The record is certainly not in the log and will not appear. */
    NotAppended = "not-appended",
    /** The record may be in the log, or may still appear. */
    Unknown = "unknown",
}

/** What became of an append. */
export type AppendOutcome =
    | {
        readonly kind: AppendOutcomeKind.Appended;
        /** Offset of the record's first copy. */
        readonly offset: number;
    }
    | { readonly kind: AppendOutcomeKind.NotAppended | AppendOutcomeKind.Unknown; readonly error: LogServiceError };

/** Appends identified records to a log and finds out what became of them. */
export interface LogAppender {
    /**
     * Appends a record within a time limit. A lost answer is resolved by reading forward for the record's id, and if it
     * is not there by appending it again: readers count the first copy only. Never throws.
     *
     * @param timeLimitMs milliseconds after which the outcome is reported as it is then known
     */
    append(stream: string, record: IdentifiedRecord, timeLimitMs: number): Promise<AppendOutcome>;
}

/** Settings of an appender. */
export interface LogAppenderSettings {
    /** Records that leave in one append. */
    readonly maxGroupRecords: number;
    /** Delay before a refused or unresolved append is tried again, in milliseconds. */
    readonly retryDelayMs: number;
}

/** Default settings of an appender. */
export const defaultLogAppenderSettings: LogAppenderSettings = { maxGroupRecords: 100, retryDelayMs: 50 };

interface Pending {
    readonly record: IdentifiedRecord;
    readonly timer: Disposable;
    /** Whether the record has left in an append that did not certainly fail. */
    sent: boolean;
    settled: boolean;
    settle(outcome: AppendOutcome): void;
}

interface StreamState {
    readonly queue: Pending[];
    /** Lower bound of the stream's end, from which a lost answer is searched. */
    endOffset: number | undefined;
    committing: boolean;
}

const scanPageRecords = 500;

/**
 * Creates an appender with group commit: records that wait for the same stream leave in one append.
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

    function open(stream: string): StreamState {
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

    /** Reads forward for the records of a group and settles those that it finds. Returns where it stopped. */
    async function scan(stream: string, fromOffset: number, group: readonly Pending[]): Promise<number> {
        let next = fromOffset;
        for (;;) {
            const page = await log.read(stream, next, scanPageRecords);
            if (page.endOffset < next) {
                // The stream was emptied and its offsets started again.
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

    function settleAll(group: readonly Pending[], error: LogServiceError) {
        for (const pending of group) {
            pending.settle(describeFailure(pending, error));
        }
    }

    /** Appends the records of a group that are still open. Returns the error that leaves them open, if any. */
    async function tryAppend(
        stream: string,
        state: StreamState,
        open: readonly Pending[],
    ): Promise<LogServiceError | undefined> {
        const isRepeated = open.some(pending => pending.sent);
        markSent(open, true);
        try {
            const first = await log.append(stream, open.map(pending => pending.record));
            state.endOffset = first + open.length;
            if (isRepeated) {
                // An earlier copy may come first; the next scan finds the first one.
                return new LogServiceError(LogServiceErrorKind.OutcomeUnknown, "appended again");
            }
            open.forEach((pending, index) => {
                pending.settle({ kind: AppendOutcomeKind.Appended, offset: first + index });
            });
            return undefined;
        }
        catch (error) {
            const failure = toLogServiceError(error);
            markSent(open, isRepeated || failure.kind === LogServiceErrorKind.OutcomeUnknown);
            return failure;
        }
    }

    async function commit(stream: string, state: StreamState, group: readonly Pending[]): Promise<void> {
        let scanFrom: number;
        try {
            scanFrom = state.endOffset ??= await readEnd(stream);
        }
        catch (error) {
            settleAll(group, toLogServiceError(error));
            return;
        }
        const listOpen = () => group.filter(pending => !pending.settled);
        for (let open = listOpen(); open.length > 0; open = listOpen()) {
            const failure = await tryAppend(stream, state, open);
            if (!failure) {
                return;
            }
            const isFinal = failure.kind === LogServiceErrorKind.Refused
                || (failure.kind === LogServiceErrorKind.Unavailable && !open.some(pending => pending.sent));
            if (isFinal) {
                settleAll(open, failure);
                return;
            }
            try {
                scanFrom = await scan(stream, scanFrom, open);
            }
            catch {
                // The log does not answer; the records stay open until their time limits.
            }
            if (listOpen().length > 0) {
                await waitFor(timers, settings.retryDelayMs);
            }
        }
    }

    async function commitAll(stream: string, state: StreamState): Promise<void> {
        state.committing = true;
        while (state.queue.length > 0) {
            const group = state.queue.splice(0, settings.maxGroupRecords).filter(pending => !pending.settled);
            if (group.length > 0) {
                await commit(stream, state, group);
            }
        }
        state.committing = false;
    }

    return {
        append(stream, record, timeLimitMs) {
            const state = open(stream);
            return new Promise(resolve => {
                const error = new LogServiceError(LogServiceErrorKind.Unavailable, "the log did not answer in time");
                const pending: Pending = {
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
                    void commitAll(stream, state);
                }
            });
        },
    };
}

function markSent(group: readonly Pending[], sent: boolean): void {
    for (const pending of group) {
        pending.sent = sent;
    }
}

function describeFailure(pending: Pending, error: LogServiceError): AppendOutcome {
    return { kind: pending.sent ? AppendOutcomeKind.Unknown : AppendOutcomeKind.NotAppended, error };
}

function toLogServiceError(error: unknown): LogServiceError {
    return error instanceof LogServiceError
        ? error
        : new LogServiceError(LogServiceErrorKind.OutcomeUnknown, String(error));
}
