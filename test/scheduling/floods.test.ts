import fc from "fast-check";
import assert from "node:assert/strict";
import { suite, test } from "node:test";
import { RandomSource } from "../../src/base/randomSource.js";
import { createFairScheduler } from "../../src/scheduling/fairScheduler.js";
import { createFirstComeScheduler } from "../../src/scheduling/firstComeScheduler.js";
import {
    computeJainIndex,
    computePercentile,
    engineCapacity,
    formatResult,
    makePolicy,
    runEndpoint,
    RunResult,
    Stream,
    StreamResult,
    threeRanks,
} from "./virtualEndpoint.js";

const options = { durationMs: 240_000, warmUpMs: 60_000, seed: 7 };
const urgent: Stream = {
    name: "urgent",
    rank: "urgent",
    customer: "rota",
    requestsPerSecond: 4,
    promptTokens: random => 1_000 + 2_000 * random(),
    outputTokens: 40,
    limitMs: 10_000,
};
const normal: Stream = {
    name: "normal",
    rank: "normal",
    customer: "ledger",
    requestsPerSecond: 1,
    promptTokens: random => 2_000 + 4_000 * random(),
    outputTokens: 80,
    limitMs: 120_000,
};
/** Contract summaries of 10,000 to 260,000 tokens. A rate of 3 per second is ten times an engine's capacity. */
const bulk: Stream = {
    name: "bulk",
    rank: "bulk",
    customer: "contracts",
    requestsPerSecond: 3,
    promptTokens: (random: RandomSource) => 10_000 + random() * random() * 250_000,
    outputTokens: 100,
    limitMs: 3_600_000,
};

function makeCustomers(name: string, count: number, requestsPerSecond: number): Stream[] {
    return Array.from({ length: count }, (unused, index) => ({
        ...urgent,
        name: `${name}-${index}`,
        customer: `${name}-${index}`,
        requestsPerSecond,
    }));
}

function runFair(streams: readonly Stream[]): RunResult {
    return runEndpoint(createFairScheduler(makePolicy()), streams, options);
}

function run(name: string, streams: readonly Stream[]): RunResult {
    const fair = runFair(streams);
    const firstCome = runEndpoint(createFirstComeScheduler(makePolicy()), streams, options);
    // Prints the figures of both schedulers, so that a run shows the difference.
    console.log(`${formatResult(`${name}, fair:`, fair)}\n${formatResult(`${name}, first-come:`, firstCome)}`);
    return fair;
}

function get(result: RunResult, name: string): StreamResult {
    return result.streams.get(name)!;
}

function p95(result: RunResult, ...names: readonly string[]): number {
    return computePercentile(names.flatMap(name => get(result, name).firstTokenMs), 0.95);
}

function assertAtMost(actual: number, bound: number, what: string) {
    assert.ok(actual <= bound, `${what}: ${actual} exceeds ${bound}`);
}

suite("targets of the design in virtual time", () => {
    const baseline = runFair([urgent, normal]);

    for (
        const [name, flood] of [
            ["long prompts", bulk],
            ["short prompts", { ...bulk, requestsPerSecond: 200, promptTokens: () => 1_000 }],
        ] as const
    ) {
        test(`a flood of the least urgent rank with ${name} does not slow urgent and normal work`, () => {
            const result = run(`flood of bulk, ${name}`, [urgent, normal, flood]);
            const { failed, refused, offered } = get(result, "urgent");
            assertAtMost(failed + refused, offered * 0.01, "urgent requests not in time");
            assertAtMost(p95(result, "urgent"), 1.2 * p95(baseline, "urgent"), "urgent p95 first token");
            const throughput = get(result, "normal").completed / get(result, "normal").offered;
            assert.ok(throughput >= 0.9 * get(baseline, "normal").completed / get(baseline, "normal").offered);
            assert.ok(result.prefillBusy >= 0.9, `busy ${result.prefillBusy}`);
        });
    }

    test("a flood of the most urgent rank leaves every rank its share and keeps admitted urgent work in time", () => {
        const flood = { ...urgent, requestsPerSecond: 100 };
        const result = run("flood of urgent", [flood, { ...normal, requestsPerSecond: 4 }, bulk]);
        const total = [...result.streams.values()].reduce((sum, stream) => sum + stream.prefilled, 0);
        for (const name of ["normal", "bulk"]) {
            const share = get(result, name).prefilled / total;
            assert.ok(share >= 0.045, `${name} received ${share} of a share of 0.05`);
        }
        const { failed, completed } = get(result, "urgent");
        assertAtMost(failed, 0.01 * (failed + completed), "admitted urgent requests late");
    });

    test("two customers that each send twenty times as much as the others do not slow the others down", () => {
        const small = makeCustomers("small", 8, 0.5);
        const names = small.map(stream => stream.name);
        const alone = runFair(small);
        const result = run("two large customers", [...small, ...makeCustomers("large", 2, 10)]);
        assertAtMost(p95(result, ...names), 1.3 * p95(alone, ...names), "small customers' p95 first token");
        assert.equal(names.reduce((sum, name) => sum + get(result, name).refused + get(result, name).failed, 0), 0);
    });

    for (const [basis, cost] of [["token", undefined], ["weighted request", () => 1]] as const) {
        test(`customers beyond their share receive equal service by ${basis}`, () => {
            const streams = [...makeCustomers("small", 8, 4), ...makeCustomers("large", 2, 80)];
            const policy = makePolicy(cost && { cost });
            const result = runEndpoint(createFairScheduler(policy), streams, options);
            const service = [...result.streams.values()].map(stream => cost ? stream.completed : stream.prefilled);
            const index = computeJainIndex(service);
            console.log(`Jain's index by ${basis}: ${index.toFixed(4)}`);
            assert.ok(index >= 0.95, `Jain's index ${index}`);
        });
    }

    test("short prompts are as fast beside long ones as alone", () => {
        const short = { ...urgent, name: "short", rank: "normal" };
        const long = { ...bulk, name: "long", customer: "other", rank: "normal", requestsPerSecond: 0.1 };
        const alone = runFair([short]);
        const result = run("short beside long", [short, long]);
        assertAtMost(p95(result, "short"), 1.2 * p95(alone, "short"), "p95 first token of short prompts");
        assertAtMost(p95(result, "short"), 320, "p95 first token of short prompts in ms");
    });
});

