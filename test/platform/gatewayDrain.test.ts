import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { Agent, request } from "undici";
import { isReady, makeHeaders, makeModelHeaders, send, startDeployment } from "./support/deployment.js";
import { renderEvent } from "./support/endpointStandIn.js";

describe("draining a gateway", () => {
    test("running streams finish, new requests are served, and the gateway is unready at once", async () => {
        const deployment = await startDeployment({ events: 12, graceMs: 2_500 });
        const gateway = deployment.gateways[0]!;
        const running = send(gateway, { method: "POST", path: "/draft/1", headers: makeModelHeaders(), body: "long" });
        await new Promise(resolve => setTimeout(resolve, 20));
        const drained = gateway.drain();
        assert.equal(await isReady(gateway), false);
        const late = await send(gateway, { path: "/look/1", headers: makeHeaders() });
        assert.equal(late.status, 200);
        assert.equal(late.headers.connection, "close");
        assert.equal((await running).body, Array.from({ length: 12 }, (unused, id) => renderEvent(id)).join(""));
        await drained;
        await assert.rejects(send(gateway, { path: "/look/1", headers: makeHeaders() }));
        await Promise.all([...deployment.engines, ...deployment.services].map(endpoint => endpoint.close()));
        await deployment.store.close();
    });

    test("a keep-alive connection is told to close and loses no request", async () => {
        const deployment = await startDeployment({ graceMs: 1_500 });
        const gateway = deployment.gateways[0]!;
        const customer = new Agent({ connections: 1 });
        const sendRequest = () => request(`${gateway.url}/look/1`, { headers: makeHeaders(), dispatcher: customer });
        assert.equal((await sendRequest().then(readHead)).status, 200);
        const drained = gateway.drain();
        const last = await sendRequest().then(readHead);
        assert.equal(last.status, 200);
        assert.equal(last.connection, "close");
        await drained;
        await customer.destroy();
        await Promise.all([...deployment.engines, ...deployment.services].map(endpoint => endpoint.close()));
        await deployment.store.close();
    });
});

async function readHead(answer: Awaited<ReturnType<typeof request>>) {
    await answer.body.dump();
    return { status: answer.statusCode, connection: answer.headers.connection };
}
