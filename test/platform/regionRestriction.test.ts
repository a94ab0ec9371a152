import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
    customerKey,
    isReady,
    makeConfiguration,
    makeHeaders,
    send,
    startDeployment,
    startTestGateway,
    waitUntil,
} from "./support/deployment.js";

describe("a region restriction", () => {
    test("keeps a customer's requests in its region, leaves others free, and refuses at once where nothing qualifies", async () => {
        const configuration = makeConfiguration(1, {
            tenants: [
                { name: "planner", keys: [customerKey] },
                { name: "southern", keys: ["key-of-southern"], allowed_regions: ["south"] },
                { name: "western", keys: ["key-of-western"], allowed_regions: ["west"] },
            ],
        });
        const deployment = await startDeployment({ engines: 1, services: 2, configuration });
        deployment.register(deployment.services[1]!, "desk", { zone: "b", seq: 1 });
        const gateway = await startTestGateway("gateway-regions", deployment.store.address, 1_000, {
            regions: new Map([["a", "north"], ["b", "south"]]),
        });
        try {
            await waitUntil("ready", () => isReady(gateway));
            const [north, south] = deployment.services;
            const ask = (key: string) => send(gateway, { path: "/look/1", headers: makeHeaders({ "api-key": key }) });
            await Promise.all(Array.from({ length: 10 }, () => ask("key-of-southern")));
            assert.equal(north!.requests.length, 0);
            assert.equal(south!.requests.length, 10);
            await Promise.all(Array.from({ length: 10 }, () => ask(customerKey)));
            assert.ok(north!.requests.length > 0, "others go where there is room");
            const startedAtMs = performance.now();
            const answer = await ask("key-of-western");
            assert.equal(answer.status, 503);
            assert.ok(answer.headers["retry-after"] !== undefined);
            assert.ok(performance.now() - startedAtMs < 1_000, "not held until the deadline");
        }
        finally {
            await gateway.drain();
            await deployment.close();
        }
    });
});
