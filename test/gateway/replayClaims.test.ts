import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { hugeFlood, longFlood, ordinaryLoad } from "../../bench/replay/loads.js";
import { placeOnEngines } from "../../src/routing/enginePlacement.js";
import { claimNothing, computeFullShare, computeShare } from "./support/replayShares.js";

describe("claims under simulated loads", { concurrency: false }, () => {
    for (const load of [ordinaryLoad, longFlood, hugeFlood]) {
        test(`${load.name}: serves less value within targets if no engines are reserved for long prompts`, () => {
            const share = computeFullShare(load);
            assert.ok(computeShare(load, () => placeOnEngines, claimNothing) < share - 0.01);
        });
    }
});
