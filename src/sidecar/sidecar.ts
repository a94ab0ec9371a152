import * as net from "node:net";
import { createDisposableStore, Disposable } from "../base/disposable.js";
import { makeId } from "../base/ids.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { createMailbox, runTask } from "../base/mailbox.js";
import { ErrorCode } from "../base/requestError.js";
import { TimerService, waitFor } from "../base/timerService.js";
import { Configuration } from "../config/objects.js";
import {
    CancelMessage,
    DispatchMessage,
    EntryMessage,
    LinkMessageType,
    QuarantineMessage,
    ResumeMessage,
    SidecarMessage,
} from "../link/messages.js";
import { EngineReport, EngineRequestState } from "../ports/modelEngine.js";
import { progressEvents } from "../quarantine/crashEvidence.js";
import { LoadReport } from "../routing/loadReport.js";
import { Scheduler, SchedulerPolicy } from "../scheduling/scheduler.js";
import { createConfigurationStore } from "./configurationStore.js";
import { OrphanState } from "./engineAudit.js";
import { createEngineScheduler } from "./engineScheduler.js";
import { EngineSupervisor } from "./engineSupervisor.js";
import { createBatchingRunner } from "./itemBatcher.js";
import { createLinkServer, LinkServerSettings } from "./linkServer.js";
import { buildSchedulerPolicy } from "./schedulerPolicy.js";
import { CrashedCall, watchServiceCrashes } from "./serviceCrashWatch.js";
import { Work, WorkRunner, WorkState } from "./work.js";
import { createWorkTable, DispatchRefusal } from "./workTable.js";

/** Settings of a sidecar. */
export interface SidecarSettings extends LinkServerSettings {
    /** Name of the endpoint in the configuration. */
    readonly endpoint: string;
    readonly dataCentre: string;
    readonly maxQueuedRequests: number;
    readonly maxQueuedBytes: number;
    /** Minimum time between two chunks of one stream, in milliseconds; 0 or absent sends each token immediately. */
    readonly chunkIntervalMs?: number;
    /** Time that an ended request is kept if the entry does not acknowledge its end, in milliseconds. */
    readonly retainEndedMs: number;
}

/** Dependencies of a sidecar. */
export interface SidecarParts {
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly runner: WorkRunner;
    readonly createScheduler: (policy: SchedulerPolicy) => Scheduler;
    /** Reads the engine's report. Absent for a plain service, and when `engineSupervisor` reads it. */
    readonly readReport?: () => Promise<EngineReport>;
    /** Monitors, reconciles and audits the engine. Absent for a plain service. */
    readonly engineSupervisor?: EngineSupervisor;
    /** Checks whether the plain service accepts connections. Absent for an engine; without it no crashes are reported. */
    readonly isServiceRunning?: () => Promise<boolean>;
}

/** A sidecar: the process beside one endpoint. */
export interface Sidecar extends Disposable {
    readonly incarnation: string;
    accept(socket: net.Socket): void;
    /**
     * Refuses new requests, and resolves when all queued and running requests have ended and their ends have reached the
     * entries, but not before the requests on their way can have arrived. Closes the links. An end that no entry
     * acknowledges is waited for no longer than it is kept.
     */
    drain(): Promise<void>;
    getConfiguration(): Configuration | undefined;
}

/** Tag of a {@link SidecarEvent}. */
enum SidecarEventKind {
    Message = "message",
    SessionLost = "session-lost",
    Items = "items",
    End = "end",
    Tick = "tick",
}

/** An event in the mailbox of the sidecar's task. */
type SidecarEvent =
    | { readonly kind: SidecarEventKind.Message; readonly session: string; readonly message: EntryMessage }
    | { readonly kind: SidecarEventKind.SessionLost; readonly session: string }
    | { readonly kind: SidecarEventKind.Items; readonly work: Work; readonly items: readonly string[] }
    | {
        readonly kind: SidecarEventKind.End;
        readonly work: Work;
        readonly messages: readonly SidecarMessage[];
        readonly outputTokens: number;
    }
    | { readonly kind: SidecarEventKind.Tick };

