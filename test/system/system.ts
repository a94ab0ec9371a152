import * as http from "node:http";
import * as net from "node:net";
import { createHttpModelEngine } from "../../src/adapters/httpModelEngine.js";
import { createHttpPlainService } from "../../src/adapters/httpPlainService.js";
import { createServiceProbe } from "../../src/adapters/serviceProbe.js";
import { createDisposableStore, DisposableStore } from "../../src/base/disposable.js";
import { computeDigest } from "../../src/base/ids.js";
import { EventLog, LogFields } from "../../src/base/log.js";
import { LogEvent } from "../../src/base/logEvents.js";
import { createSeededRandomSource } from "../../src/base/randomSource.js";
import { createSystemTimerService } from "../../src/base/systemTimerService.js";
import { ConfigurationObjects } from "../../src/config/objects.js";
import { configurationSchema } from "../../src/config/schema.js";
import { EmulatedEngine, EmulatedEngineSettings, startEmulatedEngine } from "../../src/emulator/engine/engineServer.js";
import { EmulatedService, startEmulatedService } from "../../src/emulator/serviceServer.js";
import { createFixedConfigurationSource } from "../../src/entry/configurationSource.js";
import { createEntry, Entry, EntrySettings } from "../../src/entry/entry.js";
import { HostRecord, HostState } from "../../src/ports/hostList.js";
import { LogService } from "../../src/ports/logService.js";
import { ModelEngine } from "../../src/ports/modelEngine.js";
import { chooseLeastConnections } from "../../src/routing/baselinePolicies.js";
import { createFirstComeScheduler } from "../../src/scheduling/firstComeScheduler.js";
import { EngineAuditSettings } from "../../src/sidecar/engineAudit.js";
import { createEngineSupervisor } from "../../src/sidecar/engineSupervisor.js";
import { createModelRunner, defaultModelRunnerSettings } from "../../src/sidecar/modelRunner.js";
import { createServiceRunner } from "../../src/sidecar/serviceRunner.js";
import { createSidecar, Sidecar } from "../../src/sidecar/sidecar.js";
import { Relay, startRelay } from "./relay.js";

/** A log event written by an entry or a sidecar of the system. */
export interface RecordedEvent {
    readonly event: LogEvent;
    readonly fields: LogFields;
}

/** An endpoint with its sidecar, reached through a relay. */
export interface TestEndpoint {
    readonly name: string;
    readonly relay: Relay;
    readonly sidecar: Sidecar;
    /** Ends the sidecar without a drain and starts another one at the same address. */
    restartSidecar(): void;
    readonly engine: EmulatedEngine | undefined;
    readonly service: EmulatedService | undefined;
}

/** An entry and the URL that customers use. */
export interface TestEntry {
    readonly url: string;
    readonly entry: Entry;
    /** Ends the entry without a drain. */
    crash(): void;
}

/** Entries, sidecars and endpoints in one process, connected by real sockets on the loopback interface. */
export interface TestSystem {
    readonly url: string;
    readonly entry: Entry;
    /** Entries beyond the first. */
    readonly otherEntries: readonly TestEntry[];
    readonly endpoints: readonly TestEndpoint[];
    readonly events: readonly RecordedEvent[];
    send(path: string, body: unknown, headers?: Record<string, string>, origin?: string): Promise<Response>;
    close(): Promise<void>;
}

/** Settings of a test system. */
export interface TestSystemSettings {
    readonly engines?: number;
    readonly services?: number;
    readonly engine?: Partial<EmulatedEngineSettings>;
    readonly serviceDelayMs?: number;
    /** Text that ends the instance of a plain service that runs a call with it. */
    readonly servicePoison?: string;
    readonly entry?: Partial<EntrySettings>;
    readonly entries?: number;
    /** Log service shared by the entries. */
    readonly logService?: LogService;
    readonly audit?: EngineAuditSettings;
    /** Changes the configuration objects before they are validated. */
    readonly objects?: (objects: Record<string, Record<string, unknown>>) => void;
    readonly heartbeatIntervalMs?: number;
}

