import fc from "fast-check";
import assert from "node:assert/strict";
import { Verdict } from "../../../src/base/verdict.js";
import { LogFaults, noLogFaults } from "../../../src/emulator/log/logFaults.js";
import { ClaimSimulation, createClaimSimulation, makeKey, TestNode, TestSend } from "./claimSimulation.js";

/** Tag of an {@link Action}. */
enum ActionKind {
    Send = "send",
    Cancel = "cancel",
    Pause = "pause",
    Crash = "crash",
    LogFault = "log-fault",
    LoseAnswer = "lose-answer",
    RefuseConnection = "refuse-connection",
    EmptyLog = "empty-log",
}

type Action =
    | { readonly kind: ActionKind.Send; readonly node: number; readonly key: number; readonly limitMs: number }
    | { readonly kind: ActionKind.Pause; readonly node: number; readonly durationMs: number }
    | { readonly kind: ActionKind.Crash; readonly node: number }
    | { readonly kind: ActionKind.LogFault; readonly faults: Partial<LogFaults>; readonly durationMs: number }
    | { readonly kind: ActionKind.EmptyLog; readonly resetsOffsets: boolean }
    | { readonly kind: ActionKind.Cancel | ActionKind.LoseAnswer | ActionKind.RefuseConnection };

/** Settings of a simulation and the actions and faults that it goes through. */
export interface Scenario {
    readonly seed: number;
    readonly maxLogDelayMs: number;
    readonly retentionMs: number;
    readonly clockOffsetsMs: readonly number[];
    readonly actions: readonly { readonly afterMs: number; readonly action: Action }[];
}

const nodeCount = 3;
const keyCount = 2;
const maxClockOffsetMs = 1_000;
/** Customers and sidecars may each differ from the log's clock by `maxClockOffsetMs`. */
const maxKeyAheadMs = 2 * maxClockOffsetMs + 500;

const node = fc.nat(nodeCount - 1);
const durationMs = fc.constantFrom(100, 700, 3_000, 9_000);
const faults: fc.Arbitrary<Partial<LogFaults>> = fc.oneof(
    fc.record({ lostAnswers: fc.integer({ min: 1, max: 4 }) }),
    fc.record({ lostAppends: fc.integer({ min: 1, max: 4 }) }),
    fc.record({ duplicatedAppends: fc.integer({ min: 1, max: 4 }) }),
    fc.record({ lateAppends: fc.integer({ min: 1, max: 4 }), lateAppendMs: durationMs }),
    fc.record({ answerDelayMs: fc.constantFrom(50, 300, 900) }),
    fc.constant({ unavailable: true }),
    fc.constant({ unresponsive: true }),
);

const send = fc.record({
    kind: fc.constant(ActionKind.Send as const),
    node,
    key: fc.nat(keyCount - 1),
    limitMs: fc.constantFrom(600, 2_000, 5_000),
});

const action: fc.Arbitrary<Action> = fc.oneof(
    { arbitrary: send, weight: 6 },
    { arbitrary: fc.record({ kind: fc.constant(ActionKind.Pause as const), node, durationMs }), weight: 2 },
    { arbitrary: fc.record({ kind: fc.constant(ActionKind.Crash as const), node }), weight: 1 },
    { arbitrary: fc.record({ kind: fc.constant(ActionKind.LogFault as const), faults, durationMs }), weight: 3 },
    {
        arbitrary: fc.record({ kind: fc.constant(ActionKind.EmptyLog as const), resetsOffsets: fc.boolean() }),
        weight: 1,
    },
    {
        arbitrary: fc.record({
            kind: fc.constantFrom(
                ActionKind.Cancel as const,
                ActionKind.LoseAnswer as const,
                ActionKind.RefuseConnection as const,
            ),
        }),
        weight: 2,
    },
);

