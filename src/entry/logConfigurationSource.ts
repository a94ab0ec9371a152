import { createDisposableStore, Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { createMailbox, runTask } from "../base/mailbox.js";
import { RandomSource } from "../base/randomSource.js";
import { TimerService } from "../base/timerService.js";
import { configurationStream } from "../config/changeSet.js";
import { computeConfigurationDigest } from "../config/digest.js";
import { FoldOutcome, FoldOutcomeKind, RejectionReason } from "../config/fold.js";
import { Configuration } from "../config/objects.js";
import {
    acceptPage,
    acceptPeerState,
    acceptRestart,
    isSameLog,
    makeConfigurationReader,
    ReadResult,
    skipGap,
} from "../config/reader.js";
import { buildConfigurationMessage, parseConfigurationMessage } from "../link/configurationMessage.js";
import { ConfigurationMessage } from "../link/messages.js";
import { LogPage, LogService } from "../ports/logService.js";
import { createChangeLog } from "./changeLog.js";
import { createCheckpointWriter } from "./checkpointWriter.js";
import { ConfigurationSource } from "./configurationSource.js";

/** Settings of a source that follows the log. */
export interface LogConfigurationSettings {
    /** Time that one long-polling read waits for a record, in milliseconds. */
    readonly waitMs: number;
    /** Maximum delay before a failed read is repeated, in milliseconds. */
    readonly maxRetryDelayMs: number;
    /** Maximum number of records of one read. */
    readonly pageRecords: number;
    /** Time for which the log keeps a record, in milliseconds. */
    readonly retentionMs: number;
    /** Number of records after which a checkpoint is written even if the last one is recent. */
    readonly checkpointRecords: number;
    /** Maximum random delay before a checkpoint that is due is written, in milliseconds. */
    readonly checkpointJitterMs: number;
    /**
     * Time to wait for a peer's configuration or a checkpoint that covers a gap, in milliseconds. A random delay
     * extends it to up to twice this value.
     */
    readonly gapTimeoutMs: number;
}

/** Default settings. The retention is that of the platform's log. */
export const defaultLogConfigurationSettings: LogConfigurationSettings = {
    waitMs: 1_000,
    maxRetryDelayMs: 1_000,
    pageRecords: 500,
    retentionMs: 24 * 60 * 60 * 1_000,
    checkpointRecords: 250,
    checkpointJitterMs: 5_000,
    gapTimeoutMs: 2_000,
};

/** Dependencies of a source that follows the log. */
export interface LogConfigurationParts {
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly log: EventLog;
    readonly logService: LogService;
    /** Requests the configurations of reachable peers. Never rejects. */
    readonly findPeerConfigurations: () => Promise<readonly ConfigurationMessage[]>;
}

/** Tag of a {@link SourceEvent}. */
enum SourceEventKind {
    PageRead = "page-read",
    ReadFailed = "read-failed",
    Offered = "offered",
    PeersAsked = "peers-asked",
    GapExpired = "gap-expired",
}

/** An event that the source handles in its mailbox. */
type SourceEvent =
    | { readonly kind: SourceEventKind.PageRead; readonly page: LogPage; readonly isProbe: boolean }
    | { readonly kind: SourceEventKind.ReadFailed; readonly error: unknown }
    | { readonly kind: SourceEventKind.Offered; readonly message: ConfigurationMessage }
    | { readonly kind: SourceEventKind.PeersAsked }
    | { readonly kind: SourceEventKind.GapExpired };

const firstRetryDelayMs = 50;
/** Reads without a new record after which the last record is read again, to detect a log that was restarted. */
const idleReadsPerProbe = 10;
/** Consecutive reads that end before the folded state, after which the log counts as restarted instead of lagging. */
const behindReadLimit = 3;
const restartGapTimeoutMs = 200;
const peerRetryDelayMs = 1_000;
const maxReportedRejections = 5;

/**
 * Creates a source that follows the configuration stream. The last accepted state stays in force whatever happens to
 * the log. The first configuration comes into force only after the log has been read to its end, or a read has failed,
 * and peers have been asked, so that a replaced process never serves an older generation than the peers it reaches.
 *
 * @example
 * const source = createLogConfigurationSource(defaultLogConfigurationSettings, parts);
 * source.subscribe(configuration => console.log(configuration.generation));
 */
export function createLogConfigurationSource(
    settings: LogConfigurationSettings,
    parts: LogConfigurationParts,
): ConfigurationSource {
    const { timers, log, logService } = parts;
    const store = createDisposableStore();
    const mailbox = createMailbox<SourceEvent>();
    const listeners = new Set<(configuration: Configuration) => void>();
    const rejections: string[] = [];
    let reader = makeConfigurationReader();
    let current: Configuration | undefined;
    let cachedMessage: { readonly of: Configuration; readonly value: ConfigurationMessage } | undefined;
    let arePeersAsked = false;
    let isFirstReadDone = false;
    let isStateComplete = false;
    let isReading = false;
    let isLogReachable: boolean | undefined;
    let lastReadMs = timers.now();
    let failures = 0;
    let idleReads = 0;
    let behindReads = 0;
    let gapTimer: Disposable | undefined;
    let readTimer: Disposable | undefined;

    const changes = createChangeLog();
    const checkpoints = createCheckpointWriter(settings, parts, () => reader);

    function read(isProbe: boolean) {
        readTimer = undefined;
        isReading = true;
        const from = isProbe ? reader.last!.offset : reader.nextOffset;
        const waitMs = reader.atEnd && !isProbe ? settings.waitMs : 0;
        const reading = logService.read(configurationStream, from, settings.pageRecords, waitMs);
        reading.then(
            page => mailbox.post({ kind: SourceEventKind.PageRead, page, isProbe }),
            (error: unknown) => mailbox.post({ kind: SourceEventKind.ReadFailed, error }),
        );
    }

    function scheduleRead(delayMs: number, isProbe = false) {
        readTimer = timers.schedule(delayMs, () => read(isProbe && reader.last !== undefined));
    }

    function askPeers() {
        void parts.findPeerConfigurations().then(messages => {
            messages.forEach(offered => mailbox.post({ kind: SourceEventKind.Offered, message: offered }));
            mailbox.post({ kind: SourceEventKind.PeersAsked });
        });
    }

    function handleOutcome(outcome: FoldOutcome) {
        const { offset } = outcome.record;
        if (outcome.kind === FoldOutcomeKind.Rejected) {
            const { id, author } = outcome.changeSet;
            log(LogEvent.ChangeSetRejected, { offset, id, author, reason: outcome.reason, message: outcome.message });
            if (outcome.reason === RejectionReason.Duplicate) {
                // Expected: a publisher repeats an append whose response was lost.
                return;
            }
            rejections.push(`change set ${id} by ${author} at offset ${offset} was rejected: ${outcome.reason}`);
            rejections.splice(0, Math.max(0, rejections.length - maxReportedRejections));
        }
        else if (outcome.kind === FoldOutcomeKind.Ignored) {
            log(LogEvent.ConfigurationRecordIgnored, { offset, message: outcome.message });
        }
    }

    function accept(result: ReadResult) {
        const hadGap = reader.gap !== undefined;
        changes.accept(reader, result);
        reader = result.reader;
        result.outcomes.forEach(handleOutcome);
        if (reader.gap && !hadGap) {
            startGap();
        }
        else if (!reader.gap && hadGap) {
            gapTimer?.dispose();
            log(LogEvent.ConfigurationGapClosed, { foldedOffset: reader.state.foldedOffset });
        }
        publish();
        checkpoints.check();
    }

    function startGap() {
        const { fromOffset, toOffset, isRestart } = reader.gap!;
        log(LogEvent.ConfigurationGap, { fromOffset, toOffset, isRestart });
        gapTimer?.dispose();
        // After a restart of the log only a new checkpoint can close the gap, and publishers wait for it.
        const timeoutMs = isRestart ? Math.min(restartGapTimeoutMs, settings.gapTimeoutMs) : settings.gapTimeoutMs;
        const delayMs = timeoutMs * (1 + parts.random());
        gapTimer = timers.schedule(delayMs, () => mailbox.post({ kind: SourceEventKind.GapExpired }));
        askPeers();
    }

    function handleGapExpired() {
        if (!reader.gap) {
            return;
        }
        if (reader.gap.isRestart) {
            // The gap closes when a restart checkpoint, written by this entry or another, has been read back.
            checkpoints.writeRestart();
            startGap();
        }
        else if (reader.state.generation >= 0 && reader.atEnd) {
            accept(skipGap(reader));
        }
        else {
            startGap();
        }
    }

    function publish() {
        const isReady = arePeersAsked && isFirstReadDone && isStateComplete;
        if (!isReady || reader.state.generation <= (current?.generation ?? -1)) {
            return;
        }
        const { generation, objects } = reader.state;
        current = { generation, objects, digest: computeConfigurationDigest(objects) };
        log(LogEvent.ConfigurationInForce, { generation, digest: current.digest });
        [...listeners].forEach(listener => listener(current!));
    }

    function handlePage(page: LogPage, isProbe: boolean) {
        isReading = false;
        lastReadMs = timers.now();
        failures = 0;
        if (isLogReachable !== true) {
            isLogReachable = true;
            log(LogEvent.ConfigurationLogReachable, { endOffset: page.endOffset });
        }
        const isBehind = page.endOffset < reader.nextOffset;
        behindReads = isBehind ? behindReads + 1 : 0;
        const isOtherLog = isProbe && !isBehind && !isSameLog(reader, page);
        if (isOtherLog || behindReads >= behindReadLimit) {
            behindReads = 0;
            log(LogEvent.ConfigurationLogRestarted, { endOffset: page.endOffset, nextOffset: reader.nextOffset });
            reader = acceptRestart(reader);
            startGap();
            scheduleRead(0);
            return;
        }
        const { nextOffset } = reader;
        const result = acceptPage(reader, page);
        isFirstReadDone ||= result.reader.atEnd || isBehind;
        // With a gap the newest generation is unknown: the records before it may end at an older one.
        isStateComplete ||= result.reader.atEnd && !result.reader.gap;
        accept(result);
        idleReads = isProbe || reader.nextOffset > nextOffset ? 0 : idleReads + 1;
        scheduleRead(isBehind ? settings.maxRetryDelayMs / behindReadLimit : 0, idleReads >= idleReadsPerProbe);
    }

    function handleReadFailed(error: unknown) {
        isReading = false;
        isFirstReadDone = true;
        if (isLogReachable !== false) {
            isLogReachable = false;
            log(LogEvent.ConfigurationLogUnreachable, { error: String(error) });
        }
        publish();
        const delayMs = Math.min(settings.maxRetryDelayMs, firstRetryDelayMs * 2 ** failures);
        failures++;
        scheduleRead(delayMs * (0.5 + parts.random() / 2), true);
    }

    function handleOffered(offered: ConfigurationMessage) {
        if (offered.generation < reader.state.generation) {
            return;
        }
        const state = parseConfigurationMessage(offered);
        if (typeof state === "string") {
            log(LogEvent.PeerConfigurationRefused, { generation: offered.generation, message: state });
            return;
        }
        const previous = reader.state;
        isStateComplete = true;
        accept(acceptPeerState(reader, state));
        if (reader.state.generation > previous.generation) {
            log(LogEvent.PeerConfigurationTaken, { generation: state.generation, foldedOffset: state.foldedOffset });
        }
    }

    function handlePeersAsked() {
        arePeersAsked = true;
        publish();
        if (!current) {
            store.register(timers.schedule(peerRetryDelayMs, askPeers));
        }
    }

    function handleEvent(event: SourceEvent) {
        switch (event.kind) {
            case SourceEventKind.PageRead:
                return handlePage(event.page, event.isProbe);
            case SourceEventKind.ReadFailed:
                return handleReadFailed(event.error);
            case SourceEventKind.Offered:
                return handleOffered(event.message);
            case SourceEventKind.PeersAsked:
                return handlePeersAsked();
            case SourceEventKind.GapExpired:
                return handleGapExpired();
        }
    }

    function listAlarms(): readonly string[] {
        const alarms: string[] = [];
        if (isLogReachable === false) {
            alarms.push("the log service cannot be read; the last accepted configuration stays in force");
        }
        if (reader.isLogBehind || reader.gap?.isRestart) {
            alarms.push("the log ends before the configuration in force; it has lost records or lags");
        }
        else if (reader.gap) {
            alarms.push(`records ${reader.gap.fromOffset} to ${reader.gap.toOffset} expired before they were read`);
        }
        return [...alarms, ...checkpoints.listAlarms()];
    }

    store.register(runTask(mailbox, handleEvent, error => {
        log(LogEvent.TaskFailed, { task: "configuration", error: String(error) });
        if (!readTimer && !isReading) {
            scheduleRead(settings.maxRetryDelayMs);
        }
    }));
    store.register(checkpoints);
    askPeers();
    read(false);

    return {
        getCurrent: () => current,
        subscribe(listener) {
            listeners.add(listener);
            if (current) {
                listener(current);
            }
            return { dispose: () => listeners.delete(listener) };
        },
        offer: offered => mailbox.post({ kind: SourceEventKind.Offered, message: offered }),
        buildMessage() {
            if (current && cachedMessage?.of !== current) {
                cachedMessage = { of: current, value: buildConfigurationMessage(reader.state, current) };
            }
            return cachedMessage?.value;
        },
        buildChangeMessage: base => current && changes.buildMessage(base, current),
        describe: () => ({
            logReachable: isLogReachable,
            logAgeMs: timers.now() - lastReadMs,
            foldedOffset: reader.state.foldedOffset,
            alarms: listAlarms(),
            rejections: [...rejections],
        }),
        dispose() {
            readTimer?.dispose();
            gapTimer?.dispose();
            store.dispose();
        },
    };
}
