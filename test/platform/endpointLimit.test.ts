import assert from "node:assert/strict";
import { describe, test } from "node:test";
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
import { EndpointStandIn } from "./support/endpointStandIn.js";

/** Time from the first answer that names a limit until all gateways keep to it together. */
const inForceMs = 3_000;
const windowMs = 4_000;
const allowedFactor = 1.5;
const allowedExtra = 5;

interface Sent {
    readonly gateway: number;
    readonly atMs: number;
    readonly tookMs: number;
    readonly answer: ReceivedAnswer | undefined;
}

function wait(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

async function sendSeries(
    gateways: readonly TestGateway[],
    makeRequest: () => Parameters<typeof send>[1],
    intervalMs: number,
    durationMs: number,
): Promise<readonly Sent[]> {
    const startedAtMs = performance.now();
    const pending: Promise<Sent>[] = [];
    for (let count = 0; performance.now() - startedAtMs < durationMs; count++) {
        const atMs = performance.now();
        const gateway = count % gateways.length;
        pending.push(
            send(gateways[gateway]!, makeRequest()).catch(() => undefined)
                .then(answer => ({ gateway, atMs, tookMs: performance.now() - atMs, answer })),
        );
        await wait(intervalMs);
    }
    return Promise.all(pending);
}

/** Returns the largest number of requests that reached an endpoint within any window, from a time on. */
function countMostInWindow(endpoint: EndpointStandIn, fromMs: number): number {
    const times = endpoint.requests.map(request => request.atMs).filter(atMs => atMs >= fromMs);
    return Math.max(0, ...times.map(start => times.filter(atMs => atMs >= start && atMs < start + windowMs).length));
}

function checkLimit(endpoint: EndpointStandIn, perSecond: number, namedAtMs: number): void {
    const most = countMostInWindow(endpoint, namedAtMs + inForceMs);
    const allowed = allowedFactor * perSecond * windowMs / 1_000 + allowedExtra;
    assert.ok(most <= allowed, `${endpoint.id} got ${most} requests in ${windowMs} ms; ${allowed} are allowed`);
}

function makeDraft(): Parameters<typeof send>[1] {
    const headers = makeModelHeaders();
    return { method: "POST", path: "/draft/1", headers, body: `prompt ${headers["x-request-id"]}` };
}

async function runWithDeployment(
    engines: number,
    services: number,
    run: (deployment: TestDeployment) => Promise<void>,
): Promise<void> {
    const deployment = await startDeployment({ engines, services, gateways: 3 });
    try {
        await run(deployment);
    }
    finally {
        await deployment.close();
    }
}

describe("a limit that an endpoint names", { concurrency: 3 }, () => {
    test("an engine gets no more than its limit from all gateways together, also from one that starts later, and the others serve", () =>
        runWithDeployment(4, 1, async deployment => {
            const limited = deployment.engines.slice(0, 2);
            limited.forEach(engine => engine.setRequestLimit(1));
            const namedAtMs = performance.now();
            const first = sendSeries(deployment.gateways, makeDraft, 30, 9_000);
            await wait(4_000);
            const late = await startTestGateway("gateway-late", deployment.store.address);
            try {
                await wait(1_000);
                const sent = [...await sendSeries([late], makeDraft, 60, 4_000), ...await first];
                limited.forEach(engine => checkLimit(engine, 1, namedAtMs));
                const served = sent.filter(item => item.answer?.status === 200).length;
                assert.ok(served >= 0.99 * sent.length, `${served} of ${sent.length} served`);
            }
            finally {
                await late.drain();
            }
        }));

    test("endpoints of a plain service that all name limits get no more, what exceeds them is refused at once, and no gateway goes without", () =>
        runWithDeployment(1, 2, async deployment => {
            deployment.services.forEach(service => service.setRequestLimit(2));
            const namedAtMs = performance.now();
            const makeLook = () => ({ path: "/look/1", headers: makeHeaders({ "x-deadline-ms": "1500" }) });
            const sent = await sendSeries(deployment.gateways, makeLook, 60, 9_000);
            deployment.services.forEach(service => checkLimit(service, 2, namedAtMs));
            const later = sent.filter(item => item.atMs > namedAtMs + inForceMs);
            const refused = later.filter(item => item.answer?.status === 503);
            assert.ok(refused.every(item => item.answer!.headers["retry-after"] !== undefined));
            assert.equal(later.filter(item => item.answer?.status === 504).length, 0, "held until the deadline");
            const servedBy = (gateway: number) =>
                later.filter(item => item.gateway === gateway && item.answer?.status === 200).length;
            const counts = deployment.gateways.map((unused, index) => servedBy(index));
            assert.ok(counts.every(count => count > 0), `served by gateway: ${counts.join(", ")}`);
            // Six seconds of four requests a second are allowed; a good part of them must be used.
            const served = counts.reduce((sum, count) => sum + count, 0);
            assert.ok(served >= 12, `${served} served of about 24 that the endpoints accept`);
        }));

    test("an endpoint that names no limit any more is used as before", () =>
        runWithDeployment(1, 1, async deployment => {
            const [service] = deployment.services;
            service!.setRequestLimit(1);
            const makeLook = () => ({ path: "/look/1", headers: makeHeaders({ "x-deadline-ms": "1500" }) });
            await sendSeries(deployment.gateways, makeLook, 100, 4_500);
            service!.setRequestLimit(undefined);
            await sendSeries(deployment.gateways, makeLook, 100, 2_500);
            const sent = await sendSeries(deployment.gateways, makeLook, 50, 1_000);
            assert.ok(sent.every(item => item.answer?.status === 200), "all served once the limit has ended");
        }));
});
