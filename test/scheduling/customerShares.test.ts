import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createMetrics } from "../../src/base/metrics.js";
import { createCustomerMetrics, CustomerEvent } from "../../src/gateway/customerMetrics.js";
import { PlacementStage } from "../../src/routing/enginePlacement.js";
import { chooseStage, predictEngineStartMs } from "../../src/routing/engineShare.js";
import { countPlaces } from "../../src/routing/plainPlacement.js";
import { findCustomer, makeWorkKey } from "../../src/routing/workKey.js";
import { compareWaiting, computeOrderDelayMs, WaitingClass, WaitingWork } from "../../src/scheduling/compareWaiting.js";
import { createCustomerUsage, reportEndMs } from "../../src/scheduling/customerUsage.js";
import {
    collectWaitingGroups,
    createPeerWaiting,
    isLeftToPeer,
    WaitingGroup,
} from "../../src/scheduling/peerWaiting.js";
import { isStartExpected, predictStartMs } from "../../src/scheduling/predictStart.js";
import { createReturningRequests } from "../../src/scheduling/returningRequests.js";
import { createYieldCycle } from "../../src/scheduling/yieldCycle.js";

const [large, small] = [1, 2];
/** Longest time between two placement runs while short requests wait. */
const longestRunDelayMs = 16;

function makeGroup(changes: Partial<WaitingGroup> = {}): WaitingGroup {
    return { service: "desk", customer: small, rank: 0, latestStartMs: 1_000, needMs: 0, count: 1, ...changes };
}

function makeWork(arrivedAtMs: number, slackMs: number, isAboveShare: boolean): WaitingWork {
    return {
        rank: 0,
        softStartDeadlineMs: arrivedAtMs + slackMs,
        hardStartDeadlineMs: arrivedAtMs + slackMs,
        prefillMs: 0,
        orderDelayMs: computeOrderDelayMs(isAboveShare, slackMs, 0),
        isAboveShare,
    };
}

describe("use of a service by its customers", () => {
    test("one at twenty times the others is above its share and the others are not, whichever gateway saw it", () => {
        const usage = createCustomerUsage();
        usage.record("desk", small, 100, 0);
        usage.record("desk", 3, 100, 0);
        usage.applyReport("10.0.0.2:7", [{ service: "desk", customer: large, usedMs: 2_000 }], 0);
        assert.deepEqual([large, small, 3].map(customer => usage.isAboveShare("desk", customer, 10)), [
            true,
            false,
            false,
        ]);
    });

    test("a customer alone, or two that use about the same, are not limited", () => {
        const usage = createCustomerUsage();
        usage.record("desk", large, 5_000, 0);
        assert.equal(usage.isAboveShare("desk", large, 0), false);
        usage.record("desk", small, 4_500, 30);
        assert.equal(usage.isAboveShare("desk", large, 60), false);
    });

    test("a report that is not repeated ends, so that a gateway that stopped limits nobody for long", () => {
        const usage = createCustomerUsage();
        usage.applyReport("10.0.0.2:7", [{ service: "desk", customer: large, usedMs: 2_000 }], 0);
        usage.record("desk", small, 1, 0);
        assert.equal(usage.isAboveShare("desk", large, 100), true);
        assert.equal(usage.isAboveShare("desk", large, reportEndMs + 1), false);
    });

    test("is bounded: of more than 64 customers the one that used least is dropped", () => {
        const usage = createCustomerUsage();
        for (let customer = 0; customer < 80; customer++) {
            usage.record("desk", customer, 1 + customer, 0);
        }
        const listed = usage.listOwn(0);
        assert.equal(listed.length, 64);
        assert.ok(!listed.some(use => use.customer === 0));
    });
});

describe("shares of engine time", () => {
    test("a few very long prompts at low load are not above a share, so that they do not wait behind a burst of short ones", () => {
        const usage = createCustomerUsage();
        usage.record("models", large, 20_000, 0);
        usage.record("models", small, 100, 0);
        usage.setEngines("models", 22);
        assert.equal(usage.isAboveShare("models", large, 0), false);
        usage.record("models", large, 60_000, 30);
        assert.equal(usage.isAboveShare("models", large, 30), true);
    });

    test("no free slot is left to better claims for longer than 40 ms with the time to the next run", () => {
        const cycle = createYieldCycle();
        let closedMs = 0;
        for (let nowMs = 0; nowMs < 1_000; nowMs++) {
            closedMs = cycle.isYielding("models", nowMs) ? closedMs + 1 : 0;
            assert.ok(closedMs + longestRunDelayMs <= 40);
        }
    });

    test("work above its share that is late delays no other work while that waits, and is refused when it would start late", () => {
        assert.equal(chooseStage(PlacementStage.LeastDisruptive, true), PlacementStage.NonDisruptive);
        assert.equal(chooseStage(PlacementStage.InTime, true), PlacementStage.InTime);
        const backlog = { aheadPrefillMs: 0, pendingPrefillMs: 0, endpoints: 14, running: 150, residenceMs: 1_500 };
        assert.equal(predictEngineStartMs({ ...backlog, ahead: 39 }), 400);
    });

    test("other gateways learn the customer of running work, and older ones get keys that they accept", () => {
        assert.equal(findCustomer(makeWorkKey("10.0.0.2:7340/1", 7, 12)), 12);
        assert.equal(findCustomer(makeWorkKey("10.0.0.2:7340/1", 7, undefined)), undefined);
    });
});

