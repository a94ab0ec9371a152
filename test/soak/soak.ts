import { createServer } from "node:net";
import { Agent, request } from "undici";
import { createSeededRandomSource } from "../../src/base/randomSource.js";
import { customerKey, hostName, makeConfiguration } from "../platform/support/deployment.js";
import {
    CrashKind,
    EndpointFault,
    EndpointStandIn,
    startEndpointStandIn,
} from "../platform/support/endpointStandIn.js";
import { startStoreStandIn, StoreFault } from "../platform/support/storeStandIn.js";
import { FaultyProxy, ProxyFault, startFaultyProxy } from "./faultyProxy.js";
import { GatewayProcess, startGatewayProcesses } from "./gatewayProcess.js";
import { checkOutcome, eventsPerStream, SoakKind, SoakOutcome } from "./soakOutcome.js";

/** Size and duration of one run. */
export interface SoakOptions {
    readonly seed: number;
    readonly faultMs: number;
    readonly gateways: number;
    readonly engines: number;
    readonly services: number;
    readonly requestsPerSecond: number;
    /** Share of the streams whose prompt has a part that crashes engines. */
    readonly crashingShare?: number;
    /** Share of the plain requests that crash the instances of the plain service, half of them without a body. */
    readonly crashingPlainShare?: number;
    /**
     * Share of their requests that one engine and one instance fail with the status of a refusal after they ran them, until
     * the faults end.
     */
    readonly failingShare?: number;
    /** Whether the store may come back from an older copy. */
    readonly isStoreRestored?: boolean;
    /** Length of the period without faults at the end of the run. */
    readonly faultFreeMs?: number;
}

/** Result of one run. */
export interface SoakResult {
    readonly seed: number;
    readonly requests: number;
    readonly served: number;
    readonly faults: readonly string[];
    /** Descriptions of violated invariants; empty for a successful run. */
    readonly violations: readonly string[];
    /** Output of the gateways, only for a run with violations. */
    readonly logs: readonly string[];
}

const deadlineMs = 2_500;
const defaultFaultFreeMs = 4_000;
const crashingPart = "bad1";
/** Paths of the plain requests that crash instances: a GET and a booking with a body. */
const crashingPaths: Readonly<Partial<Record<SoakKind, string>>> = {
    [SoakKind.Safe]: "/look/bad",
    [SoakKind.Unsafe]: "/book/bad",
};
/** Crashes after which, and time within which, all gateways know a part, or a plain request, that crashes endpoints. */
const allowedCrashes = 5;
const allowedPlainCrashes = 3;
const knownWithinMs = 3_000;
/** Later requests of such a kind that may reach endpoints. */
const maxLaterArrivals = 3;
/** Last part of the period without faults, whose requests must be served. */
const servedWindowMs = 2_500;
/** Share of those requests that must be served. A few may still use connections that were silenced before. */
const minServedShare = 0.95;
/** Time within which the operator and the endpoints write again what the store has lost, in milliseconds. */
const writtenAgainMs = 1_000;
/** Statuses that an endpoint may give after it ran a request. */
const failureStatuses = [408, 429, 503];
const revokedKey = "key-that-goes";
/**
 * Time after which a revoked key must be refused: 1.5 s until the configuration is in force, and a second for a process
 * that is paused meanwhile.
 */
const revocationMs = 3_000;
const endpointFaults = [
    EndpointFault.Full,
    EndpointFault.Error,
    EndpointFault.CloseBeforeAnswer,
    EndpointFault.CloseWithinAnswer,
    EndpointFault.Silent,
    EndpointFault.WrongRequestId,
    EndpointFault.DuplicateAnswer,
    EndpointFault.Unframed,
];

