import assert from "node:assert/strict";
import { test } from "node:test";
import { runSoak } from "./soak.js";

/** Seeds that have failed, each with its cause, kept as regression cases. */
const seeds: readonly (readonly [number, string])[] = [
    [1, "SIGHUP ended a gateway that was loading its modules"],
    [9, "the fault proxy forwarded bytes out of order when a delay ended"],
    [14, "a gateway's port was taken by a connection of another seed while it restarted"],
    [19, "SIGTERM arrived before the runtime had started the program"],
];

test("invariants hold while faults overlap and a prompt part crashes engines, seed 24: gateways that were away did not know it", async () => {
    const result = await runSoak({
        seed: 24,
        faultMs: 4_000,
        gateways: 3,
        engines: 6,
        services: 2,
        requestsPerSecond: 40,
        crashingShare: 0.4,
        faultFreeMs: 7_000,
    });
    assert.ok(result.requests > 50, `${result.requests} requests`);
    assert.deepEqual(result.violations, [], result.logs.slice(-200).join("\n"));
});

test("invariants hold while faults overlap and plain requests crash instances, with and without a body, seed 203", async () => {
    const result = await runSoak({
        seed: 203,
        faultMs: 4_000,
        gateways: 3,
        engines: 2,
        services: 3,
        requestsPerSecond: 40,
        crashingPlainShare: 0.2,
        faultFreeMs: 7_000,
    });
    assert.ok(result.requests > 50, `${result.requests} requests`);
    assert.deepEqual(result.violations, [], result.logs.slice(-200).join("\n"));
});

test("invariants hold while faults overlap and the store comes back from older copies, seed 305", async () => {
    const result = await runSoak({
        seed: 305,
        faultMs: 6_000,
        gateways: 2,
        engines: 3,
        services: 2,
        requestsPerSecond: 25,
        isStoreRestored: true,
        faultFreeMs: 6_000,
    });
    assert.ok(result.requests > 50, `${result.requests} requests`);
    assert.ok(result.faults.includes("store restored"), result.faults.join(", "));
    assert.deepEqual(result.violations, [], result.logs.slice(-200).join("\n"));
});

test("invariants hold while endpoints fail requests after they ran them, seed 411: their status was passed on as a promise", async () => {
    const result = await runSoak({
        seed: 411,
        faultMs: 4_000,
        gateways: 2,
        engines: 3,
        services: 2,
        requestsPerSecond: 40,
        failingShare: 0.4,
    });
    assert.ok(result.requests > 50, `${result.requests} requests`);
    assert.deepEqual(result.violations, [], result.logs.slice(-200).join("\n"));
});

for (const [seed, cause] of seeds) {
    test(`invariants hold while faults overlap, seed ${seed}: ${cause}`, async () => {
        const result = await runSoak({
            seed,
            faultMs: 4_000,
            gateways: 2,
            engines: 3,
            services: 2,
            requestsPerSecond: 25,
        });
        assert.ok(result.requests > 50, `${result.requests} requests`);
        assert.deepEqual(result.violations, [], result.logs.slice(-200).join("\n"));
    });
}
