import { Agent, request as sendHttp } from "node:http";
import { customerKey, hostName, makeConfiguration } from "../../test/platform/support/deployment.js";
import { renderEvent } from "../../test/platform/support/endpointStandIn.js";
import { startStoreStandIn, StoreStandIn } from "../../test/platform/support/storeStandIn.js";
import { Ending, Framing, startCutEndpoint } from "../../test/soak/cutEndpoint.js";
import { createGatewayProcess, GatewayProcess } from "../../test/soak/gatewayProcess.js";
import { findFreePorts } from "../../test/soak/soak.js";
import { readUsage } from "./processes.js";

/** Programs of other gateways to measure beside the one of this build, by name. */
export type OtherGateways = Readonly<Record<string, string>>;

/** What the streams of one round took. */
interface RoundResult {
    readonly streams: readonly StreamResult[];
    readonly processorMs: number;
    readonly residentBytes: number;
}

const customers = 24;
const streamsPerCustomer = 3;
const eventsPerStream = 60;
const pauseMs = 20;
const rounds = 3;
const portsSeed = 490;
const engineNames = ["models-0", "models-1", "models-2", "models-3"];
const framings = [Framing.None, Framing.Chunks];
const mebibyte = 2 ** 20;

function computeQuantile(values: readonly number[], quantile: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))] ?? 0;
}

async function startGateway(
    store: StoreStandIn,
    name: string,
    ports: readonly number[],
    program: string | undefined,
): Promise<GatewayProcess> {
    const [customerPort, ready, exchange, metrics] = ports as [number, number, number, number];
    const command = program === undefined ? undefined : [program];
    const gatewayPorts = { customers: customerPort, ready, exchange, metrics };
    const gateway = await createGatewayProcess(name, gatewayPorts, store.address, command);
    gateway.start();
    while (!await gateway.isReady()) {
        await new Promise(resolve => setTimeout(resolve, 50));
    }
    return gateway;
}

let nextId = 0;

/** What one stream took. */
interface StreamResult {
    readonly firstEventMs: number;
    readonly eventsPerSecond: number;
    readonly receivedBytes: number;
    readonly hasOpenedConnection: boolean;
}

function runStream(url: string, agent: Agent): Promise<StreamResult> {
    return new Promise((resolve, reject) => {
        const sentAtMs = performance.now();
        const headers = {
            "host": hostName,
            "x-request-id": `cost-${nextId++}`,
            "x-deadline-ms": "10000",
            "api-key": customerKey,
            "x-model": "m",
            "x-token-count": "100,600",
            "x-prompt-prefix": `a1:40,${nextId.toString(16)}f:60`,
        };
        const sent = sendHttp(`${url}/digest/1`, { method: "POST", headers, agent }, answer => {
            let firstAtMs = 0;
            const { socket } = answer;
            answer.on("data", () => {
                firstAtMs ||= performance.now();
            });
            answer.on("error", reject);
            answer.on("end", () => {
                resolve({
                    firstEventMs: firstAtMs - sentAtMs,
                    eventsPerSecond: (eventsPerStream - 1) / ((performance.now() - firstAtMs) / 1_000),
                    receivedBytes: socket.bytesRead - bytesBefore,
                    hasOpenedConnection: !sent.reusedSocket,
                });
            });
        });
        let bytesBefore = 0;
        sent.on("socket", socket => {
            bytesBefore = socket.bytesRead;
        });
        sent.on("error", reject);
        sent.end("prompt");
    });
}

async function runRound(gateway: GatewayProcess): Promise<RoundResult> {
    const processId = gateway.getProcessId()!;
    const before = readUsage(processId);
    const streams = await Promise.all(Array.from({ length: customers }, async () => {
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        const own: StreamResult[] = [];
        for (let stream = 0; stream < streamsPerCustomer; stream++) {
            own.push(await runStream(gateway.url, agent));
        }
        agent.destroy();
        return own;
    }));
    const after = readUsage(processId);
    return {
        streams: streams.flat(),
        processorMs: (after.processorSeconds - before.processorSeconds) * 1_000,
        residentBytes: after.residentBytes,
    };
}

