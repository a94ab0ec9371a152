import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { request as sendHttp } from "node:http";
import { createServer } from "node:net";
import { Agent, request } from "undici";
import { decodeConfiguration } from "../../../platform/configurationCodec.js";
import { decodeEndpoint } from "../../../platform/endpointCodec.js";
import { decodeEvacuation } from "../../../platform/evacuationCodec.js";
import { exchangeCodec } from "../../../platform/exchangeCodec.js";
import { createMemoryReservationService } from "../../../platform/memoryReservationService.js";
import { createStoreClient } from "../../../platform/storeClient.js";
import { makeId } from "../../../src/base/ids.js";
import { LogFields } from "../../../src/base/log.js";
import { LogEvent } from "../../../src/base/logEvents.js";
import { createSystemTimerService } from "../../../src/base/systemTimerService.js";
import { startGateway } from "../../../src/gateway/gateway.js";
import { Gateway } from "../../../src/gateway/gatewayPorts.js";
import { GatewaySettings } from "../../../src/gateway/gatewaySettings.js";
import { CrashPlan, EndpointStandIn, startEndpointStandIn } from "./endpointStandIn.js";
import { startStoreStandIn, StoreStandIn } from "./storeStandIn.js";

export const customerKey = "key-of-planner";
export const hostName = "models.example";

/** A line that a gateway has logged. */
export interface LoggedLine {
    readonly event: LogEvent;
    readonly fields: LogFields;
}

/** A gateway that runs in the test's process. */
export interface TestGateway extends Gateway {
    readonly url: string;
    readonly settings: GatewaySettings;
    readonly lines: LoggedLine[];
}

/** A store, endpoints and gateways that listen on loopback. */
export interface TestDeployment {
    readonly store: StoreStandIn;
    readonly engines: readonly EndpointStandIn[];
    readonly services: readonly EndpointStandIn[];
    readonly gateways: readonly TestGateway[];
    publish(configuration: object): void;
    register(endpoint: EndpointStandIn, service: string, changes?: object): void;
    close(): Promise<void>;
}

/** Size and settings of a deployment. */
export interface DeploymentOptions {
    readonly engines?: number;
    readonly services?: number;
    readonly gateways?: number;
    readonly events?: number;
    readonly graceMs?: number;
    readonly configuration?: object;
    /** Customers of the configuration instead of a single one, with the platform's field names. */
    readonly customers?: readonly object[];
    /** Prompt part that crashes engines, which restart under another id. */
    readonly crashingPart?: string;
    readonly isCrashUnframed?: boolean;
    readonly eventIntervalMs?: number;
    /** Slots of each engine, which it keeps to; absent: 8, which it does not keep to. */
    readonly engineSlots?: number;
    /** Requests under which an instance of the plain service ends. It restarts under another id. */
    readonly serviceCrashPlan?: CrashPlan;
    /** Time from the end of an endpoint to the loss of its registration, in milliseconds. */
    readonly lapseDelayMs?: number;
    /** Slots of each instance of the plain service, which it keeps to; absent: 8, which it does not keep to. */
    readonly serviceSlots?: number;
    /** Time that a slot of the plain service is taken by a request, in milliseconds. */
    readonly serviceSlotMs?: number;
}

/** Makes the configuration of a deployment, with the platform's field names. */
export function makeConfiguration(version = 1, changes: object = {}): object {
    const common = { host: hostName, timeout_ms: 4_000, public: false };
    const stream = { ...common, kind: "stream", service: "models", attempts: 2, sticky: true, gap_aim_ms: 250 };
    return {
        version,
        routes: [
            { ...stream, name: "draft", prefix: "/draft/", target_latency_ms: 250, priority: 0, resumable: true },
            { ...stream, name: "once", prefix: "/once/", target_latency_ms: 250, priority: 0, resumable: false },
            { ...common, name: "look", prefix: "/look/", kind: "safe", service: "desk", attempts: 2 },
            { ...common, name: "book", prefix: "/book/", kind: "unsafe", service: "desk", attempts: 1 },
            { ...common, name: "open", prefix: "/open/", kind: "safe", service: "desk", attempts: 1, public: true },
            {
                ...stream,
                name: "digest",
                prefix: "/digest/",
                target_latency_ms: 6_000,
                gap_aim_ms: 1_000,
                timeout_ms: 15_000,
                priority: 2,
                resumable: true,
            },
        ],
        services: [
            { name: "desk", health_path: "/health", max_conns: 100 },
            {
                name: "models",
                health_path: "/health",
                max_conns: 100,
                engine: {
                    slots: 8,
                    kv_capacity: 100_000,
                    stride: 10,
                    step_ms: 0.5,
                    per_seq_ms: 0.01,
                    context_per_k: 0.002,
                    read_per_s: 100_000,
                    pairs_per_m: 0.1,
                    chunk: 2048,
                    usual: { prompt: 1000, answer: 100 },
                },
            },
        ],
        limits: { max_header_bytes: 4096, max_body_bytes: 20_000, header_timeout_ms: 1_000, idle_timeout_ms: 5_000 },
        tenants: [{ name: "planner", keys: [customerKey] }],
        ...changes,
    };
}

