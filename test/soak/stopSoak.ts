import { customerKey, hostName, makeConfiguration } from "../platform/support/deployment.js";
import { EndpointStandIn, startEndpointStandIn } from "../platform/support/endpointStandIn.js";
import { startStoreStandIn } from "../platform/support/storeStandIn.js";
import { CustomerConnection, openCustomerConnection } from "./customerConnection.js";
import { FaultyProxy, startFaultyProxy } from "./faultyProxy.js";
import { GatewayProcess, startGatewayProcesses, waitUntilReady } from "./gatewayProcess.js";
import { findFreePorts } from "./soak.js";
import { createSoakEngine, engineProfile, SoakEngine } from "./soakEngine.js";
import {
    PlannedStop,
    StopOutcome,
    StopRequestKind,
    StopSummary,
    summarizeStops,
    UnplannedFault,
} from "./stopOutcome.js";
import {
    createMixedRandomSource,
    drawStopPlan,
    EngineCondition,
    PlannedSignals,
    StopOrder,
    StopSeries,
} from "./stopPlan.js";

/** Size of one run. */
export interface StopSoakOptions {
    readonly seed: number;
    /** Series of stops, one after the other. */
    readonly series: number;
}

/** Result of one run. */
export interface StopSoakResult extends StopSummary {
    readonly seed: number;
    readonly plan: string;
    readonly requests: number;
    /** Output of the gateways, only for a run with violations. */
    readonly logs: readonly string[];
}

const engineCount = 3;
const plainCount = 2;
const customersPerGateway = 10;
const streamDeadlineMs = 12_000;
const plainDeadlineMs = 2_500;
const warmUpMs = 1_500;
const betweenStopsMs = 700;
/** Time in which a gateway that was started anew has to be ready, in milliseconds. */
const maxStartMs = 10_000;
/** Longest time that customers wait after a refusal, in milliseconds. */
const maxReturnMs = 1_000;
const minTokens = 20;
const maxTokens = 800;
const pipelinedCustomerShare = 0.5;
const paths: Readonly<Record<StopRequestKind, string>> = {
    [StopRequestKind.Resumable]: "/digest/",
    [StopRequestKind.Once]: "/once/",
    [StopRequestKind.Safe]: "/look/",
    [StopRequestKind.Unsafe]: "/book/",
};

