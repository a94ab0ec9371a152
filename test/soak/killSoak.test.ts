import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { CutEndpoint, Ending } from "./cutEndpoint.js";
import { KillOutcome, summarizeKills } from "./killOutcome.js";
import { runKillSoak } from "./killSoak.js";

/** Guards against answers of killed gateways that look whole, and against whole answers that are broken off. */
describe("gateways are killed while they relay answers", { concurrency: 2 }, () => {
    for (const seed of [1, 2, 4]) {
        test(`kills, seed ${seed}: answers without a length looked whole after half of their events`, async () => {
            const result = await runKillSoak({ seed, kills: 8 });
            assert.ok(result.answered > 20 && result.cut > 20, `${result.answered} answered, ${result.cut} cut`);
            assert.deepEqual(result.violations, [], result.logs.slice(-200).join("\n"));
        });
    }
});

describe("the checks of the kill soak", () => {
    const outcome: KillOutcome = {
        id: "kill-1",
        path: "/once/",
        gateway: "gateway-0",
        mayRepeat: false,
        body: "whole",
        sentAtMs: 1_000,
        endedAtMs: 2_000,
        hasBegun: true,
    };
    const answered = (status: number, body: string) => ({
        answer: { status, headers: new Map<string, string>(), body },
    });
    const makeEndpoint = (ending: Ending, crashesAtMs: readonly number[] = []): CutEndpoint => ({
        id: "models-0",
        address: "",
        runs: [{ requestId: "kill-1", ending, atMs: 1_000 }],
        crashesAtMs,
        close: async () => undefined,
    });
    const kill = { gateway: "gateway-0", fromMs: 1_500, untilMs: 1_700 };
    const cases:
        readonly (readonly [string, Partial<KillOutcome>, readonly CutEndpoint[], readonly typeof kill[], boolean])[] =
            [
                ["a whole answer", answered(200, "whole"), [makeEndpoint(Ending.Whole)], [], true],
                ["a part of an answer", answered(200, "who"), [makeEndpoint(Ending.Whole)], [kill], false],
                ["a refusal of a request that ran", answered(503, ""), [makeEndpoint(Ending.Whole)], [], false],
                [
                    "two runs",
                    answered(200, "whole"),
                    [makeEndpoint(Ending.Whole), makeEndpoint(Ending.Whole)],
                    [],
                    false,
                ],
                ["a whole answer that was broken off", {}, [makeEndpoint(Ending.Whole)], [], false],
                ["broken off by a kill", {}, [makeEndpoint(Ending.Whole)], [kill], true],
                ["broken off by its endpoint", {}, [makeEndpoint(Ending.Reset)], [], true],
                ["broken off by a crash", {}, [makeEndpoint(Ending.Whole, [1_800])], [], true],
            ];
    for (const [name, changes, endpoints, disturbances, isAllowed] of cases) {
        test(`${name} is ${isAllowed ? "allowed" : "a violation"}`, () => {
            const { violations } = summarizeKills([{ ...outcome, ...changes }], endpoints, disturbances);
            assert.equal(violations.length === 0, isAllowed, violations.join());
        });
    }
});
