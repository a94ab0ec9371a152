import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, test } from "node:test";
import { fileURLToPath } from "node:url";
import { computeDigest } from "../../src/base/ids.js";
import type { EntryStatus } from "../../src/entry/operatorRoute.js";
import { StartedProcess, startProcess } from "./processes.js";

const mainPath = fileURLToPath(new URL("../../src/main.js", import.meta.url));
const dataCentre = "galway";
const key = "operator-key";
/** The requirement: a change is in force at every process after this time at the latest. */
const propagationLimitMs = 3_000;
const endpoints = ["badges-1", "badges-2", "badges-3"];
const commonFlags = ["--data-centre", dataCentre, "--port", "0", "--link-key", "k"];

function makeConfigurationFile(limitMs: number): string {
    return `
ranks: { urgent: { urgency: 0, timeLimitMs: ${limitMs} } }
kinds: { question: { rank: urgent } }
customers: { operator: { keyDigests: ["${computeDigest(key)}"], defaultKind: question, operator: true } }
services: { badges: { rank: urgent, repeatable: false, timeLimitMs: 5000 } }
endpoints:
${
        endpoints.map(name =>
            `  ${name}: { host: ${name}, dataCentre: ${dataCentre}, service: badges, checksFencing: false }`
        )
            .join("\n")
    }
`;
}

let directory = "";
let service: StartedProcess;
let hosts: StartedProcess;
let log: StartedProcess;
const sidecars = new Map<string, StartedProcess>();
const entries: StartedProcess[] = [];

async function startSidecar(name: string): Promise<void> {
    const sidecar = await startProcess("sidecar", "--endpoint", name, "--service", service.address, ...commonFlags);
    sidecars.set(name, sidecar);
    const [address, port] = sidecar.address.split(":");
    const host = { name, dataCentre, address, port: Number(port), state: "live" };
    await fetch(`${hosts.address}/hosts/${name}`, { method: "PUT", body: JSON.stringify(host) });
}

async function startEntry(index: number): Promise<void> {
    const name = `entry-${index}`;
    const urls = ["--hosts", hosts.address, "--log-service", log.address];
    entries[index] = await startProcess("entry", "--name", name, ...urls, ...commonFlags);
}

/** Runs an operator's command; returns its exit code and its parsed JSON output. */
function runCommand(...args: string[]): Promise<{ readonly code: number; readonly data: Record<string, unknown> }> {
    return new Promise(resolve => {
        execFile(process.execPath, [mainPath, ...args, "--json"], { timeout: 20_000 }, (error, stdout, stderr) => {
            const data = stdout.length > 0 ? JSON.parse(stdout) as Record<string, unknown> : { stderr };
            resolve({ code: typeof error?.code === "number" ? error.code : 0, data });
        });
    });
}

async function publish(limitMs: number): Promise<number> {
    const file = join(directory, `${limitMs}.yaml`);
    await writeFile(file, makeConfigurationFile(limitMs));
    const result = await runCommand("config", "publish", file, "--log-service", log.address, "--author", "test");
    assert.equal(result.code, 0, JSON.stringify(result.data));
    return result.data.offset as number;
}

async function readStatus(entry: StartedProcess): Promise<EntryStatus | undefined> {
    const headers = { authorization: `Bearer ${key}` };
    const response = await fetch(`${entry.address}/operator/status`, { headers }).catch(() => undefined);
    return response?.status === 200 ? await response.json() as EntryStatus : undefined;
}

/** Waits until every entry reports a generation for itself and for every sidecar; returns the elapsed milliseconds. */
async function waitForGeneration(generation: number, timeoutMs = propagationLimitMs): Promise<number> {
    const startedMs = performance.now();
    let lastSeen: unknown;
    while (performance.now() - startedMs < timeoutMs) {
        const statuses = await Promise.all(entries.map(readStatus));
        lastSeen = statuses.map(status => [status?.generation, status?.endpoints.map(endpoint => endpoint.generation)]);
        const isInForce = statuses.every(status =>
            status?.generation === generation
            && status.endpoints.length === endpoints.length
            && status.endpoints.every(endpoint => endpoint.generation === generation)
        );
        if (isInForce) {
            return performance.now() - startedMs;
        }
        await new Promise(resolve => setTimeout(resolve, 10));
    }
    throw new Error(
        `generation ${generation} is not in force everywhere after ${timeoutMs} ms: ${JSON.stringify(lastSeen)}`,
    );
}

