import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { stringify } from "yaml";
import { computeDigest } from "../../src/base/ids.js";
import { experimentModel, makeCustomerKey } from "./experiment.js";
import { waitUntilReady } from "./fleet.js";
import { FleetProcess, startProcess } from "./processes.js";

/** A fleet of one entry and of engines with a sidecar each, in which requests pass through every kind of process. */
export interface SingleEntryFleet {
    readonly entry: FleetProcess;
    readonly sidecars: readonly FleetProcess[];
    readonly engineUrls: readonly string[];
    stop(): Promise<void>;
}

/** Options of {@link startSingleEntryFleet}. */
export interface SingleEntryFleetOptions {
    readonly engines: number;
    /** Number of customers in the configuration that send no requests. */
    readonly idleCustomers?: number;
    /** Node.js options of the entry and the first sidecar, for example to record profiles. */
    readonly nodeArgs?: readonly string[];
    /** Script to run in place of the engine emulator, and its arguments. */
    readonly engineScript?: { readonly path: string; readonly args: readonly string[] };
    readonly engineArgs?: readonly string[];
}

/** The customer that sends requests in benchmarks with a single entry. */
export const benchCustomer = "bench";

const version = "main-v1";
const dataCentre = "here";
const settleMs = 1_500;
const linkKey = "bench";
const memoryTokens = 100_000_000;
const maxRunning = 10_000;

/** Starts a fleet of one entry and waits until it answers requests. */
export async function startSingleEntryFleet(options: SingleEntryFleetOptions): Promise<SingleEntryFleet> {
    const directory = await mkdtemp(join(tmpdir(), "jujubelane-path-"));
    const started: FleetProcess[] = [];
    async function trackProcess(starting: Promise<FleetProcess>): Promise<FleetProcess> {
        const fleetProcess = await starting;
        started.push(fleetProcess);
        return fleetProcess;
    }
    async function stop() {
        await Promise.all(started.map(fleetProcess => fleetProcess.stop()));
        await rm(directory, { recursive: true, force: true });
    }

    try {
        const names = [...Array(options.engines).keys()].map(index => `engine-${index + 1}`);
        const customers: Record<string, unknown> = {};
        for (let index = 0; index <= (options.idleCustomers ?? 0); index++) {
            const customer = index === 0 ? benchCustomer : `customer-${index}`;
            customers[customer] = { keyDigests: [computeDigest(makeCustomerKey(customer))], defaultKind: "question" };
        }
        const file = join(directory, "configuration.yaml");
        await writeFile(
            file,
            stringify({
                models: { [experimentModel]: { version, maxOutputTokens: 100_000 } },
                versions: { [version]: { model: experimentModel, weights: version } },
                ranks: { normal: { urgency: 0, timeLimitMs: 60_000 } },
                kinds: { question: { rank: "normal" } },
                customers,
                endpoints: Object.fromEntries(names.map(name => [
                    name,
                    {
                        host: `host-${name}`,
                        dataCentre,
                        model: experimentModel,
                        checksFencing: true,
                        memoryTokens,
                        maxRunning,
                    },
                ])),
            }),
        );
        const hosts = await trackProcess(startProcess("hosts", ["emulate", "hosts"]));
        const engineUrls: string[] = [];
        const sidecars: FleetProcess[] = [];
        for (const [index, name] of names.entries()) {
            const engine = await trackProcess(
                options.engineScript
                    ? startProcess(name, options.engineScript.args, [], options.engineScript.path)
                    : startProcess(name, [
                        ...["emulate", "engine", "--model", experimentModel, "--model-version", version],
                        ...["--memory-tokens", String(memoryTokens), ...options.engineArgs ?? []],
                    ]),
            );
            engineUrls.push(engine.address);
            const sidecar = await trackProcess(startProcess(`sidecar-${name}`, [
                ...[
                    "sidecar",
                    "--endpoint",
                    name,
                    "--data-centre",
                    dataCentre,
                    "--port",
                    "0",
                    "--engine",
                    engine.address,
                ],
                ...["--link-key", linkKey, "--log", ""],
            ], index === 0 ? options.nodeArgs : []));
            sidecars.push(sidecar);
            const [address, port] = sidecar.address.split(":");
            const host = { dataCentre, address, port: Number(port), state: "live" };
            await fetch(`${hosts.address}/hosts/host-${name}`, { method: "PUT", body: JSON.stringify(host) });
        }
        const entry = await trackProcess(startProcess("entry", [
            ...["entry", "--data-centre", dataCentre, "--port", "0", "--hosts", hosts.address, "--config", file],
            ...["--link-key", linkKey, "--log", ""],
        ], options.nodeArgs));
        await waitUntilReady(entry.address, benchCustomer);
        await sleep(settleMs);
        return { entry, sidecars, engineUrls, stop };
    }
    catch (error) {
        await stop();
        throw error;
    }
}