function wait(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

function makeStopConfiguration(version: number, slots: number): object {
    const configuration = makeConfiguration(version) as {
        readonly routes: readonly { readonly kind: string }[];
        readonly services: readonly { readonly name: string }[];
    };
    return {
        ...configuration,
        routes: configuration.routes.map(route =>
            route.kind === "stream" ? { ...route, timeout_ms: streamDeadlineMs } : route
        ),
        services: configuration.services.map(service =>
            service.name === "models" ? { ...service, engine: { ...engineProfile, slots } } : service
        ),
    };
}

/**
 * Stops gateways as planned, in series and overlapping, while customers go on using their connections, and checks that
 * each request is answered completely or refused. The same seed gives the same plan of stops.
 */
export async function runStopSoak(options: StopSoakOptions): Promise<StopSoakResult> {
    const plan = drawStopPlan(options.seed, options.series);
    const store = await startStoreStandIn();
    const endpoints: EndpointStandIn[] = [];
    const engines: SoakEngine[] = [];
    const proxies: FaultyProxy[] = [];
    const outcomes: StopOutcome[] = [];
    const stops: PlannedStop[] = [];
    const faults: UnplannedFault[] = [];
    const violations: string[] = [];
    const streamEvents = new Map<string, number>();
    let version = 1;
    let isSending = true;
    let nextId = 0;

    const publish = () => store.put("keyed.op", "config", makeStopConfiguration(version++, plan.slots));

    async function addEndpoint(service: string, index: number): Promise<void> {
        const engine = createSoakEngine(plan.slots, id => streamEvents.get(id) ?? 0);
        const isEngine = service === "models";
        const endpoint = await startEndpointStandIn({
            id: `${service}-${index}`,
            events: isEngine ? 1 : 0,
            ...(isEngine ? { scheduleStream: engine.schedule } : { slots: plan.slots, slotMs: 30 }),
        });
        const proxy = await startFaultyProxy(Number(endpoint.address.split(":")[1]));
        endpoints.push(endpoint);
        proxies.push(proxy);
        engines.push(...isEngine ? [engine] : []);
        const born = 1_700_000_000_000;
        const entry = { service, addr: proxy.address, zone: "a", slots: plan.slots, state: "ready", born };
        store.put("keyed.servers", endpoint.id, entry);
    }

    async function checkReady(gateways: readonly GatewayProcess[]): Promise<void> {
        if (!await waitUntilReady(gateways, maxStartMs)) {
            violations.push("every gateway is ready again after its start");
        }
    }

    async function sendRequest(
        connection: CustomerConnection,
        gateway: GatewayProcess,
        random: () => number,
    ): Promise<StopOutcome> {
        const id = `stop-${options.seed}-${nextId++}`;
        const kinds = Object.values(StopRequestKind);
        const kind = random() < 0.6 ? StopRequestKind.Resumable : kinds[Math.floor(random() * kinds.length)]!;
        const isStream = kind === StopRequestKind.Resumable || kind === StopRequestKind.Once;
        const deadlineMs = isStream ? streamDeadlineMs : plainDeadlineMs;
        const body = kind === StopRequestKind.Safe ? "" : `body of ${id}`;
        const tokens = Math.ceil(minTokens * (maxTokens / minTokens) ** random());
        const events = isStream ? Math.ceil(tokens / engineProfile.stride) : 0;
        // The estimate is accurate at the median, and the limit is never exceeded.
        const limit = Math.ceil(tokens * (1 + random()));
        const estimate = Math.ceil(Math.min(limit, tokens * 2 ** (2 * random() - 1)));
        streamEvents.set(id, events);
        const lines = [
            `${kind === StopRequestKind.Safe ? "GET" : "POST"} ${paths[kind]}${id} HTTP/1.1`,
            `host: ${hostName}`,
            `x-request-id: ${id}`,
            `x-deadline-ms: ${deadlineMs}`,
            `api-key: ${customerKey}`,
            ...isStream
                ? [
                    "x-model: m",
                    `x-token-count: 1000,${limit}`,
                    `x-length-hint: ${estimate}`,
                    `x-prompt-prefix: a1:940,${nextId.toString(16)}f:60`,
                ]
                : [],
            ...body ? [`content-length: ${body.length}`] : [],
        ];
        const end = await connection.send(`${lines.join("\r\n")}\r\n\r\n${body}`);
        const outcome = { ...end, id, kind, gateway: gateway.name, deadlineMs, events };
        outcomes.push(outcome);
        return outcome;
    }

    /** Sends requests on one connection after another, to any gateway whose process runs. */
    async function runCustomer(gateways: readonly GatewayProcess[], index: number): Promise<void> {
        const random = createMixedRandomSource(options.seed * 1_000 + index);
        const isPipelined = plan.isPipelined && random() < pipelinedCustomerShare;
        while (isSending) {
            const gateway = gateways[Math.floor(random() * gateways.length)]!;
            const connection = gateway.isRunning()
                ? await openCustomerConnection(gateway.url).catch(() => undefined)
                : undefined;
            while (isSending && connection?.isUsable()) {
                const count = isPipelined ? 1 + Math.floor(3 * random()) : 1;
                const ended = await Promise.all(
                    Array.from({ length: count }, () => sendRequest(connection, gateway, random)),
                );
                const returnMs = Number(ended.at(-1)!.answer?.headers.get("retry-after") ?? 0) * 1_000;
                await wait(Math.min(maxReturnMs, Math.max(returnMs, 60 * random())));
            }
            connection?.close();
            await wait(50 * random());
        }
    }

    async function stopGateway(gateway: GatewayProcess, signals: PlannedSignals): Promise<void> {
        if (signals.reloadLeadMs !== undefined) {
            gateway.signal("SIGHUP");
            await wait(signals.reloadLeadMs);
        }
        const graceMs = plan.graceSeconds * 1_000;
        const stop: PlannedStop = { gateway: gateway.name, atMs: performance.now(), graceMs };
        stops.push(stop);
        gateway.signal("SIGTERM");
        const kill = setTimeout(() => gateway.signal("SIGKILL"), graceMs);
        const repeat = setTimeout(() => gateway.signal("SIGTERM"), signals.repeatAfterMs ?? graceMs);
        if (signals.configurationAfterMs !== undefined) {
            setTimeout(publish, signals.configurationAfterMs);
        }
        const result = await gateway.waitForExit();
        clearTimeout(kill);
        clearTimeout(repeat);
        stop.endedAtMs = performance.now();
        if (result !== 0) {
            violations.push(`a gateway that stops exits with 0 within its grace: ${gateway.name} ended with ${result}`);
        }
        await wait(200);
        gateway.start();
    }

    async function runSeries(gateways: readonly GatewayProcess[], series: StopSeries): Promise<void> {
        if (plan.condition === EngineCondition.SlowDuring) {
            setTimeout(() => engines.forEach(engine => engine.setPace(plan.slowFactor)), series.slowAfterMs);
        }
        if (series.resetAfterMs !== undefined) {
            setTimeout(() => {
                faults.push({ name: "connections of models-0 reset", atMs: performance.now() });
                proxies[0]!.resetConnections();
            }, series.resetAfterMs);
        }
        const stopping: Promise<void>[] = [];
        for (const [index, gateway] of (series.order === StopOrder.One ? gateways.slice(0, 1) : gateways).entries()) {
            const stopped = stopGateway(gateway, series.signals[index]!);
            stopping.push(stopped);
            await (series.order === StopOrder.AfterEach ? stopped : undefined);
            await wait(series.order === StopOrder.All ? 0 : betweenStopsMs);
        }
        await Promise.all(stopping);
    }

    for (let index = 0; index < engineCount; index++) {
        await addEndpoint("models", index);
    }
    for (let index = 0; index < plainCount; index++) {
        await addEndpoint("desk", index);
    }
    publish();
    const gateways = await startGatewayProcesses({
        ports: await findFreePorts(options.seed, 4 * plan.gateways),
        storeAddress: store.address,
        graceSeconds: plan.graceSeconds,
    });
    await checkReady(gateways);
    const customers = Promise.all(
        Array.from({ length: customersPerGateway * plan.gateways }, (unused, index) => runCustomer(gateways, index)),
    );
    await wait(warmUpMs);
    for (const series of plan.series) {
        const isSlow = plan.condition === EngineCondition.SlowBefore;
        engines.forEach(engine => engine.setPace(isSlow ? plan.slowFactor : 1));
        await wait(warmUpMs);
        await runSeries(gateways, series);
        await checkReady(gateways);
    }
    isSending = false;
    await customers;
    const summary = summarizeStops(outcomes, endpoints, stops, faults);
    violations.push(...summary.violations);
    const logs = violations.length > 0 ? gateways.flatMap(gateway => gateway.output) : [];
    await Promise.all(gateways.map(gateway => gateway.dispose()));
    await Promise.all(proxies.map(proxy => proxy.close()));
    await Promise.all([...endpoints.map(endpoint => endpoint.close()), store.close()]);
    const isSlow = plan.condition === EngineCondition.SlowBefore || plan.condition === EngineCondition.SlowDuring;
    const orders = plan.series.map(series => series.order).join(", then ");
    return {
        ...summary,
        violations,
        seed: options.seed,
        plan: `grace ${plan.graceSeconds} s, ${plan.gateways} gateways, ${orders}, engines ${plan.condition}`
            + (isSlow ? ` by ${plan.slowFactor.toFixed(1)}` : "")
            + (plan.isPipelined ? ", pipelined" : "")
            + faults.map(fault => `, ${fault.name}`).join(""),
        requests: outcomes.length,
        logs,
    };
}
