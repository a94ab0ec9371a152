import assert from "node:assert/strict";
import { test } from "node:test";
import { ErrorCode } from "../../../src/base/requestError.js";
import { Verdict } from "../../../src/base/verdict.js";
import {
    ClaimSimulation,
    ClaimSimulationSettings,
    createClaimSimulation,
    makeKey,
    SendEnd,
    Step,
    TestNode,
    TestSend,
} from "./claimSimulation.js";

interface Setup {
    readonly simulation: ClaimSimulation;
    readonly first: TestNode;
    readonly second: TestNode;
    readonly key: string;
}

async function createSetup(settings: ClaimSimulationSettings = {}): Promise<Setup> {
    const simulation = createClaimSimulation(settings);
    const first = simulation.addNode("first");
    const second = simulation.addNode("second");
    await simulation.settle(first.refreshMarks());
    await simulation.settle(second.refreshMarks());
    await simulation.advance(100);
    return { simulation, first, second, key: makeKey(simulation.timers.wallNow()) };
}

/** Checks that the call ran at most once and that no send that ran was reported as not run. */
function checkRuns(simulation: ClaimSimulation, sends: readonly TestSend[]): void {
    assert.ok(simulation.runs.length <= 1, `the call ran ${simulation.runs.length} times`);
    for (const send of sends) {
        const end = send.result.value;
        const hasRun = simulation.runs.some(run => run.id === send.request);
        assert.ok(!hasRun || end?.verdict !== Verdict.NotRun, `${send.request} ran and was reported as not run`);
        if (end?.verdict === Verdict.Ran) {
            assert.equal(simulation.runs.length, 1, "a send was answered as ran, but the call did not run once");
            assert.equal(end.body, "run 1");
        }
    }
}

/** Faults that are injected at one step of a send, into the node that serves it, its log or its service. */
const faults: Record<string, (setup: Setup, node: TestNode, sends: TestSend[]) => void> = {
    "the sidecar is killed": (setup, node) => node.crash(),
    "the sidecar is paused beyond the limit": ({ simulation }, node) => {
        node.pause();
        simulation.timers.schedule(8_000, () => node.resume());
    },
    "the sidecar is paused for a second": ({ simulation }, node) => {
        node.pause();
        simulation.timers.schedule(1_000, () => node.resume());
    },
    "the customer sends again to another sidecar": ({ second, key }, node, sends) => sends.push(second.send(key)),
    "the customer sends again to the same sidecar": ({ key }, node, sends) => sends.push(node.send(key)),
    "the customer disconnects": (setup, node, sends) => sends[0]?.cancel(),
    "the log is down for 10 s": ({ simulation }) => {
        simulation.model.updateFaults({ unavailable: true });
        simulation.timers.schedule(10_000, () => simulation.model.updateFaults({ unavailable: false }));
    },
    "the log does not answer for 10 s": ({ simulation }) => {
        simulation.model.updateFaults({ unresponsive: true });
        simulation.timers.schedule(10_000, () => simulation.model.updateFaults({ unresponsive: false }));
    },
    "the next append's answer is lost": ({ simulation }) => simulation.model.updateFaults({ lostAnswers: 1 }),
    "the next append is lost": ({ simulation }) => simulation.model.updateFaults({ lostAppends: 1 }),
    "the next append is written twice": ({ simulation }) => simulation.model.updateFaults({ duplicatedAppends: 1 }),
    "the next appends arrive 3 s late": ({ simulation }) =>
        simulation.model.updateFaults({ lateAppends: 3, lateAppendMs: 3_000 }),
    "answers take 2 s": ({ simulation }) => simulation.model.updateFaults({ answerDelayMs: 2_000 }),
    "the service loses its next answer": ({ simulation }) => {
        simulation.service.lostAnswers = 1;
    },
    "the service refuses the next connection": ({ simulation }) => {
        simulation.service.refusedConnections = 1;
    },
};