function renderRow(name: string, framing: Framing, results: readonly RoundResult[]): string {
    const streams = results.flatMap(result => result.streams);
    const events = streams.length * eventsPerStream;
    const firstEventsMs = streams.map(stream => stream.firstEventMs);
    const processorMs = results.reduce((total, result) => total + result.processorMs, 0);
    const cells = [
        name,
        framing === Framing.None ? "none" : "chunks",
        computeQuantile(firstEventsMs, 0.5).toFixed(1),
        computeQuantile(firstEventsMs, 0.99).toFixed(1),
        computeQuantile(streams.map(stream => stream.eventsPerSecond), 0.5).toFixed(1),
        ((processorMs / events) * 1_000).toFixed(0),
        (streams.reduce((total, stream) => total + stream.receivedBytes, 0) / events).toFixed(1),
        (Math.max(...results.map(result => result.residentBytes)) / mebibyte).toFixed(0),
        (streams.filter(stream => stream.hasOpenedConnection).length / streams.length).toFixed(2),
    ];
    return `| ${cells.join(" | ")} |`;
}

/**
 * Measures what relayed streams cost, with and without chunks from their engines, at the gateway of this build and at
 * others. The gateways take turns, round by round.
 *
 * @example
 * console.log(await renderAnswerCost({ before: "/work/base/out/platform/main.js" }));
 */
export async function renderAnswerCost(others: OtherGateways): Promise<string> {
    const store = await startStoreStandIn();
    let framing = Framing.None;
    const pieces = Array.from({ length: eventsPerStream }, (unused, id) => renderEvent(id));
    const engines = await Promise.all(engineNames.map(id =>
        startCutEndpoint({
            id,
            planAnswer: () => ({ framing, ending: Ending.Whole, contentType: "text/event-stream", pieces, pauseMs }),
            onCrashed: () => undefined,
            onRestarted: () => undefined,
        })
    ));
    engines.forEach(({ id, address }) => {
        const entry = {
            service: "models",
            addr: address,
            zone: "a",
            slots: 64,
            state: "ready",
            born: 1_700_000_000_000,
        };
        store.put("keyed.servers", id, entry);
    });
    store.put("keyed.op", "config", makeConfiguration());
    const programs: readonly (readonly [string, string | undefined])[] = [...Object.entries(others), [
        "this build",
        undefined,
    ]];
    const ports = await findFreePorts(portsSeed, 4 * programs.length);
    const gateways = await Promise.all(
        programs.map(async ([name, program], index) =>
            [
                name,
                await startGateway(store, `gateway-${index}`, ports.slice(4 * index, 4 * index + 4), program),
            ] as const
        ),
    );
    const results = new Map<string, RoundResult[]>();
    // The first round warms up the processes.
    for (let round = 0; round <= rounds; round++) {
        for (const nextFraming of framings) {
            framing = nextFraming;
            for (const [name, gateway] of gateways) {
                const result = await runRound(gateway);
                const key = `${name}/${framing}`;
                results.set(key, [...results.get(key) ?? [], ...round === 0 ? [] : [result]]);
            }
        }
    }
    await Promise.all(gateways.map(([, gateway]) => gateway.dispose()));
    await Promise.all([...engines.map(engine => engine.close()), store.close()]);
    const rows = framings.flatMap(used =>
        gateways.map(([name]) => renderRow(name, used, results.get(`${name}/${used}`)!))
    );
    return [
        `${customers} customers with ${streamsPerCustomer} streams of ${eventsPerStream} events each, ${pauseMs} ms apart, `
        + `${rounds} rounds in turn`,
        "",
        "| gateway | framing of the engines | first event p50, ms | p99, ms | events/s p50 | processor time for an event, µs | bytes an event "
        + "| resident, MiB | connections a stream |",
        "|---|---|---|---|---|---|---|---|---|",
        ...rows,
    ].join("\n");
}
