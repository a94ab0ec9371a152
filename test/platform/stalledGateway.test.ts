import assert from "node:assert/strict";
import { test } from "node:test";
import { LogEvent } from "../../src/base/logEvents.js";
import { makeHeaders, send, startDeployment, waitUntil } from "./support/deployment.js";
import { EndpointFault } from "./support/endpointStandIn.js";

/** Longer than the time after which an endpoint of a plain service that does not answer counts as silent. */
const stallMs = 1_500;

/** Keeps the event loop from running, as a busy host or a long garbage collection does. */
function blockEventLoop(durationMs: number): void {
    const endsAtMs = performance.now() + durationMs;
    while (performance.now() < endsAtMs) {
        // Busy.
    }
}

test("a gateway that did not run for a while does not take its endpoints for silent", async () => {
    const deployment = await startDeployment({ services: 2 });
    try {
        const gateway = deployment.gateways[0]!;
        deployment.services.forEach(service => service.setFaults(...Array<EndpointFault>(4).fill(EndpointFault.Slow)));
        const answers = Array.from({ length: 6 }, () => send(gateway, { path: "/look/1", headers: makeHeaders() }));
        const countArrived = () => deployment.services.reduce((sum, service) => sum + service.requests.length, 0);
        await waitUntil("the requests have arrived", () => countArrived() === 6);
        blockEventLoop(stallMs);
        (await Promise.all(answers)).forEach(answer => assert.equal(answer.status, 200));
        const retries = gateway.lines.filter(line => line.event === LogEvent.RequestRetried);
        assert.deepEqual(retries.map(line => line.fields.reason), []);
    }
    finally {
        await deployment.close();
    }
});
