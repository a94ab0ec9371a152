import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { replayEngine } from "../../bench/replay/replay.js";
import {
    defaultPlacementSettings,
    PlacementRequest,
    PlacementStage,
    placeOnEngines,
} from "../../src/routing/enginePlacement.js";
import { computePassMs, computePrefillMs } from "../../src/routing/engineTiming.js";
import { buildEngineView, EngineView } from "../../src/routing/engineView.js";
import { WorkItem, WorkPhase } from "../../src/routing/loadLedger.js";

const engine = replayEngine;
const shortTargets = { gapTargetMs: 250, dueAtMs: 250, customerTimeoutAtMs: 2_000 };
const longTargets = { gapTargetMs: 1_000, dueAtMs: 6_000, customerTimeoutAtMs: 15_000 };

function makeRequest(tokens: number, changes: Partial<PlacementRequest> = {}): PlacementRequest {
    return {
        prefillMs: computePrefillMs(engine, tokens),
        tokens: tokens + 500,
        waitedMs: 0,
        ...(tokens > 30_000 ? longTargets : shortTargets),
        avoid: new Set(),
        isSuspect: false,
        ...changes,
    };
}

function makeItem(changes: Partial<WorkItem>): WorkItem {
    return {
        key: "k",
        endpoint: "e",
        prefillMs: 30,
        tokens: 5_000,
        gapTargetMs: 250,
        dueAtMs: 250,
        phase: WorkPhase.Decode,
        phaseSinceMs: 0,
        endsAtMs: 10_000,
        isSuspect: false,
        ...changes,
    };
}

function makeView(order: number, items: readonly WorkItem[] = [], nowMs = 0, slowdown = 1): EngineView {
    const properties = { id: `engine-${order}`, address: `10.0.0.${order}:80`, order, isTrial: false, slowdown };
    return buildEngineView(properties, engine, items, nowMs);
}

function makeDecodingItems(count: number, gapTargetMs = 250): WorkItem[] {
    return Array.from({ length: count }, (unused, index) => makeItem({ key: `w${index}`, gapTargetMs }));
}

function place(request: PlacementRequest, views: readonly EngineView[], stage = PlacementStage.InTime, nowMs = 0) {
    return placeOnEngines(request, views, engine.slots, nowMs, stage, defaultPlacementSettings);
}

describe("engine timing model", () => {
    test("prefill times match the documented figures of the platform", () => {
        assert.ok(Math.abs(computePrefillMs(engine, 5_000) - 30) < 2);
        assert.ok(Math.abs(computePrefillMs(engine, 45_000) - 440) < 10);
        assert.ok(Math.abs(computePrefillMs(engine, 154_000) - 3_050) < 30);
    });

    test("a pass that decodes eight short requests takes about 50 ms", () => {
        const passMs = computePassMs(engine, 8, 40_000);
        assert.ok(passMs > 45 && passMs < 56, `${passMs}`);
    });
});

describe("placement of short prompts", () => {
    test("short prompts fill engines in ascending order, so that the others stay free for long prompts", () => {
        const views = [makeView(3), makeView(1, makeDecodingItems(4)), makeView(2)];
        assert.equal(place(makeRequest(5_000), views)!.endpoint.id, "engine-1");
    });

    test("an engine filled to its share of slots is passed over for the next in order", () => {
        const views = [makeView(1, makeDecodingItems(8)), makeView(2), makeView(3)];
        assert.equal(place(makeRequest(5_000), views)!.endpoint.id, "engine-2");
    });

    test("an engine that prefills a long prompt is passed over, because the first event would be late", () => {
        const prefillingItem = makeItem({
            prefillMs: 600,
            gapTargetMs: 1_000,
            phase: WorkPhase.Prefill,
            dueAtMs: 6_000,
        });
        const views = [makeView(1, [prefillingItem]), makeView(2)];
        assert.equal(place(makeRequest(5_000), views)!.endpoint.id, "engine-2");
    });

    test("a request waits if its prefill would make other requests miss their gap targets", () => {
        const request = makeRequest(23_000, { dueAtMs: 1_000 });
        assert.equal(place(request, [makeView(1, makeDecodingItems(8))]), undefined);
        assert.ok(place(request, [makeView(1, makeDecodingItems(8, 600))]));
    });

    test("a slow engine is passed over if the first event would be late there", () => {
        const views = [makeView(1, [], 0, 5), makeView(2)];
        assert.equal(place(makeRequest(5_000), views)!.endpoint.id, "engine-2");
    });

    test("a late request makes no other request miss a target until it is about to time out", () => {
        const views = [makeView(1, makeDecodingItems(8))];
        const request = makeRequest(23_000, { dueAtMs: -1 });
        assert.equal(place(request, views, PlacementStage.NonDisruptive), undefined);
        assert.ok(place(request, views, PlacementStage.LeastDisruptive));
    });

    test("an endpoint that must not get the request again is excluded", () => {
        const views = [makeView(1), makeView(2)];
        assert.equal(place(makeRequest(5_000, { avoid: new Set(["engine-1"]) }), views)!.endpoint.id, "engine-2");
    });

    test("two crash suspects are not placed on the same engine", () => {
        const suspect = makeItem({ isSuspect: true });
        const views = [makeView(1, [suspect]), makeView(2)];
        assert.equal(place(makeRequest(5_000, { isSuspect: true }), views)!.endpoint.id, "engine-2");
    });
});

