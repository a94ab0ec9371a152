import assert from "node:assert/strict";
import { test } from "node:test";
import { LogEvent } from "../../src/base/logEvents.js";
import {
    isReady,
    makeHeaders,
    makeModelHeaders,
    send,
    startDeployment,
    startTestGateway,
    waitUntil,
} from "./support/deployment.js";

/** Guards against a host that runs out of memory, and against refusals of what it can still serve. */
test("a gateway whose memory exceeds its limit refuses very long prompts, serves others and stays ready", async context => {
    const deployment = await startDeployment();
    context.after(() => deployment.close());
    // The memory of the test's process varies by more than the distance of the limits.
    context.mock.method(process.memoryUsage, "rss", () => 210e6);
    const hostCapacity = { isProcessorLimited: false, memoryBytes: 250e6, maxDescriptors: 10_000 };
    const gateway = await startTestGateway("pressed", deployment.store.address, 1_000, { hostCapacity });
    context.after(() => gateway.drain());
    const isPressed = () => gateway.lines.some(line => line.event === LogEvent.HostPressureChanged);
    await waitUntil("ready and under pressure", async () => await isReady(gateway) && isPressed());
    const headers = makeModelHeaders({ "x-token-count": "40000,100", "x-deadline-ms": "15000" });
    const refused = await send(gateway, { method: "POST", path: "/draft/1", headers, body: "long" });
    assert.equal(refused.status, 503);
    assert.ok(Number(refused.headers["retry-after"]) >= 0.1);
    assert.equal((await send(gateway, { path: "/look/1", headers: makeHeaders() })).status, 200);
    assert.ok(await isReady(gateway));
});
