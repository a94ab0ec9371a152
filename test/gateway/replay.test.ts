import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { draftFlood, longFlood, quietLoad, replayLoads } from "../../bench/replay/loads.js";
import { computeWorthShare, ReplayLoad, runReplay } from "../../bench/replay/replay.js";
import { createRoundRobinPlacement, placeLeastConnections } from "../../src/routing/baselinePlacement.js";
import { PlacementPolicy, placeOnEngines } from "../../src/routing/enginePlacement.js";

const seeds = [1, 2, 3];
/** Share of worth that the users ask for on the first deployments. */
const targetShare = 0.9;

function computeShare(load: ReplayLoad, createPolicy: () => PlacementPolicy): number {
    const shares = seeds.map(seed => computeWorthShare(load, runReplay(load, createPolicy(), seed)));
    return shares.reduce((sum, share) => sum + share, 0) / shares.length;
}

describe("replayed loads", { concurrency: false }, () => {
    for (const load of replayLoads) {
        test(`${load.name}: nine tenths of the worth are served in aim, more than by the baselines`, () => {
            const share = computeShare(load, () => placeOnEngines);
            assert.ok(share >= targetShare, `share ${share.toFixed(3)}`);
            assert.ok(share > computeShare(load, () => placeLeastConnections));
            assert.ok(share > computeShare(load, createRoundRobinPlacement));
        });
    }

    /** Each rule, the load that it answers, and the policy with the rule switched off. */
    const rules: readonly [string, ReplayLoad, PlacementPolicy][] = [
        [
            "long prompts are read in parts",
            longFlood,
            (request, views, slots, nowMs, stage, settings) =>
                placeOnEngines(request, views, slots, nowMs, stage, { ...settings, maxHelpers: 0 }),
        ],
        [
            "reads fit between the events of others' answers",
            draftFlood,
            (request, views, slots, nowMs, stage, settings) => {
                const unprotected = views.map(view => ({ ...view, constraints: [] }));
                return placeOnEngines(request, unprotected, slots, nowMs, stage, settings);
            },
        ],
        [
            "parts grow with the wait",
            longFlood,
            (request, views, slots, nowMs, stage, settings) =>
                placeOnEngines({ ...request, waitedMs: 0 }, views, slots, nowMs, stage, settings),
        ],
        [
            "short and long prompts fill engines from opposite ends",
            quietLoad,
            (request, views, slots, nowMs, stage, settings) => {
                const mixed = views.map(view => ({ ...view, order: (view.order * Math.ceil(nowMs)) % 9973 }));
                return placeOnEngines(request, mixed, slots, nowMs, stage, settings);
            },
        ],
    ];
    for (const [name, load, withoutRule] of rules) {
        test(`${load.name}: less worth is served without the rule that ${name}`, () => {
            const share = computeShare(load, () => placeOnEngines);
            assert.ok(computeShare(load, () => withoutRule) < share - 0.01);
        });
    }
});
