import fc from "fast-check";
import assert from "node:assert/strict";
import { suite, test } from "node:test";
import { ErrorCode } from "../../src/base/requestError.js";
import { createFairScheduler } from "../../src/scheduling/fairScheduler.js";
import { AdmitDecision, AdmitKind, Scheduler, WorkItem } from "../../src/scheduling/scheduler.js";
import { engineCapacity, makePolicy, threeRanks } from "./virtualEndpoint.js";

const seed = 20_251;

function makeItem(id: string, changes: Partial<WorkItem> = {}): WorkItem {
    return {
        id,
        rank: "normal",
        customer: "planner",
        kind: "question",
        promptTokens: 1_000,
        cachedTokens: 0,
        maxOutputTokens: 50,
        arrivedMs: 0,
        deadlineMs: 3_600_000,
        bodyBytes: 4_000,
        fingerprint: id,
        ...changes,
    };
}

function getRefusal(decision: AdmitDecision): Extract<AdmitDecision, { kind: AdmitKind.Refused }> {
    assert.equal(decision.kind, AdmitKind.Refused);
    return decision;
}

/** Runs the queue until `count` requests have started, one at a time, and returns their ids in order of start. */
function drainInOrder(scheduler: Scheduler, count: number): string[] {
    const order: string[] = [];
    for (let nowMs = 0; order.length < count && nowMs < 1_000_000; nowMs += 50) {
        for (const { id } of scheduler.takeNext(nowMs)) {
            order.push(id);
            scheduler.markFirstToken(id, nowMs);
            scheduler.complete(id, 50, nowMs);
        }
    }
    return order;
}

suite("order of queued work", () => {
    const cases: readonly {
        readonly name: string;
        readonly items: readonly WorkItem[];
        readonly weights?: Readonly<Record<string, number>>;
        readonly expected: readonly string[];
    }[] = [
        {
            name: "urgent work does not wait behind earlier work of lower ranks",
            items: [
                makeItem("bulk", { rank: "bulk" }),
                makeItem("normal"),
                makeItem("urgent", { rank: "urgent" }),
            ],
            expected: ["urgent", "normal", "bulk"],
        },
        {
            name: "a short prompt does not wait behind earlier long ones of its rank",
            items: [
                makeItem("long", { promptTokens: 200_000 }),
                makeItem("medium", { promptTokens: 20_000 }),
                makeItem("short"),
            ],
            expected: ["short", "medium", "long"],
        },
        {
            name: "one customer's backlog does not delay another customer's first request",
            items: [..."abcd"].map(id => makeItem(id, { customer: "large" })).concat(
                makeItem("x", { customer: "small" }),
            ),
            expected: ["a", "x", "b", "c", "d"],
        },
        {
            name: "twice the weight receives twice the service",
            items: [..."abcd"].map(id => makeItem(id, { customer: "double" }))
                .concat([..."wxyz"].map(id => makeItem(id, { customer: "single" }))),
            weights: { double: 2 },
            expected: ["a", "w", "b", "c", "x", "d", "y", "z"],
        },
        {
            name: "a request with a ticket keeps its position in its customer's queue",
            items: [makeItem("late"), makeItem("early", { arrivedMs: -60_000 })],
            expected: ["early", "late"],
        },
    ];
    for (const { name, items, weights, expected } of cases) {
        test(name, () => {
            const scheduler = createFairScheduler(makePolicy({
                // The endpoint has one slot, so that only the queue decides the order.
                capacity: { ...engineCapacity, maxRunning: 1 },
                getWeight: customer => weights?.[customer] ?? 1,
            }));
            items.forEach(item => scheduler.admit(item, 0));
            assert.deepEqual(drainInOrder(scheduler, items.length), expected);
        });
    }
});

