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
import { createEngineReconciler } from "./engineReconciler.js";
import { createEngineMonitor } from "./engineWatch.js";
import { createLoadSlots, defaultLoadSlotsSettings, LoadSlotsSettings } from "./loadSlots.js";
import { createSuspectList } from "./suspectList.js";
import { createMonitoredEngine } from "./watchedEngine.js";
import type { DispatchRefusal } from "./workTable.js";

/** What the engine's side of a sidecar is built from. */
export interface EngineSupervisorParts {
    readonly endpoint: string;
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly log: EventLog;
    readonly engine: ModelEngine;
    /** Where load slots are kept; without it every load is allowed at once. */
    readonly logService?: LogService;
    /** Without it every read of weights is allowed. */
    readonly weightStore?: WeightStore;
    readonly slots?: LoadSlotsSettings;
    readonly audit?: EngineAuditSettings;
}

/** What the engine's side asks of its sidecar. */
export interface EngineSupervisorListener {
    /** Requests that are queued or running. */
    listOwned(): ReadonlySet<string>;
    /** Requests whose memory the scheduler has reserved. */
    listReserved(): ReadonlySet<string>;
    /** Fingerprints of the requests that run. */
    listRunningFingerprints(): readonly string[];
    /** The engine has crashed while these fingerprints ran; their requests have not ended yet. */
    handleCrash(crash: string, fingerprints: readonly string[]): void;
    /** Hands over what the engine holds. */
    handleList(requests: readonly EngineRequestState[]): void;
    /** The report, the reconciled generation or the foreign memory has changed. */
    handleChange(): void;
}

/** Everything between a sidecar and its engine but the requests themselves. */
export interface EngineSupervisor extends Disposable {
    /** The engine for the runner of requests. */
    readonly engine: ModelEngine;
    /** Starts to follow the engine. Called once. */
    connect(incarnation: string, listener: EngineSupervisorListener): void;
    handleConfiguration(configuration: Configuration): void;
    handleQuarantine(message: QuarantineMessage): void;
    checkDispatch(dispatch: DispatchMessage): DispatchRefusal | undefined;
    /** Whether a fingerprint must run alone. */
    isSuspect(fingerprint: string): boolean;
    /** Whether the engine holds a request of an earlier sidecar process. */
    getOrphanState(request: string): OrphanState;
    getReport(): EngineReport | undefined;
    /** Tokens of the engine's memory that no scheduled request accounts for. */
    getUnaccountedTokens(): number;
    /** The version that the engine serves, or `undefined` while it takes no requests. */
    getVersion(): string | undefined;
    getReconciledGeneration(): number;
}

/**
 * Creates the engine's side of a sidecar.
 *
 * @example
 * const engineSide = createEngineSide({ endpoint: "engine-1", timers, random, log, engine });
 * const runner = createModelRunner(engineSide.engine, timers, () => 0, defaultModelRunnerSettings);
 */
export function createEngineSide(parts: EngineSupervisorParts): EngineSupervisor {
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
            return { code: ErrorCode.Quarantined, message: "the request has crashed endpoints before" };
        }
        const report = monitor.getServingReport();
        if (!report) {
            return { code: ErrorCode.NoEndpoint, message: "the engine takes no requests now" };
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
