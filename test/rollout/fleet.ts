import { EventLog, LogFields } from "../../src/base/log.js";
import { LogEvent } from "../../src/base/logEvents.js";
import { createManualTimerService } from "../../src/base/manualTimerService.js";
import { createSeededRandomSource } from "../../src/base/randomSource.js";
import { Configuration } from "../../src/config/objects.js";
import { configurationSchema } from "../../src/config/schema.js";
import { createEngineCommands } from "../../src/emulator/engine/engineCommands.js";
import { createLogModel, defaultLogModelSettings, LogModel } from "../../src/emulator/log/logModel.js";
import { createMemoryLogService } from "../../src/emulator/log/memoryLogService.js";
import { EngineCommand, EngineCommandKind, EngineCommandResult, ModelEngine } from "../../src/ports/modelEngine.js";
import { WeightStore, WeightTicketKind } from "../../src/ports/weightStore.js";
import { createEngineSupervisor, EngineSupervisor } from "../../src/sidecar/engineSupervisor.js";

/** An in-process engine with injectable faults of the engine and its transport. */
export interface FleetEngine {
    readonly name: string;
    readonly engine: ModelEngine;
    /** Commands that took effect. */
    readonly accepted: EngineCommand[];
    frozen: boolean;
    /** Number of next commands that take effect but whose answers are lost. */
    lostAnswers: number;
    /** Number of next commands that are lost before they reach the engine. */
    lostCommands: number;
    restart(): void;
    getVersion(): string;
    isLoading(): boolean;
}

/** Engines with the engine supervisors of their sidecars, in virtual time. */
export interface Fleet {
    readonly engines: readonly FleetEngine[];
    readonly logModel: LogModel;
    readonly store: { down: boolean };
    readonly events: readonly { readonly event: LogEvent; readonly fields: LogFields }[];
    /** Publishes a configuration of a new generation with the given target version. */
    publish(version: string): void;
    /** Stops the sidecar process of an engine and starts a new one. */
    restartSidecar(index: number): void;
    run(durationMs: number): Promise<void>;
    getMaxLoading(): number;
    isConverged(): boolean;
    describe(): string;
}

export const loadingMs = 1_000;
const stepMs = 20;
const grantsPerSecond = 2;
const startVersion = "v1";

/** How the engines of a fleet are brought to a version. */
export enum RolloutMode {
    Reconcile = "reconcile",
    /** Sends one command per configuration to each engine and does not check its effect: no reconciler runs. */
    SendOnce = "send-once",
}

function createFleetEngine(name: string, checksFencing: boolean, now: () => number): FleetEngine {
    const create = () =>
        createEngineCommands({ model: "demo", version: startVersion, checksFencing, loadingMs, adapterLoadingMs: 50 });
    let commands = create();
    let starts = 1;

    async function answer<Answer>(value: () => Answer): Promise<Answer> {
        if (fleetEngine.frozen) {
            // A real adapter fails after its time-out. The test does not wait for it.
            throw new Error("no answer in time");
        }
        return value();
    }

    function apply(command: EngineCommand): EngineCommandResult {
        if (fleetEngine.lostCommands > 0) {
            fleetEngine.lostCommands--;
            throw new Error("the command was lost");
        }
        const result = commands.apply(command, now());
        fleetEngine.accepted.push(command);
        if (fleetEngine.lostAnswers > 0) {
            fleetEngine.lostAnswers--;
            throw new Error("the answer was lost");
        }
        return result;
    }

    const engine: Partial<ModelEngine> = {
        report: () =>
            answer(() => ({
                model: "demo",
                ...commands.get(now()),
                incarnation: `${name}.${starts}`,
                memoryTokens: 1_000,
                usedTokens: 0,
                running: 0,
                waiting: 0,
                prefillTokensPerSecond: 1,
                decodeTokensPerSecond: 1,
            })),
        command: command => answer(() => apply(command)),
        list: () => answer(() => []),
        listExports: () => answer(() => []),
    };
    const fleetEngine: FleetEngine = {
        name,
        engine: engine as ModelEngine,
        accepted: [],
        frozen: false,
        lostAnswers: 0,
        lostCommands: 0,
        restart() {
            starts++;
            commands = create();
        },
        getVersion: () => commands.get(now()).version,
        isLoading: () => commands.get(now()).loading !== undefined,
    };
    return fleetEngine;
}

