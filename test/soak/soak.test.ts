import assert from "node:assert/strict";
import { test } from "node:test";
import { runSoak } from "./soak.js";

/** Seeds that once failed, with the cause; each stays as a regression case. */
const seeds: readonly number[] = [1];

for (const seed of seeds) {
    test(`promises hold while faults overlap, seed ${seed}`, async () => {
        const result = await runSoak({
            seed,
            faultMs: 5_000,
            gateways: 2,
            engines: 3,
            services: 2,
            requestsPerSecond: 25,
        });
        assert.ok(result.requests > 50, `${result.requests} requests`);
        assert.deepEqual(result.broken, [], result.logs.slice(-200).join("\n"));
    });
}
