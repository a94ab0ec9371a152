import assert from "node:assert/strict";
import { test } from "node:test";
import { createSingleGroupFairness } from "../../bench/replay/replay.js";
import { createManualTimerService } from "../../src/base/manualTimerService.js";
import { createPlacementQueue } from "../../src/gateway/placementQueue.js";
import { createEndpointDirectory, defaultDirectorySettings } from "../../src/membership/endpointDirectory.js";
import { createEndpointHealth } from "../../src/membership/endpointHealth.js";
import { createEndpointSubset } from "../../src/membership/endpointSubset.js";
import { EndpointState } from "../../src/ports/endpointRecord.js";
import { chooseClaim } from "../../src/routing/engineClaim.js";
import { placeOnEngines } from "../../src/routing/enginePlacement.js";
import { createLoadLedger } from "../../src/routing/loadLedger.js";
import { createSlowdownEstimate } from "../../src/routing/slowdownEstimate.js";

/** Guards against requests that wait for their turn and are then answered 504, because it comes just before the deadline. */
test("a request of a plain service whose latest start has passed between two runs is refused, although a place is free", () => {
    const timers = createManualTimerService();
    const directory = createEndpointDirectory(defaultDirectorySettings);
    directory.applyRecord({
        id: "desk-0",
        service: "desk",
        address: "10.0.0.1:80",
        dataCentre: "a",
        slots: 1,
        state: EndpointState.Ready,
    }, 0);
    let isOpen = false;
    const queue = createPlacementQueue({
        timers,
        directory,
        endpointSubset: createEndpointSubset(directory, endpoints => endpoints),
        health: createEndpointHealth(),
        slowdownEstimate: createSlowdownEstimate(),
        ledger: createLoadLedger(),
        dataCentre: "a",
        orderSeed: "",
        keyPrefix: "x",
        random: () => 1,
        placeOnEngines,
        chooseClaim,
        reportChange: () => undefined,
        quota: {
            isOpen: () => isOpen,
            isLastChoice: () => false,
            getShare: () => Infinity,
            recordDispatch: () => undefined,
        },
        gate: { isOpen: () => true, isLastChoice: () => false, getOpensInMs: () => 0 },
        fairness: createSingleGroupFairness(),
    });
    const ends: string[] = [];
    const submit = (timeoutMs: number) =>
        queue.submit({
            service: { name: "desk" },
            rank: 0,
            arrivedAtMs: timers.now(),
            dueAtMs: timers.now() + timeoutMs,
            customerTimeoutAtMs: timers.now() + timeoutMs,
            isUnsafe: false,
            avoid: new Set(),
            isSuspect: false,
            onPlaced: () => void ends.push(`${timeoutMs} placed`),
            onWaiting: () => undefined,
            onClaimed: () => undefined,
            onExpired: () => void ends.push(`${timeoutMs} refused`),
        });
    submit(30);
    submit(1_000);
    isOpen = true;
    // A run follows 16 ms after the last one; the latest start is 20 ms before the deadline.
    timers.advance(16);
    assert.deepEqual(ends, ["1000 placed", "30 refused"]);
    queue.dispose();
});
