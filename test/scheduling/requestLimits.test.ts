import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createRequestLimits, LimitedRequest, LimitRefusal } from "../../src/scheduling/requestLimits.js";

const settings = { maxRequests: 100, maxBytes: 10_000 };
const ranks = ["urgent", "normal", "bulk"];

function fill(limits: ReturnType<typeof createRequestLimits>, request: LimitedRequest): number {
    let admitted = 0;
    while (admitted <= settings.maxRequests && limits.acquire(request) === undefined) {
        admitted++;
    }
    return admitted;
}

describe("limits of an entry", () => {
    const floods: readonly (readonly [string, LimitedRequest, LimitedRequest])[] = [
        [
            "a flood of the least urgent rank leaves capacity for urgent work",
            { rank: "bulk", customer: "large", bytes: 10 },
            { rank: "urgent", customer: "planner", bytes: 10 },
        ],
        [
            "a flood of large bodies leaves capacity for urgent work",
            { rank: "bulk", customer: "large", bytes: 2_000 },
            { rank: "urgent", customer: "planner", bytes: 500 },
        ],
        [
            "a customer's flood of bulk work does not starve its urgent work",
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

    test("a large customer cannot starve a small one of the same rank", () => {
        const limits = createRequestLimits(settings);
        limits.update(ranks);
        limits.acquire({ rank: "bulk", customer: "small", bytes: 1 });
        const admitted = fill(limits, { rank: "bulk", customer: "large", bytes: 1 });
        assert.ok(admitted < 75 * 0.6, `the large customer holds ${admitted}`);
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
                const admitted: LimitedRequest[] = [];
                for (const { request, releases } of steps) {
                    const released = releases ? admitted.pop() : undefined;
                    if (released) {
                        limits.release(released);
                    }
                    else if (limits.acquire(request) === undefined) {
                        admitted.push(request);
                    }
                    const { requests, bytes } = limits.getUsage();
                    assert.ok(requests <= settings.maxRequests && bytes <= settings.maxBytes);
                    assert.equal(requests, admitted.length);
                }
                admitted.forEach(item => limits.release(item));
                assert.deepEqual(limits.getUsage(), { requests: 0, bytes: 0 });
            }),
            { seed: 20_261_204, numRuns: 300 },
        );
    });
});
