import { createDisposableStore, Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { TimerService } from "../base/timerService.js";
import { EngineReport, ModelEngine } from "../ports/modelEngine.js";

/** Receives the events of an engine monitor. */
export interface EngineMonitorListener {
    /** Called for each report. `readMs` is the monotonic time at which the read began. */
    handleReport(report: EngineReport, readMs: number): void;
    /** Called once when the engine process has ended, which shows as refused connections or a new incarnation. */
    handleCrash(reason: string): void;
    /** Called when the engine has started or stopped accepting requests. */
    handleChange(): void;
}

/** Detects whether an engine is running, and reads its reports. */
export interface EngineMonitor extends Disposable {
    subscribe(listener: EngineMonitorListener): void;
    /** Reads the report now. Resolves when it was read or after a time-out. Never rejects. */
    read(): Promise<void>;
    /** Marks the engine as refusing new requests for a limited time. */
    markRefusing(): void;
    /** Returns the last report, or `undefined` while the engine refuses connections or new requests. */
    getServingReport(): EngineReport | undefined;
    /** Returns the last report, regardless of the engine's state. */
    getReport(): EngineReport | undefined;
}

/** Interval between reports, in milliseconds. */
export const reportIntervalMs = 500;
/** Time after which a caller no longer waits for a read, in milliseconds. A later answer is still used. */
const readTimeoutMs = 1_000;
/** Time for which no requests are sent to an engine that refused one because it is stopping, in milliseconds. */
const refusalBackoffMs = 5_000;
/** Error codes that show that no process accepts connections at the engine's address. */
const connectionErrorCodes = new Set(["ECONNREFUSED", "ECONNRESET", "UND_ERR_SOCKET"]);
/** Consecutive failed reads after which the engine counts as ended. One read may fail on a connection just closed. */
const failedReadThreshold = 2;

/**
 * Creates the monitor of one engine.
 *
 * @example
 * const monitor = createEngineMonitor(engine, timers, log);
 * monitor.subscribe(listener);
 */
export function createEngineMonitor(engine: ModelEngine, timers: TimerService, log: EventLog): EngineMonitor {
    const store = createDisposableStore();
    const listeners: EngineMonitorListener[] = [];
    let report: EngineReport | undefined;
    let isUp = false;
    let refusingUntilMs = -Infinity;
    let reading: Promise<void> | undefined;
    let disposed = false;

    function handleReport(next: EngineReport, readMs: number) {
        const isNew = report !== undefined && report.incarnation !== next.incarnation;
        if (isNew) {
            refusingUntilMs = -Infinity;
        }
        if (isNew && isUp) {
            handleExit("the engine process was restarted");
        }
        report = next;
        const wasUp = isUp;
        isUp = true;
        listeners.forEach(listener => listener.handleReport(next, readMs));
        if (!wasUp) {
            log(LogEvent.EngineReached, { incarnation: next.incarnation, version: next.version });
            listeners.forEach(listener => listener.handleChange());
        }
    }

    function handleExit(reason: string) {
        if (isUp) {
            isUp = false;
            log(LogEvent.EngineLost, { reason, incarnation: report?.incarnation });
            listeners.forEach(listener => listener.handleCrash(reason));
            listeners.forEach(listener => listener.handleChange());
        }
    }

    async function readOnce(): Promise<void> {
        for (let attempt = 1; !disposed; attempt++) {
            const readMs = timers.now();
            try {
                const next = await engine.report();
                if (!disposed) {
                    handleReport(next, readMs);
                }
                return;
            }
            catch (error) {
                const code = (error as { code?: string }).code ?? "";
                if (!connectionErrorCodes.has(code)) {
                    // The engine may be slow or unresponsive, but its requests are not lost. The last report is kept.
                    return;
                }
                if (attempt >= failedReadThreshold) {
                    handleExit(code);
                    return;
                }
            }
        }
    }

    async function read(): Promise<void> {
        reading ??= readOnce().finally(() => {
            reading = undefined;
        });
        await Promise.race([
            reading,
            new Promise<void>(resolve => timers.schedule(readTimeoutMs, resolve)),
        ]);
    }

    store.register(timers.subscribe(reportIntervalMs, () => void read()));
    return {
        subscribe: listener => void listeners.push(listener),
        async read() {
            // The answer of a read already in progress may be older than the change that the caller waits for.
            await reading;
            await read();
        },
        markRefusing() {
            if (timers.now() >= refusingUntilMs) {
                log(LogEvent.EngineRefusing, { incarnation: report?.incarnation });
            }
            refusingUntilMs = timers.now() + refusalBackoffMs;
            listeners.forEach(listener => listener.handleChange());
        },
        getServingReport: () => isUp && timers.now() >= refusingUntilMs ? report : undefined,
        getReport: () => report,
        dispose() {
            disposed = true;
            store.dispose();
        },
    };
}
