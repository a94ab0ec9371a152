import assert from "node:assert/strict";
import { test } from "node:test";
import { createPeakCount } from "../../src/routing/peakCount.js";

/** Guards against another division of the endpoints with each short loss of some of them. */
test("a peak lasts for its window, and the largest later count follows it", () => {
    const peak = createPeakCount(1_000);
    assert.equal(peak.record(45, 0), 45);
    assert.equal(peak.record(30, 400), 45);
    assert.equal(peak.record(38, 900), 45);
    assert.equal(peak.record(30, 1_100), 38);
    assert.equal(peak.record(30, 2_000), 30);
    assert.equal(peak.record(60, 2_100), 60);
});
