import { RandomSource } from "../../src/base/randomSource.js";
import { customerKey, hostName, makeConfiguration } from "../platform/support/deployment.js";
import { renderEvent } from "../platform/support/endpointStandIn.js";
import { startStoreStandIn } from "../platform/support/storeStandIn.js";
import { CustomerConnection, openCustomerConnection } from "./customerConnection.js";
import { AnswerPlan, CutEndpoint, Ending, Framing, startCutEndpoint } from "./cutEndpoint.js";
import { GatewayProcess, startGatewayProcesses, waitUntilReady } from "./gatewayProcess.js";
import { Disturbance, KillOutcome, KillSummary, summarizeKills } from "./killOutcome.js";
import { findFreePorts } from "./soak.js";
import { createMixedRandomSource } from "./stopPlan.js";

/** Size of one run. */
export interface KillSoakOptions {
    readonly seed: number;
    /** Ends of gateways' processes. */
    readonly kills: number;
    /** Arguments for Node.js that start a gateway; absent: the gateway of this build. */
    readonly command?: readonly string[];
}

/** Result of one run. */
export interface KillSoakResult extends KillSummary {
    readonly seed: number;
    readonly gateways: number;
    readonly requests: number;
    /** Output of the gateways, only for a run with violations. */
    readonly logs: readonly string[];
}

const engineCount = 3;
const plainCount = 3;
const maxGateways = 4;
const customersPerGateway = 8;
const deadlineMs = 6_000;
const timeoutMs = 8_000;
const warmUpMs = 800;
const maxStartMs = 15_000;
const restartMs = 200;
/** Shares of the endings of answers; the others end whole. */
const endings: readonly (readonly [Ending, number])[] = [
    [Ending.Reset, 0.06],
    [Ending.WithinPiece, 0.06],
    [Ending.Crash, 0.01],
];
const bigPieceBytes = 64 * 1024;

