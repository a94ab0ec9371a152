import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { replayEngine as engine } from "../../bench/replay/replay.js";
import { buildEngineView, EngineView } from "../../src/routing/engineView.js";
import { WorkItem, WorkPhase } from "../../src/routing/loadLedger.js";
import { buildSpareView, createSpareEngines, selectSpareEngines, SpareEngine } from "../../src/routing/spareEngines.js";

const properties = { id: "engine-1", address: "10.0.0.1:80", order: 1, isTrial: false, slowdown: 1 };
const report: SpareEngine = {
    endpoint: "engine-1",
    running: 2,
    usedTokens: 12_000,
    pendingPrefillMs: 0,
    slackMs: 150,
    gapTargetMs: 250,
};

function makeItem(phaseSinceMs: number, phase = WorkPhase.Prefill): WorkItem {
    return {
        key: `own/${phaseSinceMs}`,
        endpoint: "engine-1",
        prefillMs: 100,
        tokens: 6_000,
        gapTargetMs: 250,
        dueAtMs: phaseSinceMs + 300,
        phase,
        phaseSinceMs,
        endsAtMs: phaseSinceMs + 2_000,
        isSuspect: false,
    };
}

function makeViews(count: number, running: number): EngineView[] {
    const items = Array.from({ length: running }, (unused, index) => makeItem(index, WorkPhase.Decode));
    return Array.from(
        { length: count },
        (unused, index) => buildEngineView({ ...properties, id: `engine-${index}` }, engine, items, 1_000),
    );
}

describe("spare engines of other cells", () => {
    /** Guards against a cell that lends so much that a burst of its own finds no engine. */
    test("are at most half of a cell's engines, those with the fewest requests first, and none that is nearly full", () => {
        const views = [...makeViews(6, 3), ...makeViews(2, 0), ...makeViews(4, engine.slots - 1)];
        const spare = selectSpareEngines(views, engine.slots);
        assert.deepEqual(spare.map(item => item.running), [0, 0, 3, 3, 3, 3]);
    });

    /** Guards against two gateways of a cell that take the same free slot because the report has neither's request. */
    test("count with the work that was sent to them since the report, but not with what the report has", () => {
        const view = buildSpareView(properties, engine, { ...report, observedAtMs: 1_000 }, [
            makeItem(700, WorkPhase.Decode),
            makeItem(1_010),
        ], 1_020);
        assert.equal(view.running, 3);
        assert.equal(view.freeTokens, engine.memoryTokens - 18_000);
        assert.equal(view.constraints.length, 2);
        assert.ok(view.pendingPrefillMs > 0 && view.constraints.at(-1)!.slackMs < report.slackMs);
    });

    /** Guards against requests that are sent to engines which are busy meanwhile. */
    test("are forgotten when no report renews them", () => {
        const spareEngines = createSpareEngines();
        spareEngines.apply("10.1.0.4:7340", [report], 1_000);
        assert.equal(spareEngines.list(1_250).length, 1);
        assert.equal(spareEngines.list(1_251).length, 0);
    });
});
