import { createDisposableStore, Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { RandomSource } from "../base/randomSource.js";
import { ErrorCode } from "../base/requestError.js";
import { TimerService } from "../base/timerService.js";
import { Configuration } from "../config/objects.js";
import { DispatchMessage, QuarantineMessage } from "../link/messages.js";
import { LogService } from "../ports/logService.js";
import { EngineReport, EngineRequestState, ModelEngine } from "../ports/modelEngine.js";
import { WeightStore } from "../ports/weightStore.js";
import { createEngineAudit, defaultEngineAuditSettings, EngineAuditSettings, OrphanState } from "./engineAudit.js";
import { createEngineMonitor } from "./engineMonitor.js";
import { createEngineReconciler } from "./engineReconciler.js";
import { createLoadSlots, defaultLoadSlotsSettings, LoadSlotsSettings } from "./loadSlots.js";
import { createMonitoredEngine } from "./monitoredEngine.js";
import { createSuspectList } from "./suspectList.js";
import type { DispatchRefusal } from "./workTable.js";

/** Dependencies and settings of an engine supervisor. */
export interface EngineSupervisorParts {
    readonly endpoint: string;
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly log: EventLog;
    readonly engine: ModelEngine;
    /** Log that holds the load slots. If absent, every load is allowed at once. */
    readonly logService?: LogService;
    /** Limits reads of weights. If absent, every read is allowed. */
    readonly weightStore?: WeightStore;
    readonly slots?: LoadSlotsSettings;
    readonly audit?: EngineAuditSettings;
}

/** What an engine supervisor queries from its sidecar and reports to it. */
export interface EngineSupervisorListener {
    /** Returns the ids of the requests that are queued or running. */
    listOwned(): ReadonlySet<string>;
    /** Returns the ids of the requests whose memory the scheduler has reserved. */
    listReserved(): ReadonlySet<string>;
    /** Returns the fingerprints of the running requests. */
    listRunningFingerprints(): readonly string[];
    /** Called when the engine has crashed, with the running fingerprints, before their requests end. */
    handleCrash(crash: string, fingerprints: readonly string[]): void;
    /** Receives the engine's requests after each audit. */
    handleList(requests: readonly EngineRequestState[]): void;
    /** Called when the report, the reconciled generation or the unaccounted memory may have changed. */
    handleChange(): void;
}

/** Monitors, reconciles and audits the engine of a sidecar, and tracks the suspects of crashes. */
export interface EngineSupervisor extends Disposable {
    /** The engine to run requests on. Its broken streams are reported only after a crash has been detected. */
    readonly engine: ModelEngine;
    /** Starts to monitor the engine. Called once. */
    connect(incarnation: string, listener: EngineSupervisorListener): void;
    handleConfiguration(configuration: Configuration): void;
    handleQuarantine(message: QuarantineMessage): void;
    checkDispatch(dispatch: DispatchMessage): DispatchRefusal | undefined;
    /** Whether a fingerprint is a crash suspect, whose prefill must run alone. */
    isSuspect(fingerprint: string): boolean;
    /** Whether the engine holds a request of an earlier sidecar process. */
    getOrphanState(request: string): OrphanState;
    getReport(): EngineReport | undefined;
    /** Tokens of the engine's memory that are used by requests and exports unknown to the scheduler. */
    getUnaccountedTokens(): number;
    /** The version that the engine serves, or `undefined` while it does not accept requests. */
    getVersion(): string | undefined;
    getReconciledGeneration(): number;
}

/**
 * Creates the supervisor of a sidecar's engine.
 *
 * @example
 * const supervisor = createEngineSupervisor({ endpoint: "engine-1", timers, random, log, engine });
 * const runner = createModelRunner(supervisor.engine, timers, () => 0, defaultModelRunnerSettings);
 */
export function createEngineSupervisor(parts: EngineSupervisorParts): EngineSupervisor {
    const { endpoint, timers, log, engine, logService } = parts;
    const store = createDisposableStore();
    const monitor = store.register(createEngineMonitor(engine, timers, log));
    const suspects = createSuspectList(timers);
    let listener: EngineSupervisorListener | undefined;
    let crashes = 0;
    const reconciler = store.register(createEngineReconciler({
        endpoint,
        timers,
        random: parts.random,
        log,
        engine,
        weightStore: parts.weightStore,
        createSlots: logService
            && (slots =>
                createLoadSlots(logService, timers, log, endpoint, slots, parts.slots ?? defaultLoadSlotsSettings)),
        readReport: () => void monitor.read(),
        handleReconciled: () => listener?.handleChange(),
    }));
    let audit: ReturnType<typeof createEngineAudit> | undefined;

    function handleCrash(incarnation: string) {
        const fingerprints = [...new Set(listener?.listRunningFingerprints() ?? [])];
        if (fingerprints.length === 0) {
            return;
        }
        crashes++;
        fingerprints.forEach(fingerprint => suspects.addCrash(fingerprint));
        log(LogEvent.EngineCrashed, { endpoint, requests: fingerprints.length });
        listener?.handleCrash(`${endpoint}/${incarnation}/${crashes}`, fingerprints);
    }

    function checkDispatch(dispatch: DispatchMessage): DispatchRefusal | undefined {
        const { model } = dispatch;
        if (suspects.isQuarantined(dispatch.fingerprint)) {
            return {
                code: ErrorCode.Quarantined,
                message: "the request is quarantined because it has crashed endpoints",
            };
        }
        const report = monitor.getServingReport();
        if (!report) {
            return { code: ErrorCode.NoEndpoint, message: "the engine does not accept requests at the moment" };
        }
        if (model && model.model !== report.model) {
            return { code: ErrorCode.NoEndpoint, message: `the engine serves model ${report.model}` };
        }
        if (model?.adapter !== undefined && !report.adapters.includes(model.adapter)) {
            return { code: ErrorCode.NoEndpoint, message: `the engine has not loaded adapter ${model.adapter}` };
        }
        return undefined;
    }

    return {
        engine: createMonitoredEngine(engine, monitor),
        connect(incarnation, sidecar) {
            listener = sidecar;
            monitor.subscribe({
                handleReport(report, readMs) {
                    reconciler.handleReport(report, readMs);
                    sidecar.handleChange();
                },
                handleCrash: () => handleCrash(incarnation),
                handleChange: () => sidecar.handleChange(),
            });
            audit = store.register(createEngineAudit({
                timers,
                log,
                engine,
                listOwned: () => sidecar.listOwned(),
                listReserved: () => sidecar.listReserved(),
                handleChange: () => sidecar.handleChange(),
                handleList: requests => sidecar.handleList(requests),
            }, parts.audit ?? defaultEngineAuditSettings));
            void monitor.read();
        },
        handleConfiguration: configuration => reconciler.handleConfiguration(configuration),
        handleQuarantine: message => suspects.add(message),
        checkDispatch,
        isSuspect: fingerprint => suspects.isSuspect(fingerprint),
        getOrphanState: request => audit?.getOrphanState(request) ?? OrphanState.Absent,
        getReport: () => monitor.getReport(),
        getUnaccountedTokens: () => audit?.getUnaccountedTokens() ?? 0,
        getVersion: () => monitor.getServingReport()?.version,
        getReconciledGeneration: () => reconciler.getReconciledGeneration(),
        dispose: () => store.dispose(),
    };
}
