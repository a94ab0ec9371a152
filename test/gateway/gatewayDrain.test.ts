import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createManualTimerService } from "../../src/base/manualTimerService.js";
import { CustomerServer } from "../../src/gateway/customerServer.js";
import { drainCustomers } from "../../src/gateway/gatewayDrain.js";
import { Drain } from "../../src/scheduling/drainAdmission.js";

/** Begins a stop at 10 s on the clock, and returns what is decided for it. */
function beginDrain(graceMs: number, signalDelayMs: number): Drain {
    const timers = createManualTimerService();
    timers.advance(10_000);
    const begun: Drain[] = [];
    const customers = { countRequests: () => 1, startClosing: () => undefined } as unknown as CustomerServer;
    const control = { begin: (drain: Drain) => void begun.push(drain), endRequests: () => undefined };
    void drainCustomers({ timers, log: () => undefined, customers, graceMs, signalDelayMs, control });
    return begun[0]!;
}

describe("the times of a stop whose SIGTERM may have waited", () => {
    const startMs = beginDrain(8_000, 0).startedAtMs;

    /** Guards against streams that are broken off before the last sixth of a short grace, as seed 549 of the stop soak was. */
    test("a busy moment does not end a short grace before its last sixth", () => {
        assert.ok(beginDrain(2_000, 60).endsAtMs - startMs >= 2_000 * 5 / 6);
    });

    test("the end leaves the time for closing before SIGKILL, and requests are late from 3 s after SIGTERM on", () => {
        const { endsAtMs, lateFromMs, closesIdleAtMs } = beginDrain(8_000, 1_500);
        assert.equal(endsAtMs - startMs, 8_000 - 1_500 - 250);
        assert.equal(lateFromMs - startMs, 3_000 - 1_500 - 200);
        assert.equal(closesIdleAtMs - startMs, 0.4 * 6_500);
    });

    test("a stop that is noticed after its grace ends at once", () => {
        const { endsAtMs, closesIdleAtMs } = beginDrain(2_000, 3_000);
        assert.ok(endsAtMs < startMs);
        assert.equal(closesIdleAtMs, startMs);
    });
});
