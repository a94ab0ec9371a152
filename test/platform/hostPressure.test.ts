import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { LogEvent } from "../../src/base/logEvents.js";
import { HostCapacity } from "../../src/scheduling/hostPressure.js";
import {
    isReady,
    makeHeaders,
    makeModelHeaders,
    send,
    startDeployment,
    startTestGateway,
    waitUntil,
} from "./support/deployment.js";

const largeHost: HostCapacity = {
    isProcessorLimited: true,
    memoryBytes: 1e12,
    linkBytesPerMs: 1e6,
    maxDescriptors: 1e5,
};

/** Starts a deployment with a further gateway on a host of a capacity. */
async function startOnHost(makeCapacity: () => HostCapacity) {
    const deployment = await startDeployment();
    const hostCapacity = makeCapacity();
    const gateway = await startTestGateway("pressed", deployment.store.address, 1_000, { hostCapacity });
    await waitUntil("the gateway is ready", () => isReady(gateway));
    const close = async () => {
        await gateway.drain();
        await deployment.close();
    };
    return { gateway, close };
}

const longHeaders = makeModelHeaders({ "x-token-count": "40000,100", "x-deadline-ms": "15000" });

describe("a gateway", () => {
    /** Guards against a host that runs out of memory, and against refusals of what it can still serve. */
    test("whose memory exceeds its limit refuses very long prompts, serves others and stays ready", async context => {
        // Memory in use exceeds 0.8 of this, and may rise by a sixth before it is exhausted.
        const makeCapacity = () => ({ ...largeHost, memoryBytes: process.memoryUsage.rss() * 1.23 });
        const { gateway, close } = await startOnHost(makeCapacity);
        context.after(close);
        await waitUntil("pressure", () => gateway.lines.some(line => line.event === LogEvent.HostPressureChanged));
        const refused = await send(gateway, { method: "POST", path: "/draft/1", headers: longHeaders, body: "long" });
        assert.equal(refused.status, 503);
        assert.ok(Number(refused.headers["retry-after"]) >= 0.1);
        assert.equal((await send(gateway, { path: "/look/1", headers: makeHeaders() })).status, 200);
        assert.ok(await isReady(gateway));
    });

    /** Guards against a host that sheds load although it exceeds no limit. */
    test("on a host without pressure logs and refuses nothing", async context => {
        const { gateway, close } = await startOnHost(() => ({ ...largeHost, isProcessorLimited: false }));
        context.after(close);
        const long = await send(gateway, { method: "POST", path: "/draft/1", headers: longHeaders, body: "long" });
        assert.equal(long.status, 200);
        assert.ok(!gateway.lines.some(line => line.event === LogEvent.HostPressureChanged));
    });
});
