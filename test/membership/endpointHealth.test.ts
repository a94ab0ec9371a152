import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createEndpointHealth, ExchangeResult, HealthStatus } from "../../src/membership/endpointHealth.js";

describe("endpoint health", () => {
    test("an endpoint that breaks a connection is down, then tested by one request, then good again", () => {
        const health = createEndpointHealth();
        health.record("a", ExchangeResult.Broken, 0);
        assert.equal(health.getStatus("a", 100), HealthStatus.Down);
        assert.equal(health.getStatus("a", 450), HealthStatus.Trial);
        health.startTrial("a", 450);
        assert.equal(health.getStatus("a", 460), HealthStatus.Down, "a second request must not test it as well");
        health.record("a", ExchangeResult.Answered, 500);
        assert.equal(health.getStatus("a", 510), HealthStatus.Good);
    });

    test("an endpoint that stays unreachable is tested with exponential backoff of three seconds at most", () => {
        const health = createEndpointHealth();
        let nowMs = 0;
        const pauses: number[] = [];
        for (let attempt = 0; attempt < 6; attempt++) {
            health.record("a", ExchangeResult.Unreachable, nowMs);
            const failedAtMs = nowMs;
            while (health.getStatus("a", nowMs) === HealthStatus.Down) {
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
        assert.equal(health.getStatus("a", 1_600), HealthStatus.Trial);
    });

    test("one failed response in seven does not take an endpoint down, more than half do", () => {
        const health = createEndpointHealth();
        for (let count = 0; count < 70; count++) {
            health.record("sound", count % 7 === 0 ? ExchangeResult.Failed : ExchangeResult.Answered, count);
        }
        assert.equal(health.getStatus("sound", 70), HealthStatus.Good);
        const statuses = new Set<HealthStatus>();
        for (let count = 0; count < 30; count++) {
            health.record("grey", count % 5 < 3 ? ExchangeResult.Failed : ExchangeResult.Answered, count);
            statuses.add(health.getStatus("grey", count));
        }
        assert.ok(statuses.has(HealthStatus.Down));
    });

    test("a full endpoint is good again after its backoff without a trial", () => {
        const health = createEndpointHealth();
        health.record("a", ExchangeResult.Full, 0);
        assert.equal(health.getStatus("a", 100), HealthStatus.Down);
        assert.equal(health.getStatus("a", 200), HealthStatus.Good);
    });
});
