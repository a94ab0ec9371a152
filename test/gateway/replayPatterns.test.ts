import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { ordinaryLoad, replayLoads } from "../../bench/replay/loads.js";
import { loadPatterns } from "../../bench/replay/patterns.js";
import { ReplayLoad, ReplayOutcome, runReplay } from "../../bench/replay/replay.js";
import { chooseClaim } from "../../src/routing/engineClaim.js";
import { placeOnEngines } from "../../src/routing/enginePlacement.js";

/** Share of the requests of a kind that does not cause the overload that its customers need on time. */
const targetShare = 0.9;
/** Share of the refused that are told within a tenth of their time. */
const earlyShare = 0.8;
/** Longest time for which a customer above its share gets nothing while it sends. */
const starvationMs = 1_000;
const seeds = [1, 2, 3, 4];

function replay(load: ReplayLoad, seed: number) {
    const outcomes: ReplayOutcome[] = [];
    const results = runReplay(load, placeOnEngines, seed, chooseClaim, outcome => outcomes.push(outcome));
    return { outcomes, results };
}

/** Guards against an overload by one customer that makes the requests of others late, starves, or is refused late. */
describe("load patterns of several customers on engines", { concurrency: false }, () => {
    for (const load of loadPatterns) {
        test(load.name, context => {
            const replays = seeds.map(seed => replay(load, seed));
            // Requests that ran on lost engines have missed a target by then.
            const settledMs = load.losses?.toMs ?? 0;
            const outcomes = replays.flatMap(item => item.outcomes).filter(item => item.arrivedAtMs >= settledMs);
            const getShare = (name: string) => {
                const some = outcomes.filter(item => item.kind.name === name);
                return some.filter(item => item.isWithinTargets).length / some.length;
            };
            const large = replays.flatMap(item => item.results).filter(item => item.name.endsWith("of large"));
            const refused = large.reduce((sum, item) => sum + item.refused, 0);
            const refusedEarly = large.reduce((sum, item) => sum + item.refusedEarly, 0);
            const shares = load.kinds.map(({ name }) => `${name} ${getShare(name).toFixed(3)}`);
            context.diagnostic(`${shares.join(", ")}; refused ${refused}, early ${refusedEarly}`);
            for (const { name } of load.kinds.filter(kind => !kind.name.endsWith("of large"))) {
                assert.ok(getShare(name) >= targetShare, `${name}: ${getShare(name).toFixed(3)} on time`);
            }
            for (const kind of load.kinds.filter(item => item.name.endsWith("of large"))) {
                for (const [fromMs, toMs] of kind.periods ?? [[0, load.durationMs]]) {
                    for (let atMs = fromMs; atMs + starvationMs <= toMs; atMs += starvationMs) {
                        const isServed = replays.every(item =>
                            item.outcomes.some(one =>
                                one.kind.name === kind.name && one.isEnded && one.arrivedAtMs >= atMs
                                && one.arrivedAtMs < atMs + starvationMs
                            )
                        );
                        assert.ok(isServed, `${kind.name} that arrive from ${atMs} ms on are not served`);
                    }
                }
            }
            assert.ok(refused < 20 || refusedEarly >= earlyShare * refused, `${refusedEarly} of ${refused} early`);
        });
    }
});

/** Guards against shares that change placements where they are not needed. */
test("placements are the same as without shares for one customer, and for several while nothing waits", () => {
    const light = {
        ...ordinaryLoad,
        kinds: ordinaryLoad.kinds.map(kind => ({ ...kind, perSecond: kind.perSecond / 10 })),
    };
    const pairs = [
        ...replayLoads.map(load => [load, load.kinds.map(kind => ({ ...kind, customer: 1 }))] as const),
        [light, light.kinds.map((kind, customer) => ({ ...kind, customer }))] as const,
    ];
    for (const [load, kinds] of pairs) {
        const strip = ({ outcomes, results }: ReturnType<typeof replay>) => [
            results,
            outcomes.map(outcome => ({ ...outcome, kind: outcome.kind.name })),
        ];
        assert.deepEqual(strip(replay({ ...load, kinds }, 1)), strip(replay(load, 1)), load.name);
    }
});