suite("refusals", () => {
    test("a prompt that exceeds the memory is refused with the largest size that fits", () => {
        const scheduler = createFairScheduler(makePolicy());
        const refusal = getRefusal(scheduler.admit(makeItem("a", { promptTokens: 900_000 }), 0));
        assert.equal(refusal.code, ErrorCode.PromptTooLarge);
        const fitting = makeItem("b", { promptTokens: refusal.largestPromptTokens! });
        assert.equal(scheduler.admit(fitting, 0).kind, AdmitKind.Queued);
    });

    test("work that cannot meet its time limit is refused at once, and admitted when it retries after the given delay", () => {
        const scheduler = createFairScheduler(makePolicy());
        for (let index = 0; index < 20; index++) {
            scheduler.admit(makeItem(`queued-${index}`, { promptTokens: 40_000 }), 0);
        }
        const limited = makeItem("limited", { promptTokens: 40_000, deadlineMs: 30_000 });
        const refusal = getRefusal(scheduler.admit(limited, 0));
        assert.equal(refusal.code, ErrorCode.Overloaded);
        const backMs = refusal.retryAfterMs!;
        for (let nowMs = 0; nowMs < backMs; nowMs += 50) {
            for (const { id } of scheduler.takeNext(nowMs)) {
                // The engine computes 40,000 tokens in 2 s.
                scheduler.takeNext(nowMs + 2_000);
                scheduler.markFirstToken(id, nowMs + 2_000);
                scheduler.complete(id, 50, nowMs + 2_000);
                nowMs += 1_950;
            }
        }
        const again = { ...limited, id: "again", arrivedMs: backMs, deadlineMs: backMs + 30_000 };
        assert.equal(scheduler.admit(again, backMs).kind, AdmitKind.Queued);
    });

    test("queued work that can no longer meet its time limit is removed", () => {
        const scheduler = createFairScheduler(makePolicy());
        scheduler.admit(makeItem("a", { promptTokens: 20_000, deadlineMs: 2_000 }), 0);
        // The prefill takes 1 s, so after 1 s in the queue the limit of 2 s cannot be met.
        assert.deepEqual(scheduler.expire(990), []);
        assert.deepEqual(scheduler.expire(1_010).map(item => item.id), ["a"]);
        assert.equal(scheduler.report().queued, 0);
    });

    const floods: readonly {
        readonly name: string;
        readonly flood: Partial<WorkItem>;
        readonly newcomer: Partial<WorkItem>;
        readonly dropsFrom: string | undefined;
    }[] = [
        {
            name: "bulk work is dropped in favour of urgent work",
            flood: { rank: "bulk" },
            newcomer: { rank: "urgent" },
            dropsFrom: "flood",
        },
        {
            name: "urgent work above its share is dropped in favour of bulk work",
            flood: { rank: "urgent" },
            newcomer: { rank: "bulk", customer: "small" },
            dropsFrom: "flood",
        },
        {
            name: "a long backlog is dropped in favour of another customer of the rank",
            flood: {},
            newcomer: { customer: "small" },
            dropsFrom: "flood",
        },
        { name: "the customer that fills the queue is refused itself", flood: {}, newcomer: {}, dropsFrom: undefined },
    ];
    for (const { name, flood, newcomer, dropsFrom } of floods) {
        test(`in a full queue, ${name}`, () => {
            const scheduler = createFairScheduler(makePolicy({ maxQueuedRequests: 30 }));
            for (let index = 0; index < 30; index++) {
                scheduler.admit(makeItem(`flood-${index}`, { customer: "flood", ...flood }), 0);
            }
            const decision = scheduler.admit(makeItem("newcomer", { customer: "flood", ...newcomer }), 0);
            if (dropsFrom === undefined) {
                const refusal = getRefusal(decision);
                assert.equal(refusal.code, ErrorCode.Overloaded);
                assert.ok(refusal.retryAfterMs! > 0);
                return;
            }
            assert.equal(decision.kind, AdmitKind.Queued);
            assert.deepEqual(decision.dropped.map(item => item.id), ["flood-29"]);
        });
    }
});

type Step =
    | {
        readonly kind: "admit";
        readonly rank: number;
        readonly customer: number;
        readonly tokens: number;
        readonly suspect: boolean;
    }
    | { readonly kind: "token" | "complete" | "remove"; readonly pick: number }
    | { readonly kind: "expire" };

const pickStep = (kind: "token" | "complete" | "remove") =>
    fc.record({ kind: fc.constant(kind), pick: fc.nat({ max: 100 }) });
