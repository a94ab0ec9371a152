import assert from "node:assert/strict";
import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, test } from "node:test";
import { computeDigest } from "../../src/base/ids.js";
import { makeExpectedOutput } from "../../src/emulator/engine/tokens.js";
import { StartedProcess, startProcess } from "./processes.js";

const dataCentre = "larissa";
const key = "test-key";
const configurationFile = `
models: { demo: { version: demo-v1 } }
versions: { demo-v1: { model: demo, weights: demo-v1 } }
ranks: { urgent: { urgency: 0, timeLimitMs: 10000 } }
kinds: { question: { rank: urgent } }
customers: { planner: { keyDigests: ["${computeDigest(key)}"], defaultKind: question } }
services: { bookings: { rank: urgent, repeatable: false, timeLimitMs: 5000 } }
endpoints:
  engine-1: { host: host-1, dataCentre: ${dataCentre}, model: demo, checksFencing: true }
  booking-1: { host: host-2, dataCentre: ${dataCentre}, service: bookings, checksFencing: false }
`;

const processes: StartedProcess[] = [];
let entryUrl = "";
let serviceUrl = "";

async function start(...args: string[]): Promise<StartedProcess> {
    const started = await startProcess(...args);
    processes.push(started);
    return started;
}

async function registerHost(hostsUrl: string, name: string, address: string): Promise<void> {
    const [ip, port] = address.split(":");
    const host = { name, dataCentre, address: ip, port: Number(port), state: "live" };
    await fetch(`${hostsUrl}/hosts/${name}`, { method: "PUT", body: JSON.stringify(host) });
}

before(async () => {
    const directory = await mkdtemp(join(tmpdir(), "jujubelane-"));
    const file = join(directory, "config.yaml");
    await writeFile(file, configurationFile);
    const [hosts, engine, service] = await Promise.all([
        start("emulate", "hosts"),
        start("emulate", "engine", "--model", "demo", "--model-version", "demo-v1"),
        start("emulate", "service"),
    ]);
    serviceUrl = service.address;
    const commonFlags = ["--data-centre", dataCentre, "--port", "0", "--link-key", "k"];
    const [engineSidecar, serviceSidecar] = await Promise.all([
        start("sidecar", "--endpoint", "engine-1", "--engine", engine.address, ...commonFlags),
        start("sidecar", "--endpoint", "booking-1", "--service", service.address, ...commonFlags),
    ]);
    await registerHost(hosts.address, "host-1", engineSidecar.address);
    await registerHost(hosts.address, "host-2", serviceSidecar.address);
    const entry = await start("entry", "--hosts", hosts.address, "--config", file, ...commonFlags);
    entryUrl = entry.address;
});

after(async () => {
    for (const started of processes.reverse()) {
        await started.kill();
    }
});

function send(path: string, body: unknown): Promise<Response> {
    return fetch(`${entryUrl}${path}`, {
        method: "POST",
        headers: { authorization: `Bearer ${key}`, "content-type": "application/json" },
        body: JSON.stringify(body),
    });
}

test("a streamed prompt of 1,000 tokens passes through separate processes without loss", async () => {
    const prompt = "word".repeat(1000);
    const response = await send("/v1/completions", { model: "demo", prompt, max_tokens: 12, stream: true });
    assert.equal(response.status, 200);
    const events = (await response.text()).split("\n\n").filter(event => event.length > 0);
    assert.equal(events.at(-1), "data: [DONE]");
    const text = events.slice(0, -1)
        .map(event => (JSON.parse(event.slice("data: ".length)) as { choices: { text: string }[] }).choices[0]?.text)
        .join("");
    assert.equal(text, makeExpectedOutput(prompt, 12));
});

test("a service call reaches the service once and its answer is returned", async () => {
    const response = await send("/v1/services/bookings/crews?day=1", { crew: 7 });
    assert.equal(response.status, 200);
    assert.equal(response.headers.get("jujubelane-verdict"), "ran");
    const runs = await (await fetch(`${serviceUrl}/emulator/runs`)).json() as { path: string }[];
    assert.deepEqual(runs.map(run => run.path), ["/crews?day=1"]);
});
