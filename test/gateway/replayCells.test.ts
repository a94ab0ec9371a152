import assert from "node:assert/strict";
import { test } from "node:test";
import { createSingleGroupFairness, replayEngine, unlimitedQuota } from "../../bench/replay/replay.js";
import { createVirtualEngine, VirtualJob } from "../../bench/replay/virtualEngine.js";
import { createManualTimerService } from "../../src/base/manualTimerService.js";
import { createSeededRandomSource } from "../../src/base/randomSource.js";
import { mergeGates } from "../../src/gateway/endpointGate.js";
import { Place } from "../../src/gateway/place.js";
import { createPlacementQueue } from "../../src/gateway/placementQueue.js";
import { createEndpointDirectory, defaultDirectorySettings } from "../../src/membership/endpointDirectory.js";
import { createEndpointHealth } from "../../src/membership/endpointHealth.js";
import { createEndpointSubset } from "../../src/membership/endpointSubset.js";
import { EndpointState } from "../../src/ports/endpointRecord.js";
import { chooseClaim } from "../../src/routing/engineClaim.js";
import { placeOnEngines } from "../../src/routing/enginePlacement.js";
import { computePrefillMs } from "../../src/routing/engineTiming.js";
import { createLoadLedger } from "../../src/routing/loadLedger.js";
import { createSlowdownEstimate } from "../../src/routing/slowdownEstimate.js";
import { createSpareEngines } from "../../src/routing/spareEngines.js";

const service = { name: "models", engine: replayEngine };
const durationMs = 8_000;
const reportIntervalMs = 150;
const firstEventTargetMs = 300;
const query = { promptTokens: 5_000, events: 33, gapTargetMs: 250 };
/** A prompt whose prefill needs several engines to meet its target. */
const digest = { promptTokens: 300_000, events: 16, gapTargetMs: 1_000, firstEventTargetMs: 4_000 };

/** A load of two cells. */
interface CellLoad {
    readonly enginesPerCell: number;
    readonly queriesPerSecond: number;
    readonly digestsPerSecond: number;
    /** Queries a second at the second cell. */
    readonly quietPerSecond: number;
}

/**
 * Replays two cells in virtual time. Returns the queries and digests of the first cell, and the queries of the second.
 */
function replayCells(load: CellLoad, isLending: boolean, seed: number) {
    const { enginesPerCell } = load;
    const timers = createManualTimerService();
    const random = createSeededRandomSource(seed);
    const directory = createEndpointDirectory(defaultDirectorySettings);
    const engines = Array.from({ length: 2 * enginesPerCell }, () => createVirtualEngine(replayEngine, timers));
    const ids = engines.map((engine, index) => `engine-${index}`);
    for (const [index, id] of ids.entries()) {
        const { slots } = replayEngine;
        const record = { id, startedAtMs: 0, service: "models", address: `10.0.0.${index}:80`, dataCentre: "a", slots };
        directory.applyRecord({ ...record, state: EndpointState.Ready }, 0);
    }
    const cells = [ids.slice(0, enginesPerCell), ids.slice(enginesPerCell)].map((own, index) => {
        const ledger = createLoadLedger();
        const spareEngines = createSpareEngines();
        const queue = createPlacementQueue({
            timers,
            directory,
            health: createEndpointHealth(),
            slowdownEstimate: createSlowdownEstimate(),
            ledger,
            endpointSubset: createEndpointSubset(directory, all => all.filter(record => own.includes(record.id))),
            dataCentre: "a",
            orderSeed: "",
            keyPrefix: `cell-${index}`,
            random,
            placeOnEngines,
            chooseClaim,
            reportChange(key, item) {
                // A cell knows the other one's work only at its own engines.
                const isForeign = !item || cells[1 - index]!.own.includes(item.endpoint);
                if (isForeign) {
                    cells[1 - index]!.ledger.updatePeer("other", item ? [item] : [], item ? [] : [key]);
                }
            },
            quota: unlimitedQuota,
            gate: mergeGates([]),
            fairness: createSingleGroupFairness(),
            ...(isLending && {
                lending: { listSpare: () => spareEngines.list(timers.now()), recordBorrowing: () => undefined },
            }),
        });
        return { own, ledger, spareEngines, queue };
    });
    timers.subscribe(reportIntervalMs, () => {
        cells.forEach(({ queue }, index) =>
            cells[1 - index]!.spareEngines.apply(`cell-${index}`, queue.listSpareEngines(service), timers.now())
        );
    });

    function schedule(cell: number, perSecond: number, kind: typeof query & { readonly firstEventTargetMs?: number }) {
        const targetMs = kind.firstEventTargetMs ?? firstEventTargetMs;
        const result = { count: 0, onTime: 0 };
        for (let atMs = 0; perSecond > 0;) {
            atMs += (-Math.log(1 - random()) * 1_000) / perSecond;
            if (atMs > durationMs) {
                break;
            }
            result.count += 1;
            const arrivedAtMs = atMs;
            timers.schedule(atMs, () =>
                cells[cell]!.queue.submit({
                    service,
                    rank: 0,
                    arrivedAtMs,
                    dueAtMs: arrivedAtMs + targetMs,
                    customerTimeoutAtMs: arrivedAtMs + 10_000,
                    needs: {
                        prefillMs: computePrefillMs(replayEngine, kind.promptTokens),
                        promptTokens: kind.promptTokens,
                        outputTokens: kind.events * replayEngine.stepsPerPass,
                        gapTargetMs: kind.gapTargetMs,
                    },
                    isUnsafe: false,
                    avoid: new Set(),
                    isSuspect: false,
                    onPlaced: place => start(place, kind, arrivedAtMs, targetMs, result),
                    onWaiting: () => undefined,
                    onClaimed: () => undefined,
                    onExpired: () => undefined,
                }));
        }
        return result;
    }

    function start(
        place: Place,
        { events, promptTokens, gapTargetMs }: typeof query,
        arrivedAtMs: number,
        targetMs: number,
        result: { onTime: number },
    ): void {
        const find = (id: string) => engines[ids.indexOf(id)]!;
        let lastMs: number | undefined;
        let isOnTime = true;
        const job: VirtualJob = {
            events,
            promptTokens,
            pendingParts: 1 + place.helpers.length,
            onPrefilled: () => find(place.endpoint.id).wake(),
            onEvent() {
                const nowMs = timers.now();
                isOnTime &&= lastMs === undefined ? nowMs - arrivedAtMs <= targetMs : nowMs - lastMs <= gapTargetMs;
                if (lastMs === undefined) {
                    place.startDecode();
                }
                lastMs = nowMs;
            },
            onEnd() {
                result.onTime += Number(isOnTime);
                place.release();
            },
        };
        find(place.endpoint.id).answer(job);
        find(place.endpoint.id).prefill(job, place.partMs, false);
        place.helpers.forEach(helper => find(helper.id).prefill(job, place.partMs, true));
    }

    const results = [
        schedule(0, load.queriesPerSecond, query),
        schedule(0, load.digestsPerSecond, digest),
        schedule(1, load.quietPerSecond, query),
    ];
    timers.advance(durationMs + 20_000);
    cells.forEach(({ queue }) => queue.dispose());
    return results;
}

