import assert from "node:assert/strict";
import { test } from "node:test";
import { createSignalDelay } from "../../src/scheduling/signalDelay.js";

/** Guards against a stop that counts from when a busy or paused process has noticed it. */
test("a signal may have waited since the run of the timer before the last one", () => {
    const signalDelay = createSignalDelay(100, 0);
    signalDelay.observe(100);
    signalDelay.observe(200);
    assert.equal(signalDelay.getMaxMs(250), 0);
    assert.equal(signalDelay.getMaxMs(1_700), 1_400, "the timer did not run yet");
    signalDelay.observe(1_700);
    assert.equal(signalDelay.getMaxMs(1_700), 1_300, "the timer ran before the signal was handled");
    signalDelay.observe(1_800);
    assert.equal(signalDelay.getMaxMs(1_850), 0);
});