function wait(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

function pick<Item>(random: RandomSource, items: readonly Item[]): Item {
    return items[Math.floor(random() * items.length)]!;
}

function drawEnding(random: RandomSource): Ending {
    let left = random();
    for (const [ending, share] of endings) {
        left -= share;
        if (left < 0) {
            return ending;
        }
    }
    return Ending.Whole;
}

/** Draws a stream of up to 2.4 s, or a plain answer that is short, or too long to be held whole. */
function drawAnswer(random: RandomSource, isStream: boolean): AnswerPlan {
    const framing = pick(random, [Framing.None, Framing.None, Framing.Chunks, Framing.Length]);
    const ending = drawEnding(random);
    if (isStream) {
        const pieces = Array.from({ length: 5 + Math.floor(55 * random()) }, (unused, id) => renderEvent(id));
        // Resumed streams have fewer events, so that no length can be stated for them.
        const streamFraming = framing === Framing.Length ? Framing.Chunks : framing;
        return { framing: streamFraming, ending, contentType: "text/event-stream", pieces, pauseMs: 5 + 35 * random() };
    }
    const isLong = random() < 0.5;
    const letter = String.fromCharCode(97 + Math.floor(26 * random()));
    const pieces = isLong
        ? Array.from({ length: 20 + Math.floor(20 * random()) }, () => letter.repeat(bigPieceBytes))
        : [letter.repeat(500), letter.repeat(500)];
    // Nothing tells a plain answer that a running endpoint closes in order from a whole one, if it gives no length.
    const isUnknowable = framing === Framing.None && ending === Ending.WithinPiece;
    const plainEnding = isUnknowable ? Ending.Reset : ending;
    return { framing, ending: plainEnding, contentType: "text/plain", pieces, pauseMs: 30 * random() };
}

/**
 * Ends the processes of gateways without warning while they relay answers, and checks that each answer that looks whole by
 * its framing is whole, and that no whole answer is broken off without a cause.
 */
export async function runKillSoak(options: KillSoakOptions): Promise<KillSoakResult> {
    const random = createMixedRandomSource(options.seed);
    const store = await startStoreStandIn();
    const plans = new Map<string, AnswerPlan>();
    const outcomes: KillOutcome[] = [];
    const disturbances: Disturbance[] = [];
    const violations: string[] = [];
    let isSending = true;
    let nextId = 0;

    function register(endpoint: CutEndpoint): void {
        const service = endpoint.id.split("-")[0]!;
        const entry = {
            service,
            addr: endpoint.address,
            zone: "a",
            slots: 16,
            state: "ready",
            born: 1_700_000_000_000,
        };
        store.put("keyed.servers", endpoint.id, entry);
    }

    /** Ids of the requests that an endpoint has begun to run. */
    const ran = new Set<string>();

    /** The first run of a request ends as drawn, further ones are whole. */
    function planAnswer(requestId: string): AnswerPlan {
        const plan = plans.get(requestId)!;
        const isRepeated = ran.has(requestId);
        ran.add(requestId);
        return isRepeated ? { ...plan, ending: Ending.Whole } : plan;
    }

    const endpoints = await Promise.all(
        [
            ...Array.from({ length: engineCount }, (unused, index) => `models-${index}`),
            ...Array.from({ length: plainCount }, (unused, index) => `desk-${index}`),
        ].map(id =>
            startCutEndpoint({
                id,
                planAnswer,
                onCrashed: previousId => void setTimeout(() => store.remove("keyed.servers", previousId), 1_000),
                onRestarted: register,
            })
        ),
    );
    endpoints.forEach(register);
    const { routes, ...configuration } = makeConfiguration() as { readonly routes: readonly object[] };
    store.put("keyed.op", "config", {
        ...configuration,
        routes: routes.map(route => ({ ...route, timeout_ms: timeoutMs })),
    });

    async function sendRequest(connection: CustomerConnection, gateway: string, own: RandomSource): Promise<void> {
        const id = `kill-${options.seed}-${nextId++}`;
        const path = pick(own, ["/draft/", "/draft/", "/once/", "/look/", "/book/"]);
        const isStream = path === "/draft/" || path === "/once/";
        const plan = drawAnswer(own, isStream);
        plans.set(id, plan);
        const text = path === "/look/" ? "" : `body of ${id}`;
        const lines = [
            `${path === "/look/" ? "GET" : "POST"} ${path}${id} HTTP/1.1`,
            `host: ${hostName}`,
            `x-request-id: ${id}`,
            `x-deadline-ms: ${deadlineMs}`,
            `api-key: ${customerKey}`,
            ...isStream
                ? ["x-model: m", "x-token-count: 100,600", `x-prompt-prefix: a1:40,${nextId.toString(16)}f:60`]
                : [],
            ...text ? [`content-length: ${text.length}`] : [],
        ];
        const end = await connection.send(`${lines.join("\r\n")}\r\n\r\n${text}`);
        const mayRepeat = path === "/draft/" || path === "/look/";
        outcomes.push({ ...end, id, path, gateway, mayRepeat, body: plan.pieces.join("") });
    }

    async function runCustomer(gateways: readonly GatewayProcess[], index: number): Promise<void> {
        const own = createMixedRandomSource(options.seed * 1_000 + index);
        while (isSending) {
            const gateway = pick(own, gateways);
            const connection = gateway.isRunning()
                ? await openCustomerConnection(gateway.url).catch(() => undefined)
                : undefined;
            while (isSending && connection?.isUsable()) {
                const isPipelined = own() < 0.1;
                const count = isPipelined ? 2 : 1;
                await Promise.all(Array.from({ length: count }, () => sendRequest(connection, gateway.name, own)));
                await wait(30 * own());
            }
            connection?.close();
            await wait(50 * own());
        }
    }

    /** Ends a process: at once, within the grace of a stop, or after a pause. */
    async function endGateway(gateway: GatewayProcess): Promise<void> {
        const disturbance = { gateway: gateway.name, fromMs: performance.now(), untilMs: Number.POSITIVE_INFINITY };
        disturbances.push(disturbance);
        const signal = pick(random, ["SIGKILL", "SIGABRT"] as const);
        const prelude = pick(random, ["SIGTERM", "SIGSTOP", undefined, undefined] as const);
        if (prelude) {
            gateway.signal(prelude);
            await wait(1_000 * random());
        }
        gateway.signal(signal);
        if (prelude === "SIGSTOP") {
            gateway.signal("SIGCONT");
        }
        await gateway.waitForExit();
        await wait(restartMs);
        disturbance.untilMs = performance.now();
        gateway.start();
    }

    async function checkReady(gateways: readonly GatewayProcess[]): Promise<void> {
        if (!await waitUntilReady(gateways, maxStartMs)) {
            violations.push("every gateway is ready again after its start");
        }
    }

    const count = 1 + Math.floor(random() * maxGateways);
    const ports = await findFreePorts(options.seed, 4 * count);
    const { command } = options;
    const gateways = await startGatewayProcesses({ ports, storeAddress: store.address, command });
    await checkReady(gateways);
    const customers = Promise.all(
        Array.from({ length: customersPerGateway * count }, (unused, index) => runCustomer(gateways, index)),
    );
    await wait(warmUpMs);
    const ending: Promise<void>[] = [];
    for (let kill = 0; kill < options.kills; kill++) {
        // The processes take turns, so that none is ended while it starts. Ends of different ones overlap.
        const gateway = gateways[kill % count]!;
        if (kill >= count) {
            await ending[kill - count];
            await checkReady([gateway]);
        }
        ending.push(endGateway(gateway));
        await wait(200 + 800 * random());
    }
    await Promise.all(ending);
    await checkReady(gateways);
    await wait(warmUpMs);
    isSending = false;
    await customers;
    const summary = summarizeKills(outcomes, endpoints, disturbances);
    violations.push(...summary.violations);
    const logs = violations.length > 0 ? gateways.flatMap(gateway => gateway.output) : [];
    await Promise.all(gateways.map(gateway => gateway.dispose()));
    await Promise.all([...endpoints.map(endpoint => endpoint.close()), store.close()]);
    return { ...summary, violations, seed: options.seed, gateways: count, requests: outcomes.length, logs };
}
