import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { shortBurst, steadyVeryLong, veryLongBurst } from "../../bench/replay/loads.js";
import { ReplayLoad, runReplay } from "../../bench/replay/replay.js";
import { chooseClaim } from "../../src/routing/engineClaim.js";
import { placeOnEngines } from "../../src/routing/enginePlacement.js";
import { computeFullShare } from "./support/replayShares.js";

/** Required share of the value that is served within targets, by all kinds or by those that are not too many. */
const targetShare = 0.9;
const seeds = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];

function computeKindShare(load: ReplayLoad, name: string): number {
    const results = seeds.flatMap(seed => runReplay(load, placeOnEngines, seed, chooseClaim));
    const shares = results.filter(result => result.name === name).map(result => result.valueShare);
    return shares.reduce((sum, share) => sum + share, 0) / shares.length;
}

/** Guards against very long prompts that get few engines, and are late, while others are idle. */
test(`${steadyVeryLong.name}: serves at least 90% of the value within targets`, () => {
    const share = computeFullShare(steadyVeryLong);
    assert.ok(share >= targetShare, `share ${share.toFixed(3)}`);
});

/** Guards against engines that are kept idle for a very long prompt while other prompts miss their targets. */
describe("requests that are not too many keep their targets", { concurrency: false }, () => {
    for (
        const [load, kind] of [[veryLongBurst, "query"], [veryLongBurst, "summary"], [shortBurst, "summary"]] as const
    ) {
        test(`${load.name}: ${kind}`, () => {
            const share = computeKindShare(load, kind);
            assert.ok(share >= targetShare, `share ${share.toFixed(3)}`);
        });
    }
});
