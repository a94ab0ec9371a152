import { Disposable } from "../base/disposable.js";
import { LogEvent } from "../base/logEvents.js";
import { configurationStream } from "../config/changeSet.js";
import { CheckpointRecord, makeCheckpoint } from "../config/checkpoint.js";
import { ConfigurationReader, isCheckpointDue, makeRestartState } from "../config/reader.js";
import { LogServiceError, LogServiceErrorKind } from "../ports/logService.js";
import type { LogConfigurationParts, LogConfigurationSettings } from "./logConfigurationSource.js";

/** Writes checkpoints when they are due and no other process has done so. */
export interface CheckpointWriter extends Disposable {
    /** Schedules a checkpoint if one is due. Called after each read. */
    check(): void;
    /** Writes the first checkpoint of a log that was restarted without its records. */
    writeRestart(): void;
    listAlarms(): readonly string[];
}

/** Age of the newest checkpoint, as a share of the retention, above which an alarm is raised. */
const alarmAgeShare = 0.75;
const checkIntervalShare = 0.05;
const maxCheckIntervalMs = 60_000;

/**
 * Creates the checkpoint writer of one source. Any process may write a checkpoint. Its content depends on the records
 * only, so a duplicate has no effect, and because of the random delay usually one process alone writes it.
 *
 * @example
 * const checkpoints = createCheckpointWriter(settings, parts, () => reader);
 */
export function createCheckpointWriter(
    settings: LogConfigurationSettings,
    parts: LogConfigurationParts,
    getReader: () => ConfigurationReader,
): CheckpointWriter {
    const { timers, random, log } = parts;
    const rules = { retentionMs: settings.retentionMs, maxRecords: settings.checkpointRecords };
    let timer: Disposable | undefined;
    let isAppending = false;
    let failure: string | undefined;

    function append(record: CheckpointRecord) {
        isAppending = true;
        const { foldedOffset, generation, restart } = record;
        parts.logService.append(configurationStream, [record]).then(
            offset => {
                failure = undefined;
                log(LogEvent.CheckpointWritten, { offset, foldedOffset, generation, restart });
            },
            (error: unknown) => {
                // If only the response was lost, the next read returns the checkpoint. Otherwise one is due again.
                const isUnknown = error instanceof LogServiceError && error.kind === LogServiceErrorKind.OutcomeUnknown;
                failure = String(error);
                log(LogEvent.CheckpointFailed, { foldedOffset, generation, isUnknown, error: failure });
            },
        ).finally(() => {
            isAppending = false;
        });
    }

    function isDue() {
        return !isAppending && isCheckpointDue(getReader(), rules, timers.wallNow());
    }

    function check() {
        if (!timer && isDue()) {
            const jitterMs = Math.min(settings.checkpointJitterMs, settings.retentionMs / 10);
            timer = timers.schedule(jitterMs * random(), () => {
                timer = undefined;
                if (isDue()) {
                    append(makeCheckpoint(getReader().state));
                }
            });
        }
    }

    const checkInterval = timers.subscribe(
        Math.min(maxCheckIntervalMs, settings.retentionMs * checkIntervalShare),
        check,
    );

    return {
        check,
        writeRestart() {
            if (!isAppending && getReader().state.generation >= 0) {
                append(makeCheckpoint(makeRestartState(getReader()), true));
            }
        },
        listAlarms() {
            const newest = getReader().checkpoint;
            const ageMs = newest ? timers.wallNow() - newest.timeMs : 0;
            return ageMs > settings.retentionMs * alarmAgeShare
                ? [`the newest checkpoint is ${Math.round(ageMs)} ms old; ${failure ?? "no process has replaced it"}`]
                : [];
        },
        dispose() {
            timer?.dispose();
            checkInterval.dispose();
        },
    };
}