function buildConfiguration(generation: number, version: string, names: readonly string[]): Configuration {
    const objects = configurationSchema.parse({
        models: { demo: { version, loadingShare: 0.5 } },
        versions: { v1: { model: "demo", weights: "w1" }, v2: { model: "demo", weights: "w2" } },
        endpoints: Object.fromEntries(
            names.map(name => [name, { host: name, dataCentre: "larissa", model: "demo", checksFencing: true }]),
        ),
    });
    return { generation, digest: "", objects };
}

/** Creates a fleet of engines on version v1. */
export function createFleet(count: number, checksFencing: boolean, mode = RolloutMode.Reconcile): Fleet {
    const timers = createManualTimerService();
    const logModel = createLogModel(defaultLogModelSettings, timers);
    const logService = createMemoryLogService(logModel, timers);
    const store = { down: false };
    const events: { event: LogEvent; fields: LogFields }[] = [];
    const log: EventLog = (event, fields = {}) => events.push({ event, fields });
    const random = createSeededRandomSource(7);
    const names = Array.from({ length: count }, (unused, index) => `engine-${index + 1}`);
    const engines = names.map(name => createFleetEngine(name, checksFencing, () => timers.now()));
    let nextGrantMs = 0;
    let generation = 0;
    let maxLoading = 0;
    let configuration = buildConfiguration(0, startVersion, names);

    const weightStore: WeightStore = {
        async request() {
            if (store.down) {
                throw new Error("the store is down");
            }
            if (timers.now() < nextGrantMs) {
                return { kind: WeightTicketKind.Refused, retryAfterMs: nextGrantMs - timers.now() };
            }
            nextGrantMs = timers.now() + 1_000 / grantsPerSecond;
            return { kind: WeightTicketKind.Granted, token: "token" };
        },
    };

    function startSupervisor(index: number): EngineSupervisor {
        const { name, engine } = engines[index]!;
        const supervisor = createEngineSupervisor({
            endpoint: name,
            timers,
            random,
            log,
            engine,
            logService,
            weightStore,
            slots: { durationMs: 3_000, pollMs: 100 },
        });
        supervisor.connect(`${name}.sidecar`, {
            listOwned: () => new Set(),
            listReserved: () => new Set(),
            listRunningFingerprints: () => [],
            handleCrash: () => undefined,
            handleList: () => undefined,
            handleChange: () => undefined,
        });
        supervisor.handleConfiguration(configuration);
        return supervisor;
    }

    const supervisors = mode === RolloutMode.Reconcile ? names.map((unused, index) => startSupervisor(index)) : [];

    function sendOnce(version: string) {
        for (const { engine } of engines) {
            engine.command({ kind: EngineCommandKind.LoadVersion, fencingToken: generation, version }).catch(() =>
                undefined
            );
        }
    }

    return {
        engines,
        logModel,
        store,
        events,
        publish(version) {
            generation++;
            configuration = buildConfiguration(generation, version, names);
            supervisors.forEach(supervisor => supervisor.handleConfiguration(configuration));
            if (mode === RolloutMode.SendOnce) {
                sendOnce(version);
            }
        },
        restartSidecar(index) {
            supervisors[index]?.dispose();
            if (mode === RolloutMode.Reconcile) {
                supervisors[index] = startSupervisor(index);
            }
        },
        async run(durationMs) {
            for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
                timers.advance(stepMs);
                maxLoading = Math.max(maxLoading, engines.filter(engine => engine.isLoading()).length);
                await new Promise(resolve => setImmediate(resolve));
            }
        },
        getMaxLoading: () => maxLoading,
        isConverged: () => {
            const wanted = configuration.objects.models["demo"]!.version;
            const isReconciled = supervisors.every(supervisor => supervisor.getReconciledGeneration() === generation);
            return isReconciled && engines.every(engine => engine.getVersion() === wanted && !engine.isLoading());
        },
        describe: () => engines.map(engine => `${engine.name}=${engine.getVersion()}`).join(" "),
    };
}
