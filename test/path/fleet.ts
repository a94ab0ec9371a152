import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { computeDigest } from "../../src/base/ids.js";
import { StartedProcess, startProcess } from "./processes.js";

/** API keys of the fleet's configuration. */
export const fleetKeys = { planner: "planner-key", operator: "operator-key" } as const;
export const fleetDataCentre = "larissa";

/** Settings of a fleet of separate processes. */
export interface FleetSettings {
    readonly entries: number;
    readonly engines: number;
    readonly services: number;
    readonly hostListLagMs?: number;
    readonly engineFlags?: readonly string[];
    readonly serviceFlags?: readonly string[];
    readonly sidecarFlags?: readonly string[];
    readonly entryFlags?: readonly string[];
}

/** Processes of one endpoint: its sidecar and the engine or plain service behind it. */
export interface FleetEndpoint {
    readonly name: string;
    readonly backend: StartedProcess;
    sidecar: StartedProcess;
    /** Starts another sidecar on a new port and registers its address in the host list. */
    replaceSidecar(): Promise<void>;
}

/** A running fleet. */
export interface Fleet {
    readonly entries: readonly StartedProcess[];
    readonly engines: readonly FleetEndpoint[];
    readonly services: readonly FleetEndpoint[];
    send(entry: number, path: string, body: unknown, headers?: Record<string, string>): Promise<Response>;
    close(): Promise<void>;
}

const commonFlags = [
    "--data-centre",
    fleetDataCentre,
    "--port",
    "0",
    "--link-key",
    "fleet-key",
    "--heartbeat-interval-ms",
    "300",
];

function makeConfigurationFile(endpoints: readonly { name: string; target: string }[]): string {
    return JSON.stringify({
        models: { demo: { version: "demo-v1" } },
        versions: { "demo-v1": { model: "demo", weights: "demo-v1" } },
        ranks: { urgent: { urgency: 0, timeLimitMs: 15_000 }, bulk: { urgency: 2, timeLimitMs: 60_000 } },
        kinds: { question: { rank: "urgent" } },
        customers: {
            planner: { keyDigests: [computeDigest(fleetKeys.planner)], defaultKind: "question" },
            operator: { keyDigests: [computeDigest(fleetKeys.operator)], defaultKind: "question", operator: true },
        },
        services: { bookings: { rank: "urgent", repeatable: false, timeLimitMs: 8_000 } },
        endpoints: Object.fromEntries(endpoints.map(({ name, target }) => [name, {
            host: name,
            dataCentre: fleetDataCentre,
            checksFencing: true,
            ...(target === "model" ? { model: "demo" } : { service: "bookings" }),
        }])),
    });
}

/** Starts a fleet with a fixed configuration. With engines, waits until every entry has answered a prompt. */
export async function startFleet(settings: FleetSettings): Promise<Fleet> {
    const processes: StartedProcess[] = [];
    const directory = await mkdtemp(join(tmpdir(), "jujubelane-"));

    async function start(...args: string[]): Promise<StartedProcess> {
        const started = await startProcess(...args);
        processes.push(started);
        return started;
    }

    const hosts = await start("emulate", "hosts", "--lag-ms", "0");

    async function startSidecar(name: string, target: "engine" | "service", url: string): Promise<StartedProcess> {
        const flags = [...commonFlags, ...(settings.sidecarFlags ?? [])];
        const sidecar = await start("sidecar", "--endpoint", name, `--${target}`, url, ...flags);
        const [address, port] = sidecar.address.split(":");
        await fetch(`${hosts.address}/hosts/${name}`, {
            method: "PUT",
            body: JSON.stringify({ name, dataCentre: fleetDataCentre, address, port: Number(port), state: "live" }),
        });
        return sidecar;
    }

    async function startEndpoint(name: string, target: "engine" | "service"): Promise<FleetEndpoint> {
        const backend = target === "engine"
            ? await start(
                "emulate",
                "engine",
                "--model",
                "demo",
                "--model-version",
                "demo-v1",
                ...(settings.engineFlags ?? []),
            )
            : await start("emulate", "service", ...(settings.serviceFlags ?? []));
        const endpoint: FleetEndpoint = {
            name,
            backend,
            sidecar: await startSidecar(name, target, backend.address),
            async replaceSidecar() {
                endpoint.sidecar = await startSidecar(name, target, backend.address);
            },
        };
        return endpoint;
    }

    const makeNames = (prefix: string, count: number) =>
        Array.from({ length: count }, (unused, index) => `${prefix}-${index + 1}`);
    const engines = await Promise.all(makeNames("engine", settings.engines).map(name => startEndpoint(name, "engine")));
    const services = await Promise.all(
        makeNames("booking", settings.services).map(name => startEndpoint(name, "service")),
    );
    const file = join(directory, "config.json");
    await writeFile(
        file,
        makeConfigurationFile([
            ...engines.map(({ name }) => ({ name, target: "model" })),
            ...services.map(({ name }) => ({ name, target: "service" })),
        ]),
    );
    const entries = await Promise.all(
        makeNames("entry", settings.entries).map(name =>
            start(
                "entry",
                "--name",
                name,
                "--hosts",
                hosts.address,
                "--config",
                file,
                ...commonFlags,
                ...(settings.entryFlags ?? []),
            )
        ),
    );

    const fleet: Fleet = {
        entries,
        engines,
        services,
        send: (entry, path, body, headers = {}) =>
            fetch(`${entries[entry]!.address}${path}`, {
                method: "POST",
                headers: {
                    authorization: `Bearer ${fleetKeys.planner}`,
                    "content-type": "application/json",
                    ...headers,
                },
                body: JSON.stringify(body),
            }),
        async close() {
            await Promise.all(processes.map(started => started.kill()));
            await rm(directory, { recursive: true });
        },
    };
    for (let entry = 0; entry < settings.entries && settings.engines > 0; entry++) {
        const response = await fleet.send(entry, "/v1/completions", { model: "demo", prompt: "ready", max_tokens: 1 });
        await response.text();
    }
    return fleet;
}