const maxStartAttempts = 5;

async function findFreePort(): Promise<number> {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = server.address();
    await new Promise(resolve => server.close(resolve));
    assert.ok(address !== null && typeof address === "object");
    return address.port;
}

/** Finds a port for messages between gateways, which another gateway's may have taken although it is free for connections. */
export async function findFreeUdpPort(): Promise<number> {
    const socket = createSocket("udp4");
    await new Promise<void>(resolve => socket.bind(0, "127.0.0.1", resolve));
    const { port } = socket.address();
    await new Promise<void>(resolve => socket.close(resolve));
    return port;
}

/** Makes the settings of a gateway on free ports. */
export async function makeSettings(name: string, storeAddress: string, graceMs: number): Promise<GatewaySettings> {
    const ip = "127.0.0.1";
    return {
        host: name,
        dataCentre: "a",
        ip,
        customerAddress: { ip, port: await findFreePort() },
        readyAddress: { ip, port: await findFreePort() },
        exchangePort: await findFreeUdpPort(),
        metricsPort: await findFreePort(),
        memoryBytes: 300e6,
        maxDescriptors: 1_000,
        storeAddress,
        graceMs,
        leavingNoticeMs: 500,
        configurationNoticeMs: 2_000,
        retryRatio: 0.2,
        retrySlack: 100,
        maxHoldMs: 20_000,
    };
}

/**
 * Starts a gateway on free ports. Tries again with other ports if one has been taken in the meantime.
 *
 * @param changes settings that differ from those of `makeSettings`
 */
export async function startTestGateway(
    name: string,
    storeAddress: string,
    graceMs = 1_000,
    changes: Partial<GatewaySettings> = {},
): Promise<TestGateway> {
    for (let attempt = 1;; attempt++) {
        try {
            return await startGatewayWith({ ...await makeSettings(name, storeAddress, graceMs), ...changes });
        }
        catch (error) {
            // A connection of another test may be assigned a free port before the gateway listens on it.
            const isTaken = (error as NodeJS.ErrnoException).code === "EADDRINUSE";
            if (!isTaken || attempt === maxStartAttempts) {
                throw error;
            }
        }
    }
}

/** Starts a gateway with the given settings. */
export async function startGatewayWith(settings: GatewaySettings): Promise<TestGateway> {
    const store = createStoreClient(settings.storeAddress);
    const lines: LoggedLine[] = [];
    const gateway = await startGateway(settings, {
        configurationFeed: store.openFeed("keyed.op"),
        endpointFeed: store.openFeed("keyed.servers"),
        gatewayFeed: store.openFeed("keyed.gateways"),
        quarantineFeed: store.openFeed("keyed.quarantines"),
        decodeConfiguration: record =>
            record.key === "config" && record.value ? decodeConfiguration(record.value) : undefined,
        decodeEvacuation,
        decodeEndpoint,
        codec: exchangeCodec,
        memoryReservations: createMemoryReservationService(),
        timers: createSystemTimerService(),
        log: (event, fields = {}) => lines.push({ event, fields }),
        random: Math.random,
        incarnation: makeId(),
    }).catch(async (error: unknown) => {
        await store.close();
        throw error;
    });
    return {
        url: `http://127.0.0.1:${settings.customerAddress.port}`,
        settings,
        lines,
        async drain(elapsedMs) {
            await gateway.drain(elapsedMs);
            await store.close();
        },
    };
}

/** Asks a gateway whether it is ready. */
export async function isReady(gateway: TestGateway): Promise<boolean> {
    const { ip, port } = gateway.settings.readyAddress;
    const answer = await fetch(`http://${ip}:${port}/jujubelane/ready`);
    await answer.arrayBuffer();
    return answer.status === 200;
}

/** Polls until a condition holds, and fails after `timeoutMs`. */
export async function waitUntil(
    description: string,
    isReached: () => boolean | Promise<boolean>,
    timeoutMs = 5_000,
): Promise<void> {
    const endMs = performance.now() + timeoutMs;
    while (!await isReached()) {
        assert.ok(performance.now() < endMs, `not reached in ${timeoutMs} ms: ${description}`);
        await new Promise(resolve => setTimeout(resolve, 10));
    }
}

