import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { replayEngine } from "../../bench/replay/replay.js";
import { chooseClaim, ClaimRequest, defaultClaimSettings } from "../../src/routing/engineClaim.js";
import { computePrefillMs } from "../../src/routing/engineTiming.js";
import { buildEngineView, EngineView } from "../../src/routing/engineView.js";
import { WorkItem, WorkPhase } from "../../src/routing/loadLedger.js";

const engine = replayEngine;

function makeRequest(tokens: number, changes: Partial<ClaimRequest> = {}): ClaimRequest {
    return {
        prefillMs: computePrefillMs(engine, tokens),
        tokens: tokens + 1_000,
        deadlineAtMs: 6_000,
        avoid: new Set(),
        isSuspect: false,
        ...changes,
    };
}

function makeDecodingItem(endsAtMs: number): WorkItem {
    return {
        key: "w",
        endpoint: "e",
        prefillMs: 300,
        tokens: 40_000,
        gapTargetMs: 600,
        dueAtMs: 0,
        phase: WorkPhase.Decode,
        phaseSinceMs: 0,
        endsAtMs,
        isSuspect: false,
    };
}

function makeView(order: number, items: readonly WorkItem[] = [], slowdown = 1): EngineView {
    const properties = { id: `engine-${order}`, address: `10.0.0.${order}:80`, order, isTrial: false, slowdown };
    return buildEngineView(properties, engine, items, 0);
}

function makeViews(count: number, items: readonly WorkItem[] = [], slowdown = 1): EngineView[] {
    return Array.from({ length: count }, (unused, order) => makeView(order, items, slowdown));
}

function claim(request: ClaimRequest, views: readonly EngineView[]) {
    return chooseClaim(request, views, engine.slots, 0, defaultClaimSettings);
}

describe("claims of engines for a long prompt", () => {
    test("a prompt that can share engines with decoding requests claims none, so that no engine idles for it", () => {
        assert.equal(claim(makeRequest(100_000), makeViews(14)), undefined);
    });

    test("claims the fewest engines that can prefill the prompt before its deadline, so that fewer idle", () => {
        // 500,000 tokens take 25.8 s on one engine; 0.8 of 6 s allows parts of 4.8 s.
        assert.equal(claim(makeRequest(500_000), makeViews(14))?.engines.length, 6);
    });

    test("counts the time until the engines are idle, so that the first event does not miss its deadline", () => {
        const found = claim(makeRequest(500_000), makeViews(14, [makeDecodingItem(1_500)]));
        assert.equal(found?.freeInMs, 1_500);
        assert.equal(found.engines.length, 8);
    });

    test("claims the engines that become idle first, so that the prompt does not wait for the others", () => {
        const views = [...makeViews(4, [makeDecodingItem(4_000)]), makeView(10), makeView(11), makeView(12)];
        const orders = claim(makeRequest(250_000), views)?.engines.map(view => view.order).sort();
        assert.deepEqual(orders, [11, 12]);
    });

    test("claims more engines if they are slow, because the first event would miss its deadline on fewer", () => {
        assert.equal(claim(makeRequest(400_000), makeViews(14, [], 2))?.engines.length, 8);
    });

    test("limits the share of engines with long prompts, so that the others serve all other requests", () => {
        const prefillingItem: WorkItem = { ...makeDecodingItem(5_000), phase: WorkPhase.Prefill, prefillMs: 5_000 };
        const views = [...makeViews(9, [prefillingItem]), ...[20, 21, 22, 23, 24].map(order => makeView(order))];
        assert.equal(claim(makeRequest(400_000), views), undefined);
    });

    test("claims engines with enough memory for the prompt, however late its deadline", () => {
        const found = claim(makeRequest(600_000, { deadlineAtMs: 100_000 }), makeViews(14));
        assert.ok(found && 601_000 / found.engines.length <= engine.memoryTokens);
    });

    test("claims none if no set meets the deadline, so that no engine idles for a prompt that misses it anyway", () => {
        assert.equal(claim(makeRequest(700_000, { deadlineAtMs: 1_000 }), makeViews(14)), undefined);
    });

    test("excludes an engine that ran the request before, so that the request does not run there again", () => {
        const found = claim(makeRequest(250_000, { avoid: new Set(["engine-13"]) }), makeViews(14));
        assert.ok(found?.engines.every(view => view.id !== "engine-13"));
    });
});