const steps: fc.Arbitrary<Step[]> = fc.array(
    fc.oneof(
        {
            weight: 4,
            arbitrary: fc.record({
                kind: fc.constant("admit" as const),
                rank: fc.nat({ max: 3 }),
                customer: fc.nat({ max: 5 }),
                tokens: fc.oneof(fc.integer({ min: 1, max: 5_000 }), fc.integer({ min: 1, max: 500_000 })),
                suspect: fc.boolean(),
            }),
        },
        { weight: 3, arbitrary: pickStep("complete") },
        { weight: 2, arbitrary: pickStep("token") },
        { weight: 1, arbitrary: pickStep("remove") },
        { weight: 1, arbitrary: fc.record({ kind: fc.constant("expire" as const) }) },
    ),
    { minLength: 20, maxLength: 300 },
);

test("no sequence of events exceeds the memory, the slots or the queue, loses an item, starts one twice or runs suspects together", () => {
    fc.assert(
        fc.property(steps, fc.integer({ min: 1, max: 2_000 }), (events, stepMs) => {
            const maxQueuedRequests = 12;
            const scheduler = createFairScheduler(makePolicy({
                capacity: { ...engineCapacity, maxRunning: 6 },
                isSuspect: fingerprint => fingerprint === "suspect",
                maxQueuedRequests,
            }));
            const queued = new Map<string, WorkItem>();
            const running = new Map<string, WorkItem>();
            const take = (map: Map<string, WorkItem>, pick: number) => [...map.keys()][pick % Math.max(1, map.size)];

            function apply(event: Step, nowMs: number, index: number) {
                switch (event.kind) {
                    case "admit": {
                        const item = makeItem(`item-${index}`, {
                            rank: threeRanks[event.rank]?.name ?? "not configured",
                            customer: `customer-${event.customer}`,
                            promptTokens: event.tokens,
                            arrivedMs: nowMs,
                            deadlineMs: nowMs + 60_000,
                            fingerprint: event.suspect ? "suspect" : String(index),
                        });
                        const decision = scheduler.admit(item, nowMs);
                        if (decision.kind === AdmitKind.Queued) {
                            queued.set(item.id, item);
                            decision.dropped.forEach(({ id }) => assert.ok(queued.delete(id), `${id} dropped twice`));
                        }
                        return;
                    }
                    case "expire":
                        scheduler.expire(nowMs).forEach(({ id }) =>
                            assert.ok(queued.delete(id), `${id} expired twice`)
                        );
                        return;
                    case "remove": {
                        const id = take(queued, event.pick);
                        assert.equal(scheduler.remove(id ?? "unknown"), id !== undefined && queued.delete(id));
                        return;
                    }
                    case "token":
                        scheduler.markFirstToken(take(running, event.pick) ?? "unknown", nowMs);
                        return;
                    case "complete": {
                        const id = take(running, event.pick) ?? "unknown";
                        scheduler.complete(id, 20, nowMs);
                        running.delete(id);
                    }
                }
            }

            events.forEach((event, index) => {
                const nowMs = index * stepMs;
                apply(event, nowMs, index);
                for (const item of scheduler.takeNext(nowMs)) {
                    assert.ok(queued.delete(item.id), `${item.id} started twice or after it left the queue`);
                    running.set(item.id, item);
                }
                const reserved = [...running.values()]
                    .reduce((sum, item) => sum + item.promptTokens + item.maxOutputTokens, 0);
                const report = scheduler.report();
                assert.ok(reserved <= engineCapacity.memoryTokens);
                assert.ok(running.size <= 6 && queued.size <= maxQueuedRequests);
                assert.deepEqual([report.reservedTokens, report.running, report.queued], [
                    reserved,
                    running.size,
                    queued.size,
                ]);
                assert.ok([...running.values()].filter(item => item.fingerprint === "suspect").length <= 1);
            });

            // All remaining items start once the endpoint is free, so that none is lost.
            let nowMs = events.length * stepMs;
            for (let round = 0; queued.size + running.size > 0 && round < 400; round++) {
                [...running.keys()].forEach(id => scheduler.complete(id, 20, nowMs));
                running.clear();
                nowMs += 50;
                for (const item of scheduler.takeNext(nowMs)) {
                    assert.ok(queued.delete(item.id));
                    running.set(item.id, item);
                }
            }
            assert.equal(queued.size + running.size, 0, "an item was lost");
        }),
        { seed, numRuns: 400 },
    );
});
