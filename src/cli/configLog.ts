import { createHttpLogService } from "../adapters/httpLogService.js";
import { AppendOutcomeKind, createLogAppender } from "../adapters/logAppender.js";
import { makeId } from "../base/ids.js";
import { createSystemTimerService } from "../base/systemTimerService.js";
import { TimerService, waitFor } from "../base/timerService.js";
import { Change, configurationStream, makeChangeSetRecord } from "../config/changeSet.js";
import { acceptHistoryPage, ConfigurationHistory, HistoryEntry, makeConfigurationHistory } from "../config/history.js";
import { LogService, LogServiceError } from "../ports/logService.js";
import { CommandResult, ExitCode } from "./output.js";

const pageRecords = 500;
const readBackDelayMs = 50;
/**
 * Time within which running entries write their configuration to a log that has lost its records and looks like a new
 * one.
 */
const firstPublishSettleMs = 3_000;

/**
 * Reads the configuration stream to its end. The reader's `gap` is set if the log no longer holds the records from
 * which the current configuration is built.
 */
export async function readHistory(
    log: LogService,
    from: ConfigurationHistory = makeConfigurationHistory(),
): Promise<ConfigurationHistory> {
    let history = from;
    do {
        const page = await log.read(configurationStream, history.reader.nextOffset, pageRecords);
        if (page.endOffset < history.reader.nextOffset) {
            return history;
        }
        history = acceptHistoryPage(history, page);
    }
    while (history.reader.nextOffset < history.reader.endOffset);
    return history;
}

/** Runs a command against a log service; returns an error result if the service cannot be read. */
export async function openLog(
    url: string,
    run: (log: LogService, timers: TimerService) => Promise<CommandResult>,
): Promise<CommandResult> {
    const timers = createSystemTimerService();
    const log = createHttpLogService(url, timers);
    try {
        return await run(log, timers);
    }
    catch (error) {
        if (!(error instanceof LogServiceError)) {
            throw error;
        }
        const message = `the log service at ${url} cannot be read: ${error.message}`;
        return { code: ExitCode.Unreachable, lines: [message], data: { result: "unreachable", message } };
    }
    finally {
        log.dispose();
    }
}

/** Returns an error result if records are missing that a change must be based on, otherwise `undefined`. */
export function describeUnusableLog(history: ConfigurationHistory): CommandResult | undefined {
    const { gap } = history.reader;
    if (!gap) {
        return undefined;
    }
    const message =
        `records up to offset ${gap.toOffset} have expired and the log holds no checkpoint that covers them; `
        + "an entry writes one within seconds of reaching the log";
    return { code: ExitCode.Unreachable, lines: [message], data: { result: "no-checkpoint", message } };
}

/** Change set that an operator publishes. */
export interface PublishRequest {
    readonly author: string;
    readonly base: number;
    readonly reason?: string;
    readonly changes: readonly Change[];
    readonly timeoutMs: number;
}

/**
 * Appends a change set and reads it back. If the answer to the append is lost, the change set's id shows whether it was
 * written. If it is not found in time, the outcome is reported as unknown.
 */
export async function publishChanges(
    request: PublishRequest,
    before: ConfigurationHistory,
    log: LogService,
    timers: TimerService,
): Promise<CommandResult> {
    const { author, base, reason, changes, timeoutMs } = request;
    const id = makeId();
    const record = makeChangeSetRecord({ id, author, base, reason, changes });
    const deadlineMs = timers.now() + timeoutMs;
    const outcome = await createLogAppender(log, timers).append(configurationStream, record, timeoutMs);
    if (outcome.kind === AppendOutcomeKind.NotAppended) {
        const message = `not published: ${outcome.error.message}`;
        return { code: ExitCode.Unreachable, lines: [message], data: { result: "not-published", id, message } };
    }
    // The append may have used up the time limit; reading back gets at least half of it in any case.
    const entry = await readBack(id, before, log, timers, Math.max(deadlineMs, timers.now() + timeoutMs / 2));
    if (!entry) {
        return describeUnknown(id);
    }
    const isFirst = before.reader.state.generation < 0;
    return isFirst && entry.accepted && await isSuperseded(log, timers)
        ? describeSuperseded(id)
        : describeOutcome(entry);
}

/**
 * Whether a log that looked new had in fact lost its records. Entries that hold an earlier configuration then write it
 * to the log as a checkpoint, and change sets published before that checkpoint have no effect.
 */
async function isSuperseded(log: LogService, timers: TimerService): Promise<boolean> {
    await waitFor(timers, firstPublishSettleMs);
    return (await readHistory(log)).reader.state.shift !== 0;
}

function describeSuperseded(id: string): CommandResult {
    const message = "rejected: the log had lost its records, and entries restored the configuration in force; "
        + "publish the change again";
    return { code: ExitCode.Negative, lines: [message], data: { result: "superseded", id, message } };
}

async function readBack(
    id: string,
    before: ConfigurationHistory,
    log: LogService,
    timers: TimerService,
    deadlineMs: number,
): Promise<HistoryEntry | undefined> {
    let history = before;
    do {
        history = await readHistory(log, history).catch(() => history);
        // A retried append can write the change set twice; only the first record with its id takes effect.
        const entry = history.entries.find(candidate => candidate.id === id);
        if (entry) {
            return entry;
        }
        await waitFor(timers, readBackDelayMs);
    }
    while (timers.now() < deadlineMs);
    return undefined;
}

function describeOutcome(entry: HistoryEntry): CommandResult {
    const { offset, id, changes, rejection, message } = entry;
    if (entry.accepted) {
        const lines = [`accepted at offset ${offset} (${changes} changes, id ${id})`];
        return { code: ExitCode.Success, lines, data: { result: "accepted", offset, id, changes } };
    }
    const lines = [`rejected at offset ${offset}: ${rejection}: ${message}`];
    return { code: ExitCode.Negative, lines, data: { result: "rejected", offset, id, reason: rejection, message } };
}

function describeUnknown(id: string): CommandResult {
    const message = `outcome not known: change set ${id} may or may not be in the log; look for its id in `
        + "`jujubelane config history` before you publish again";
    return { code: ExitCode.Unknown, lines: [message], data: { result: "unknown", id, message } };
}
