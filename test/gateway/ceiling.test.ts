import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { Binding, CeilingRequest, computeCeiling } from "../../bench/replay/ceiling.js";
import { collectCeilingInput, parseDeploymentFile } from "../../bench/replay/ceilingInput.js";
import { replayLoads } from "../../bench/replay/loads.js";
import { replayEngine, replayEngineCount, ReplayKind, runReplay } from "../../bench/replay/replay.js";
import { LogEvent } from "../../src/base/logEvents.js";
import { chooseClaim } from "../../src/routing/engineClaim.js";
import { placeOnEngines } from "../../src/routing/enginePlacement.js";

/** Prefills one token in a millisecond. A pass takes 10 ms for any number of requests. */
const engine = {
    ...replayEngine,
    slots: 4,
    memoryTokens: 1e6,
    stepsPerPass: 1,
    stepMs: 10,
    stepMsPerSequence: 0,
    stepMsPerThousandTokens: 0,
    prefillTokensPerSecond: 1_000,
    attentionMsPerMillionPairs: 0,
};
const oneEngine = { engine, engineCounts: [{ fromMs: 0, count: 1 }], maxParts: 17 };
const usual: CeilingRequest = {
    kind: "a",
    arrivalMs: 0,
    promptTokens: 100,
    events: 1,
    firstEventTargetMs: 550,
    gapTargetMs: 1_000,
    deadlineMs: 10_000,
    valueOnTime: 1,
    valueLate: 0,
};

function repeat(count: number, changes: Partial<CeilingRequest>): CeilingRequest[] {
    return Array.from({ length: count }, () => ({ ...usual, ...changes }));
}

describe("upper bound of requests on time, computed by hand", () => {
    const cases = [
        {
            name: "prefill time: 550 ms hold five prompts of 100 ms",
            changes: {},
            most: 5,
            binding: Binding.PrefillTime,
        },
        {
            name: "slots: ten passes of 10 ms in 250 ms, on four slots",
            changes: { promptTokens: 0, events: 12, deadlineMs: 250 },
            most: 10,
            binding: Binding.Slots,
        },
        {
            name: "memory: 150 tokens for 200 ms hold three prompts of 100 tokens for 100 ms",
            changes: { events: 12, deadlineMs: 200 },
            deployment: { ...oneEngine, engine: { ...engine, memoryTokens: 150, prefillTokensPerSecond: 1e9 } },
            most: 3,
            binding: Binding.Memory,
        },
        {
            name: "engine time: 100 ms of prefill and 25 ms of decode in 500 ms",
            changes: { events: 12, deadlineMs: 500 },
            most: 4,
            binding: Binding.EngineTime,
        },
        {
            name: "a prompt of 600 ms is late on one engine",
            changes: { promptTokens: 600 },
            most: 0,
            binding: Binding.SingleRequest,
        },
        {
            name: "split over two engines, one prompt of 600 ms is on time",
            changes: { promptTokens: 600 },
            deployment: { ...oneEngine, engineCounts: [{ fromMs: 0, count: 2 }] },
            most: 1,
            binding: Binding.PrefillTime,
        },
        {
            name: "an engine that is lost after 200 ms counts until then",
            changes: {},
            deployment: { ...oneEngine, engineCounts: [{ fromMs: 0, count: 1 }, { fromMs: 200, count: 0 }] },
            most: 2,
            binding: Binding.PrefillTime,
        },
    ];
    for (const { name, changes, deployment = oneEngine, most, binding } of cases) {
        test(name, () => {
            const [bound] = computeCeiling(repeat(20, changes), deployment);
            assert.deepEqual([bound!.mostOnTime, bound!.leastLate, bound!.binding], [most, 20 - most, binding]);
        });
    }

    test("kinds compete for number and value in the row of all kinds only", () => {
        const requests = [
            ...repeat(10, { promptTokens: 110, valueLate: 0.5 }),
            ...repeat(10, { kind: "b", promptTokens: 275, valueOnTime: 8 }),
        ];
        const bounds = computeCeiling(requests, oneEngine);
        assert.deepEqual(bounds.map(bound => [bound.name, bound.mostOnTime, bound.mostValue]), [
            ["a", 5, 5 + 2.5],
            ["b", 2, 16],
            ["all kinds", 5, 16 + 5],
        ]);
    });

    test("idle time before and after a burst is not used for it", () => {
        const requests = [...repeat(1, {}), ...repeat(20, { arrivalMs: 2_000 }), ...repeat(1, { arrivalMs: 9_000 })];
        assert.equal(computeCeiling(requests, oneEngine)[0]!.mostOnTime, 1 + 5 + 1);
    });
});

