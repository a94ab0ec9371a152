import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
    customerKey,
    makeHeaders,
    ReceivedAnswer,
    send,
    startDeployment,
    startTestGateway,
    TestDeployment,
    TestGateway,
} from "./support/deployment.js";
import { CrashKind } from "./support/endpointStandIn.js";
import { StoreFault } from "./support/storeStandIn.js";

/** Crashes of a request after which every gateway must know it within `knownWithinMs`. */
const allowedCrashes = 3;
const knownWithinMs = 3_000;
/** Requests known to crash endpoints that may still reach endpoints. */
const maxLaterArrivals = 3;
const minSoundShare = 0.97;
/** Time after an instance is back within which it is in use again, in milliseconds. */
const settledMs = 500;
const crashDelayMs = 60;
const intervalMs = 250;
const soundIntervalMs = 20;
/** Time in which a request that is not recognised ends three instances, in milliseconds. */
const maxCrashingMs = 5_000;

/** A request that ends each instance of the plain service that runs it. */
interface CrashingRequest {
    readonly method: "GET" | "HEAD" | "POST";
    readonly path: string;
    readonly body?: string;
    readonly isWithoutKey?: boolean;
}

interface Scenario {
    readonly request: CrashingRequest;
    readonly kind: CrashKind;
    readonly delayMs?: number;
    /** Time between two of the requests. */
    readonly spacingMs?: number;
    readonly restartDelayMs: number;
    readonly lapseDelayMs: number;
}

interface Sent {
    readonly sentAtMs: number;
    readonly status: number | undefined;
}

