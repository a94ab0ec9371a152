import assert from "node:assert/strict";
import { monitorEventLoopDelay } from "node:perf_hooks";
import { describe, test } from "node:test";
import {
    makeModelHeaders,
    ReceivedAnswer,
    send,
    startDeployment,
    startTestGateway,
    TestDeployment,
    TestGateway,
} from "./support/deployment.js";

const crashingPart = "bad1";
/** Crashes of a part after which every gateway must know it within `knownWithinMs`. */
const allowedCrashes = 5;
const knownWithinMs = 3_000;
/** Requests with a part known to crash engines that may still reach engines. */
const maxLaterRequests = 3;
/** Time of a refusal, besides the time for which the process of the test did not run. */
const maxRefusalMs = 500;
/** Each customer sends as often as this, in milliseconds. */
const intervalMs = 30;

interface Sent {
    readonly sentAtMs: number;
    readonly endedAtMs: number;
    readonly answer: ReceivedAnswer | undefined;
}

function wait(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

/** Sends requests that share all parts but the last to one gateway after another, each with a body of its own. */
async function sendSeries(
    gateways: readonly TestGateway[],
    part: () => string,
    durationMs: number,
): Promise<readonly Sent[]> {
    const startedAtMs = performance.now();
    const pending: Promise<Sent>[] = [];
    for (let count = 0; performance.now() - startedAtMs < durationMs; count++) {
        const sentAtMs = performance.now();
        const headers = makeModelHeaders({ "x-prompt-prefix": `a1:40,${part()}:900,${count.toString(16)}ff:60` });
        const body = `prompt ${part()} ${headers["x-request-id"]}`;
        const answer = send(gateways[count % gateways.length]!, { method: "POST", path: "/draft/1", headers, body });
        pending.push(
            // A stream that breaks off rejects; the test counts it as not answered.
            answer.catch(() => undefined).then(received => ({
                sentAtMs,
                endedAtMs: performance.now(),
                answer: received,
            })),
        );
        await wait(intervalMs);
    }
    return Promise.all(pending);
}

function listCrashes(deployment: TestDeployment): number[] {
    return deployment.engines.flatMap(engine => engine.crashesAtMs).sort((left, right) => left - right);
}

function countArrivals(deployment: TestDeployment, part: string): number {
    return deployment.engines.flatMap(engine => engine.requests)
        .filter(request => String(request.headers["x-prompt-prefix"]).includes(part)).length;
}

async function checkCrashes(isCrashUnframed: boolean): Promise<void> {
    const deployment = await startDeployment({
        engines: 8,
        gateways: 2,
        eventIntervalMs: 10,
        crashingPart,
        isCrashUnframed,
    });
    let lateGateway: TestGateway | undefined;
    try {
        let soundCount = 0;
        const makeSoundPart = () => `c${(soundCount++ % 24).toString(16)}`;
        const sound = sendSeries(deployment.gateways, makeSoundPart, 8_000);
        const bad = sendSeries(deployment.gateways, () => crashingPart, 2_500);
        while (listCrashes(deployment).length < allowedCrashes) {
            await wait(20);
        }
        await wait(Math.max(0, listCrashes(deployment)[allowedCrashes - 1]! + knownWithinMs - performance.now()));
        await bad;
        const arrivedBefore = countArrivals(deployment, crashingPart);
        const windowStartMs = performance.now();
        lateGateway = await startTestGateway("gateway-late", deployment.store.address);
        await wait(1_000);
        const loopDelay = monitorEventLoopDelay({ resolution: 10 });
        loopDelay.enable();
        const later = await sendSeries([...deployment.gateways, lateGateway], () => crashingPart, 2_000);
        const laterArrivals = countArrivals(deployment, crashingPart) - arrivedBefore;
        assert.ok(laterArrivals <= maxLaterRequests, `${laterArrivals} of ${later.length} reached engines`);
        const refused = later.filter(item => item.answer?.status === 503);
        assert.ok(refused.length >= later.length - maxLaterRequests);
        assert.ok(refused.every(item => item.answer!.headers["retry-after"] !== undefined));
        const slowest = Math.max(...refused.map(item => item.endedAtMs - item.sentAtMs));
        const stallMs = loopDelay.max / 1e6;
        assert.ok(slowest < maxRefusalMs + stallMs, `refused after ${slowest} ms, process stalled for ${stallMs} ms`);
        const soundLater = (await sound).filter(item => item.sentAtMs > windowStartMs);
        const served = soundLater.filter(item => item.answer?.status === 200).length;
        assert.ok(served >= 0.95 * soundLater.length, `${served} of ${soundLater.length} sound requests served`);
    }
    finally {
        await deployment.close();
        await lateGateway?.drain();
    }
}

describe("a prompt part that crashes engines", { concurrency: 2 }, () => {
    test("requests with a part that crashed five engines do not reach engines, also through a gateway that starts later, and sound ones are served", () =>
        checkCrashes(false));

    test("the same where answers have neither a length nor chunks, so that a crash seems to end them in order", () =>
        checkCrashes(true));
});