before(async () => {
    directory = await mkdtemp(join(tmpdir(), "jujubelane-"));
    [service, hosts, log] = await Promise.all([
        startProcess("emulate", "service"),
        startProcess("emulate", "hosts"),
        startProcess("emulate", "log"),
    ]);
    await Promise.all(endpoints.map(startSidecar));
    await Promise.all([startEntry(0), startEntry(1)]);
});

after(async () => {
    for (const started of [...entries, ...sidecars.values(), log, hosts, service]) {
        await started?.kill();
    }
});

test("a published change is in force at 2 entries and 3 sidecars within 3 s", async t => {
    await waitForGeneration(await publish(1_000), 10_000);
    const times: number[] = [];
    for (let round = 1; round <= 5; round++) {
        const generation = await publish(1_000 + round);
        times.push(Math.round(await waitForGeneration(generation)));
    }
    t.diagnostic(`ms after the publisher received the offset: ${times.join(", ")}`);
    const urls = entries.flatMap(entry => ["--entry", entry.address]);
    const result = await runCommand("config", "status", ...urls, "--key", key, "--log-service", log.address);
    assert.equal(result.code, 0);
    assert.equal(result.data.allNewest, true);
    assert.equal((result.data.processes as unknown[]).length, 2 + 2 * endpoints.length);
});

test("the configuration stays in force while the log is down and each process is replaced, and after the log restarts empty", async () => {
    const generation = (await readStatus(entries[0]!))!.generation;
    await log.kill();
    for (const index of entries.keys()) {
        await entries[index]!.kill();
        await startEntry(index);
        await waitForGeneration(generation, 10_000);
    }
    for (const name of endpoints) {
        await sidecars.get(name)!.kill();
        await startSidecar(name);
        await waitForGeneration(generation, 10_000);
    }
    for (const index of entries.keys()) {
        await entries[index]!.kill();
        await startEntry(index);
        await waitForGeneration(generation, 10_000);
    }
    // The restarted log service has the same address but no records, and its offsets start at 0 again.
    log = await startProcess("emulate", "log", "--port", new URL(log.address).port);
    await waitForGeneration(generation, 1_000);
    const records = `${log.address}/streams/config/records?waitMs=8000`;
    const page = await (await fetch(records)).json() as { records: unknown[] };
    assert.ok(page.records.length > 0, "no entry wrote a checkpoint to the empty log");
    const next = await publish(2_000);
    assert.ok(next > generation, `generation ${next} after ${generation}`);
    await waitForGeneration(next);
});

test("an operator who drains an endpoint sees it leave at both entries within 3 s", async () => {
    const args = ["--entry", entries[0]!.address, "--key", key];
    assert.equal((await runCommand("drain", endpoints[2]!, ...args)).code, 0);
    const startedMs = performance.now();
    // Starting a command takes up to 2 s on a busy machine, so both entries are queried in parallel, at least once.
    await Promise.all(entries.map(async entry => {
        let leaving: unknown[];
        do {
            const result = await runCommand("drain", "--entry", entry.address, "--key", key);
            leaving = result.data.leaving as unknown[];
        }
        while (leaving.length === 0 && performance.now() - startedMs < propagationLimitMs);
        assert.deepEqual(leaving.map(item => (item as { endpoint: string }).endpoint), [endpoints[2]]);
    }));
    assert.equal((await runCommand("drain", "none", ...args)).code, 4);
    assert.equal((await runCommand("status", "--entry", entries[0]!.address, "--key", "wrong")).code, 4);
});
