import { mkdtemp, rm, writeFile } from "node:fs/promises";
import * as http from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { stringify } from "yaml";
import { computeDigest } from "../../src/base/ids.js";
import { loadPlanSchema } from "../../src/load/loadPlan.js";
import { experimentModel, makeCustomerKey } from "./experiment.js";
import { DataPoint, fitLine, LinearFit } from "./linearFit.js";
import { runLoadProcesses } from "./loadProcesses.js";
import { FleetProcess, readUsage, startProcess } from "./processes.js";
import { benchCustomer, startSingleEntryFleet } from "./singleEntryFleet.js";

const farmPath = fileURLToPath(new URL("./sidecarFarm.js", import.meta.url));
const fastEnginePath = fileURLToPath(new URL("./fastEngine.js", import.meta.url));
const bytesPerKiB = 1024;
const millisecondsPerSecond = 1000;
/** An entry links to 48 endpoints of each model (the default aperture), so 336 links need 7 models. */
const farmModels = [experimentModel, "m2", "m3", "m4", "m5", "m6", "m7"];
const settleMs = 2_500;
const measureSeconds = 6;

interface FarmOptions {
    readonly links: number;
    /** Endpoints in the configuration whose hosts are not in the host list, so that the entry has no link to them. */
    readonly unlinkedEndpoints?: number;
    /** Hosts in the host list that no endpoint of the configuration uses. */
    readonly unusedHosts?: number;
}

/** Body of `GET /stats` of the sidecar farm. */
interface FarmStats {
    readonly linkBytes: number;
    readonly links: number;
    readonly pollBytes: number;
}

/** Starts a sidecar farm and an entry with links to it, runs a measurement and stops both. */
async function runWithFarm<Value>(
    options: FarmOptions,
    measure: (entry: FleetProcess, readStats: () => Promise<FarmStats>) => Promise<Value>,
): Promise<Value> {
    const directory = await mkdtemp(join(tmpdir(), "jujubelane-farm-"));
    const farm = await startProcess("farm", [String(options.links), String(options.unusedHosts ?? 0)], [], farmPath);
    let entry: FleetProcess | undefined;
    try {
        const names = [...Array(options.links + (options.unlinkedEndpoints ?? 0)).keys()].map(index =>
            `engine-${index + 1}`
        );
        const file = join(directory, "configuration.yaml");
        await writeFile(
            file,
            stringify({
                models: Object.fromEntries(farmModels.map(model => [model, { version: `${model}-v1` }])),
                versions: Object.fromEntries(farmModels.map(model => [`${model}-v1`, { model, weights: model }])),
                ranks: { normal: { urgency: 0, timeLimitMs: 120_000 } },
                kinds: { question: { rank: "normal" } },
                customers: {
                    [benchCustomer]: {
                        keyDigests: [computeDigest(makeCustomerKey(benchCustomer))],
                        defaultKind: "question",
                    },
                },
                endpoints: Object.fromEntries(names.map((name, index) => [
                    name,
                    {
                        host: `host-${name}`,
                        dataCentre: "here",
                        model: farmModels[index % farmModels.length],
                        checksFencing: true,
                        memoryTokens: 100_000_000,
                        maxRunning: 10_000,
                    },
                ])),
            }),
        );
        entry = await startProcess("entry", [
            ...["entry", "--data-centre", "here", "--port", "0", "--hosts", farm.address, "--config", file],
            ...["--link-key", "bench", "--log", ""],
        ]);
        const readStats = async () => await (await fetch(`${farm.address}/stats`)).json() as FarmStats;
        for (let tries = 0; tries < 100 && (await readStats()).links < options.links; tries++) {
            await sleep(100);
        }
        await sleep(settleMs);
        return await measure(entry, readStats);
    }
    finally {
        await entry?.stop();
        await farm.stop();
        await rm(directory, { recursive: true, force: true });
    }
}

interface IdleUsage {
    /** Processor time, as a share of one core. */
    readonly processorShare: number;
    readonly residentKiB: number;
    readonly linkBytesPerSecond: number;
    readonly pollBytesPerSecond: number;
}

async function measureIdleUsage(entry: FleetProcess, readStats: () => Promise<FarmStats>): Promise<IdleUsage> {
    const before = readUsage(entry.processId);
    const statsBefore = await readStats();
    await sleep(measureSeconds * millisecondsPerSecond);
    const after = readUsage(entry.processId);
    const statsAfter = await readStats();
    return {
        processorShare: (after.processorSeconds - before.processorSeconds) / measureSeconds,
        residentKiB: after.residentBytes / bytesPerKiB,
        linkBytesPerSecond: (statsAfter.linkBytes - statsBefore.linkBytes) / measureSeconds,
        pollBytesPerSecond: (statsAfter.pollBytes - statsBefore.pollBytes) / measureSeconds,
    };
}

async function measureIdleSlopes(
    per: string,
    sizes: readonly number[],
    makeOptions: (size: number) => FarmOptions,
    trafficKey: "linkBytesPerSecond" | "pollBytesPerSecond",
): Promise<readonly LinearFit[]> {
    const points: { readonly size: number; readonly usage: IdleUsage }[] = [];
    for (const size of sizes) {
        points.push({ size, usage: await runWithFarm(makeOptions(size), measureIdleUsage) });
    }
    const select = (read: (usage: IdleUsage) => number) =>
        points.map(({ size, usage }) => ({ size, value: read(usage) }));
    return [
        fitLine("entry: processor share of a core at rest", per, "cores", select(usage => usage.processorShare)),
        fitLine("entry: resident memory", per, "KiB", select(usage => usage.residentKiB)),
        fitLine(
            `entry: ${trafficKey === "linkBytesPerSecond" ? "link" : "host list"} traffic`,
            per,
            "B/s",
            select(usage => usage[trafficKey]),
        ),
    ];
}