/** API keys of the test configuration. */
export const testKeys = { planner: "planner-key", clerk: "clerk-key", operator: "operator-key" } as const;
export const testDataCentre = "larissa";
const linkKey = "test-link-key";
const timers = createSystemTimerService();

const defaultEngine: EmulatedEngineSettings = {
    port: 0,
    model: "demo",
    version: "demo-v1",
    checksFencing: true,
    memoryTokens: 100_000,
    prefillTokensPerSecond: 100_000,
    decodeTokensPerSecond: 200,
    maxBatch: 32,
};

function buildObjects(settings: TestSystemSettings, names: readonly string[]): ConfigurationObjects {
    const objects: Record<string, Record<string, unknown>> = {
        models: { demo: { version: "demo-v1" } },
        versions: { "demo-v1": { model: "demo", weights: "demo-v1" } },
        ranks: {
            urgent: { urgency: 0, timeLimitMs: 10_000 },
            bulk: { urgency: 2, timeLimitMs: 60_000 },
        },
        kinds: { question: { rank: "urgent" } },
        customers: {
            planner: { keyDigests: [computeDigest(testKeys.planner)], defaultKind: "question" },
            clerk: { keyDigests: [computeDigest(testKeys.clerk)], defaultKind: "question", ranks: ["urgent"] },
            operator: { keyDigests: [computeDigest(testKeys.operator)], defaultKind: "question", operator: true },
        },
        services: {
            bookings: { rank: "urgent", repeatable: false, timeLimitMs: 5_000 },
            lookups: { rank: "urgent", repeatable: true, timeLimitMs: 5_000 },
        },
        endpoints: Object.fromEntries(names.map(name => [name, {
            host: name,
            dataCentre: testDataCentre,
            checksFencing: true,
            ...(name.startsWith("engine") ? { model: "demo" } : { service: "bookings" }),
        }])),
    };
    settings.objects?.(objects);
    return configurationSchema.parse(objects);
}

async function startEndpoint(
    name: string,
    settings: TestSystemSettings,
    log: EventLog,
    store: DisposableStore,
): Promise<TestEndpoint> {
    const isEngine = name.startsWith("engine");
    const engine = isEngine ? await startEmulatedEngine({ ...defaultEngine, ...settings.engine }, timers) : undefined;
    const service = isEngine
        ? undefined
        : await startEmulatedService(
            { port: 0, delayMs: settings.serviceDelayMs ?? 5, poison: settings.servicePoison },
            timers,
        );
    function startSidecar() {
        // Each sidecar has its own connections to the engine, which are closed with it.
        const client = engine && createHttpModelEngine(engine.url);
        const created = createTestSidecar(name, settings, log, client, service);
        return {
            sidecar: created,
            dispose() {
                created.dispose();
                client?.dispose();
            },
        };
    }
    let current = startSidecar();
    store.register({ dispose: () => current.dispose() });
    const server = net.createServer(socket => current.sidecar.accept(socket));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    store.register({ dispose: () => server.close() });
    const relay = await startRelay((server.address() as net.AddressInfo).port);
    return {
        name,
        relay,
        get sidecar() {
            return current.sidecar;
        },
        restartSidecar() {
            current.dispose();
            current = startSidecar();
        },
        engine,
        service,
    };
}

function createTestSidecar(
    name: string,
    settings: TestSystemSettings,
    log: EventLog,
    engineClient: ModelEngine | undefined,
    service: EmulatedService | undefined,
): Sidecar {
    const random = createSeededRandomSource(2);
    const engineSupervisor = engineClient
        && createEngineSupervisor({ endpoint: name, timers, random, log, engine: engineClient, audit: settings.audit });
    return createSidecar({
        endpoint: name,
        dataCentre: testDataCentre,
        linkKey,
        heartbeatIntervalMs: settings.heartbeatIntervalMs ?? 200,
        maxFrameBytes: 1_000_000,
        sessionGraceMs: 2_000,
        maxQueuedRequests: 100,
        maxQueuedBytes: 10_000_000,
        retainEndedMs: 5_000,
    }, {
        timers,
        log,
        createScheduler: createFirstComeScheduler,
        runner: engineSupervisor
            ? createModelRunner(engineSupervisor.engine, timers, work => work.priority, defaultModelRunnerSettings)
            : createServiceRunner(createHttpPlainService(service!.url), timers),
        engineSupervisor,
        isServiceRunning: service && createServiceProbe(service.url),
    });
}