test("a flood of short prompts does not starve a long one of the same rank", () => {
    const short = { ...urgent, requestsPerSecond: 30, promptTokens: () => 1_000 };
    const long = { ...urgent, name: "long", requestsPerSecond: 0.02, promptTokens: () => 40_000, limitMs: 600_000 };
    const { longestWaitMs, firstTokenMs } = get(runFair([short, { ...long, customer: "other" }]), "long");
    // With a tenth of the rank's service, 40,000 tokens take 20 s, and one other long prompt may be ahead.
    assert.ok(firstTokenMs.length > 0);
    assertAtMost(longestWaitMs, 60_000, "wait of a long prompt in ms");
});

const floodedRank = fc.record({
    tokens: fc.integer({ min: 1_000, max: 60_000 }),
    customers: fc.integer({ min: 1, max: 4 }),
    share: fc.double({ min: 0.05, max: 0.25, noNaN: true }),
});

test("any flood of all ranks leaves each its configured share within a fifth of it", () => {
    fc.assert(
        fc.property(fc.tuple(floodedRank, floodedRank, floodedRank), fc.nat({ max: 1e6 }), (floods, seed) => {
            const streams = floods.flatMap(({ tokens, customers }, rankIndex) =>
                Array.from({ length: customers }, (unused, customer): Stream => ({
                    name: `${rankIndex}-${customer}`,
                    rank: threeRanks[rankIndex]!.name,
                    customer: `customer-${customer}`,
                    // Each rank sends at twice the engine's rate.
                    requestsPerSecond: 2 * engineCapacity.prefillTokensPerSecond / tokens / customers,
                    promptTokens: () => tokens,
                    outputTokens: 10,
                    limitMs: 3_600_000,
                }))
            );
            const ranks = threeRanks.map((rank, index) => ({ ...rank, share: floods[index]!.share }));
            const result = runEndpoint(createFairScheduler(makePolicy({ ranks })), streams, {
                durationMs: 90_000,
                warmUpMs: 30_000,
                seed,
            });
            const total = [...result.streams.values()].reduce((sum, { prefilled }) => sum + prefilled, 0);
            assert.ok(result.prefillBusy >= 0.9, `busy ${result.prefillBusy}`);
            assert.ok(result.peakReservedTokens <= engineCapacity.memoryTokens);
            ranks.forEach(({ share, name }, rankIndex) => {
                const served = [...result.streams].filter(([stream]) => stream.startsWith(`${rankIndex}-`))
                    .reduce((sum, [, { prefilled }]) => sum + prefilled, 0);
                assert.ok(served / total >= share * 0.8, `${name} received ${served / total} of ${share}`);
            });
        }),
        { seed: 11, numRuns: 20 },
    );
});

test("no flood of other customers makes a small customer of the rank wait longer than two prompts of theirs", () => {
    fc.assert(
        fc.property(
            fc.integer({ min: 1, max: 8 }),
            fc.integer({ min: 500, max: 4_000 }),
            fc.integer({ min: 500, max: 4_000 }),
            fc.nat({ max: 1e6 }),
            (customers, floodTokens, smallTokens, seed) => {
                const flood = makeCustomers(
                    "large",
                    customers,
                    3 * engineCapacity.prefillTokensPerSecond / floodTokens / customers,
                )
                    .map(stream => ({ ...stream, promptTokens: () => floodTokens }));
                const small = {
                    ...urgent,
                    name: "small",
                    customer: "small",
                    requestsPerSecond: 0.2,
                    promptTokens: () => smallTokens,
                };
                const limits = { durationMs: 60_000, warmUpMs: 5_000, seed };
                const alone = get(runEndpoint(createFairScheduler(makePolicy()), [small], limits), "small");
                const beside = get(runEndpoint(createFairScheduler(makePolicy()), [small, ...flood], limits), "small");
                const promptsMs = 2 * floodTokens / engineCapacity.prefillTokensPerSecond * 1_000;
                assert.equal(beside.refused + beside.failed, 0);
                // The scheduling tick of 50 ms and the engine step of 5 ms add 55 ms.
                assertAtMost(beside.longestWaitMs, alone.longestWaitMs + promptsMs + 55, "longest wait in ms");
            },
        ),
        { seed: 12, numRuns: 20 },
    );
});
