import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createSeededRandomSource } from "../../src/base/randomSource.js";
import {
    computeHostLimits,
    computeWaitingBytes,
    createPressureTracker,
    decidePressureRefusal,
    isUnreadyAllowed,
    PressureRefusal,
    PressureState,
} from "../../src/scheduling/hostPressure.js";
import { createLoopDelay } from "../../src/scheduling/loopDelay.js";
import { leastServiceMs, startVirtualHosts, targetMs } from "./support/virtualHost.js";

const capacity = { isProcessorLimited: true, memoryBytes: 250e6, linkBytesPerMs: 1_750, maxDescriptors: 4_100 };
const limits = computeHostLimits(capacity, targetMs);
const calm = { loopDelayMs: 0, heldBytes: 0, waitingBytes: 0, descriptors: 0 };
/** Late requests of the smallest hosts, in relation to those of the largest, that are allowed. */
const maxLateFactor = 1.2;

type Results = ReturnType<typeof startVirtualHosts>["hosts"];

/** Computes how much more often the first host is late than the second. */
function computeLateFactor(hosts: Results): number {
    const [small, large] = hosts.map(({ result }) => result.late / result.served);
    return small! / large!;
}

const listActions = (hosts: Results) => hosts.map(({ result }) => result.refused + result.changes);
/** One smallest host and three large ones, so that one of them may be unready. */
const startMixedHosts = (seed: number) => startVirtualHosts([0.24, 1, 1, 1], capacity, createSeededRandomSource(seed));

describe("a small host and large ones", () => {
    test("are late equally often and refuse nothing under a load that all carry", () => {
        const { hosts, run } = startMixedHosts(1);
        run(60_000, 90);
        assert.deepEqual(listActions(hosts), [0, 0, 0, 0]);
        assert.ok(computeLateFactor(hosts) <= maxLateFactor);
    });

    for (const rate of [130, 200, 400]) {
        test(`: a burst of ${rate}/s that only the small one cannot carry does not make it late more often`, () => {
            const { hosts, run } = startMixedHosts(2);
            run(10_000, 60);
            run(20_000, rate);
            run(30_000, 60);
            assert.ok(computeLateFactor(hosts) <= maxLateFactor);
            assert.ok(hosts[0]!.result.refused > 0);
            assert.deepEqual(listActions(hosts.slice(1)), [0, 0, 0]);
        });
    }

    test("that are all over their limits are unready for at most 4 s, an eighth of the time and a third of them", () => {
        const { hosts, run } = startVirtualHosts(Array<number>(9).fill(0.24), capacity, createSeededRandomSource(3));
        const durationMs = 120_000;
        let mostUnready = 0;
        run(durationMs, 250, false, () => {
            mostUnready = Math.max(mostUnready, hosts.filter(host => !host.isReady()).length);
        });
        assert.equal(mostUnready, 3);
        assert.ok(hosts.every(({ result }) => result.longestUnreadyMs <= 4_000 && result.unreadyMs <= durationMs / 8));
    });

    test("take a pause of the process for no load", () => {
        const { hosts, run } = startMixedHosts(4);
        run(5_000, 45);
        run(3_000, 45, true);
        run(12_000, 45);
        assert.deepEqual(listActions(hosts), [0, 0, 0, 0]);
    });
});

test("a gap in which the process was busy is load, although it is as long as a pause", () => {
    const loopDelay = createLoopDelay(100, 0);
    assert.ok(!loopDelay.observe(2_000, 480));
    assert.ok(loopDelay.getMeanMs() > limits.loopDelayMs);
});

test("gateways that apply at once agree on those that may be unready, and one or two never are", () => {
    const addresses = ["a", "b", "c", "d", "e", "f"];
    const selectAllowed = (state: PressureState) =>
        addresses.filter(ownAddress => {
            const others = addresses.filter(address => address !== ownAddress);
            const pressed = others.map(address => ({ address, state }));
            return isUnreadyAllowed({ ownAddress, heard: others, pressed }, state === PressureState.Unready);
        });
    assert.deepEqual(selectAllowed(PressureState.Applying), ["a", "b"]);
    // After lost messages, more can be unready than may be: the same ones stay so.
    assert.deepEqual(selectAllowed(PressureState.Unready), ["a", "b"]);
    for (const heard of [[], ["b"]]) {
        assert.ok(!isUnreadyAllowed({ ownAddress: "a", heard, pressed: [] }, false));
    }
});

test("a state lasts for a second, and pressure just below its limit does not end it", () => {
    const tracker = createPressureTracker(0);
    const peers = { ownAddress: "a", heard: [], pressed: [] };
    const states = [1, 0, 0.9, 0.9, 0.7].map((pressure, index) => tracker.advance(pressure, peers, index * 500));
    assert.deepEqual(states, [1, 1, 1, 1, 0]);
});

describe("a request under pressure", () => {
    const short = { isLong: false, bodyBytes: 2_000, remainingMs: targetMs, leastServiceMs };
    const long = { ...short, isLong: true };
    const decide = (request: typeof short, state: PressureState, changes: Partial<typeof calm>, currentDelayMs = 0) =>
        decidePressureRefusal({ state, capacity, limits, measures: { ...calm, ...changes }, currentDelayMs }, request);

    test("that can be on time is accepted in every state unless memory or descriptors would be exhausted", () => {
        for (const state of [1, 2, 3, 4]) {
            assert.equal(decide(short, state, { heldBytes: 220e6, descriptors: 3_600 }, 180), undefined);
            assert.equal(decide(long, state, { waitingBytes: 500_000 }), undefined);
            assert.equal(decide(short, state, { heldBytes: 240e6 }), PressureRefusal.MemoryExhausted);
            assert.equal(decide(short, state, { descriptors: 3_900 }), PressureRefusal.DescriptorsExhausted);
        }
    });

    test("that is very long is refused while memory exceeds its limit", () => {
        assert.equal(decide(long, PressureState.NoLongPrompts, { heldBytes: 201e6 }), PressureRefusal.LongPrompt);
        assert.equal(decide(long, PressureState.None, { heldBytes: 201e6 }), undefined);
    });

    test("that cannot be on time because of the event loop or the link is refused", () => {
        assert.equal(decide(short, PressureState.OnTimeOnly, {}, 200), PressureRefusal.TooLate);
        assert.equal(decide(short, PressureState.OnTimeOnly, { waitingBytes: 700_000 }), PressureRefusal.TooLate);
        assert.equal(decide(short, PressureState.NoLongPrompts, {}, 200), undefined);
    });

    test("is not refused because customers read slowly: bytes wait only while the link is busy", () => {
        const use = { unsentBytes: 5e6, elapsedMs: 500 };
        assert.equal(computeWaitingBytes({ ...use, sentBytes: 100_000 }, capacity.linkBytesPerMs), 0);
        assert.equal(computeWaitingBytes({ ...use, sentBytes: 800_000 }, capacity.linkBytesPerMs), 5e6);
    });
});
