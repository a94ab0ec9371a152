import { AppendOutcomeKind, createLogAppender } from "../adapters/logAppender.js";
import { isContinuation, startOfLog } from "../adapters/logPosition.js";
import { Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { Metrics } from "../base/metrics.js";
import { buildRequestError, ErrorCode, RequestError } from "../base/requestError.js";
import { TimerService, waitFor } from "../base/timerService.js";
import { Verdict } from "../base/verdict.js";
import { createQuarantineRegistry, QuarantineSource } from "../gateway/quarantineRegistry.js";
import { CrashReportMessage, LinkMessageType, QuarantineMessage } from "../link/messages.js";
import { LogService } from "../ports/logService.js";
import { progressEvents } from "../quarantine/crashEvidence.js";
import { buildCrashRecord, buildTermRecord, parseCrashRecord, parseTermRecord } from "../quarantine/crashRecord.js";
import {
    applyCrash,
    CrashRecord,
    createQuarantineState,
    decideTreatment,
    defaultQuarantineSettings,
    QuarantineSettings,
    Treatment,
} from "../quarantine/quarantine.js";
import { AttemptEvent, AttemptEventKind } from "./attempt.js";
import { RequestPlan } from "./requestTask.js";

/** Dependencies of a quarantine manager. */
export interface QuarantineManagerParts {
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly metrics: Metrics;
    /** Log in which entries share crashes; without it an entry only knows the crashes that its sidecars report. */
    readonly logService?: LogService;
    readonly settings?: QuarantineSettings;
    /** Sends a message to every sidecar that this entry has a link to. */
    broadcast(message: QuarantineMessage): void;
}

/** Quarantines requests that crash endpoints, so that they do not crash further ones. */
export interface QuarantineManager extends Disposable {
    handleCrashReport(message: CrashReportMessage): void;
    /** Returns the messages with which a sidecar must be brought up to date when its link opens. */
    listMessages(): readonly QuarantineMessage[];
    /** Returns the error for a quarantined request, or `undefined` if the request may run. */
    check(request: Pick<RequestPlan, "fingerprint" | "traits">): RequestError | undefined;
    /** Follows a request, to find out whether requests that share messages with it crash endpoints. */
    followRequest(traits: readonly string[]): RequestProgress;
}

/** Progress of one request. */
export interface RequestProgress {
    recordEvent(event: AttemptEvent): void;
}

const controlStream = "control";
const pageRecords = 500;
const readWaitMs = 10_000;
const appendTimeoutMs = 5_000;
const retryDelayMs = 1_000;

/**
 * Creates the quarantine manager of an entry.
 *
 * @example
 * const broadcast = (message: QuarantineMessage) => links.forEach(link => link.send(message));
 * const manager = createQuarantineManager({ timers, log, broadcast });
 */
export function createQuarantineManager(parts: QuarantineManagerParts): QuarantineManager {
    const { timers, log, logService } = parts;
    const settings = parts.settings ?? defaultQuarantineSettings;
    const appender = logService && createLogAppender(logService, timers);
    const decidedHere = new Set<string>();
    let state = createQuarantineState();
    let disposed = false;
    const registry = createQuarantineRegistry({
        timers,
        log,
        metrics: parts.metrics,
        // Sidecars report crashes to every entry that has a link to them.
        reportCrash: () => undefined,
        reportTerm(term) {
            decidedHere.add(term.trait);
            void publish(buildTermRecord(term), term.trait);
        },
        isTester: trait => decidedHere.has(trait),
    });

    function buildMessage(fingerprint: string): QuarantineMessage | undefined {
        const suspect = state.suspects.get(fingerprint);
        return suspect && {
            type: LinkMessageType.Quarantine,
            fingerprint,
            untilMs: suspect.untilMs,
            isolated: !suspect.quarantined,
        };
    }

    function applyRecord(record: CrashRecord, timeMs: number) {
        const { state: next, changed } = applyCrash(state, record, timeMs, settings);
        state = next;
        for (const fingerprint of changed) {
            const message = buildMessage(fingerprint);
            if (message) {
                const event = message.isolated ? LogEvent.SuspectFound : LogEvent.FingerprintQuarantined;
                log(event, { fingerprint, crash: record.crash });
                parts.broadcast(message);
            }
        }
    }

    /** Appends a record to the log until that succeeds. `crash` names it in the log lines of this process. */
    async function publish(record: { readonly id: string }, crash: string): Promise<void> {
        // If the entry stops before the record is appended, the sidecar's other entries still know of the crash.
        for (let attempt = 1; appender && !disposed; attempt++) {
            const outcome = await appender.append(controlStream, record, appendTimeoutMs);
            if (outcome.kind === AppendOutcomeKind.Appended) {
                return;
            }
            if (attempt === 1) {
                log(LogEvent.CrashNotShared, { crash, reason: outcome.error.message });
            }
            await waitFor(timers, retryDelayMs);
        }
    }

    async function followControlStream(service: LogService): Promise<void> {
        let position = startOfLog;
        while (!disposed) {
            try {
                const page = await service.read(controlStream, position.nextOffset, pageRecords, readWaitMs);
                if (!isContinuation(position, page)) {
                    // What is known stays in force. The log may have records that were written since at offsets read before.
                    log(LogEvent.ControlStreamRestarted, { ...position, era: page.era, previousEra: position.era });
                    position = { nextOffset: 0, era: page.era };
                    continue;
                }
                position = { ...position, era: page.era };
                for (const { offset, timeMs, value } of page.records) {
                    position = { ...position, nextOffset: offset + 1 };
                    const record = parseCrashRecord(value);
                    const term = parseTermRecord(value);
                    if (term && !disposed) {
                        registry.applyTerm(term, QuarantineSource.Store);
                    }
                    if (record && !disposed) {
                        applyRecord(record, timeMs);
                    }
                }
            }
            catch {
                // The log service is unavailable. The known quarantines stay in force.
                await waitFor(timers, retryDelayMs);
            }
        }
    }

    if (logService) {
        void followControlStream(logService);
    }
    return {
        handleCrashReport(message) {
            const record = { crash: message.crash, fingerprints: message.fingerprints };
            if (!state.crashes.has(record.crash)) {
                registry.applyCrash(
                    {
                        crash: record.crash,
                        ageMs: 0,
                        suspects: message.suspects ?? [],
                        runningMs: message.runningMs,
                    },
                    true,
                );
                applyRecord(record, timers.wallNow());
                if (record.fingerprints.length > 0) {
                    void publish(buildCrashRecord(record), record.crash);
                }
            }
        },
        listMessages: () =>
            [...state.suspects.keys()].flatMap(fingerprint => buildMessage(fingerprint) ?? [])
                .filter(message => message.untilMs > timers.wallNow()),
        check({ fingerprint, traits }) {
            const isRequestRefused = decideTreatment(state, fingerprint, timers.wallNow()) === Treatment.Quarantined;
            if (!isRequestRefused && registry.decideTreatment(traits) !== Treatment.Quarantined) {
                return undefined;
            }
            const message = "the request has crashed endpoints and is quarantined";
            return buildRequestError(ErrorCode.Quarantined, message, Verdict.NotRun);
        },
        followRequest(traits) {
            if (traits.length === 0) {
                return { recordEvent: () => undefined };
            }
            const test = registry.startTest(traits);
            let items = 0;
            let isAnswerRecorded = false;
            return {
                recordEvent(event) {
                    items += event.kind === AttemptEventKind.Items ? event.items.length : 0;
                    const hasCompleted = event.kind === AttemptEventKind.Completed;
                    if (!isAnswerRecorded && (hasCompleted || items >= progressEvents)) {
                        isAnswerRecorded = true;
                        registry.recordAnswer(traits);
                    }
                    if (hasCompleted || event.kind === AttemptEventKind.Failed) {
                        test?.dispose();
                    }
                },
            };
        },
        dispose() {
            disposed = true;
        },
    };
}