/** Sends a call with a fault injected at one step, then sends it again. Returns the number of steps observed. */
async function runFault(name: string, faultAtStep: number, settings: ClaimSimulationSettings = {}): Promise<number> {
    const setup = await createSetup(settings);
    const { simulation, first, second, key } = setup;
    const sends: TestSend[] = [];
    let steps = 0;
    simulation.onStep = node => {
        if (node === first && sends.length === 1 && steps++ === faultAtStep) {
            faults[name]!(setup, node, sends);
        }
    };
    sends.length = 0;
    const firstSend = first.send(key);
    sends.push(firstSend);
    if (steps === 0 && faultAtStep === 0) {
        // The first step happened inside `send`, before the send was added to the list.
        steps = 1;
        faults[name]!(setup, first, sends);
    }
    await simulation.advance(7_000);
    for (const node of [second, first, second]) {
        sends.push(node.send(key));
        await simulation.advance(6_500);
    }
    checkRuns(simulation, sends);
    return steps;
}

for (const name of Object.keys(faults)) {
    test(`a keyed call runs at most once when, at any step, ${name}`, async () => {
        const steps = await runFault(name, -1);
        assert.ok(steps >= 5, `only ${steps} steps were observed`);
        for (let step = 0; step < steps; step++) {
            await runFault(name, step);
        }
    });
}

test("without claims the same check fails, because the call runs twice", async () => {
    await assert.rejects(runFault("the customer sends again to another sidecar", 0, { withoutClaims: true }));
});

interface Expectation {
    readonly verdict: Verdict;
    readonly code?: ErrorCode;
    readonly replayed?: boolean;
    readonly runs: number;
}

interface Case extends Expectation {
    readonly settings?: ClaimSimulationSettings;
    readonly act: (setup: Setup) => Promise<SendEnd>;
}