function wait(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

/**
 * First port for gateways. The operating system takes ports from 32768 on for outgoing connections, and one of these
 * could occupy the port of a gateway that restarts.
 */
const firstPort = 12_000;
const portsPerSeed = 40;
const portRangeCount = 500;

async function isPortFree(port: number): Promise<boolean> {
    const server = createServer();
    return new Promise(resolve => {
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
}

/** Finds free ports. Each seed has a port range of its own, so that runs in parallel do not take each other's ports. */
export async function findFreePorts(seed: number, count: number): Promise<number[]> {
    const free: number[] = [];
    for (let port = firstPort + (seed % portRangeCount) * portsPerSeed; free.length < count; port++) {
        if (await isPortFree(port)) {
            free.push(port);
        }
    }
    return free;
}

/**
 * Runs gateways as processes, injects faults from outside and checks invariants on what customers and endpoints observe.
 * The same seed gives the same faults; their timing relative to the processes differs between runs.
 */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
    const random = createSeededRandomSource(options.seed);
    // A source of its own leaves the faults of a seed as they are without crashing parts.
    const crashRandom = createSeededRandomSource(options.seed + 1_000);
    const plainCrashRandom = createSeededRandomSource(options.seed + 2_000);
    const failureRandom = createSeededRandomSource(options.seed + 3_000);
    const makeFailureOfOne = () =>
        revokedAtMs === Number.POSITIVE_INFINITY && failureRandom() < (options.failingShare ?? 0)
            ? failureStatuses[Math.floor(failureRandom() * failureStatuses.length)]
            : undefined;
    const faultFreeMs = options.faultFreeMs ?? defaultFaultFreeMs;
    const pick = <Item>(items: readonly Item[]): Item => items[Math.floor(random() * items.length)]!;
    const store = await startStoreStandIn();
    const storeProxy = await startFaultyProxy(Number(store.address.split(":")[1]));
    const endpoints: EndpointStandIn[] = [];
    /** Registrations of live endpoints, which they write again when the store has lost them. */
    const registrations = new Map<string, object>();
    let configuration: object = {};
    const proxies: FaultyProxy[] = [];
    const outcomes: SoakOutcome[] = [];
    const faults: string[] = [];
    const violations: string[] = [];
    let version = 1;
    let revokedAtMs = Number.POSITIVE_INFINITY;
    let isSending = true;
    let nextId = 0;

    async function addEndpoint(service: string, index: number): Promise<void> {
        const events = service === "models" ? eventsPerStream : 0;
        const endpoint = await startEndpointStandIn({
            id: `${service}-${index}`,
            events,
            eventIntervalMs: 15,
            crashingPart: options.crashingShare === undefined ? undefined : crashingPart,
            crashPlan: {
                kind: CrashKind.Reset,
                isCrashing: received => Object.values(crashingPaths).includes(received.url ?? ""),
                delayMs: 30,
                restartDelayMs: 400,
            },
            ...(index === 0 || index === options.engines ? { makeFailure: makeFailureOfOne } : {}),
            onCrashed: removeRegistration,
            onRestarted: restarted => register(restarted, proxy, "ready"),
        });
        const proxy = await startFaultyProxy(Number(endpoint.address.split(":")[1]));
        endpoints.push(endpoint);
        proxies.push(proxy);
        register(endpoint, proxy, "ready");
    }

    function register(endpoint: EndpointStandIn, proxy: FaultyProxy, state: string): void {
        const service = endpoint.id.split("-")[0]!;
        const entry = { service, addr: proxy.address, zone: "a", slots: 8, state, born: 1_700_000_000_000 };
        registrations.set(endpoint.id, entry);
        store.put("keyed.servers", endpoint.id, entry);
    }

    function removeRegistration(id: string): void {
        registrations.delete(id);
        store.remove("keyed.servers", id);
    }

    /** Brings the store back from a copy. Operator and endpoints write again; what nobody renews lapses. */
    async function restoreStore(): Promise<void> {
        const copy = store.makeCopy();
        await wait(500 + 2_500 * random());
        store.setFault(StoreFault.Reset);
        await wait(100 + 500 * random());
        store.restore(copy);
        store.setFault(StoreFault.None);
        await wait(writtenAgainMs * random());
        store.put("keyed.op", "config", configuration);
        registrations.forEach((entry, id) => store.put("keyed.servers", id, entry));
        await wait(writtenAgainMs);
        store.listKeys("keyed.servers").filter(id => !registrations.has(id)).forEach(removeRegistration);
    }

    function publish(keys: readonly string[]): void {
        const tenants = [{ name: "planner", keys }];
        configuration = makeConfiguration(version++, { tenants });
        store.put("keyed.op", "config", configuration);
    }

    async function sendRequest(gateway: GatewayProcess, kind: SoakKind, customer: Agent): Promise<void> {
        const id = `soak-${options.seed}-${nextId++}`;
        const key = random() < 0.15 ? revokedKey : customerKey;
        const sentAtMs = performance.now();
        const isRevoked = key === revokedKey && sentAtMs > revokedAtMs + revocationMs;
        const path = { [SoakKind.Stream]: "/draft/", [SoakKind.Safe]: "/look/", [SoakKind.Unsafe]: "/book/" }[kind];
        const headers = { host: hostName, "x-request-id": id, "x-deadline-ms": String(deadlineMs), "api-key": key };
        const isStream = kind === SoakKind.Stream;
        const isCrashing = isStream
            ? crashRandom() < (options.crashingShare ?? 0)
            : plainCrashRandom() < (options.crashingPlainShare ?? 0);
        const target = isCrashing && !isStream ? crashingPaths[kind]! : path + id;
        const text = isCrashing && !isStream ? "the same" : `body of ${id}`;
        const part = isCrashing ? crashingPart : `c${nextId % 16}`;
        const prompt = {
            "x-token-count": "1000,100",
            "x-model": "m",
            "x-prompt-prefix": `a1:40,${part}:900,${nextId}:60`,
        };
        const model = kind === SoakKind.Stream ? prompt : {};
        let status: number | undefined;
        let isSealed = false;
        let body: string | undefined;
        let isComplete = false;
        try {
            const answer = await request(gateway.url + target, {
                method: kind === SoakKind.Safe ? "GET" : "POST",
                headers: { ...headers, ...model },
                body: kind === SoakKind.Safe ? undefined : text,
                dispatcher: customer,
            });
            status = answer.statusCode;
            isSealed = "x-response-seal" in answer.headers;
            body = await answer.body.text();
            isComplete = true;
        }
        catch {
            // A broken connection does not reveal the outcome, so the checks use what the endpoints received.
        }
        outcomes.push({
            id,
            kind,
            sentAtMs,
            deadlineMs,
            endedAtMs: performance.now(),
            status,
            isSealed,
            body,
            isComplete,
            isRevoked,
            isCrashing,
        });
    }

    async function sendRequests(gateways: readonly GatewayProcess[]): Promise<void> {
        const customers = gateways.map(() => new Agent({ connections: 20, headersTimeout: 8_000, bodyTimeout: 8_000 }));
        const pending = new Set<Promise<void>>();
        while (isSending) {
            const index = Math.floor(random() * gateways.length);
            if (gateways[index]!.isRunning()) {
                const pendingRequest = sendRequest(gateways[index]!, pick(Object.values(SoakKind)), customers[index]!);
                pending.add(pendingRequest);
                void pendingRequest.finally(() => pending.delete(pendingRequest));
            }
            await wait(1_000 / options.requestsPerSecond);
        }
        await Promise.all(pending);
        await Promise.all(customers.map(customer => customer.destroy()));
    }

    const restarting = new Set<GatewayProcess>();

    async function restart(gateway: GatewayProcess, signal: NodeJS.Signals): Promise<void> {
        if (restarting.has(gateway)) {
            return;
        }
        restarting.add(gateway);
        // A signal ends a process whose program has not yet installed its handler.
        const earlyExit = gateway.hasStarted() ? undefined : signal;
        gateway.signal("SIGCONT");
        gateway.signal(signal);
        const result = await gateway.waitForExit();
        if (signal === "SIGTERM" && ![0, "SIGKILL", earlyExit].includes(result)) {
            violations.push(`a drained gateway exits with 0: ${gateway.name} ended with ${result}`);
        }
        await wait(100 + 300 * random());
        gateway.start();
        restarting.delete(gateway);
    }

    /** Restarts processes that exited unexpectedly, as the platform does. */
    async function supervise(gateways: readonly GatewayProcess[]): Promise<void> {
        while (isSending) {
            for (const gateway of gateways.filter(item => !item.isRunning() && !restarting.has(item))) {
                violations.push(
                    `a gateway does not exit unexpectedly: ${gateway.name}, ${await gateway.waitForExit()}`,
                );
                gateway.start();
            }
            await wait(50);
        }
    }

    /** Lists the faults by name. Each ends by itself, and several may overlap. */
    function makeFaults(gateways: readonly GatewayProcess[]): readonly [string, () => Promise<void>][] {
        const injectProxyFault = async (proxy: FaultyProxy, fault: ProxyFault) => {
            proxy.setFault(fault);
            await wait(300 + 1_000 * random());
            proxy.setFault(ProxyFault.None);
        };
        const injectStoreFault = async (fault: StoreFault) => {
            store.setFault(fault);
            await wait(500 + 2_000 * random());
            store.setFault(StoreFault.None);
        };
        return [
            ["kill", () => restart(pick(gateways), "SIGKILL")],
            ["drain", () => restart(pick(gateways), "SIGTERM")],
            ["reload", async () => {
                const gateway = pick(gateways);
                // SIGHUP ends a process whose program has not yet installed its handler.
                if (gateway.hasStarted()) {
                    gateway.signal("SIGHUP");
                }
            }],
            ["pause", async () => {
                const gateway = pick(gateways);
                gateway.signal("SIGSTOP");
                await wait(200 + 1_000 * random());
                gateway.signal("SIGCONT");
            }],
            ["reset endpoint", async () => pick(proxies).resetConnections()],
            ["silence endpoint", async () => pick(proxies).blackholeConnections()],
            ["delay endpoint", () => injectProxyFault(pick(proxies), ProxyFault.Delay)],
            ["cut to endpoint", () => injectProxyFault(pick(proxies), ProxyFault.CutForward)],
            ["cut from endpoint", () => injectProxyFault(pick(proxies), ProxyFault.CutBackward)],
            ["reset store", async () => storeProxy.resetConnections()],
            ["silence store", async () => storeProxy.blackholeConnections()],
            ["store busy", () => injectStoreFault(StoreFault.Busy)],
            ["store silent", () => injectStoreFault(StoreFault.Silent)],
            ["history gone", async () => store.dropHistory("keyed.servers")],
            ["endpoint fault", async () => {
                const count = 1 + Math.floor(3 * random());
                pick(endpoints).setFaults(...Array.from({ length: count }, () => pick(endpointFaults)));
            }],
            ["endpoint leaves", async () => {
                const index = Math.floor(random() * endpoints.length);
                register(endpoints[index]!, proxies[index]!, "draining");
                await wait(1_000);
                removeRegistration(endpoints[index]!.id);
                await addEndpoint(endpoints[index]!.id.split("-")[0]!, endpoints.length);
            }],
            ["configuration", async () => publish([customerKey, ...revokedAtMs < Infinity ? [] : [revokedKey]])],
            ...options.isStoreRestored ? [["store restored", restoreStore] as [string, () => Promise<void>]] : [],
        ];
    }

    async function injectFaults(gateways: readonly GatewayProcess[]): Promise<void> {
        const availableFaults = makeFaults(gateways);
        const running: Promise<void>[] = [];
        const endsAtMs = performance.now() + options.faultMs;
        while (performance.now() < endsAtMs) {
            const [name, inject] = pick(availableFaults);
            faults.push(name);
            running.push(inject());
            await wait(100 + 600 * random());
        }
        await Promise.all(running);
        revokedAtMs = performance.now();
        publish([customerKey]);
    }

    for (let index = 0; index < options.engines; index++) {
        await addEndpoint("models", index);
    }
    for (let index = 0; index < options.services; index++) {
        await addEndpoint("desk", options.engines + index);
    }
    publish([customerKey, revokedKey]);
    const gateways = await startGatewayProcesses({
        ports: await findFreePorts(options.seed, 4 * options.gateways),
        storeAddress: storeProxy.address,
    });
    const areReady = async () => (await Promise.all(gateways.map(gateway => gateway.isReady()))).every(Boolean);
    for (let attempt = 0; attempt < 100 && !await areReady(); attempt++) {
        await wait(100);
    }
    const sending = Promise.all([sendRequests(gateways), supervise(gateways)]);
    await injectFaults(gateways);
    const faultsEndedAtMs = performance.now();
    await wait(faultFreeMs);
    const servedWindowStartMs = performance.now() - faultFreeMs + (faultFreeMs - servedWindowMs);
    isSending = false;
    await sending;
    if (!await areReady()) {
        violations.push("every gateway is ready again after the faults");
    }
    const windowOutcomes = outcomes.filter(item =>
        item.sentAtMs >= servedWindowStartMs && !item.isRevoked && !item.isCrashing
    );
    const served = windowOutcomes.filter(item => item.status === 200 && item.isComplete).length;
    const isUnauthorized = (item: SoakOutcome) => item.status === 401;
    const expected = windowOutcomes.filter(item => !isUnauthorized(item)).length;
    if (served < expected * minServedShare) {
        violations.push(`requests are served again after the faults: ${served} of ${expected}`);
    }
    const crashes = endpoints.flatMap(endpoint => endpoint.crashesAtMs).sort((left, right) => left - right);
    const knownAtMs = Math.max(faultsEndedAtMs, crashes[allowedCrashes - 1] ?? Infinity) + knownWithinMs;
    const laterArrivals = endpoints.flatMap(endpoint => endpoint.requests)
        .filter(item => item.atMs > knownAtMs && String(item.headers["x-prompt-prefix"]).includes(crashingPart)).length;
    if (laterArrivals > maxLaterArrivals) {
        violations.push(
            `a part that crashes engines is refused by all gateways: ${laterArrivals} requests reached engines`,
        );
    }
    for (const path of Object.values(crashingPaths)) {
        const arrivalsMs = endpoints.flatMap(endpoint => endpoint.requests)
            .filter(item => item.hasRun && item.path === path).map(item => item.atMs).sort((left, right) =>
                left - right
            );
        const refusedFromMs = Math.max(faultsEndedAtMs, arrivalsMs[allowedPlainCrashes - 1] ?? Infinity)
            + knownWithinMs;
        const later = arrivalsMs.filter(atMs => atMs > refusedFromMs).length;
        if (later > maxLaterArrivals) {
            violations.push(
                `a request that crashes endpoints is refused by all gateways: ${later} to ${path} reached them`,
            );
        }
    }
    gateways.forEach(gateway => gateway.signal("SIGTERM"));
    const exits = await Promise.all(gateways.map(gateway => gateway.waitForExit()));
    exits.filter(end => end !== 0).forEach(end => violations.push(`a drained gateway exits with 0: ended with ${end}`));
    violations.push(...outcomes.flatMap(outcome => checkOutcome(outcome, endpoints)));
    const logs = violations.length > 0 ? gateways.flatMap(gateway => gateway.output) : [];
    await Promise.all(gateways.map(gateway => gateway.dispose()));
    await Promise.all([...proxies, storeProxy].map(proxy => proxy.close()));
    await Promise.all([...endpoints.map(endpoint => endpoint.close()), store.close()]);
    const allServed = outcomes.filter(item => item.status === 200 && item.isComplete).length;
    return { seed: options.seed, requests: outcomes.length, served: allServed, faults, violations, logs };
}
