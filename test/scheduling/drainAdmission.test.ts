import assert from "node:assert/strict";
import { test } from "node:test";
import { computeDrainReturnMs, decideDrainStep, isAnswerHeld } from "../../src/scheduling/drainAdmission.js";

const drain = { startedAtMs: 1_000, lateFromMs: 3_800, closesIdleAtMs: 4_000, endsAtMs: 8_600 };
const early = {
    usualMs: 2_000,
    longestMs: 9_000,
    boundMs: 20_000,
    customerTimeoutMs: 20_000,
    isMeasured: false,
    hasBegun: false,
    arrivedAtMs: 2_000,
};
/** Arrived when idle connections were closed. */
const predicted = { ...early, arrivedAtMs: 4_000 };

test("a request that ends in time even with its longest answer is accepted at any time", () => {
    assert.equal(decideDrainStep(drain, { ...predicted, usualMs: 500, longestMs: 1_000 }, 7_000).isAllowed, true);
});

test("while connections stay open, the usual length of an answer decides", () => {
    assert.equal(decideDrainStep(drain, early, 2_000).isAllowed, true);
    assert.equal(decideDrainStep(drain, early, 4_500).isAllowed, true, "it came early and waited");
});

test("later, a request that may outlast the process is refused", () => {
    assert.equal(decideDrainStep(drain, predicted, 4_000).isAllowed, false);
});

test("a request that cannot end is refused from the start", () => {
    assert.equal(decideDrainStep(drain, { ...early, usualMs: 9_000 }, 2_000).isAllowed, false);
});

test("the longest answer that would just end at the profile's pace is refused, since other work slows it down", () => {
    const decision = decideDrainStep(drain, { ...predicted, longestMs: 4_200 }, 4_000);
    assert.deepEqual(decision, { isAllowed: false, neededMs: 4_200 * 1.15 + 300, remainingMs: 4_600, isHeld: true });
});

test("what is known of the pace counts: a measured prediction needs less reserve than that of a profile", () => {
    const tight = { ...predicted, usualMs: 2_400, longestMs: 2_400 };
    assert.equal(decideDrainStep(drain, tight, 4_800).isAllowed, false);
    assert.equal(decideDrainStep(drain, { ...tight, isMeasured: true }, 4_800).isAllowed, true);
});

test("a request whose own time limit ends before the process does is accepted however long its answer may be", () => {
    assert.equal(decideDrainStep(drain, { ...predicted, boundMs: 3_000 }, 5_600).isAllowed, true);
    assert.equal(decideDrainStep(drain, { ...predicted, boundMs: 3_000 }, 5_601).isAllowed, false);
});

test("an answer that has begun goes on at another endpoint if it is likely to end in time", () => {
    const tight = { ...predicted, usualMs: 2_500, hasBegun: true };
    assert.equal(decideDrainStep(drain, tight, 6_000).isAllowed, true);
    assert.equal(decideDrainStep(drain, tight, 6_200).isAllowed, false);
});

test("a refused customer comes back once the load balancer has noticed the stop, if another process stays", () => {
    assert.equal(computeDrainReturnMs(drain, 0, 2_000), 1_200);
    assert.equal(computeDrainReturnMs(drain, 0, 4_000), 0);
});

test("a refused customer comes back when the first process has started again, if all stop", () => {
    assert.equal(computeDrainReturnMs(drain, 6_100, 4_000), 6_100);
    assert.equal(computeDrainReturnMs(drain, 500, 2_000), 1_200);
});

test("the answer to a late request is held, unless its own time limit ends before the process does", () => {
    assert.equal(isAnswerHeld(drain, 3_800, 8_601), true);
    assert.equal(isAnswerHeld(drain, 3_800, 8_600), false);
    assert.equal(isAnswerHeld(drain, 3_799, 20_000), false);
});

test("an answer that is held must end before its customer is expected to leave", () => {
    const short = { ...predicted, usualMs: 500, longestMs: 1_000, customerTimeoutMs: 1_000 };
    assert.equal(decideDrainStep(drain, short, 4_000).isAllowed, false);
    assert.equal(decideDrainStep(drain, { ...short, customerTimeoutMs: 1_500 }, 4_000).isAllowed, true);
    assert.equal(decideDrainStep(drain, { ...short, boundMs: 4_000 }, 4_000).isAllowed, true, "it is not held");
    assert.equal(decideDrainStep(drain, { ...short, arrivedAtMs: 2_000 }, 4_000).isAllowed, true, "it is not late");
});