describe("counters by customer", () => {
    test("name 64 customers at most, the busiest among them, so that many customers do not grow the metrics without bound", () => {
        const metrics = createMetrics();
        const customers = createCustomerMetrics(metrics, "a");
        for (let index = 0; index < 1_000; index++) {
            for (const customer of ["busy", `rare-${index}`]) {
                customers.recordArrival(customer);
                customers.count(CustomerEvent.Late, "plain", customer, "b");
            }
        }
        const lines = metrics.render().split("\n").filter(line =>
            line.startsWith("jujubelane_customer_requests_total")
        );
        assert.ok(lines.length <= 65, `${lines.length} series`);
        assert.ok(
            lines.includes(
                'jujubelane_customer_requests_total{event="late",kind="plain",customer="busy",data_centre="b"} 1000',
            ),
        );
    });
});

describe("order of the work of several customers", () => {
    test("work above its share comes after work of others that arrives until its latest start, and before later work", () => {
        const flood = makeWork(0, 500, true);
        assert.ok(compareWaiting(makeWork(900, 500, false), flood, 0) < 0);
        assert.ok(compareWaiting(makeWork(1_100, 500, false), flood, 0) > 0, "starves");
    });

    test("an urgent request above its share still comes before one with a long target of the same time", () => {
        assert.ok(compareWaiting(makeWork(0, 200, true), makeWork(0, 6_000, false), 0) < 0);
    });

    test("a request above its share that comes back gains on its like and not on others", () => {
        const gain = computeOrderDelayMs(true, 500, 10_000);
        assert.ok(gain < computeOrderDelayMs(true, 500, 0));
        assert.ok(gain > computeOrderDelayMs(false, 500, 0));
    });
});

describe("places of a plain endpoint", () => {
    test("one at least is left to customers within their share, except where there is only one", () => {
        for (let slots = 1; slots <= 64; slots++) {
            const places = countPlaces(slots, undefined);
            assert.equal(places, Math.ceil(slots * 1.5));
            assert.ok(countPlaces(slots, 1) < places && countPlaces(slots, 1) >= slots);
            assert.ok(countPlaces(slots, 4) >= 1);
        }
    });
});

describe("predicted start", () => {
    test("is at once while a place is free or nothing is known, so that nobody is refused for nothing", () => {
        assert.equal(predictStartMs({ ahead: 3, freePlaces: 4, running: 6, residenceMs: 100 }), 0);
        assert.equal(predictStartMs({ ahead: 90, freePlaces: 0, running: 6 }), 0);
        assert.ok(isStartExpected(0, -5));
    });

    test("half the endpoints lost within a second doubles it", () => {
        const before = predictStartMs({ ahead: 39, freePlaces: 0, running: 10, residenceMs: 100 });
        const after = predictStartMs({ ahead: 39, freePlaces: 0, running: 5, residenceMs: 100 });
        assert.deepEqual([before, after], [400, 800]);
    });
});

describe("requests that come back after a refusal", () => {
    test("a third that retries at once keeps its first arrival, once for each refusal", () => {
        const returning = createReturningRequests();
        returning.recordRefusal("a", 5, 10);
        returning.recordRefusal("a", 6, 11);
        assert.deepEqual([1, 2, 3].map(() => returning.takeFirstArrival("a", 20)), [5, 6, undefined]);
        returning.recordRefusal("b", 5, 10);
        assert.equal(returning.takeFirstArrival("b", 20_000), undefined);
    });

    test("are bounded in number", () => {
        const returning = createReturningRequests();
        for (let index = 0; index < 3_000; index++) {
            returning.recordRefusal(`request ${index}`, index, index / 1_000);
        }
        assert.equal(returning.takeFirstArrival("request 0", 3), undefined);
        assert.equal(returning.takeFirstArrival("request 2999", 3), 2_999);
    });
});

describe("what waits at other gateways", () => {
    const isAbove = (customer: number) => customer === large;

    test("a place is left to a better claim for a bounded time, so that a lost gateway keeps no place free", () => {
        const peers = createPeerWaiting();
        peers.apply("10.0.0.2:7", [makeGroup()], 0);
        const groups = peers.list("desk", 0);
        assert.equal(isLeftToPeer(WaitingClass.AboveShare, groups, isAbove, 10), true);
        assert.equal(isLeftToPeer(WaitingClass.WithinShare, groups, isAbove, 10), false);
        assert.equal(isLeftToPeer(WaitingClass.AboveShare, groups, isAbove, 60), false);
    });

    test("ends with a count of 0 or after a second", () => {
        const peers = createPeerWaiting();
        peers.apply("10.0.0.2:7", [makeGroup(), makeGroup({ customer: large, count: 7 })], 0);
        assert.equal(peers.countAll(0), 8);
        peers.apply("10.0.0.2:7", [makeGroup({ count: 0 })], 10);
        assert.equal(peers.countAll(10), 7);
        assert.equal(peers.countAll(1_100), 0);
    });

    test("groups have the earliest latest start and the sum of what they need, eight at most", () => {
        const [group] = collectWaitingGroups([makeGroup({ needMs: 5 }), makeGroup({ latestStartMs: 700, needMs: 6 })]);
        assert.deepEqual(group, makeGroup({ latestStartMs: 700, needMs: 11, count: 2 }));
        const many = Array.from({ length: 20 }, (unused, customer) => makeGroup({ customer }));
        assert.equal(collectWaitingGroups(many).length, 8);
    });
});