/** Measures the cost of an idle link. */
export function measureLinks(): Promise<readonly LinearFit[]> {
    return measureIdleSlopes("idle link", [20, 80, 160, 336], links => ({ links }), "linkBytesPerSecond");
}

/** Measures the cost of an endpoint that is configured without a link, and of a host in the host list. */
export async function measureIdleEntry(): Promise<readonly LinearFit[]> {
    return [
        ...await measureIdleSlopes(
            "endpoint known without a link",
            [500, 2_000, 4_000, 7_700],
            unlinkedEndpoints => ({ links: 4, unlinkedEndpoints }),
            "linkBytesPerSecond",
        ),
        ...await measureIdleSlopes(
            "host in the host list",
            [500, 2_000, 4_000, 7_700],
            unusedHosts => ({ links: 4, unusedHosts }),
            "pollBytesPerSecond",
        ),
    ];
}

/** Sends a streaming request that stays in progress until it is destroyed. */
function startRequest(url: string, prompt: string, agent: http.Agent): http.ClientRequest {
    const request = http.request(`${url}/v1/completions`, {
        agent,
        method: "POST",
        headers: { "authorization": `Bearer ${makeCustomerKey(benchCustomer)}`, "content-type": "application/json" },
    });
    request.on("error", () => undefined);
    request.end(JSON.stringify({ model: experimentModel, prompt, max_tokens: 100, stream: true }));
    return request;
}

/** Measures the entry's memory for a request of 2,000 prompt tokens that waits for its first token. */
export async function measureInFlight(): Promise<readonly LinearFit[]> {
    const promptBytes = 8_000;
    const sizes = [250, 500, 1_000, 2_000];
    const points = await runWithFarm({ links: 4 }, async entry => {
        const agent = new http.Agent({ maxSockets: Infinity });
        const measured: DataPoint[] = [];
        let startedCount = 0;
        const requests: http.ClientRequest[] = [];
        for (const size of sizes) {
            for (; startedCount < size; startedCount++) {
                requests.push(startRequest(entry.address, `${startedCount} ${"x".repeat(promptBytes)}`, agent));
                if (startedCount % 50 === 0) {
                    await sleep(50);
                }
            }
            await sleep(settleMs);
            measured.push({ size, value: readUsage(entry.processId).residentBytes / bytesPerKiB });
        }
        requests.forEach(request => request.destroy());
        return measured;
    });
    return [fitLine("entry: resident memory", "request in flight (8 kB prompt)", "KiB", points)];
}

/** Measures processor time of entry and sidecars per streamed token, at two token rates of a stream. */
export async function measureTokens(seed: number): Promise<readonly LinearFit[]> {
    const tokensPerRequest = 250;
    const seconds = 5;
    const slopes: LinearFit[] = [];
    for (const streamRate of [60, 200]) {
        const entryPoints: DataPoint[] = [];
        const sidecarPoints: DataPoint[] = [];
        const fleet = await startSingleEntryFleet({
            engines: 4,
            engineScript: { path: fastEnginePath, args: ["5", String(streamRate)] },
        });
        try {
            for (const rate of [10, 30, 60, 100]) {
                const plan = loadPlanSchema.parse({
                    name: "tokens",
                    model: experimentModel,
                    keys: { [benchCustomer]: makeCustomerKey(benchCustomer) },
                    streams: {
                        path: {
                            rank: "normal",
                            customers: { [benchCustomer]: 1 },
                            prompt: [{ weight: 1, minTokens: 1_000, maxTokens: 4_000 }],
                            minOutputTokens: tokensPerRequest,
                            maxOutputTokens: tokensPerRequest,
                        },
                    },
                    phases: [{ name: "load", seconds, rates: { path: rate / 2 } }],
                });
                const before = readUsage(fleet.entry.processId).processorSeconds;
                const sidecarsBefore = sumProcessorSeconds(fleet.sidecars);
                const summaries = await runLoadProcesses(plan, seed, fleet.entry.address, 2);
                const tokens = summaries.reduce((sum, summary) => sum + summary.all.outputTokens, 0);
                const size = Math.round(tokens / seconds);
                entryPoints.push({
                    size,
                    value: (readUsage(fleet.entry.processId).processorSeconds - before) / seconds,
                });
                sidecarPoints.push({ size, value: (sumProcessorSeconds(fleet.sidecars) - sidecarsBefore) / seconds });
            }
        }
        finally {
            await fleet.stop();
        }
        const per = `streamed token a second (streams of ${streamRate} tokens/s, 250 tokens a request)`;
        slopes.push(fitLine("entry: processor share of a core", per, "cores", entryPoints));
        slopes.push(fitLine("sidecars: processor share of a core", per, "cores", sidecarPoints));
    }
    return slopes;
}

function sumProcessorSeconds(processes: readonly FleetProcess[]): number {
    return processes.reduce((sum, { processId }) => sum + readUsage(processId).processorSeconds, 0);
}