/** Arbitrary scenarios of sends, cancels, pauses, crashes and faults. */
export const scenario: fc.Arbitrary<Scenario> = fc.record({
    seed: fc.integer(),
    maxLogDelayMs: fc.constantFrom(0, 30, 400),
    retentionMs: fc.constantFrom(4_000, 24 * 60 * 60 * 1_000),
    clockOffsetsMs: fc.array(fc.integer({ min: -maxClockOffsetMs, max: maxClockOffsetMs }), {
        minLength: nodeCount + keyCount,
        maxLength: nodeCount + keyCount,
    }),
    actions: fc.array(fc.record({ afterMs: fc.constantFrom(0, 20, 60, 200, 1_000), action }), {
        minLength: 2,
        maxLength: 14,
    }),
});

interface KeyedSend {
    readonly key: string;
    readonly send: TestSend;
}

/** Checks that a key ran at most once and that the result of each of its sends is correct. */
function checkKey(simulation: ClaimSimulation, key: string, sends: readonly KeyedSend[]): void {
    const runs = simulation.runs.filter(run => Buffer.from(run.body).toString() === key);
    assert.ok(runs.length <= 1, `${key} ran ${runs.length} times: ${runs.map(run => run.id).join(", ")}`);
    for (const { send } of sends.filter(sent => sent.key === key)) {
        const end = send.result.value;
        const hasRun = runs.some(run => run.id === send.request);
        assert.ok(!hasRun || end?.verdict !== Verdict.NotRun, `${send.request} ran and was reported as not run`);
        if (end?.verdict === Verdict.Ran) {
            const index = simulation.runs.findIndex(run => run === runs[0]);
            assert.equal(end.body, `run ${index + 1}`, `${send.request} got another call's answer`);
        }
    }
}

/**
 * Runs a scenario against the production claim code and returns the interleaving. Checks that a call that ran is not
 * reported as not run (invariant 4) and that no key runs twice (invariant 5).
 */
export async function runScenario({ actions, clockOffsetsMs, ...settings }: Scenario): Promise<string> {
    const simulation = createClaimSimulation({ ...settings, claims: { maxKeyAheadMs } });
    const keys: string[] = [];
    const sends: KeyedSend[] = [];
    const nodes: TestNode[] = [];
    let nodesAdded = 0;

    function addNode(index: number) {
        nodes[index] = simulation.addNode(`n${nodesAdded++}`, clockOffsetsMs[index]);
    }

    function act(action: Action) {
        switch (action.kind) {
            case ActionKind.Send: {
                const offsetMs = clockOffsetsMs[nodeCount + action.key] ?? 0;
                keys[action.key] ??= makeKey(simulation.timers.wallNow() + offsetMs, action.key);
                const key = keys[action.key]!;
                sends.push({ key, send: nodes[action.node]!.send(key, { body: key, limitMs: action.limitMs }) });
                return;
            }
            case ActionKind.Cancel:
                return sends.at(-1)?.send.cancel();
            case ActionKind.Pause: {
                const paused = nodes[action.node]!;
                paused.pause();
                simulation.timers.schedule(action.durationMs, () => paused.resume());
                return;
            }
            case ActionKind.Crash:
                nodes[action.node]!.crash();
                return addNode(action.node);
            case ActionKind.LogFault: {
                simulation.model.updateFaults(action.faults);
                simulation.timers.schedule(action.durationMs, () => simulation.model.updateFaults(noLogFaults));
                return;
            }
            case ActionKind.LoseAnswer:
                simulation.service.lostAnswers++;
                return;
            case ActionKind.RefuseConnection:
                simulation.service.refusedConnections++;
                return;
            case ActionKind.EmptyLog:
                return simulation.model.dropRecords(action.resetsOffsets);
        }
    }

    for (let index = 0; index < nodeCount; index++) {
        addNode(index);
        await simulation.settle(nodes[index]!.refreshMarks());
    }
    await simulation.advance(maxKeyAheadMs + 2 * maxClockOffsetMs);
    for (const { afterMs, action } of actions) {
        await simulation.advance(afterMs);
        act(action);
    }
    await simulation.advance(10_000);
    simulation.model.updateFaults(noLogFaults);
    for (const key of keys.filter(made => made !== undefined)) {
        for (const target of [...nodes, simulation.addNode("last")]) {
            target.resume();
            const sent = target.send(key, { body: key });
            sends.push({ key, send: sent });
            await simulation.settle(sent.end);
        }
        checkKey(simulation, key, sends);
    }
    return simulation.trace.join("\n");
}