/** Starts a system and waits until every entry is linked to every endpoint. */
export async function startSystem(settings: TestSystemSettings = {}): Promise<TestSystem> {
    const events: RecordedEvent[] = [];
    const log: EventLog = (event, fields = {}) => events.push({ event, fields });
    const store = createDisposableStore();
    const names = [
        ...Array.from({ length: settings.engines ?? 1 }, (unused, index) => `engine-${index + 1}`),
        ...Array.from({ length: settings.services ?? 0 }, (unused, index) => `booking-${index + 1}`),
    ];
    const endpoints = await Promise.all(names.map(name => startEndpoint(name, settings, log, store)));
    const hosts: HostRecord[] = endpoints.map(endpoint => ({
        name: endpoint.name,
        dataCentre: testDataCentre,
        address: "127.0.0.1",
        port: endpoint.relay.port,
        state: HostState.Live,
    }));
    const entries = await Promise.all(
        Array.from({ length: settings.entries ?? 1 }, (unused, index) => {
            const objects = buildObjects(settings, names);
            return startEntry(`entry-${index + 1}`, settings, log, hosts, objects);
        }),
    );
    const [{ url, entry }, ...otherEntries] = entries as [TestEntry, ...TestEntry[]];
    const isLinked = (candidate: Entry) =>
        candidate.state.directory.list().filter(link => link.getLoad()?.reconciledGeneration === 0).length
            === names.length;
    await waitUntil(() => entries.every(item => isLinked(item.entry)));
    return {
        url,
        entry,
        otherEntries,
        endpoints,
        events,
        send: (path, body, headers = {}, origin = url) =>
            fetch(`${origin}${path}`, {
                method: "POST",
                headers: {
                    authorization: `Bearer ${testKeys.planner}`,
                    "content-type": "application/json",
                    ...headers,
                },
                body: typeof body === "string" ? body : JSON.stringify(body),
            }),
        async close() {
            entries.forEach(item => item.crash());
            store.dispose();
            for (const endpoint of endpoints) {
                await endpoint.relay.close();
                await endpoint.engine?.close();
                await endpoint.service?.close();
            }
        },
    };
}

async function startEntry(
    name: string,
    settings: TestSystemSettings,
    log: EventLog,
    hosts: readonly HostRecord[],
    objects: ConfigurationObjects,
): Promise<TestEntry> {
    const entry = createEntry({
        name,
        dataCentre: testDataCentre,
        linkKey,
        heartbeatIntervalMs: settings.heartbeatIntervalMs ?? 200,
        maxFrameBytes: 1_000_000,
        resumeGraceMs: 2_000,
        maxBodyBytes: 500_000,
        maxUnsentBytes: 1_000_000,
        maxRequests: 1_000,
        maxHeldBytes: 10_000_000,
        drainDelayMs: 50,
        ...settings.entry,
    }, {
        timers,
        random: createSeededRandomSource(1),
        log,
        hostList: { read: () => Promise.resolve(hosts) },
        configuration: createFixedConfigurationSource(objects),
        logService: settings.logService,
        policy: chooseLeastConnections,
        selectAperture: all => all,
        connect: host => net.connect(host.port, host.address),
        createOperatorRoute: () => () => Promise.resolve(false),
    });
    const server = http.createServer(entry.handler);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        url: `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`,
        entry,
        crash() {
            server.closeAllConnections();
            server.close();
            entry.dispose();
        },
    };
}

const pollIntervalMs = 10;

/** Polls until a condition holds; throws after `timeoutMs`. */
export async function waitUntil(condition: () => boolean, timeoutMs = 10_000): Promise<void> {
    const deadlineMs = timers.now() + timeoutMs;
    while (!condition()) {
        if (timers.now() > deadlineMs) {
            throw new Error(`condition not met within ${timeoutMs} ms: ${condition.toString()}`);
        }
        await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
    }
}
