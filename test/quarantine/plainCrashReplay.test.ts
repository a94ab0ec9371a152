import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { plainCrashLoads, runPlainCrashReplay } from "../../bench/replay/plainCrashReplay.js";

/** Later requests that may still reach endpoints. */
const maxLateRequests = 3;
const maxRefusedShare = 0.03;
const seeds = [1, 2, 3];

describe("replay of crashes of a plain service", () => {
    for (const load of plainCrashLoads) {
        test(`the request that ends instances is known in time and sound ones go on: ${load.name}`, () => {
            for (const seed of load.gateways > 4 ? seeds.slice(0, 1) : seeds) {
                const result = runPlainCrashReplay(load, seed);
                const { sound, soundRefused } = result;
                assert.equal(result.crashesUntilKnown !== undefined, load.badPerSecond > 0, `seed ${seed}`);
                assert.ok(result.lateRequests <= maxLateRequests, `seed ${seed}: ${result.lateRequests} late requests`);
                assert.ok(soundRefused <= maxRefusedShare * sound, `seed ${seed}: ${soundRefused} of ${sound} refused`);
            }
        });
    }
});
