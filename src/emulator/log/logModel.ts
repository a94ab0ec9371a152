import { TimerService, waitFor } from "../../base/timerService.js";
import { LogPage } from "../../ports/logService.js";
import { LogFaults, noLogFaults } from "./logFaults.js";
import { createLogStreams, LogCopy, LogRetention } from "./logStreams.js";

/** Settings of an emulated log service. */
export interface LogModelSettings extends LogRetention {
    /** Maximum appends per second, regardless of the number of records in each. */
    readonly appendsPerSecond: number;
}

/** Default settings of an emulated log service. */
export const defaultLogModelSettings: LogModelSettings = {
    retentionMs: 24 * 60 * 60 * 1000,
    maxRecords: 1_000_000,
    appendsPerSecond: 400,
};

/** Tag of a {@link LogReply}. */
export enum LogReplyKind {
    Answered = "answered",
    Unavailable = "unavailable",
    RateLimited = "rate-limited",
    Refused = "refused",
    /** No answer reaches the caller. */
    Lost = "lost",
}

/** Result of a call to the emulated service. */
export type LogReply<Answer> =
    | { readonly kind: LogReplyKind.Answered; readonly answer: Answer }
    | { readonly kind: Exclude<LogReplyKind, LogReplyKind.Answered>; readonly message: string };

/** An emulated log service without a transport. */
export interface LogModel {
    /** Appends and answers with the offset of the first value. */
    append(stream: string, values: readonly unknown[]): Promise<LogReply<number>>;
    read(stream: string, fromOffset: number, limit: number, waitMs: number): Promise<LogReply<LogPage>>;
    getFaults(): LogFaults;
    updateFaults(faults: Partial<LogFaults>): void;
    /** Drops all records. Offsets continue, or restart at 0 if `resetsOffsets` is set. */
    dropRecords(resetsOffsets: boolean): void;
    /** Copies all records. */
    makeCopy(): LogCopy;
    /**
     * Comes back from a copy. What was appended since is lost, offsets are given out again, and the era changes. Reads that
     * wait are answered.
     */
    restore(copy: LogCopy): void;
    /** Number of appends that took effect; a duplicated one counts once. */
    countAppends(): number;
}

const streamPattern = /^[a-z0-9-]{1,64}$/;
const maxReadRecords = 1_000;
const millisecondsPerSecond = 1_000;

/**
 * Creates the model that the HTTP emulator and the in-memory service share.
 *
 * @example
 * const model = createLogModel(defaultLogModelSettings, timers);
 * model.updateFaults({ unavailable: true });
 */
export function createLogModel(settings: LogModelSettings, timers: TimerService): LogModel {
    const streams = createLogStreams(settings, timers);
    const waitingReaders = new Set<() => void>();
    let faults = noLogFaults;
    let appends = 0;
    let availableAppends = settings.appendsPerSecond;
    let refilledMs = timers.now();

    function acquireAppend(): boolean {
        const nowMs = timers.now();
        const refill = (nowMs - refilledMs) * settings.appendsPerSecond / millisecondsPerSecond;
        availableAppends = Math.min(settings.appendsPerSecond, availableAppends + refill);
        refilledMs = nowMs;
        if (availableAppends < 1) {
            return false;
        }
        availableAppends--;
        return true;
    }

    function wakeReaders() {
        for (const wake of [...waitingReaders]) {
            wake();
        }
    }

    /** Decrements a fault counter; returns false if it is already 0. */
    function takeFault(name: "lostAnswers" | "lostAppends" | "lateAppends" | "duplicatedAppends"): boolean {
        const isPresent = faults[name] > 0;
        if (isPresent) {
            faults = { ...faults, [name]: faults[name] - 1 };
        }
        return isPresent;
    }

    function write(stream: string, values: readonly unknown[]): number {
        appends++;
        const offset = streams.append(stream, values);
        if (takeFault("duplicatedAppends")) {
            streams.append(stream, values);
        }
        wakeReaders();
        return offset;
    }

    /** Returns a promise that never resolves if the service is unresponsive. */
    function waitIfUnresponsive(): Promise<void> | undefined {
        return faults.unresponsive ? new Promise(() => undefined) : undefined;
    }

    function checkCall(stream: string): Exclude<LogReply<never>, { kind: LogReplyKind.Answered }> | undefined {
        if (faults.unavailable) {
            return { kind: LogReplyKind.Unavailable, message: "the service is unavailable" };
        }
        if (!streamPattern.test(stream)) {
            return { kind: LogReplyKind.Refused, message: `invalid stream name "${stream}"` };
        }
        return undefined;
    }

    function waitForAppend(waitMs: number): Promise<void> {
        return new Promise(resolve => {
            const timer = timers.schedule(waitMs, wake);
            function wake() {
                timer.dispose();
                waitingReaders.delete(wake);
                resolve();
            }
            waitingReaders.add(wake);
        });
    }

    async function answer<Answer>(value: Answer): Promise<LogReply<Answer>> {
        if (faults.answerDelayMs > 0) {
            await waitFor(timers, faults.answerDelayMs);
        }
        return { kind: LogReplyKind.Answered, answer: value };
    }

    return {
        async append(stream, values) {
            await waitIfUnresponsive();
            const failure = checkCall(stream);
            if (failure) {
                return failure;
            }
            if (values.length === 0) {
                return { kind: LogReplyKind.Refused, message: "expected at least one value" };
            }
            if (!acquireAppend()) {
                return { kind: LogReplyKind.RateLimited, message: "too many appends" };
            }
            const lost = { kind: LogReplyKind.Lost, message: "the answer was lost" } as const;
            if (takeFault("lostAppends")) {
                return lost;
            }
            if (takeFault("lateAppends")) {
                timers.schedule(faults.lateAppendMs, () => write(stream, values));
                return lost;
            }
            const offset = write(stream, values);
            return takeFault("lostAnswers") ? lost : answer(offset);
        },
        async read(stream, fromOffset, limit, waitMs) {
            const endMs = timers.now() + waitMs;
            let era: number | undefined;
            for (;;) {
                await waitIfUnresponsive();
                const failure = checkCall(stream);
                if (failure) {
                    return failure;
                }
                const page = streams.read(stream, fromOffset, Math.min(limit, maxReadRecords));
                const remainingMs = endMs - timers.now();
                era ??= page.era;
                if (page.records.length > 0 || remainingMs <= 0 || page.era !== era) {
                    return answer(page);
                }
                await waitForAppend(remainingMs);
            }
        },
        getFaults: () => faults,
        updateFaults(changes) {
            faults = { ...faults, ...changes };
            wakeReaders();
        },
        dropRecords: resetsOffsets => streams.dropRecords(resetsOffsets),
        makeCopy: () => streams.makeCopy(),
        restore(copy) {
            streams.restore(copy);
            wakeReaders();
        },
        countAppends: () => appends,
    };
}