const seeds = [1, 2, 3, 4, 5, 6];

/** Computes the shares on time over all seeds: of queries and digests at the first cell, and of queries at the second. */
function computeShares(load: CellLoad, isLending: boolean) {
    const runs = seeds.map(seed => replayCells(load, isLending, seed));
    const sum = (index: number, key: "count" | "onTime") => runs.reduce((total, run) => total + run[index]![key], 0);
    return [0, 1, 2].map(index => sum(index, "onTime") / Math.max(1, sum(index, "count")));
}

/** Required share on time of a load that the engines of both cells can carry together. */
const targetShare = 0.9;
const base: CellLoad = { enginesPerCell: 8, queriesPerSecond: 20, digestsPerSecond: 0, quietPerSecond: 8 };

/** Guards against requests that wait in one cell while the engines of another are idle. */
test("queries that exceed one cell's engines are on time on those of the other cell", () => {
    const [own = 0, , others = 0] = computeShares({ ...base, queriesPerSecond: 64 }, true);
    assert.ok(own >= targetShare, `busy cell ${own.toFixed(3)}`);
    assert.ok(others >= targetShare, `other cell ${others.toFixed(3)}`);
});

/** Guards against very long prompts that wait for one cell's engines while enough of another's are idle. */
test("very long prompts beside queries are on time with the engines of the other cell", () => {
    const [queries = 0, digests = 0, others = 0] = computeShares({ ...base, digestsPerSecond: 0.3 }, true);
    assert.ok(queries >= targetShare, `queries ${queries.toFixed(3)}`);
    assert.ok(digests >= targetShare, `digests ${digests.toFixed(3)}`);
    assert.ok(others >= targetShare, `other cell ${others.toFixed(3)}`);
});

/** Guards against a loss by the division itself where the very long prompts exceed even all engines together. */
test("bursts of very long prompts are on time about as often as if one cell had all engines", () => {
    const divided = { ...base, digestsPerSecond: 0.6 };
    const [, digests = 0] = computeShares(divided, true);
    const all = { enginesPerCell: 16, queriesPerSecond: 28, digestsPerSecond: 0.6, quietPerSecond: 0 };
    const [, undivided = 0] = computeShares(all, false);
    assert.ok(digests >= undivided * targetShare, `${digests.toFixed(3)} instead of ${undivided.toFixed(3)}`);
});

/** Guards against a cell that lends engines which its own requests need. */
test("where both cells are busy, neither makes the other one later", () => {
    const load = { ...base, queriesPerSecond: 40, quietPerSecond: 40 };
    const computeBoth = ([own = 0, , others = 0]: readonly number[]) => own + others;
    const [alone, lending] = [false, true].map(isLending => computeBoth(computeShares(load, isLending)));
    assert.ok(lending! >= alone!, `${lending!.toFixed(3)} instead of ${alone!.toFixed(3)}`);
});
