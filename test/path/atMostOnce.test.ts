import assert from "node:assert/strict";
import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, test } from "node:test";
import { computeDigest, makeId } from "../../src/base/ids.js";
import { StartedProcess, startProcess } from "./processes.js";

const dataCentre = "larissa";
const apiKey = "test-key";
const serviceDelayMs = 400;
const serviceTimeLimitMs = 2_500;
const timeoutMs = 10_000;

/** One of two separate paths from customers to the shared service: an entry that is linked to one sidecar only. */
interface Route {
    readonly endpoint: string;
    entry: StartedProcess;
    sidecar: StartedProcess;
    startEntry(): Promise<void>;
    startSidecar(): Promise<void>;
}

interface Answer {
    readonly status: number;
    readonly verdict: string | null;
    readonly replayed: boolean;
    readonly body: string;
}

const processes = new Set<StartedProcess>();
let log: StartedProcess;
let service: StartedProcess;
let routes: readonly [Route, Route];

async function start(...args: string[]): Promise<StartedProcess> {
    const started = await startProcess(...args);
    processes.add(started);
    return started;
}

async function kill(started: StartedProcess): Promise<void> {
    processes.delete(started);
    await started.kill();
}

function getPort(started: StartedProcess): string {
    return /:(\d+)$/.exec(started.address)?.[1] ?? "0";
}

function makeConfiguration(endpoint: string): string {
    return `
ranks: { urgent: { urgency: 0, timeLimitMs: 10000 } }
kinds: { booking: { rank: urgent } }
customers: { kiosk: { keyDigests: ["${computeDigest(apiKey)}"], defaultKind: booking } }
services: { bookings: { rank: urgent, repeatable: false, timeLimitMs: ${serviceTimeLimitMs} } }
endpoints:
  ${endpoint}: { host: ${endpoint}, dataCentre: ${dataCentre}, service: bookings, checksFencing: false }
`;
}

const startLog = (port = "0") => start("emulate", "log", "--port", port);
const startService = (port = "0") => start("emulate", "service", "--port", port, "--delay-ms", `${serviceDelayMs}`);

async function startRoute(endpoint: string, hosts: StartedProcess, directory: string): Promise<Route> {
    const file = join(directory, `${endpoint}.yaml`);
    await writeFile(file, makeConfiguration(endpoint));
    const common = ["--data-centre", dataCentre, "--link-key", "k"];
    const startSidecar = (port: string) =>
        start("sidecar", ...common, "--port", port, "--endpoint", endpoint, "--service", service.address, ...[
            ...["--log-service", log.address, "--claim-partitions", "2"],
            ...["--claim-window-ms", "3600000", "--claim-key-ahead-ms", "0"],
        ]);
    const startEntry = (port: string) =>
        start("entry", ...common, "--port", port, "--hosts", hosts.address, "--config", file, "--name", endpoint);
    const sidecar = await startSidecar("0");
    const host = { name: endpoint, dataCentre, address: "127.0.0.1", port: Number(getPort(sidecar)), state: "live" };
    await fetch(`${hosts.address}/hosts/${endpoint}`, { method: "PUT", body: JSON.stringify(host) });
    const route: Route = {
        endpoint,
        sidecar,
        entry: await startEntry("0"),
        async startEntry() {
            route.entry = await startEntry(getPort(route.entry));
        },
        async startSidecar() {
            route.sidecar = await startSidecar(getPort(route.sidecar));
        },
    };
    return route;
}

before(async () => {
    const directory = await mkdtemp(join(tmpdir(), "jujubelane-"));
    const hosts = await start("emulate", "hosts");
    [log, service] = await Promise.all([startLog(), startService()]);
    routes = await Promise.all([startRoute("booking-1", hosts, directory), startRoute("booking-2", hosts, directory)]);
});

after(async () => {
    await Promise.all([...processes].map(started => started.kill()));
});

const wait = (durationMs: number) => new Promise(resolve => setTimeout(resolve, durationMs));

/** Sends a booking. A broken connection is returned as an answer without a verdict, which is what the customer sees. */
async function send(route: Route, key: string | undefined, body = key): Promise<Answer> {
    try {
        const response = await fetch(`${route.entry.address}/v1/services/bookings/crews`, {
            method: "POST",
            headers: { "authorization": `Bearer ${apiKey}`, ...(key && { "idempotency-key": key }) },
            body,
            signal: AbortSignal.timeout(timeoutMs),
        });
        return {
            status: response.status,
            verdict: response.headers.get("jujubelane-verdict"),
            replayed: response.headers.get("jujubelane-replayed") === "true",
            body: await response.text(),
        };
    }
    catch (error) {
        return { status: 0, verdict: null, replayed: false, body: String(error) };
    }
}