/** Starts everything and waits until the gateways are ready. */
export async function startDeployment(options: DeploymentOptions = {}): Promise<TestDeployment> {
    const store = await startStoreStandIn();
    const engines = await Promise.all(
        Array.from(
            { length: options.engines ?? 2 },
            (unused, index) =>
                startEndpointStandIn({
                    id: `engine-${index}`,
                    events: options.events ?? 6,
                    eventIntervalMs: options.eventIntervalMs,
                    streamSlots: options.engineSlots,
                    crashingPart: options.crashingPart,
                    isCrashUnframed: options.isCrashUnframed,
                    onCrashed: previousId =>
                        void setTimeout(() => store.remove("keyed.servers", previousId), options.lapseDelayMs ?? 0),
                    onRestarted: engine => register(engine, "models"),
                }),
        ),
    );
    const services = await Promise.all(
        Array.from(
            { length: options.services ?? 2 },
            (unused, index) =>
                startEndpointStandIn({
                    id: `desk-${index}`,
                    events: 0,
                    crashPlan: options.serviceCrashPlan,
                    slots: options.serviceSlots,
                    slotMs: options.serviceSlotMs,
                    onCrashed: previousId =>
                        void setTimeout(() => store.remove("keyed.servers", previousId), options.lapseDelayMs ?? 0),
                    onRestarted: service => register(service, "desk"),
                }),
        ),
    );
    const register = (endpoint: EndpointStandIn, service: string, changes: object = {}) =>
        store.put("keyed.servers", endpoint.id, {
            service,
            addr: endpoint.address,
            zone: "a",
            version: "v1",
            slots: 8,
            state: "ready",
            cold_left_ms: 0,
            seq: 0,
            born: 1_700_000_000_000,
            ...changes,
        });
    engines.forEach(engine => register(engine, "models", options.engineSlots ? { slots: options.engineSlots } : {}));
    services.forEach(service => register(service, "desk", options.serviceSlots ? { slots: options.serviceSlots } : {}));
    store.put(
        "keyed.op",
        "config",
        options.configuration ?? makeConfiguration(1, options.customers ? { tenants: options.customers } : {}),
    );
    const gateways = await Promise.all(
        Array.from(
            { length: options.gateways ?? 1 },
            (unused, index) => startTestGateway(`gateway-${index}`, store.address, options.graceMs),
        ),
    );
    await Promise.all(gateways.map(gateway => waitUntil("ready", () => isReady(gateway))));
    return {
        store,
        engines,
        services,
        gateways,
        register,
        publish: configuration => store.put("keyed.op", "config", configuration),
        async close() {
            // Endpoints are closed first, because a drain would wait for requests that a silent endpoint never answers.
            await Promise.all([...engines, ...services].map(endpoint => endpoint.close()));
            await Promise.all(gateways.map(gateway => gateway.drain()));
            await store.close();
        },
    };
}

let nextRequestNumber = 0;

/** Makes the headers of a customer's request with a new id. */
export function makeHeaders(changes: Record<string, string> = {}): Record<string, string> {
    return {
        "host": hostName,
        "x-request-id": `request-${nextRequestNumber++}`,
        "x-deadline-ms": "3000",
        "api-key": customerKey,
        ...changes,
    };
}

/** Makes the headers of a customer's request to a model. */
export function makeModelHeaders(changes: Record<string, string> = {}): Record<string, string> {
    return makeHeaders({ "x-model": "m", "x-token-count": "1000,100", "x-prompt-prefix": "a1:1000", ...changes });
}

/** An answer as the customer received it. */
export interface ReceivedAnswer {
    readonly status: number;
    readonly headers: Record<string, string | string[] | undefined>;
    readonly body: string;
}

/** A request to send as a customer. */
export interface CustomerRequest {
    readonly method?: "GET" | "HEAD" | "POST";
    readonly path: string;
    readonly headers: Record<string, string>;
    readonly body?: string;
    readonly signal?: AbortSignal;
}

/** Statuses of answers that never have a body. */
const bodylessStatuses: readonly number[] = [204, 304];

/**
 * Sends a request on a new connection and reads the complete answer. Rejects if the answer breaks off, and if nothing but
 * the end of its connection would tell that.
 */
export async function send(gateway: TestGateway, customerRequest: CustomerRequest): Promise<ReceivedAnswer> {
    const dispatcher = new Agent({ pipelining: 0 });
    try {
        const answer = await request(gateway.url + customerRequest.path, {
            method: customerRequest.method ?? "GET",
            headers: customerRequest.headers,
            body: customerRequest.body,
            signal: customerRequest.signal,
            dispatcher,
        });
        const { statusCode: status, headers } = answer;
        const hasBody = customerRequest.method !== "HEAD" && !bodylessStatuses.includes(status);
        const isEndMarked = !hasBody || "content-length" in headers || headers["transfer-encoding"] === "chunked";
        assert.ok(isEndMarked, "the answer ends with its connection");
        return { status, headers, body: await answer.body.text() };
    }
    finally {
        await dispatcher.destroy();
    }
}

/**
 * Sends a request like `send`, and tells an answer without a length whose connection was reset from one that ended:
 * undici, which `send` uses, takes both for complete.
 */
export function sendWithoutPool(gateway: TestGateway, customerRequest: CustomerRequest): Promise<ReceivedAnswer> {
    return new Promise((resolve, reject) => {
        const { method = "GET", path, headers, body } = customerRequest;
        const sent = sendHttp(gateway.url + path, { method, headers, agent: false }, answer => {
            const chunks: Buffer[] = [];
            answer.on("data", (chunk: Buffer) => chunks.push(chunk));
            answer.on("error", reject);
            answer.on("end", () => {
                const text = Buffer.concat(chunks).toString("utf8");
                resolve({ status: answer.statusCode ?? 0, headers: answer.headers, body: text });
            });
        });
        sent.on("error", reject);
        sent.end(body);
    });
}
