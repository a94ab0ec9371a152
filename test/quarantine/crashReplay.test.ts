import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { crashLoads, runCrashReplay } from "../../bench/replay/crashReplay.js";

/** Later requests with a bad part that may still reach engines. */
const maxLateRequests = 3;
const seeds = [1, 2, 3];

describe("replay of crashes", () => {
    for (const load of crashLoads) {
        test(`bad parts are known in time and sound ones go on: ${load.name}`, () => {
            for (const seed of load.gateways > 4 ? seeds.slice(0, 1) : seeds) {
                const result = runCrashReplay(load, seed);
                assert.notEqual(result.crashesUntilKnown, undefined, `seed ${seed}: a bad part was not found`);
                assert.ok(result.lateRequests <= maxLateRequests, `seed ${seed}: ${result.lateRequests} late requests`);
                assert.equal(result.falseQuarantines, 0, `seed ${seed}: sound parts quarantined`);
            }
        });
    }
});
