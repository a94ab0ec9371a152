import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { LogEvent } from "../../src/base/logEvents.js";
import {
    makeConfiguration,
    makeHeaders,
    send,
    startDeployment,
    TestDeployment,
    waitUntil,
} from "./support/deployment.js";
import { EndpointStandIn } from "./support/endpointStandIn.js";

const coldPerSecond = 4;
const allowed = 1.5 * coldPerSecond + 5;
const windowMs = 1_000;

function wait(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

function makeColdConfiguration(): object {
    const { services } = makeConfiguration() as { services: { name: string }[] };
    return makeConfiguration(1, {
        services: services.map(item => ({ ...item, cold_start_s: 20, cold_per_s: coldPerSecond })),
    });
}

interface Told {
    readonly status: number;
    readonly tookMs: number;
}

async function sendSeries(deployment: TestDeployment, intervalMs: number, durationMs: number): Promise<Told[]> {
    const answers: Promise<Told>[] = [];
    const endMs = performance.now() + durationMs;
    for (let count = 0; performance.now() < endMs; count++) {
        const gateway = deployment.gateways[count % deployment.gateways.length]!;
        const sentAtMs = performance.now();
        answers.push(
            send(gateway, { path: "/look/1", headers: makeHeaders() })
                .then(({ status }) => ({ status, tookMs: performance.now() - sentAtMs })),
        );
        await wait(intervalMs);
    }
    return Promise.all(answers);
}

/** Returns the largest number of requests that reached an endpoint within any second, from a time on. */
function countMost(endpoint: EndpointStandIn, fromMs: number): number {
    const times = endpoint.requests.map(request => request.atMs).filter(atMs => atMs >= fromMs);
    return Math.max(0, ...times.map(start => times.filter(atMs => atMs >= start && atMs < start + windowMs).length));
}

describe("a cold endpoint", { concurrency: 2 }, () => {
    test("that joins during traffic gets no more than it sustains from four gateways, and most of that, and the others serve", async () => {
        const deployment = await startDeployment({
            engines: 1,
            services: 2,
            gateways: 4,
            configuration: makeColdConfiguration(),
        });
        try {
            const [warm, cold] = deployment.services;
            deployment.store.remove("keyed.servers", cold!.id);
            await wait(600);
            const joinedAtMs = performance.now();
            const series = sendSeries(deployment, 8, 6_000);
            await wait(300);
            deployment.register(cold!, "desk", { born: Date.now(), cold_left_ms: 20_000, seq: 1 });
            const told = await series;
            assert.ok(told.every(({ status }) => status === 200), "the warm endpoint has room for all others");
            const most = countMost(cold!, joinedAtMs);
            assert.ok(most <= allowed, `${most} in a second, ${allowed} are allowed`);
            const used = cold!.requests.filter(request => request.atMs > joinedAtMs + 1_500).length / 4.5
                / coldPerSecond;
            assert.ok(used >= 0.6, `${used.toFixed(2)} of the rate used, ${warm!.requests.length} went elsewhere`);
        }
        finally {
            await deployment.close();
        }
    });

    test("that is the only one refuses what exceeds its rate at once instead of holding it until the deadline", async () => {
        const deployment = await startDeployment({
            engines: 1,
            services: 1,
            gateways: 2,
            configuration: makeColdConfiguration(),
        });
        try {
            const [cold] = deployment.services;
            deployment.register(cold!, "desk", { cold_left_ms: 20_000, seq: 1 });
            await waitUntil(
                "cold",
                () =>
                    deployment.gateways.every(gateway =>
                        gateway.lines.some(line => line.event === LogEvent.EndpointColdChanged)
                    ),
            );
            const fromMs = performance.now();
            const told = await sendSeries(deployment, 20, 4_000);
            assert.ok(countMost(cold!, fromMs) <= allowed, `${countMost(cold!, fromMs)} in a second`);
            const refused = told.filter(({ status }) => status === 503);
            const atOnce = refused.filter(({ tookMs }) => tookMs < 500);
            assert.ok(atOnce.length >= 0.8 * refused.length, `${atOnce.length} of ${refused.length} told at once`);
            const served = told.filter(({ status }) => status === 200);
            assert.ok(served.length >= 0.6 * 4 * coldPerSecond, `${served.length} served`);
            assert.equal(served.length + refused.length, told.length, "others were held until the deadline");
        }
        finally {
            await deployment.close();
        }
    });
});
