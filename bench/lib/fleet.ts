import { execFileSync } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { stringify } from "yaml";
import { computeDigest } from "../../src/base/ids.js";
import { Experiment, experimentModel, makeCustomerKey } from "./experiment.js";
import { FleetProcess, mainPath, runConcurrently, startProcess } from "./processes.js";

/** A running fleet, each member of which is a process of its own. */
export interface Fleet {
    readonly engines: readonly FleetProcess[];
    readonly services: readonly FleetProcess[];
    readonly sidecars: readonly FleetProcess[];
    readonly entries: readonly FleetProcess[];
    stop(): Promise<void>;
}

type Policy = Experiment["policies"][number];

interface PlannedEndpoint {
    readonly name: string;
    readonly dataCentre: string;
    /** Value of the endpoint's object in the configuration. */
    readonly configuration: Record<string, unknown>;
    readonly emulatorArgs: readonly string[];
    readonly isEngine: boolean;
}

const maxConcurrentStarts = 8;
const linkKey = "bench";
const version = "main-v1";
const readyTimeoutMs = 30_000;
const readyPollMs = 100;
/** Time that the fleet gets after the first answers to open every link and report the load of every sidecar. */
const settleMs = 2_000;

/** Routing policy of a build whose entries have no `--policy` flag. */
const defaultRouting = "least-connections";
/** Cached, because each check starts a process. */
let isPolicyFlagSupported: boolean | undefined;

function hasPolicyFlag(): boolean {
    isPolicyFlagSupported ??= execFileSync(process.execPath, [mainPath, "entry", "--help"], { encoding: "utf8" })
        .includes("--policy");
    return isPolicyFlagSupported;
}

/** Returns the routing that entries use under a policy: `policy.routing` only if they have the `--policy` flag. */
export function getEffectiveRouting(policy: Policy): string {
    return hasPolicyFlag() ? policy.routing : defaultRouting;
}

function planEndpoints(experiment: Experiment): readonly PlannedEndpoint[] {
    const endpoints: PlannedEndpoint[] = [];
    for (const group of experiment.engines) {
        for (let index = 0; index < group.count; index++) {
            const name = `engine-${endpoints.length + 1}`;
            endpoints.push({
                name,
                dataCentre: group.dataCentre,
                isEngine: true,
                configuration: {
                    host: `host-${name}`,
                    dataCentre: group.dataCentre,
                    model: experimentModel,
                    checksFencing: true,
                    memoryTokens: group.memoryTokens,
                    maxRunning: group.maxBatch,
                },
                emulatorArgs: [
                    ...["engine", "--model", experimentModel, "--model-version", version],
                    ...["--memory-tokens", group.memoryTokens, "--max-batch", group.maxBatch].map(String),
                    ...["--prefill-tokens-per-second", String(group.prefillTokensPerSecond)],
                    ...["--decode-tokens-per-second", String(group.decodeTokensPerSecond)],
                ],
            });
        }
    }
    for (const group of experiment.services) {
        for (let index = 0; index < group.count; index++) {
            const name = `${group.service}-${endpoints.length + 1}`;
            endpoints.push({
                name,
                dataCentre: group.dataCentre,
                isEngine: false,
                configuration: {
                    host: `host-${name}`,
                    dataCentre: group.dataCentre,
                    service: group.service,
                    checksFencing: false,
                },
                emulatorArgs: ["service", "--delay-ms", String(group.delayMs)],
            });
        }
    }
    return endpoints;
}

function buildConfiguration(experiment: Experiment, endpoints: readonly PlannedEndpoint[]): unknown {
    return {
        models: { [experimentModel]: { version, maxOutputTokens: 4096 } },
        versions: { [version]: { model: experimentModel, weights: version } },
        ranks: experiment.ranks,
        kinds: experiment.kinds,
        services: experiment.serviceObjects,
        customers: Object.fromEntries(
            Object.entries(experiment.customers).map(([customer, { defaultKind, weight }]) => [
                customer,
                { keyDigests: [computeDigest(makeCustomerKey(customer))], defaultKind, weight },
            ]),
        ),
        endpoints: Object.fromEntries(endpoints.map(({ name, configuration }) => [name, configuration])),
    };
}