/** Repeats a booking until its answer is final or the time-out passes. */
async function sendUntil(route: Route, key: string, isFinal: (answer: Answer) => boolean): Promise<Answer> {
    const endMs = performance.now() + timeoutMs;
    for (;;) {
        const answer = await send(route, key);
        if (isFinal(answer) || performance.now() > endMs) {
            return answer;
        }
        await wait(50);
    }
}

async function countRuns(key: string): Promise<number> {
    const runs = await (await fetch(`${service.address}/emulator/runs`)).json() as { body: string }[];
    return runs.filter(run => run.body === key).length;
}

async function waitForRun(key: string): Promise<void> {
    const endMs = performance.now() + timeoutMs;
    while (await countRuns(key) === 0) {
        assert.ok(performance.now() < endMs, "the call did not reach the service");
        await wait(10);
    }
}

function setLogFaults(faults: Record<string, unknown>): Promise<Response> {
    return fetch(`${log.address}/emulator/faults`, { method: "PUT", body: JSON.stringify(faults) });
}

/** Sends bookings with new keys until one succeeds, which shows that a restarted process serves again. */
async function waitForService(route: Route): Promise<void> {
    const endMs = performance.now() + timeoutMs;
    while ((await send(route, makeId())).status !== 200) {
        assert.ok(performance.now() < endMs, `${route.endpoint} does not serve requests again`);
        await wait(100);
    }
}

/** When the fault is injected: while the claim is being appended to the log, or while the service runs the call. */
enum InjectionPoint {
    Claim = "claim",
    Call = "call",
}

async function countAppends(): Promise<number> {
    const counters = await (await fetch(`${log.address}/emulator/counters`)).json() as { appends: number };
    return counters.appends;
}

async function waitForInjectionPoint(
    injectionPoint: InjectionPoint,
    key: string,
    appendsBefore: number,
): Promise<void> {
    if (injectionPoint === InjectionPoint.Call) {
        return waitForRun(key);
    }
    const endMs = performance.now() + timeoutMs;
    while (await countAppends() === appendsBefore) {
        assert.ok(performance.now() < endMs, "the claim did not reach the log");
        await wait(10);
    }
}

interface FaultCase {
    readonly name: string;
    readonly injectionPoint: InjectionPoint;
    readonly inject: (route: Route) => Promise<void> | void;
    /** Removes the fault after the second attempt. */
    readonly repair: (route: Route) => Promise<void> | void;
    /** Allowed verdicts of the second attempt, which goes to the other sidecar during the fault. */
    readonly allowedDuring: readonly string[];
    /** Allowed numbers of runs once the fault is removed. */
    readonly allowedRuns: readonly number[];
    /** Allowed verdicts of the other sidecar's last answer; attempts are repeated until the first of them arrives. */
    readonly allowedAfter: readonly string[];
}

const cases: readonly FaultCase[] = [
    {
        name: "the sidecar is killed while it claims",
        injectionPoint: InjectionPoint.Claim,
        inject: route => kill(route.sidecar),
        repair: route => route.startSidecar(),
        allowedDuring: ["may-have-run"],
        allowedRuns: [0],
        allowedAfter: ["may-have-run"],
    },
    {
        name: "the sidecar is killed while the call runs",
        injectionPoint: InjectionPoint.Call,
        inject: route => kill(route.sidecar),
        repair: route => route.startSidecar(),
        allowedDuring: ["may-have-run"],
        allowedRuns: [1],
        allowedAfter: ["may-have-run"],
    },
    {
        name: "the sidecar is paused while it claims and resumed after the limit",
        injectionPoint: InjectionPoint.Claim,
        inject: route => void route.sidecar.child.kill("SIGSTOP"),
        repair: route => void route.sidecar.child.kill("SIGCONT"),
        allowedDuring: ["may-have-run"],
        // The resumed sidecar releases its claim, so the customer's next attempt runs.
        allowedRuns: [1],
        allowedAfter: ["ran"],
    },
    {
        name: "the sidecar is paused while the call runs and resumed after the limit",
        injectionPoint: InjectionPoint.Call,
        inject: route => void route.sidecar.child.kill("SIGSTOP"),
        repair: route => void route.sidecar.child.kill("SIGCONT"),
        allowedDuring: ["may-have-run"],
        allowedRuns: [1],
        allowedAfter: ["ran", "may-have-run"],
    },
    {
        name: "the entry is killed while the sidecar claims",
        injectionPoint: InjectionPoint.Claim,
        inject: route => kill(route.entry),
        repair: route => route.startEntry(),
        allowedDuring: ["ran"],
        allowedRuns: [1],
        allowedAfter: ["ran"],
    },
    {
        name: "the entry is killed while the call runs",
        injectionPoint: InjectionPoint.Call,
        inject: route => kill(route.entry),
        repair: route => route.startEntry(),
        allowedDuring: ["ran"],
        allowedRuns: [1],
        allowedAfter: ["ran"],
    },
];