const expiryIntervalMs = 50;
const reportIntervalMs = 500;
/**
 * Time for which a stopping sidecar keeps its links, in milliseconds. An entry that is told that the endpoint leaves may
 * have dispatched requests before; they are refused, which tells the entry that they have not run.
 */
const leaveDelayMs = 500;

/**
 * Creates a sidecar from its ports.
 *
 * @example
 * const sidecar = createSidecar(settings, parts);
 * net.createServer(socket => sidecar.accept(socket)).listen(settings.port, settings.host);
 */
export function createSidecar(settings: SidecarSettings, parts: SidecarParts): Sidecar {
    const { timers, log } = parts;
    const incarnation = makeId();
    const store = createDisposableStore();
    const mailbox = createMailbox<SidecarEvent>();
    let configuration: Configuration | undefined;
    const configurationStore = createConfigurationStore();
    let engineReport: EngineReport | undefined;
    let announcedVersion: string | undefined;
    let leaving = false;
    let serviceCrashes = 0;
    let handleDrained: (() => void) | undefined;
    const { engineSupervisor: supervisor } = parts;
    const firstPolicy = buildSchedulerPolicy(settings, undefined, undefined);
    const baseScheduler = parts.createScheduler(firstPolicy);
    const scheduler = supervisor ? createEngineScheduler(baseScheduler, firstPolicy, supervisor) : baseScheduler;

    function makeLoad(): LoadReport {
        const report = scheduler.report();
        return {
            running: report.running,
            queued: report.queued,
            pendingPrefillTokens: report.pendingPrefillTokens,
            reservedTokens: report.reservedTokens,
            largestRequestTokens: report.largestRequestTokens,
            memoryTokens: engineReport?.memoryTokens ?? 0,
            prefillTokensPerSecond: engineReport?.prefillTokensPerSecond ?? 0,
            decodeTokensPerSecond: engineReport?.decodeTokensPerSecond ?? 0,
            ranks: report.ranks,
            version: supervisor ? supervisor.getVersion() : engineReport?.version,
            reconciledGeneration: supervisor?.getReconciledGeneration() ?? configuration?.generation ?? -1,
            acceptsLongPrompts: report.acceptsLongPrompts,
        };
    }

    function makeHeartbeat(): SidecarMessage {
        return { type: LinkMessageType.Heartbeat, generation: configuration?.generation ?? -1, load: makeLoad() };
    }

    const links = createLinkServer(settings, timers, log, {
        makeWelcome: () => ({
            endpoint: settings.endpoint,
            incarnation,
            dataCentre: settings.dataCentre,
            leaving,
            generation: configuration?.generation ?? -1,
        }),
        makeHeartbeat,
        handleMessage: (session, message) => mailbox.post({ kind: SidecarEventKind.Message, session, message }),
        handleOpened: () => undefined,
        handleSessionLost: session => mailbox.post({ kind: SidecarEventKind.SessionLost, session }),
    }, store);

    const table = createWorkTable({
        timers,
        log,
        scheduler,
        runner: createBatchingRunner(watchRunner(parts.runner), timers, settings.chunkIntervalMs ?? 0),
        retainEndedMs: settings.retainEndedMs,
        send: (session, message) => links.send(session, message),
        makeLoad,
        checkDispatch,
        makeListener: work => ({
            handleItems: items => mailbox.post({ kind: SidecarEventKind.Items, work, items }),
            handleEnd: (messages, outputTokens) =>
                mailbox.post({ kind: SidecarEventKind.End, work, messages, outputTokens }),
        }),
        handleSettled: checkDrained,
    });

    function watchRunner(runner: WorkRunner): WorkRunner {
        const { isServiceRunning } = parts;
        return isServiceRunning
            ? watchServiceCrashes(runner, { timers, isServiceRunning, handleCrash: handleServiceCrash })
            : runner;
    }

    function handleServiceCrash(calls: readonly CrashedCall[]) {
        serviceCrashes++;
        const crash = `${settings.endpoint}/${incarnation}/${serviceCrashes}`;
        const suspects = calls.filter(({ work }) => (work.dispatch.traits ?? []).length > 0);
        log(LogEvent.ServiceCrashed, { crash, requests: calls.length });
        links.broadcast({
            type: LinkMessageType.CrashReport,
            crash,
            // The traits of a call identify it and its service. A fingerprint is the same for all services.
            fingerprints: [],
            suspects: suspects.map(({ work }) => work.dispatch.traits!),
            runningMs: suspects.map(({ runningMs }) => runningMs),
        });
    }

    function checkDispatch(dispatch: DispatchMessage): DispatchRefusal | undefined {
        if (dispatch.incarnation !== incarnation) {
            return { code: ErrorCode.StaleIncarnation, message: "the dispatch names an earlier sidecar process" };
        }
        if (leaving) {
            return { code: ErrorCode.Leaving, message: "the endpoint is leaving" };
        }
        if (!configuration) {
            return { code: ErrorCode.NoEndpoint, message: "the sidecar has no configuration yet" };
        }
        return supervisor?.checkDispatch(dispatch);
    }

    function handleConfiguration(session: string, result: boolean | string) {
        if (typeof result === "string") {
            log(LogEvent.PeerConfigurationRefused, { session, message: result });
        }
        else if (result) {
            configuration = configurationStore.getCurrent();
            supervisor?.handleConfiguration(configuration!);
            updatePolicy();
            links.broadcast(makeHeartbeat());
        }
    }

    function updatePolicy() {
        scheduler.update(buildSchedulerPolicy(settings, configuration, engineReport));
        table.startWork();
    }

    function handleMessage(session: string, message: EntryMessage) {
        switch (message.type) {
            case LinkMessageType.Dispatch:
                table.handleDispatch(session, message);
                return;
            case LinkMessageType.Cancel:
                if (acceptIfInherited(session, message)) {
                    table.handleCancel(session, message.request);
                }
                return;
            case LinkMessageType.Resume:
                if (acceptIfInherited(session, message)) {
                    table.handleResume(session, message.request, message.fromSequence);
                }
                return;
            case LinkMessageType.Quarantine:
                handleQuarantine(message);
                return;
            case LinkMessageType.Acknowledge:
                table.handleAcknowledge(message.request);
                return;
            case LinkMessageType.Configuration:
                handleConfiguration(session, configurationStore.accept(message));
                return;
            case LinkMessageType.ConfigurationChange:
                handleConfiguration(session, configurationStore.acceptChange(message));
                return;
            case LinkMessageType.ConfigurationRequest:
                if (configuration) {
                    links.send(session, configurationStore.buildMessage()!);
                }
                return;
            case LinkMessageType.Drain:
                startDrain();
                return;
            default:
                return;
        }
    }

    /**
     * Takes over the request of a message if an earlier process started it and the engine still holds it. Returns false
     * if the engine's requests have not been listed yet. The message is then posted again after a delay.
     */
    function acceptIfInherited(session: string, message: CancelMessage | ResumeMessage): boolean {
        const state = supervisor?.getOrphanState(message.request) ?? OrphanState.Absent;
        if (state === OrphanState.Unknown) {
            const event: SidecarEvent = { kind: SidecarEventKind.Message, session, message };
            store.register(timers.schedule(expiryIntervalMs, () => mailbox.post(event)));
            return false;
        }
        if (state === OrphanState.Held) {
            table.acceptInherited(session, message.request);
        }
        return true;
    }

    function handleQuarantine(message: QuarantineMessage) {
        supervisor?.handleQuarantine(message);
        if (!message.isolated) {
            const refusal = {
                code: ErrorCode.Quarantined,
                message: "the request is quarantined because it has crashed endpoints",
            };
            table.refuseQueuedWork(refusal, message.fingerprint);
        }
    }

    function handleEngineChange(engineSupervisor: EngineSupervisor) {
        engineReport = engineSupervisor.getReport();
        updatePolicy();
        const version = engineSupervisor.getVersion();
        if (version === announcedVersion) {
            return;
        }
        announcedVersion = version;
        links.broadcast(makeHeartbeat());
        if (version === undefined) {
            table.refuseQueuedWork({
                code: ErrorCode.NoEndpoint,
                message: "the engine does not accept requests at the moment",
            });
        }
    }

    function checkProgress(requests: readonly EngineRequestState[]) {
        const states = new Map(requests.map(request => [request.id, request]));
        for (const work of table.listActive()) {
            const state = states.get(work.item.id);
            if (state) {
                work.run?.checkProgress?.(state.tokens, state.ended);
            }
        }
    }

    function connectEngine(engineSupervisor: EngineSupervisor) {
        const listIds = (works: readonly Work[]) => new Set(works.map(work => work.item.id));
        const listRunning = () => table.listActive().filter(work => work.state === WorkState.Running);
        engineSupervisor.connect(incarnation, {
            listOwned: () => listIds(table.listActive()),
            listReserved: () => listIds(listRunning().filter(work => !work.inherited)),
            listRunningFingerprints: () =>
                listRunning().map(work => work.item.fingerprint).filter(fingerprint => fingerprint !== ""),
            handleCrash(crash, fingerprints) {
                const suspects = listRunning().filter(work => work.output.length < progressEvents)
                    .map(work => work.dispatch.traits ?? []).filter(traits => traits.length > 0);
                links.broadcast({ type: LinkMessageType.CrashReport, crash, fingerprints, suspects });
            },
            handleChange: () => handleEngineChange(engineSupervisor),
            handleList: requests => checkProgress(requests),
        });
        store.register(engineSupervisor);
    }

    function startDrain() {
        if (!leaving) {
            leaving = true;
            log(LogEvent.EndpointLeaving, { endpoint: settings.endpoint });
            links.broadcast({ type: LinkMessageType.Leaving });
        }
    }

    function checkDrained() {
        if (leaving && table.countHeld() === 0) {
            handleDrained?.();
        }
    }

    function handleEvent(event: SidecarEvent) {
        switch (event.kind) {
            case SidecarEventKind.Message:
                return handleMessage(event.session, event.message);
            case SidecarEventKind.SessionLost:
                return table.handleSessionLost(event.session);
            case SidecarEventKind.Items:
                return table.handleItems(event.work, event.items);
            case SidecarEventKind.End:
                return table.handleEnd(event.work, event.messages, event.outputTokens);
            case SidecarEventKind.Tick:
                table.expire();
                table.startWork();
                return;
        }
    }

    async function readReport() {
        try {
            engineReport = await parts.readReport?.();
            updatePolicy();
        }
        catch {
            // The last report is kept. The load reports repeat its figures until the engine answers again.
        }
    }

    store.register(runTask(mailbox, handleEvent, error => log(LogEvent.TaskFailed, { error: String(error) })));
    store.register(timers.subscribe(expiryIntervalMs, () => mailbox.post({ kind: SidecarEventKind.Tick })));
    if (supervisor) {
        connectEngine(supervisor);
    }
    else if (parts.readReport) {
        void readReport();
        store.register(timers.subscribe(reportIntervalMs, () => void readReport()));
    }
    store.register(links);
    store.register(table);

    return {
        incarnation,
        accept: socket => links.accept(socket),
        async drain() {
            startDrain();
            await waitFor(timers, leaveDelayMs);
            await new Promise<void>(resolve => {
                handleDrained = resolve;
                checkDrained();
            });
            await links.end();
        },
        getConfiguration: () => configuration,
        dispose: () => store.dispose(),
    };
}
