import { loadavg } from "node:os";
import { createManualTimerService } from "../../src/base/manualTimerService.js";
import { createSeededRandomSource } from "../../src/base/randomSource.js";
import { mergeGates } from "../../src/gateway/endpointGate.js";
import { createPlacementQueue } from "../../src/gateway/placementQueue.js";
import { createEndpointDirectory, defaultDirectorySettings } from "../../src/membership/endpointDirectory.js";
import { createEndpointHealth } from "../../src/membership/endpointHealth.js";
import { createEndpointSubset } from "../../src/membership/endpointSubset.js";
import { EndpointState } from "../../src/ports/endpointRecord.js";
import { chooseClaim } from "../../src/routing/engineClaim.js";
import { placeOnEngines } from "../../src/routing/enginePlacement.js";
import { computePrefillMs } from "../../src/routing/engineTiming.js";
import { createLoadLedger, WorkPhase } from "../../src/routing/loadLedger.js";
import { createSlowdownEstimate } from "../../src/routing/slowdownEstimate.js";
import { ordinaryLoad } from "./loads.js";
import { createSingleGroupFairness, replayEngine, unlimitedQuota } from "./replay.js";

/** State of the engines while requests wait. */
interface PassCase {
    readonly name: string;
    /** Requests that each engine decodes. */
    readonly running: number;
    /** Prefill that each engine has not done yet, in milliseconds. */
    readonly pendingPrefillMs: number;
    readonly customers: number;
}

const engineCount = 70;
const waitingCount = 100;
/** Rounds are short, so that requests do not reach the end of their waiting time. The first ones warm up the compiler. */
const rounds = 40;
const warmUpRounds = 10;
const passesPerRound = 20;
/** Delay between passes if the random source returns 0. */
const passDelayMs = 2;
const busySlots = 8;
const { slots } = replayEngine;
const customerCount = 20;

/** With free slots, each engine is examined for each request; without, all are left out at once. */
const cases: readonly PassCase[] = [
    { name: "all slots taken, one customer", running: slots, pendingPrefillMs: 0, customers: 1 },
    { name: "all slots taken, 20 customers", running: slots, pendingPrefillMs: 0, customers: customerCount },
    { name: "slots free, prefill pending, one customer", running: busySlots, pendingPrefillMs: 400, customers: 1 },
    {
        name: "slots free, prefill pending, 20 customers",
        running: busySlots,
        pendingPrefillMs: 400,
        customers: customerCount,
    },
];

/** Measures passes of one round. Returns their durations in milliseconds, and how many requests waited to the end. */
function measureRound(passCase: PassCase, seed: number): { readonly durations: number[]; readonly waiting: number } {
    const timers = createManualTimerService();
    const random = createSeededRandomSource(seed);
    const directory = createEndpointDirectory(defaultDirectorySettings);
    const ledger = createLoadLedger();
    for (let index = 0; index < engineCount; index++) {
        const id = `engine-${index}`;
        const address = `10.0.0.${index}:80`;
        directory.applyRecord({
            id,
            startedAtMs: 0,
            service: "models",
            address,
            dataCentre: "a",
            slots,
            state: EndpointState.Ready,
        }, 0);
        for (let item = 0; item < passCase.running; item++) {
            const isPrefilling = item === 0 && passCase.pendingPrefillMs > 0;
            ledger.add({
                key: `${id} ${item}`,
                endpoint: id,
                prefillMs: isPrefilling ? passCase.pendingPrefillMs : 0,
                tokens: 5_000,
                gapTargetMs: 250,
                dueAtMs: 500,
                phase: isPrefilling ? WorkPhase.Prefill : WorkPhase.Decode,
                phaseSinceMs: 0,
                endsAtMs: 1_000 + 2_000 * random(),
                isSuspect: false,
            });
        }
    }
    const queue = createPlacementQueue({
        timers,
        directory,
        health: createEndpointHealth(),
        slowdownEstimate: createSlowdownEstimate(),
        ledger,
        endpointSubset: createEndpointSubset(directory, endpoints => endpoints),
        dataCentre: "a",
        orderSeed: "",
        keyPrefix: "pass",
        random: () => 0,
        placeOnEngines,
        chooseClaim,
        reportChange: () => undefined,
        quota: unlimitedQuota,
        gate: mergeGates([]),
        fairness: createSingleGroupFairness(),
    });
    for (let index = 0; index < waitingCount; index++) {
        // Most requests are short, as in ordinary traffic.
        const kind = ordinaryLoad.kinds[index % 10 < 8 ? 0 : index % 10 - 7]!;
        const promptTokens = kind.meanTokens * (0.5 + random());
        queue.submit({
            service: { name: "models", engine: replayEngine },
            rank: kind.rank,
            arrivedAtMs: 0,
            dueAtMs: kind.firstEventTargetMs,
            customerTimeoutAtMs: kind.customerTimeoutMs,
            needs: {
                prefillMs: computePrefillMs(replayEngine, promptTokens),
                promptTokens,
                outputTokens: kind.events * replayEngine.stepsPerPass,
                gapTargetMs: kind.gapTargetMs,
            },
            isUnsafe: false,
            avoid: new Set(),
            isSuspect: false,
            share: passCase.customers > 1
                ? { customer: index % passCase.customers, fingerprint: String(index) }
                : undefined,
            onPlaced: () => undefined,
            onWaiting: () => undefined,
            onClaimed: () => undefined,
            onExpired: () => undefined,
        });
    }
    const durations: number[] = [];
    for (let pass = 0; pass < passesPerRound; pass++) {
        const startedAtMs = performance.now();
        timers.advance(passDelayMs);
        durations.push(performance.now() - startedAtMs);
    }
    const waiting = queue.countWaiting();
    queue.dispose();
    return { durations, waiting };
}

/**
 * Measures how long a placement pass takes, and renders a table with one row per state of the engines. The target is a
 * median below 1 ms; the highest values include pauses of the process by others that use the machine.
 *
 * @example
 * console.log(renderPassTable());
 */
export function renderPassTable(): string {
    const rows = cases.map(passCase => {
        const results = Array.from({ length: rounds }, (unused, round) => measureRound(passCase, round));
        const measured = results.slice(warmUpRounds);
        const sorted = measured.flatMap(result => result.durations).sort((left, right) => left - right);
        const getQuantile = (share: number) => sorted[Math.floor((sorted.length - 1) * share)]!.toFixed(2);
        const waiting = Math.min(...measured.map(result => result.waiting));
        return `| ${passCase.name} | ${getQuantile(0.5)} | ${getQuantile(0.95)} | ${getQuantile(1)} | ${waiting} |`;
    });
    return [
        `${waitingCount} waiting requests, ${engineCount} engines, ${(rounds - warmUpRounds) * passesPerRound} passes `
        + `per row, load average ${loadavg()[0]!.toFixed(1)}`,
        "",
        "| engines | median ms | p95 ms | maximum ms | still waiting at the end |",
        "|---|---|---|---|---|",
        ...rows,
    ].join("\n");
}
