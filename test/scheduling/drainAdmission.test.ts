import assert from "node:assert/strict";
import { test } from "node:test";
import { decideDrainAdmission } from "../../src/scheduling/drainAdmission.js";

const drain = { startedAtMs: 1_000, endsAtMs: 8_600 };

test("a request that ends in time even with its longest answer is accepted at any time", () => {
    assert.equal(decideDrainAdmission(drain, { usualMs: 500, longestMs: 1_000 }, 7_000), undefined);
});

test("while the load balancer still sends customers here, the usual length of an answer decides", () => {
    assert.equal(decideDrainAdmission(drain, { usualMs: 2_000, longestMs: 9_000 }, 2_000), undefined);
});

test("later, a request that may outlast the process is refused until the next run of the process", () => {
    const returnMs = decideDrainAdmission(drain, { usualMs: 2_000, longestMs: 9_000 }, 4_000);
    assert.ok(returnMs !== undefined && returnMs >= drain.endsAtMs - 4_000);
});

test("a request that cannot end is sent to another process once the load balancer has noticed the stop", () => {
    assert.equal(decideDrainAdmission(drain, { usualMs: 9_000, longestMs: 9_000 }, 2_000), 1_200);
});
