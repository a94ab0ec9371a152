import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { LogEvent } from "../../src/base/logEvents.js";
import {
    makeHeaders,
    makeModelHeaders,
    ReceivedAnswer,
    send,
    startDeployment,
    startTestGateway,
    TestDeployment,
    TestGateway,
} from "./support/deployment.js";
import { EndpointFault, EndpointStandIn } from "./support/endpointStandIn.js";
import { StoreFault } from "./support/storeStandIn.js";

/** Time after the first notice from which no request may arrive, in milliseconds. */
const drainMs = 500;
const leavingHeaders = { "server-leaving": "1" };
const firstBornMs = 1_700_000_000_000;

interface Sent {
    readonly tookMs: number;
    readonly answer: ReceivedAnswer | undefined;
}

function wait(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

function makeLook(): Parameters<typeof send>[1] {
    return { path: "/look/1", headers: makeHeaders() };
}

function makeDraft(): Parameters<typeof send>[1] {
    const headers = makeModelHeaders();
    return { method: "POST", path: "/draft/1", headers, body: `prompt ${headers["x-request-id"]}` };
}

async function sendSeries(
    gateways: readonly TestGateway[],
    makeRequest: () => Parameters<typeof send>[1],
    durationMs: number,
): Promise<readonly Sent[]> {
    const startedAtMs = performance.now();
    const pending: Promise<Sent>[] = [];
    for (let count = 0; performance.now() - startedAtMs < durationMs; count++) {
        const atMs = performance.now();
        pending.push(
            send(gateways[count % gateways.length]!, makeRequest()).catch(() => undefined)
                .then(answer => ({ tookMs: performance.now() - atMs, answer })),
        );
        await wait(20);
    }
    return Promise.all(pending);
}

/** Lists when requests that were meant for an endpoint arrived there, from a time on. */
function listArrivals({ id, requests }: EndpointStandIn, fromMs: number): readonly number[] {
    return requests.filter(request => request.headers["x-expect-instance"] === id && request.atMs >= fromMs)
        .map(request => request.atMs);
}

/** Checks that nothing arrives later than the notice period after the first answer with the notice. */
function checkNoLateArrivals(endpoint: EndpointStandIn, noticedAtMs: number): void {
    const first = endpoint.requests.find(request => request.atMs >= noticedAtMs)?.atMs;
    assert.ok(first !== undefined, "an answer has announced that the endpoint leaves");
    const late = listArrivals(endpoint, first + drainMs);
    assert.equal(
        late.length,
        0,
        `arrived ${late.map(atMs => Math.round(atMs - first)).join(", ")} ms after the notice`,
    );
}

function checkShareAnswered(sent: readonly Sent[], share: number): void {
    const answered = sent.filter(item => item.answer?.status === 200).length;
    assert.ok(answered >= share * sent.length, `${answered} of ${sent.length} answered`);
}

async function runWithDeployment(
    options: Parameters<typeof startDeployment>[0],
    run: (deployment: TestDeployment) => Promise<void>,
): Promise<void> {
    const deployment = await startDeployment(options);
    try {
        await run(deployment);
    }
    finally {
        deployment.store.setFault(StoreFault.None);
        await deployment.close();
    }
}

/** An answer by which an endpoint announces that it leaves. */
interface AnswerCase {
    readonly name: string;
    readonly fault?: EndpointFault;
    readonly isStream?: boolean;
    readonly isMisdirected?: boolean;
}

const answerCases: readonly AnswerCase[] = [
    { name: "status 200" },
    { name: "status 500", fault: EndpointFault.Error },
    { name: "status 503", fault: EndpointFault.Unavailable },
    { name: "status 503 that says not executed", fault: EndpointFault.Full },
    { name: "status 421", isMisdirected: true },
    { name: "the head of a stream", isStream: true },
];

type FailureRun = (deployment: TestDeployment, leaving: EndpointStandIn, answerCase: AnswerCase) => Promise<void>;

/** Makes an endpoint leave. Returns the time from which its answers say so. */
function startLeaving(
    deployment: TestDeployment,
    leaving: EndpointStandIn,
    { fault, isMisdirected }: AnswerCase,
): number {
    leaving.setNotice(leavingHeaders, fault);
    if (isMisdirected) {
        // A registration that is left over names the address of the leaving endpoint. Its requests are answered 421.
        deployment.store.put("keyed.servers", "desk-gone", {
            service: "desk",
            addr: leaving.address,
            zone: "a",
            slots: 800,
            state: "ready",
            born: firstBornMs,
        });
    }
    return performance.now();
}

const failureRuns: Readonly<Record<string, FailureRun>> = {
    async "another gateway"(deployment, leaving, answerCase) {
        const noticedAtMs = startLeaving(deployment, leaving, answerCase);
        const sent = await sendSeries(deployment.gateways, answerCase.isStream ? makeDraft : makeLook, 1_500);
        checkNoLateArrivals(leaving, noticedAtMs);
        checkShareAnswered(sent, 0.97);
    },
    async "a gateway started in between"(deployment, leaving, answerCase) {
        const makeRequest = answerCase.isStream ? makeDraft : makeLook;
        const noticedAtMs = startLeaving(deployment, leaving, answerCase);
        const first = await sendSeries(deployment.gateways, makeRequest, 800);
        const late = await startTestGateway("gateway-late", deployment.store.address);
        try {
            const sent = [...first, ...await sendSeries([late], makeRequest, 1_200)];
            checkNoLateArrivals(leaving, noticedAtMs);
            checkShareAnswered(sent, 0.97);
        }
        finally {
            await late.drain();
        }
    },
    async "the store away, the registration says ready, then it is gone and comes back"(
        deployment,
        leaving,
        answerCase,
    ) {
        const makeRequest = answerCase.isStream ? makeDraft : makeLook;
        const service = answerCase.isStream ? "models" : "desk";
        const noticedAtMs = startLeaving(deployment, leaving, answerCase);
        if (answerCase.isMisdirected) {
            await wait(400);
        }
        deployment.store.setFault(StoreFault.Reset);
        const sent = await sendSeries(deployment.gateways, makeRequest, 1_200);
        deployment.store.remove("keyed.servers", leaving.id);
        deployment.store.setFault(StoreFault.None);
        await wait(2_600);
        deployment.register(leaving, service, { seq: 9 });
        await wait(600);
        const later = await sendSeries(deployment.gateways, makeRequest, 600);
        checkNoLateArrivals(leaving, noticedAtMs);
        checkShareAnswered([...sent, ...later], 0.97);
    },
    async "the same id again"(deployment, leaving, answerCase) {
        const makeRequest = answerCase.isStream ? makeDraft : makeLook;
        const noticedAtMs = startLeaving(deployment, leaving, answerCase);
        await sendSeries(deployment.gateways, makeRequest, 1_200);
        checkNoLateArrivals(leaving, noticedAtMs);
        leaving.setNotice({});
        deployment.store.remove("keyed.servers", "desk-gone");
        deployment.register(leaving, answerCase.isStream ? "models" : "desk", { born: firstBornMs + 5_000 });
        const againAtMs = performance.now();
        await wait(800);
        const sent = await sendSeries(deployment.gateways, makeRequest, 800);
        assert.ok(listArrivals(leaving, againAtMs).length > 0, "the new incarnation gets requests");
        checkShareAnswered(sent, 0.97);
    },
};

for (const [failure, runFailure] of Object.entries(failureRuns)) {
    describe(`an endpoint that leaves gets nothing new; ${failure}`, { concurrency: 3 }, () => {
        for (const answerCase of answerCases) {
            test(`announced by ${answerCase.name}`, () =>
                runWithDeployment({ engines: 3, services: 3, gateways: 2 }, async deployment => {
                    const endpoints = answerCase.isStream ? deployment.engines : deployment.services;
                    // Gateways fill engines in orders of their own, and leave others without requests at a low load.
                    await sendSeries(deployment.gateways, answerCase.isStream ? makeDraft : makeLook, 300);
                    const byUse = [...endpoints].sort((left, right) => right.requests.length - left.requests.length);
                    await runFailure(deployment, byUse[0]!, answerCase);
                }));
        }
    });
}

describe("when no endpoint is left", { concurrency: 3 }, () => {
    for (const count of [1, 3]) {
        test(`requests are refused at once and none waits for its deadline; endpoints of the service: ${count}`, () =>
            runWithDeployment({ engines: 1, services: count, gateways: 2 }, async deployment => {
                deployment.services.forEach(service => service.setNotice(leavingHeaders));
                const noticedAtMs = performance.now();
                await sendSeries(deployment.gateways, makeLook, 600);
                const sent = await sendSeries(deployment.gateways, makeLook, 600);
                deployment.services.filter(service => listArrivals(service, noticedAtMs).length > 0)
                    .forEach(service => checkNoLateArrivals(service, noticedAtMs));
                assert.ok(sent.every(item => item.answer?.status === 503), "refused");
                assert.ok(sent.every(item => item.tookMs < 500), `${Math.max(...sent.map(item => item.tookMs))} ms`);
                assert.ok(sent.every(item => Number(item.answer!.headers["retry-after"]) <= 1));
            }));
    }

    test("requests that wait when the last one announces it are refused then", () =>
        runWithDeployment({ engines: 1, services: 1, gateways: 2 }, async deployment => {
            const [service] = deployment.services;
            service!.setNotice({}, EndpointFault.Slow);
            // More than the endpoint's places, so that some wait however slow the machine is.
            const pending = Promise.all(
                Array.from({ length: 60 }, () => sendSeries(deployment.gateways.slice(0, 1), makeLook, 1)),
            );
            await wait(300);
            service!.setNotice(leavingHeaders);
            const sent = (await pending).flat();
            assert.ok(sent.every(item => item.answer?.status === 200 || item.answer?.status === 503));
            const waited = sent.filter(item => item.answer?.status === 503);
            assert.ok(waited.length > 0 && waited.every(item => item.tookMs < 1_500), "none waits for its deadline");
        }));
});

describe("a full endpoint", { concurrency: 3 }, () => {
    for (const fault of [EndpointFault.Full, EndpointFault.Unavailable]) {
        for (const store of [StoreFault.None, StoreFault.Reset]) {
            test(`gets nothing until the end that its 503 names: ${fault}, store fault ${store}`, () =>
                runWithDeployment({ engines: 1, services: 2, gateways: 2 }, async deployment => {
                    const [full] = deployment.services;
                    full!.setNotice({ "retry-after": "1.8" }, fault);
                    const fromMs = performance.now();
                    deployment.store.setFault(store);
                    const pending = sendSeries(deployment.gateways, makeLook, 3_000);
                    await wait(1_000);
                    full!.setNotice({});
                    const sent = await pending;
                    const arrivals = listArrivals(full!, fromMs);
                    const early = arrivals.filter(atMs => atMs > arrivals[0]! + 500 && atMs < arrivals[0]! + 1_800);
                    // Each gateway may learn of it by an answer of its own.
                    assert.equal(early.length, 0, `${early.length} requests before the end`);
                    assert.ok(arrivals.some(atMs => atMs > arrivals[0]! + 1_800), "it is used again after the end");
                    checkShareAnswered(sent, 0.97);
                }));
        }
    }

    test("that is alone: who can wait for it waits and is answered, who cannot is refused at once with the time", () =>
        runWithDeployment({ engines: 1, services: 1, gateways: 1 }, async deployment => {
            const [service] = deployment.services;
            service!.setNotice({ "retry-after": "1.2" }, EndpointFault.Full);
            const first = send(deployment.gateways[0]!, makeLook());
            await wait(200);
            service!.setNotice({});
            const [patient, hurried] = await Promise.all(["3000", "600"].map(async deadline => {
                const atMs = performance.now();
                const headers = makeHeaders({ "x-deadline-ms": deadline });
                const answer = await send(deployment.gateways[0]!, { path: "/look/1", headers });
                return { answer, tookMs: performance.now() - atMs };
            }));
            assert.equal((await first).status, 200);
            assert.equal(patient!.answer.status, 200);
            assert.ok(patient!.tookMs > 800, `answered after ${patient!.tookMs} ms`);
            assert.equal(hurried!.answer.status, 503);
            assert.ok(hurried!.tookMs < 300, `refused after ${hurried!.tookMs} ms`);
            assert.ok(Number(hurried!.answer.headers["retry-after"]) <= 0.2, "a third of the time left");
            const logged = deployment.gateways[0]!.lines.filter(line => line.event === LogEvent.EndpointNoticeBegan);
            assert.equal(logged.length, 1);
        }));
});
