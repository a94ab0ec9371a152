import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createRequestLimits, HeldRequest, LimitRefusal } from "../../src/scheduling/requestLimits.js";

const settings = { maxRequests: 100, maxBytes: 10_000 };
const ranks = ["urgent", "normal", "bulk"];

function fill(limits: ReturnType<typeof createRequestLimits>, request: HeldRequest): number {
    let held = 0;
    while (held <= settings.maxRequests && limits.acquire(request) === undefined) {
        held++;
    }
    return held;
}

describe("limits of an entry", () => {
    const floods: readonly (readonly [string, HeldRequest, HeldRequest])[] = [
        [
            "a flood of the least urgent rank leaves room for urgent work",
            { rank: "bulk", customer: "large", bytes: 10 },
            { rank: "urgent", customer: "planner", bytes: 10 },
        ],
        [
            "a flood of large bodies leaves room for urgent work",
            { rank: "bulk", customer: "large", bytes: 2_000 },
            { rank: "urgent", customer: "planner", bytes: 500 },
        ],
        [
            "the same customer's flood of bulk work does not shut out its urgent work",
            { rank: "bulk", customer: "large", bytes: 10 },
            { rank: "urgent", customer: "large", bytes: 10 },
        ],
    ];
    for (const [name, flood, other] of floods) {
        test(name, () => {
            const limits = createRequestLimits(settings);
            limits.update(ranks);
            // One customer is limited to its fair share, so several fill the rank's share together.
            for (const customer of [flood.customer, "large-2", "large-3", "large-4"]) {
                fill(limits, { ...flood, customer });
            }
            assert.notEqual(limits.acquire(flood), undefined);
            assert.equal(limits.acquire(other), undefined);
        });
    }

    test("a large customer cannot shut out a small one of the same rank", () => {
        const limits = createRequestLimits(settings);
        limits.update(ranks);
        limits.acquire({ rank: "bulk", customer: "small", bytes: 1 });
        const held = fill(limits, { rank: "bulk", customer: "large", bytes: 1 });
        assert.ok(held < 75 * 0.6, `the large customer holds ${held}`);
        assert.equal(limits.acquire({ rank: "bulk", customer: "large", bytes: 1 }), LimitRefusal.Customer);
        assert.equal(limits.acquire({ rank: "bulk", customer: "small", bytes: 1 }), undefined);
    });

    test("the limits hold and released capacity is available again, for any order of requests", () => {
        const request = fc.record({
            rank: fc.constantFrom(...ranks, "unknown"),
            customer: fc.constantFrom("a", "b", "c"),
            bytes: fc.integer({ min: 0, max: 4_000 }),
        });
        const step = fc.record({ request, releases: fc.boolean() });
        fc.assert(
            fc.property(fc.array(step, { maxLength: 300 }), steps => {
                const limits = createRequestLimits(settings);
                limits.update(ranks);
                const held: HeldRequest[] = [];
                for (const { request, releases } of steps) {
                    const released = releases ? held.pop() : undefined;
                    if (released) {
                        limits.release(released);
                    }
                    else if (limits.acquire(request) === undefined) {
                        held.push(request);
                    }
                    const { requests, bytes } = limits.getUsage();
                    assert.ok(requests <= settings.maxRequests && bytes <= settings.maxBytes);
                    assert.equal(requests, held.length);
                }
                held.forEach(item => limits.release(item));
                assert.deepEqual(limits.getUsage(), { requests: 0, bytes: 0 });
            }),
            { seed: 20_261_204, numRuns: 300 },
        );
    });
});