for (const { name, injectionPoint, inject, repair, allowedDuring, allowedRuns, allowedAfter } of cases) {
    test(`a booking runs at most once when ${name} and the customer retries through the other entry`, async () => {
        const [faulty, other] = routes;
        const key = makeId();
        await setLogFaults({ answerDelayMs: injectionPoint === InjectionPoint.Claim ? 400 : 0 });
        const appendsBefore = await countAppends();
        const first = send(faulty, key);
        await waitForInjectionPoint(injectionPoint, key, appendsBefore);
        await inject(faulty);
        await setLogFaults({ answerDelayMs: 0 });
        const second = await send(other, key);
        await repair(faulty);
        const firstAnswer = await first;
        const last = await sendUntil(other, key, answer => answer.verdict === allowedAfter[0]);
        await waitForService(faulty);
        assert.ok(allowedDuring.includes(second.verdict ?? ""), `during the fault: ${JSON.stringify(second)}`);
        assert.ok(allowedAfter.includes(last.verdict ?? ""), `after the fault: ${JSON.stringify(last)}`);
        const count = await countRuns(key);
        assert.ok(allowedRuns.includes(count), `${count} runs`);
        assert.ok(firstAnswer.verdict !== "not-run" || second.verdict !== "not-run" || count === 0);
    });
}

test("one key through two entries and sidecars at once runs once and both customers get the answer", async () => {
    const key = makeId();
    const answers = await Promise.all([send(routes[0], key), send(routes[1], key), send(routes[0], key)]);
    assert.equal(await countRuns(key), 1);
    assert.deepEqual(answers.map(answer => answer.status), [200, 200, 200]);
    assert.equal(new Set(answers.map(answer => answer.body)).size, 1);
    assert.equal(answers.filter(answer => !answer.replayed).length, 1);
});

test("a claim append that is answered late, lost or duplicated leads to one run", async () => {
    for (const faults of [{ lostAnswers: 1 }, { lostAppends: 1 }, { duplicatedAppends: 2 }, { answerDelayMs: 300 }]) {
        const key = makeId();
        await setLogFaults(faults);
        const answers = await Promise.all([send(routes[0], key), send(routes[1], key)]);
        await setLogFaults({ lostAnswers: 0, lostAppends: 0, duplicatedAppends: 0, answerDelayMs: 0 });
        const label = `${JSON.stringify(faults)}: ${JSON.stringify(answers)}`;
        assert.deepEqual(answers.map(answer => answer.verdict), ["ran", "ran"], label);
        assert.equal(await countRuns(key), 1, label);
    }
});

test("a booking whose service is killed while it runs is not run again by the restarted one", async () => {
    const key = makeId();
    const first = send(routes[0], key);
    await waitForRun(key);
    await kill(service);
    assert.equal((await first).verdict, "may-have-run");
    service = await startService(getPort(service));
    assert.equal((await send(routes[0], key)).verdict, "may-have-run");
    assert.equal((await send(routes[1], key)).verdict, "may-have-run");
    assert.equal(await countRuns(key), 0);
    await waitForService(routes[0]);
});

test("a booking without a key is dispatched once, also when its sidecar is killed while it runs", async () => {
    const body = makeId();
    const sent = send(routes[0], undefined, body);
    await waitForRun(body);
    await kill(routes[0].sidecar);
    await routes[0].startSidecar();
    assert.equal((await sent).verdict, "may-have-run");
    await waitForService(routes[0]);
    assert.equal(await countRuns(body), 1);
});

test("with the log down a new booking is refused as not run; a completed one is replayed, also after the log restarts empty", async () => {
    const completedKey = makeId();
    assert.equal((await send(routes[0], completedKey)).verdict, "ran");
    await kill(log);
    const refusedKey = makeId();
    const startedMs = performance.now();
    const answer = await send(routes[0], refusedKey);
    assert.deepEqual([answer.status, answer.verdict], [503, "not-run"]);
    assert.ok(performance.now() - startedMs < serviceTimeLimitMs);
    assert.equal((await send(routes[0], completedKey)).replayed, true);
    // The restarted log is empty and its offsets start at 0.
    log = await startLog(getPort(log));
    const otherAnswer = await sendUntil(routes[1], completedKey, end => end.body.includes("key_expired"));
    assert.equal(otherAnswer.verdict, "not-run");
    assert.equal((await send(routes[0], completedKey)).replayed, true);
    assert.equal(await countRuns(completedKey), 1);
    assert.equal(await countRuns(refusedKey), 0);
    await waitForService(routes[0]);
    await waitForService(routes[1]);
});