const cases: Record<string, Case> = {
    "a first send runs": {
        act: ({ simulation, first, key }) => simulation.settle(first.send(key).end),
        verdict: Verdict.Ran,
        runs: 1,
    },
    "a repeated send at another sidecar replays the answer": {
        async act({ simulation, first, second, key }) {
            await simulation.settle(first.send(key).end);
            return simulation.settle(second.send(key).end);
        },
        verdict: Verdict.Ran,
        replayed: true,
        runs: 1,
    },
    "two sends at once at two sidecars run once and both get the answer": {
        async act({ simulation, first, second, key }) {
            const [one, two] = await simulation.settle(Promise.all([first.send(key).end, second.send(key).end]));
            assert.deepEqual([one.verdict, one.body], [two.verdict, two.body]);
            return one.replayed ? one : two;
        },
        verdict: Verdict.Ran,
        replayed: true,
        runs: 1,
    },
    "a replay works from memory while the log is down": {
        async act({ simulation, first, key }) {
            await simulation.settle(first.send(key).end);
            simulation.model.updateFaults({ unavailable: true });
            return simulation.settle(first.send(key).end);
        },
        verdict: Verdict.Ran,
        replayed: true,
        runs: 1,
    },
    "an outcome that cannot be appended during a log outage is appended after it": {
        async act({ simulation, first, second, key }) {
            const sent = first.send(key);
            simulation.onStep = (node, step) =>
                step === Step.CallSent && simulation.model.updateFaults({ unavailable: true });
            await simulation.settle(sent.end);
            await simulation.advance(5_000);
            simulation.model.updateFaults({ unavailable: false });
            return simulation.settle(second.send(key).end);
        },
        verdict: Verdict.Ran,
        replayed: true,
        runs: 1,
    },
    "a send with the log down is refused as not run": {
        act({ simulation, first, key }) {
            simulation.model.updateFaults({ unavailable: true });
            return simulation.settle(first.send(key).end);
        },
        verdict: Verdict.NotRun,
        code: ErrorCode.LogUnavailable,
        runs: 0,
    },
    "a send whose claim append stays unknown is refused, and a later send runs": {
        async act({ simulation, first, second, key }) {
            simulation.model.updateFaults({ lateAppends: 1_000, lateAppendMs: 4_000 });
            const refused = await simulation.settle(first.send(key, { limitMs: 3_000 }).end);
            assert.deepEqual([refused.verdict, refused.code], [Verdict.NotRun, ErrorCode.LogUnavailable]);
            simulation.model.updateFaults({ lateAppends: 0 });
            await simulation.advance(6_000);
            return simulation.settle(second.send(key).end);
        },
        verdict: Verdict.Ran,
        runs: 1,
    },
    "after the holder is killed, another send is reported as may have run": {
        async act({ simulation, first, second, key }) {
            simulation.onStep = (node, step) => step === Step.CallSent && node.crash();
            first.send(key, { limitMs: 1_000 });
            await simulation.advance(3_000);
            return simulation.settle(second.send(key).end);
        },
        verdict: Verdict.MayHaveRun,
        code: ErrorCode.OutcomeUnknown,
        runs: 1,
    },
    "a call whose answer from the service is lost does not run again": {
        async act({ simulation, first, second, key }) {
            simulation.service.lostAnswers = 1;
            assert.equal((await simulation.settle(first.send(key).end)).verdict, Verdict.MayHaveRun);
            return simulation.settle(second.send(key).end);
        },
        verdict: Verdict.MayHaveRun,
        code: ErrorCode.OutcomeUnknown,
        runs: 1,
    },
    "a refused connection releases the key for another sidecar": {
        async act({ simulation, first, second, key }) {
            simulation.service.refusedConnections = 1;
            assert.equal((await simulation.settle(first.send(key).end)).verdict, Verdict.NotRun);
            return simulation.settle(second.send(key).end);
        },
        verdict: Verdict.Ran,
        runs: 1,
    },
    "a holder paused before its call does not run it after its limit": {
        async act({ simulation, first, second, key }) {
            simulation.onStep = (node, step) => node === first && step === Step.ReadAnswered && node.pause();
            const paused = first.send(key, { limitMs: 1_000 });
            await simulation.advance(3_000);
            simulation.onStep = () => undefined;
            assert.equal((await simulation.settle(second.send(key).end)).verdict, Verdict.MayHaveRun);
            first.resume();
            assert.equal((await simulation.settle(paused.end)).verdict, Verdict.NotRun);
            await simulation.advance(500);
            return simulation.settle(second.send(key).end);
        },
        verdict: Verdict.Ran,
        runs: 1,
    },
    "the same key with another body is refused": {
        async act({ simulation, first, second, key }) {
            await simulation.settle(first.send(key).end);
            return simulation.settle(second.send(key, { body: "other" }).end);
        },
        verdict: Verdict.NotRun,
        code: ErrorCode.KeyReused,
        runs: 1,
    },
    "the same key of another customer is another key": {
        async act({ simulation, first, second, key }) {
            await simulation.settle(first.send(key).end);
            return simulation.settle(second.send(key, { customer: "clerk" }).end);
        },
        verdict: Verdict.Ran,
        runs: 2,
    },
    "the same key in capital letters is the same key": {
        async act({ simulation, first, second }) {
            const key = makeKey(simulation.timers.wallNow(), 0xabc);
            await simulation.settle(first.send(key).end);
            return simulation.settle(second.send(key.toUpperCase()).end);
        },
        verdict: Verdict.Ran,
        replayed: true,
        runs: 1,
    },
    "a key older than the window is refused": {
        async act({ simulation, first, second, key }) {
            await simulation.settle(first.send(key).end);
            await simulation.advance(61_000);
            return simulation.settle(second.send(key).end);
        },
        verdict: Verdict.NotRun,
        code: ErrorCode.KeyExpired,
        runs: 1,
    },
    "a key whose claim the log may have dropped is refused by a sidecar that has not seen it": {
        settings: { retentionMs: 10_000 },
        async act({ simulation, first, key }) {
            await simulation.settle(first.send(key).end);
            await simulation.advance(11_000);
            return simulation.settle(simulation.addNode("new").send(key).end);
        },
        verdict: Verdict.NotRun,
        code: ErrorCode.KeyExpired,
        runs: 1,
    },
    "a key is refused by a new sidecar after the log was emptied and restarted": {
        async act({ simulation, first, key }) {
            await simulation.settle(first.send(key).end);
            simulation.model.dropRecords(true);
            return simulation.settle(simulation.addNode("new").send(key).end);
        },
        verdict: Verdict.NotRun,
        code: ErrorCode.KeyExpired,
        runs: 1,
    },
    "a sidecar that has read the claim replays its outcome after the log was emptied and restarted": {
        async act({ simulation, first, second, key }) {
            await simulation.settle(first.send(key).end);
            await simulation.settle(second.send(key).end);
            simulation.model.dropRecords(true);
            await simulation.settle(first.send(makeKey(simulation.timers.wallNow(), 9)).end);
            return simulation.settle(second.send(key).end);
        },
        verdict: Verdict.Ran,
        replayed: true,
        runs: 1,
    },
    "a sidecar runs new calls after the log was emptied and restarted": {
        async act({ simulation, first, key }) {
            await simulation.settle(first.send(key).end);
            simulation.model.dropRecords(true);
            await simulation.settle(first.refreshMarks());
            await simulation.advance(100);
            return simulation.settle(first.send(makeKey(simulation.timers.wallNow(), 1)).end);
        },
        verdict: Verdict.Ran,
        runs: 2,
    },
    "a key that is not a UUIDv7 is refused": {
        act: ({ simulation, first }) => simulation.settle(first.send("11111111-1111-4111-8111-111111111111").end),
        verdict: Verdict.NotRun,
        code: ErrorCode.KeyInvalid,
        runs: 0,
    },
    "a key whose time is in the future is refused": {
        act: ({ simulation, first }) => simulation.settle(first.send(makeKey(simulation.timers.wallNow() + 5_000)).end),
        verdict: Verdict.NotRun,
        code: ErrorCode.KeyInvalid,
        runs: 0,
    },
    "a send that is cancelled while it claims is not run": {
        async act({ simulation, first, key }) {
            simulation.model.updateFaults({ answerDelayMs: 300 });
            const sent = first.send(key);
            await simulation.advance(100);
            sent.cancel();
            return simulation.settle(sent.end);
        },
        verdict: Verdict.NotRun,
        code: ErrorCode.Cancelled,
        runs: 0,
    },
    "a sidecar with another number of partitions refuses": {
        async act({ simulation, first, key }) {
            await simulation.settle(first.send(key).end);
            const other = { kind: "mark", id: "other", partitions: 7 };
            await simulation.model.append("claims-0", [other]);
            return simulation.settle(simulation.addNode("new").send(makeKey(simulation.timers.wallNow(), 1)).end);
        },
        verdict: Verdict.NotRun,
        code: ErrorCode.LogUnavailable,
        runs: 1,
    },
};

for (const [name, { act, settings, ...expected }] of Object.entries(cases)) {
    test(`claims: ${name}`, async () => {
        const setup = await createSetup(settings);
        const end = await act(setup);
        assert.deepEqual(
            { verdict: end.verdict, code: end.code, replayed: end.replayed, runs: setup.simulation.runs.length },
            { code: undefined, replayed: false, ...expected },
        );
    });
}

test("sends that wait for the claim holder's outcome read an unavailable log at a bounded rate and do not wake each other", async () => {
    const { simulation, first, second, key } = await createSetup();
    simulation.onStep = (node, step) => node === first && step === Step.CallSent && node.crash();
    first.send(key);
    await simulation.advance(200);
    await simulation.settle(second.send(key, { limitMs: 300 }).end);
    simulation.model.updateFaults({ unavailable: true });
    simulation.trace.length = 0;
    const sends = [second.send(key), second.send(key)];
    await simulation.settle(Promise.all(sends.map(send => send.end)));
    const reads = simulation.trace.filter(entry => entry.endsWith(Step.ReadSent)).length;
    assert.ok(reads < 100, `${reads} reads in 5 s`);
    checkRuns(simulation, sends);
});