/** Starts the fleet of an experiment under a policy: emulators, sidecars and entries, each as a process. */
export async function startFleet(experiment: Experiment, policy: Policy): Promise<Fleet> {
    const directory = await mkdtemp(join(tmpdir(), "jujubelane-bench-"));
    const started: FleetProcess[] = [];
    async function start(name: string, args: readonly string[]): Promise<FleetProcess> {
        const fleetProcess = await startProcess(name, args);
        started.push(fleetProcess);
        return fleetProcess;
    }
    async function stop() {
        await Promise.all(started.map(fleetProcess => fleetProcess.stop()));
        await rm(directory, { recursive: true, force: true });
    }

    try {
        const endpoints = planEndpoints(experiment);
        const file = join(directory, "configuration.yaml");
        await writeFile(file, stringify(buildConfiguration(experiment, endpoints)));
        const hosts = await start("hosts", ["emulate", "hosts"]);
        const pairs = await runConcurrently(
            maxConcurrentStarts,
            endpoints.map(endpoint => async () => {
                const emulator = await start(endpoint.name, ["emulate", ...endpoint.emulatorArgs]);
                const sidecar = await start(`sidecar-${endpoint.name}`, [
                    ...["sidecar", "--endpoint", endpoint.name, "--data-centre", endpoint.dataCentre, "--port", "0"],
                    ...["--link-key", linkKey, "--log", "", "--scheduler", policy.scheduler],
                    ...[endpoint.isEngine ? "--engine" : "--service", emulator.address],
                ]);
                const [address, port] = sidecar.address.split(":");
                const host = { dataCentre: endpoint.dataCentre, address, port: Number(port), state: "live" };
                await fetch(`${hosts.address}/hosts/host-${endpoint.name}`, {
                    method: "PUT",
                    body: JSON.stringify(host),
                });
                return { endpoint, emulator, sidecar };
            }),
        );
        const dataCentres = experiment.entries.flatMap(group =>
            Array.from({ length: group.count }, () => group.dataCentre)
        );
        const entries = await runConcurrently(
            maxConcurrentStarts,
            dataCentres.map((dataCentre, index) => () =>
                start(`entry-${index + 1}`, [
                    ...["entry", "--name", `entry-${index + 1}`, "--data-centre", dataCentre, "--port", "0"],
                    ...["--hosts", hosts.address, "--config", file, "--link-key", linkKey, "--log", ""],
                    ...(hasPolicyFlag() ? ["--policy", policy.routing] : []),
                ])
            ),
        );
        await Promise.all(entries.map(entry => waitUntilReady(entry.address, Object.keys(experiment.customers)[0]!)));
        await sleep(settleMs);
        return {
            engines: pairs.filter(pair => pair.endpoint.isEngine).map(pair => pair.emulator),
            services: pairs.filter(pair => !pair.endpoint.isEngine).map(pair => pair.emulator),
            sidecars: pairs.map(pair => pair.sidecar),
            entries,
            stop,
        };
    }
    catch (error) {
        await stop();
        throw error;
    }
}

/** Polls an entry until it answers a completion with success. */
export async function waitUntilReady(url: string, customer: string): Promise<void> {
    const deadlineMs = Date.now() + readyTimeoutMs;
    let lastAnswer = "";
    while (Date.now() < deadlineMs) {
        const response = await fetch(`${url}/v1/completions`, {
            method: "POST",
            headers: { "authorization": `Bearer ${makeCustomerKey(customer)}`, "content-type": "application/json" },
            body: JSON.stringify({ model: experimentModel, prompt: "ready?", max_tokens: 1 }),
        });
        lastAnswer = await response.text();
        if (response.ok) {
            return;
        }
        await sleep(readyPollMs);
    }
    throw new Error(`entry ${url} did not become ready: ${lastAnswer}`);
}
