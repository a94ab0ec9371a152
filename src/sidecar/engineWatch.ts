import { createDisposableStore, Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { TimerService } from "../base/timerService.js";
import { EngineReport, ModelEngine } from "../ports/modelEngine.js";

/** What a watch reports. */
export interface EngineMonitorListener {
    /** A report was read; `readMs` is when the read began, in monotonic milliseconds. */
    handleReport(report: EngineReport, readMs: number): void;
    /** The engine process has ended: it refuses connections or is a new one. Called once for each end. */
    handleCrash(reason: string): void;
    /** The engine has begun or ceased to take requests. */
    handleChange(): void;
}

/** Follows whether an engine runs, and reads its reports. */
export interface EngineMonitor extends Disposable {
    subscribe(listener: EngineMonitorListener): void;
    /** Reads the report now. Resolves when it was read or after a bounded time; never rejects. */
    read(): Promise<void>;
    /** The engine has said that it takes no new requests; it is asked again after a while. */
    markRefusing(): void;
    /** The last report, or `undefined` while the engine refuses connections or new requests. */
    getServingReport(): EngineReport | undefined;
    /** The last report, whatever the engine's state. */
    getReport(): EngineReport | undefined;
}

/** Interval between reports, in milliseconds. */
export const reportIntervalMs = 500;
/** Time after which a read is no longer waited for; its answer still counts. */
const readTimeoutMs = 1_000;
/** Time for which an engine that refused a request because it stops is not asked again. */
const refusalBackoffMs = 5_000;
/** Errors that mean that no process accepts connections at the engine's address. */
const connectionErrorCodes = new Set(["ECONNREFUSED", "ECONNRESET", "UND_ERR_SOCKET"]);
/** Reads that must fail in a row before the engine counts as ended: one may hit a connection that just closed. */
const failedReadThreshold = 2;

/**
 * Creates the watch of one engine.
 *
 * @example
 * const watch = createEngineWatch(engine, timers, log);
 * watch.subscribe(listener);
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
            handleExit("the engine was started again");
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
                    // The engine may be frozen or slow: what it runs is not lost. The last report stays.
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
            // A read that began before the question may have been answered before what the asker wants to know.
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
