import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { MemoryLoad, runMemoryReplay } from "../../bench/replay/memoryReplay.js";

/** Requests a second for which the engines have memory twice over, so that several gateways wait for each that is freed. */
const perSecond = 25;
const usual: MemoryLoad = { gateways: 1, perSecond, outputFactor: 1, burst: 1 };
const cases: readonly (readonly [string, (gateways: number) => Partial<MemoryLoad>])[] = [
    ["that choose the same engine within a message's delay", gateways => ({ burst: gateways })],
    ["with answers three times as long as expected", () => ({ outputFactor: 3 })],
    ["while engines restart and gateways learn of it one by one", () => ({ restartIntervalMs: 2_000 })],
];

/** Guards against engines that crash because the requests of all gateways need more memory than they have. */
describe("memory of engines in virtual time", () => {
    for (const gateways of [2, 8]) {
        for (const [name, makeChanges] of cases) {
            test(`${gateways} gateways ${name}`, () => {
                const changes = makeChanges(gateways);
                const { mostUsed, served, submitted } = runMemoryReplay({ ...usual, ...changes, gateways }, 1);
                assert.ok(mostUsed <= 1, `${mostUsed.toFixed(2)} of an engine's memory needed`);
                // The bound must not be met by leaving memory unused: one gateway, which knows everything, is the measure.
                const alone = runMemoryReplay({ ...usual, ...changes, burst: 1 }, 1);
                const [share, fullShare] = [served / submitted, alone.served / alone.submitted];
                assert.ok(
                    share >= 0.9 * fullShare,
                    `served ${share.toFixed(3)}, by one gateway ${fullShare.toFixed(3)}`,
                );
            });
        }
    }
});
