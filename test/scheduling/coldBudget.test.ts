import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createSeededRandomSource } from "../../src/base/randomSource.js";
import { createColdBudget, defaultColdBound } from "../../src/scheduling/coldBudget.js";

/** A time of trouble for one gateway or all, in milliseconds from the start. */
interface Trouble {
    readonly fromMs: number;
    readonly toMs: number;
}

interface ColdLoad {
    readonly gateways: number;
    readonly perSecond: number;
    /** Requests that arrive each second at all gateways together; infinite if all of them always have some waiting. */
    readonly demandPerSecond: number;
    /** Time until which no request arrives. */
    readonly idleMs?: number;
    /** The first gateway does not run and receives its messages afterwards. */
    readonly frozen?: Trouble;
    /** The first gateway and the others do not hear of each other. */
    readonly cutOff?: Trouble;
    /** Nobody hears of another. */
    readonly allCutOff?: Trouble;
    /** The last gateway runs only in this time, and the others count it two seconds late. */
    readonly guest?: Trouble;
}

const durationMs = 30_000;
const stepMs = 5;
const messageMs = 15;
const countingDelayMs = 2_000;
const windowMs = 1_000;

function isWithin(trouble: Trouble | undefined, nowMs: number): boolean {
    return trouble !== undefined && nowMs >= trouble.fromMs && nowMs < trouble.toMs;
}

/** Runs budgets that hear each other in virtual time. Returns the times of all requests to the endpoint. */
function runBudgets(load: ColdLoad, seed: number): number[] {
    const random = createSeededRandomSource(seed);
    const indices = Array.from({ length: load.gateways }, (unused, index) => index);
    const gateways = indices.map(() => ({
        budget: createColdBudget(random, defaultColdBound),
        // All read the registration at about the same time.
        learnsAtMs: 300 * random(),
        waiting: 0,
    }));
    const sentAtMs: number[] = [];
    let messages: { readonly atMs: number; readonly to: number }[] = [];
    const isAbsent = (index: number, nowMs: number) =>
        load.guest !== undefined && index === load.gateways - 1 && !isWithin(load.guest, nowMs);
    const isStopped = (index: number, nowMs: number) => index === 0 && isWithin(load.frozen, nowMs);
    const isApart = (from: number, to: number, nowMs: number) =>
        isWithin(load.allCutOff, nowMs) || (isWithin(load.cutOff, nowMs) && (from === 0 || to === 0));
    for (let nowMs = 0; nowMs < durationMs; nowMs += stepMs) {
        const due = messages.filter(({ atMs, to }) => atMs <= nowMs && !isStopped(to, nowMs));
        messages = messages.filter(message => !due.includes(message));
        due.forEach(({ to }) => gateways[to]!.budget.recordDispatch("e", false, nowMs));
        for (const index of indices.sort(() => random() - 0.5)) {
            const gateway = gateways[index]!;
            const arrivals = load.demandPerSecond / load.gateways * stepMs / 1_000;
            // A request that finds no turn within a fifth of a second runs on another endpoint.
            gateway.waiting = random() < stepMs / 200 ? 0 : gateway.waiting;
            gateway.waiting = Math.min(20, gateway.waiting + (random() < arrivals ? 1 : 0));
            const hasWork = nowMs >= (load.idleMs ?? 0) && (load.demandPerSecond === Infinity || gateway.waiting > 0);
            if (isAbsent(index, nowMs) || isStopped(index, nowMs) || nowMs < gateway.learnsAtMs) {
                continue;
            }
            const isGuestCounted = isWithin(load.guest, nowMs - countingDelayMs) || index === load.gateways - 1;
            const counted = load.gateways - (load.guest && !isGuestCounted ? 1 : 0);
            // The budget is asked for each place, also while nothing arrives.
            const isOpen = gateway.budget.canSend("e", load.perSecond, counted, nowMs);
            if (isOpen && hasWork) {
                gateway.waiting = Math.max(0, gateway.waiting - 1);
                gateway.budget.recordDispatch("e", true, nowMs);
                sentAtMs.push(nowMs);
                messages.push(
                    ...indices.filter(other => other !== index && !isApart(index, other, nowMs))
                        .map(other => ({ atMs: nowMs + messageMs, to: other })),
                );
            }
        }
    }
    return sentAtMs;
}

function countMost(times: readonly number[]): number {
    return Math.max(0, ...times.map(start => times.filter(atMs => atMs >= start && atMs < start + windowMs).length));
}

const always = { perSecond: 4, demandPerSecond: Infinity };
const trouble = { fromMs: 5_000, toMs: 9_000 };
const situations: readonly (readonly [string, Omit<ColdLoad, "gateways">])[] = [
    ["all gateways learn of it at once and have work from the first second on", always],
    ["work comes to all gateways in the same moment after ten seconds without any", { ...always, idleMs: 10_000 }],
    ["the load is three times the rate and does not wait", { ...always, demandPerSecond: 12 }],
    ["one is frozen", { ...always, frozen: trouble }],
    ["one is cut off", { ...always, cutOff: trouble }],
    ["nobody hears of another", { ...always, allCutOff: { fromMs: 0, toMs: durationMs } }],
    ["one joins and leaves", { ...always, guest: { fromMs: 5_000, toMs: 15_000 } }],
    ["the rate is half a request a second", { ...always, perSecond: 0.5 }],
];

describe("a cold endpoint gets no more than it can sustain from all gateways, and most of that", () => {
    for (const gateways of [2, 4, 13]) {
        for (const [name, changes] of situations) {
            test(`${gateways} gateways: ${name}`, () => {
                const load = { gateways, ...changes };
                const runs = Array.from({ length: 20 }, (unused, seed) => runBudgets(load, seed + 1));
                const most = Math.max(...runs.map(countMost));
                const allowed = 1.5 * load.perSecond + 5;
                assert.ok(most <= allowed, `${most} in a second, ${allowed} are allowed`);
                const activeMs = durationMs - (load.idleMs ?? 0);
                const used = runs.reduce((sum, run) => sum + run.length, 0) / runs.length
                    / (load.perSecond * activeMs / 1_000);
                assert.ok(used >= 0.6, `${used.toFixed(2)} of the rate used`);
            });
        }
    }
});
