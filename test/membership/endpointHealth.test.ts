import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createEndpointHealth, ExchangeResult, Standing } from "../../src/membership/endpointHealth.js";

describe("endpoint health", () => {
    test("an endpoint that breaks a connection is down, then tested by one request, then good again", () => {
        const health = createEndpointHealth();
        health.record("a", ExchangeResult.Broken, 0);
        assert.equal(health.getStanding("a", 100), Standing.Down);
        assert.equal(health.getStanding("a", 450), Standing.Trial);
        health.startTrial("a", 450);
        assert.equal(health.getStanding("a", 460), Standing.Down, "a second request must not test it as well");
        health.record("a", ExchangeResult.Answered, 500);
        assert.equal(health.getStanding("a", 510), Standing.Good);
    });

    test("an endpoint that stays unreachable is tested with exponential backoff of three seconds at most", () => {
        const health = createEndpointHealth();
        let nowMs = 0;
        const pauses: number[] = [];
        for (let attempt = 0; attempt < 6; attempt++) {
            health.record("a", ExchangeResult.Unreachable, nowMs);
            const failedAtMs = nowMs;
            while (health.getStanding("a", nowMs) === Standing.Down) {
                nowMs += 10;
            }
            pauses.push(nowMs - failedAtMs);
        }
        assert.deepEqual(pauses, [400, 800, 1_600, 3_000, 3_000, 3_000]);
    });

    test("a trial without a result is given to another request", () => {
        const health = createEndpointHealth();
        health.record("a", ExchangeResult.Silent, 0);
        health.startTrial("a", 500);
        assert.equal(health.getStanding("a", 1_600), Standing.Trial);
    });

    test("one failed response in seven does not take an endpoint down, more than half do", () => {
        const health = createEndpointHealth();
        for (let count = 0; count < 70; count++) {
            health.record("sound", count % 7 === 0 ? ExchangeResult.Failed : ExchangeResult.Answered, count);
        }
        assert.equal(health.getStanding("sound", 70), Standing.Good);
        const statuses = new Set<Standing>();
        for (let count = 0; count < 30; count++) {
            health.record("grey", count % 5 < 3 ? ExchangeResult.Failed : ExchangeResult.Answered, count);
            statuses.add(health.getStanding("grey", count));
        }
        assert.ok(statuses.has(Standing.Down));
    });

    test("a full endpoint is good again after its backoff without a trial", () => {
        const health = createEndpointHealth();
        health.record("a", ExchangeResult.Full, 0);
        assert.equal(health.getStanding("a", 100), Standing.Down);
        assert.equal(health.getStanding("a", 200), Standing.Good);
    });
});