describe("placement of long prompts", () => {
    const idle = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12].map(order => makeView(order));

    test("long prompts use engines from the end of the order", () => {
        const placement = place(makeRequest(45_000), idle)!;
        const used = [placement.endpoint, ...placement.helpers].map(view => view.order);
        assert.ok(used.every(order => order > 8), used.join(" "));
    });

    test("a long prompt is split into parts that fit between two events of other responses", () => {
        const placement = place(makeRequest(154_000), idle)!;
        assert.ok(placement.helpers.length >= 8);
        assert.ok(placement.partMs <= defaultPlacementSettings.partMs);
    });

    test("engines that run requests with stricter gap targets are passed over while others are free", () => {
        const views = [...idle.slice(0, 6), makeView(20, makeDecodingItems(3)), makeView(21, makeDecodingItems(3))];
        const placement = place(makeRequest(45_000), views)!;
        assert.ok([placement.endpoint, ...placement.helpers].every(view => view.order < 20));
    });

    test("a long prompt is not placed on an engine that prefills another long prompt", () => {
        const prefillingItem = makeItem({
            prefillMs: 900,
            gapTargetMs: 1_000,
            phase: WorkPhase.Prefill,
            dueAtMs: 6_000,
        });
        assert.equal(
            place(makeRequest(154_000), [makeView(1, [prefillingItem]), makeView(2, [prefillingItem])]),
            undefined,
        );
    });

    test("an engine whose first event is overdue counts as busy", () => {
        const prefillingItem = makeItem({
            prefillMs: 400,
            gapTargetMs: 1_000,
            phase: WorkPhase.Prefill,
            dueAtMs: 6_000,
        });
        const view = makeView(1, [prefillingItem], 700);
        assert.ok(view.pendingPrefillMs > 100, `${view.pendingPrefillMs}`);
        assert.equal(place(makeRequest(154_000), [view], PlacementStage.InTime, 700), undefined);
    });

    test("a long prompt is placed on fewer engines with longer parts after it has waited", () => {
        const few = idle.slice(0, 3);
        const request = makeRequest(154_000);
        assert.equal(place(request, few), undefined);
        assert.ok(place({ ...request, waitedMs: 1_500 }, few));
    });

    test("the part limit of a huge prompt grows more slowly than that of a usual long prompt", () => {
        const request = makeRequest(400_000, { tokens: 100_000 });
        assert.equal(place({ ...request, waitedMs: 1_500 }, idle.slice(0, 6)), undefined);
    });

    test("a prompt larger than one engine's memory reserves memory on all its engines", () => {
        const placement = place(makeRequest(600_000, { waitedMs: 9_000 }), idle, PlacementStage.LeastDisruptive)!;
        assert.ok(placement.reservedTokens * (placement.helpers.length + 1) >= 600_000);
        assert.ok(placement.reservedTokens < engine.memoryTokens);
    });

    test("a prompt that fits into one engine's memory reserves no memory on helpers", () => {
        assert.equal(place(makeRequest(154_000), idle)!.reservedTokens, 0);
    });

    test("a prompt larger than the memory of all engines is not placed", () => {
        assert.equal(place(makeRequest(700_000), idle.slice(0, 2), PlacementStage.LeastDisruptive), undefined);
    });
});