test("lines with other text around their JSON are used, and each unused line is counted", () => {
    const file = parseDeploymentFile(JSON.stringify({
        engine,
        engines: 1,
        routes: { r: { kind: "a", firstEventTargetMs: 550, gapTargetMs: 100 } },
    }));
    const line = (fields: object) =>
        JSON.stringify({ time: "2026-12-04T10:00:01.000Z", event: LogEvent.RequestEnded, route: "r", ...fields });
    const input = collectCeilingInput([
        `gateway-1 {stdout} ${
            line({ tookMs: 900, readMs: 100, events: 9, firstEventMs: 1, result: "answered", status: 200 })
        } end`,
        line({ tookMs: 400, promptTokens: 100, result: "no-room", status: 503, deadlineMs: 700 }),
        line({ event: LogEvent.RequestRefused, status: 503 }),
        line({ event: LogEvent.RequestRefused, status: 401 }),
        line({ route: "other", tookMs: 1, readMs: 1 }),
        line({ tookMs: 1, droppedLines: 7 }),
        line({ event: LogEvent.EndpointChosen }),
        "npm start {",
    ], file);
    const margin = { first: 552, none: 2 };
    assert.deepEqual(
        input.requests.map((
            { arrivalMs, promptTokens, events, firstEventTargetMs, deadlineMs },
        ) => [arrivalMs, promptTokens, events, firstEventTargetMs, deadlineMs]),
        [[0, 99.5, 9, margin.first, 10_000 + margin.none], [500, 100, 1, margin.first, 700 + margin.none], [
            900,
            0,
            1,
            margin.first,
            10_000 + margin.none,
        ]],
    );
    assert.deepEqual([...input.observedOnTime], [["a", 1]]);
    assert.deepEqual([...input.unused.values()], [1, 1, 7, 1, 1, 1]);
});

test("a replayed policy never serves more on time than the bound, by kind, in all, and by value", () => {
    fc.assert(
        fc.property(
            fc.constantFrom(...replayLoads),
            fc.integer({ min: 1, max: 1_000 }),
            fc.double({ min: 0.2, max: 6, noNaN: true }),
            (load, seed, factor) => {
                const kinds = load.kinds.map(kind => ({ ...kind, perSecond: kind.perSecond * factor }));
                const requests: CeilingRequest[] = [];
                const served = new Map<ReplayKind | undefined, number>();
                let value = 0;
                runReplay({ ...load, durationMs: 2_000, kinds }, placeOnEngines, seed, chooseClaim, outcome => {
                    const { kind, arrivedAtMs: arrivalMs, promptTokens, isWithinTargets } = outcome;
                    const own = { ...kind, kind: kind.name, arrivalMs, promptTokens, deadlineMs: Infinity };
                    requests.push({ ...own, valueOnTime: kind.value, valueLate: 0 });
                    if (isWithinTargets) {
                        value += kind.value;
                        [kind, undefined].forEach(key => served.set(key, (served.get(key) ?? 0) + 1));
                    }
                });
                const engineCounts = [{ fromMs: 0, count: replayEngineCount }];
                const bounds = computeCeiling(requests, { engine: replayEngine, engineCounts, maxParts: 17 });
                for (const { name, mostOnTime } of bounds) {
                    const actual = served.get(kinds.find(kind => kind.name === name)) ?? 0;
                    assert.ok(actual <= mostOnTime, `${name}: ${actual} of at most ${mostOnTime}`);
                }
                assert.ok(value <= bounds.at(-1)!.mostValue + 1e-6);
            },
        ),
        { seed: 5, numRuns: 25 },
    );
});