function wait(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

function makeRequest({ method, path, body, isWithoutKey }: CrashingRequest) {
    const headers = makeHeaders({ "x-deadline-ms": "1000" });
    if (isWithoutKey) {
        delete headers["api-key"];
    }
    return { method, path, headers, body };
}

/** Sends a request to one gateway after another, each time under another id. */
async function sendSeries(
    gateways: readonly TestGateway[],
    request: CrashingRequest,
    spacingMs: number,
    isDone: () => boolean,
): Promise<readonly Sent[]> {
    const pending: Promise<Sent>[] = [];
    for (let count = 0; !isDone(); count++) {
        const sentAtMs = performance.now();
        const answer: Promise<ReceivedAnswer | undefined> = send(
            gateways[count % gateways.length]!,
            makeRequest(request),
        ).catch(() => undefined);
        pending.push(answer.then(received => ({ sentAtMs, status: received?.status })));
        await wait(spacingMs);
    }
    return Promise.all(pending);
}

function listCrashes(deployment: TestDeployment): number[] {
    return deployment.services.flatMap(service => service.crashesAtMs).sort((left, right) => left - right);
}

function listArrivals(deployment: TestDeployment, { method, path }: CrashingRequest): number[] {
    return deployment.services.flatMap(service => service.requests)
        .filter(received => received.hasRun && received.method === method && received.path === path)
        .map(received => received.atMs);
}

async function checkScenario(scenario: Scenario): Promise<void> {
    const { request, kind, delayMs, restartDelayMs, lapseDelayMs } = scenario;
    const deployment = await startDeployment({
        engines: 0,
        services: 3,
        gateways: 3,
        lapseDelayMs,
        serviceCrashPlan: {
            kind,
            isCrashing: (received, body) =>
                received.method === request.method && received.url === request.path && body === (request.body ?? ""),
            delayMs: delayMs ?? crashDelayMs,
            restartDelayMs,
        },
    });
    let isDone = false;
    try {
        const bad = sendSeries(deployment.gateways, request, scenario.spacingMs ?? intervalMs, () => isDone);
        const sound = sendSeries(deployment.gateways, { method: "GET", path: "/look/all" }, 100, () => isDone);
        // A request that is known after fewer crashes never causes a third one.
        const endsAtMs = performance.now() + maxCrashingMs;
        while (listCrashes(deployment).length < allowedCrashes && performance.now() < endsAtMs) {
            await wait(20);
        }
        const knownAtMs = (listCrashes(deployment)[allowedCrashes - 1] ?? performance.now()) + knownWithinMs;
        await wait(knownAtMs - performance.now() + 4_000);
        isDone = true;
        const later = listArrivals(deployment, request).filter(atMs => atMs > knownAtMs);
        assert.ok(
            later.length <= maxLaterArrivals,
            `${later.length} reached instances, ${listCrashes(deployment).length} ended`,
        );
        const refused = (await bad).filter(item => item.sentAtMs > knownAtMs && item.status === 503);
        assert.ok(refused.length > 0, "requests are refused with a time to come back");
        const lastCrashMs = listCrashes(deployment).at(-1)!;
        const settled = (await sound).filter(item =>
            item.sentAtMs > Math.max(knownAtMs, lastCrashMs + restartDelayMs + settledMs)
        );
        const served = settled.filter(item => item.status === 200).length;
        assert.ok(served >= minSoundShare * settled.length, `${served} of ${settled.length} sound requests served`);
    }
    finally {
        isDone = true;
        await deployment.close();
    }
}

const get: CrashingRequest = { method: "GET", path: "/look/session-1/" };
const reset = { kind: CrashKind.Reset, restartDelayMs: 1_200, lapseDelayMs: 1_000 };

const scenarios: readonly (readonly [string, Scenario])[] = [
    ["a GET without a body; connections are reset", { request: get, ...reset }],
    ["a GET that ends all instances within moments, until they have restarted", {
        request: get,
        ...reset,
        delayMs: 30,
        spacingMs: 40,
        restartDelayMs: 3_500,
    }],
    ["a GET; instances are back at once under another id", {
        request: get,
        kind: CrashKind.Reset,
        restartDelayMs: 0,
        lapseDelayMs: 0,
    }],
    ["a GET that ends instances within milliseconds", { request: get, ...reset, delayMs: 1 }],
    ["a GET with a query", { request: { method: "GET", path: "/look/a?day=1" }, ...reset }],
    ["a HEAD", { request: { method: "HEAD", path: "/look/session-2/" }, ...reset }],
    ["an empty POST that must not run twice", { request: { method: "POST", path: "/book/1" }, ...reset }],
    ["a POST with a body", { request: { method: "POST", path: "/look/1", body: "bad" }, ...reset }],
    ["a POST with a long body", { request: { method: "POST", path: "/look/1", body: "b".repeat(19_000) }, ...reset }],
    ["a GET of a public route without a customer", {
        request: { method: "GET", path: "/open/1", isWithoutKey: true },
        ...reset,
    }],
    ["a GET; instances end within the answer", { request: get, ...reset, kind: CrashKind.WithinAnswer }],
    ["a GET; instances end right after the answer", {
        request: get,
        ...reset,
        kind: CrashKind.AfterAnswer,
        delayMs: 5,
    }],
    ["a GET; instances fall silent and refuse connections", { request: get, ...reset, kind: CrashKind.Dark }],
    ["a GET; instances fall silent, accept connections and are reset by the restart", {
        request: get,
        ...reset,
        kind: CrashKind.Hung,
    }],
    ["an empty POST that must not run twice; instances fall silent", {
        request: { method: "POST", path: "/book/2" },
        ...reset,
        kind: CrashKind.Dark,
    }],
];

describe("a plain request that crashes endpoints does not reach further ones once three have ended", {
    concurrency: 4,
}, () => {
    for (const [name, scenario] of scenarios) {
        test(name, () => checkScenario(scenario));
    }
});

describe("sound requests are not held to crash the endpoints that they happened to run on", { concurrency: 2 }, () => {
    test("a GET that everybody sends, while instances lose power one after the other and all at once", async () => {
        const deployment = await startDeployment({ engines: 0, services: 3, gateways: 3, lapseDelayMs: 300 });
        let isDone = false;
        try {
            const popular = sendSeries(
                deployment.gateways,
                { method: "GET", path: "/open/news", isWithoutKey: true },
                soundIntervalMs,
                () => isDone,
            );
            const own = sendSeries(deployment.gateways, { method: "GET", path: "/look/mine" }, 70, () => isDone);
            for (let round = 0; round < 3; round++) {
                for (const service of deployment.services) {
                    await wait(400);
                    await service.losePower(200);
                }
                await wait(300);
                await Promise.all(deployment.services.map(service => service.losePower(300)));
            }
            const endedAtMs = performance.now();
            await wait(2_000);
            isDone = true;
            for (const answers of [await popular, await own]) {
                const settled = answers.filter(item => item.sentAtMs > endedAtMs + settledMs);
                const served = settled.filter(item => item.status === 200).length;
                assert.ok(served >= minSoundShare * settled.length, `${served} of ${settled.length} served`);
            }
        }
        finally {
            isDone = true;
            await deployment.close();
        }
    });
});

describe("a plain request that is known to crash endpoints is refused", { concurrency: 2 }, () => {
    const crashing: CrashingRequest = { method: "GET", path: "/look/bad" };

    function startCrashing(gateways: number): Promise<TestDeployment> {
        return startDeployment({
            engines: 0,
            services: 3,
            gateways,
            serviceCrashPlan: {
                kind: CrashKind.Reset,
                isCrashing: received => received.url === crashing.path,
                delayMs: crashDelayMs,
                restartDelayMs: 300,
            },
        });
    }

    async function sendUntilRefused(gateways: readonly TestGateway[]): Promise<void> {
        const endsAtMs = performance.now() + maxCrashingMs;
        for (let status = 0, count = 0; status !== 503; count++) {
            assert.ok(performance.now() < endsAtMs, `not refused, ${count} sent`);
            status = (await send(gateways[count % gateways.length]!, makeRequest(crashing))).status;
            await wait(intervalMs);
        }
    }

    test("by a gateway that starts later", async () => {
        const deployment = await startCrashing(1);
        let late: TestGateway | undefined;
        try {
            await sendUntilRefused(deployment.gateways);
            await wait(settledMs);
            late = await startTestGateway("gateway-late", deployment.store.address);
            await wait(settledMs);
            const arrivals = listArrivals(deployment, crashing).length;
            assert.equal((await send(late, makeRequest(crashing))).status, 503);
            assert.equal(listArrivals(deployment, crashing).length, arrivals);
        }
        finally {
            await deployment.close();
            await late?.drain();
        }
    });

    test("by all gateways while the store is away", async () => {
        const deployment = await startCrashing(3);
        try {
            await wait(settledMs);
            deployment.store.setFault(StoreFault.Silent);
            await sendUntilRefused(deployment.gateways);
            await wait(settledMs);
            const arrivals = listArrivals(deployment, crashing).length;
            for (const gateway of deployment.gateways) {
                assert.equal((await send(gateway, makeRequest(crashing))).status, 503);
            }
            assert.equal(listArrivals(deployment, crashing).length, arrivals);
        }
        finally {
            deployment.store.setFault(StoreFault.None);
            await deployment.close();
        }
    });
});

test("one customer's crashing request is not refused to another customer", async () => {
    const otherKey = "key-of-warden";
    const path = "/look/shared/";
    const deployment = await startDeployment({
        engines: 0,
        services: 3,
        gateways: 1,
        serviceCrashPlan: {
            kind: CrashKind.Reset,
            isCrashing: received => received.headers["x-tenant"] === "planner" && received.url === path,
            delayMs: crashDelayMs,
            restartDelayMs: 300,
        },
        customers: [{ name: "planner", keys: [customerKey] }, { name: "warden", keys: [otherKey] }],
    });
    try {
        const gateway = deployment.gateways[0]!;
        const sendAs = (key: string) =>
            send(gateway, { path, headers: makeHeaders({ "api-key": key, "x-deadline-ms": "1000" }) });
        const endsAtMs = performance.now() + 10_000;
        let status = 0;
        while (status !== 503 && performance.now() < endsAtMs) {
            status = (await sendAs(customerKey)).status;
            await wait(400);
        }
        await wait(settledMs);
        assert.equal((await sendAs(customerKey)).status, 503);
        assert.equal((await sendAs(otherKey)).status, 200);
    }
    finally {
        await deployment.close();
    }
});
