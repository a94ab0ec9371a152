import assert from "node:assert/strict";
import { test } from "node:test";
import { ErrorCode } from "../../../src/base/requestError.js";
import { Verdict } from "../../../src/base/verdict.js";
import { createWorld, makeKey, SendEnd, Step, TestNode, TestSend, World, WorldSettings } from "./world.js";

interface Scene {
    readonly world: World;
    readonly first: TestNode;
    readonly second: TestNode;
    readonly key: string;
}

async function createScene(settings: WorldSettings = {}): Promise<Scene> {
    const world = createWorld(settings);
    const first = world.addNode("first");
    const second = world.addNode("second");
    await world.settle(first.refreshMarks());
    await world.settle(second.refreshMarks());
    await world.advance(100);
    return { world, first, second, key: makeKey(world.timers.wallNow()) };
}

/** What holds whatever happens: at most one run, and no "not run" for a send that ran. */
function checkRuns(world: World, sends: readonly TestSend[]): void {
    assert.ok(world.runs.length <= 1, `the call ran ${world.runs.length} times`);
    for (const send of sends) {
        const end = send.result.value;
        const hasRun = world.runs.some(run => run.id === send.request);
        assert.ok(!hasRun || end?.verdict !== Verdict.NotRun, `${send.request} ran and was reported as not run`);
        if (end?.verdict === Verdict.Ran) {
            assert.equal(world.runs.length, 1, "an answer without a run");
            assert.equal(end.body, "run 1");
        }
    }
}

/** What can befall the node that serves a send, or its log, at one of its steps. */
const faults: Record<string, (scene: Scene, node: TestNode, sends: TestSend[]) => void> = {
    "the sidecar is killed": (scene, node) => node.crash(),
    "the sidecar is paused beyond the limit": ({ world }, node) => {
        node.pause();
        world.timers.schedule(8_000, () => node.resume());
    },
    "the sidecar is paused for a second": ({ world }, node) => {
        node.pause();
        world.timers.schedule(1_000, () => node.resume());
    },
    "the customer sends again to another sidecar": ({ second, key }, node, sends) => sends.push(second.send(key)),
    "the customer sends again to the same sidecar": ({ key }, node, sends) => sends.push(node.send(key)),
    "the customer goes away": (scene, node, sends) => sends[0]?.cancel(),
    "the log is down for 10 s": ({ world }) => {
        world.model.updateFaults({ unavailable: true });
        world.timers.schedule(10_000, () => world.model.updateFaults({ unavailable: false }));
    },
    "the log does not answer for 10 s": ({ world }) => {
        world.model.updateFaults({ unresponsive: true });
        world.timers.schedule(10_000, () => world.model.updateFaults({ unresponsive: false }));
    },
    "the next append's answer is lost": ({ world }) => world.model.updateFaults({ lostAnswers: 1 }),
    "the next append is lost": ({ world }) => world.model.updateFaults({ lostAppends: 1 }),
    "the next append is written twice": ({ world }) => world.model.updateFaults({ duplicatedAppends: 1 }),
    "the next appends arrive 3 s late": ({ world }) =>
        world.model.updateFaults({ lateAppends: 3, lateAppendMs: 3_000 }),
    "answers take 2 s": ({ world }) => world.model.updateFaults({ answerDelayMs: 2_000 }),
    "the service loses its next answer": ({ world }) => {
        world.service.lostAnswers = 1;
    },
    "the service refuses the next connection": ({ world }) => {
        world.service.refusedConnections = 1;
    },
};

/** Runs a send with a fault at its n-th step, then sends again. Returns the number of steps that were seen. */
async function runFault(name: string, faultAtStep: number, settings: WorldSettings = {}): Promise<number> {
    const scene = await createScene(settings);
    const { world, first, second, key } = scene;
    const sends: TestSend[] = [];
    let steps = 0;
    world.onStep = node => {
        if (node === first && sends.length === 1 && steps++ === faultAtStep) {
            faults[name]!(scene, node, sends);
        }
    };
    sends.length = 0;
    const opened = first.send(key);
    sends.push(opened);
    if (steps === 0 && faultAtStep === 0) {
        // The first step came before the send was listed.
        steps = 1;
        faults[name]!(scene, first, sends);
    }
    await world.advance(7_000);
    for (const node of [second, first, second]) {
        sends.push(node.send(key));
        await world.advance(6_500);
    }
    checkRuns(world, sends);
    return steps;
}

for (const name of Object.keys(faults)) {
    test(`a keyed call runs at most once when, at any step, ${name}`, async () => {
        const steps = await runFault(name, -1);
        assert.ok(steps >= 5, `only ${steps} steps were seen`);
        for (let step = 0; step < steps; step++) {
            await runFault(name, step);
        }
    });
}

test("without claims the same table sees two runs, so the witness can fail", async () => {
    await assert.rejects(runFault("the customer sends again to another sidecar", 0, { withoutClaims: true }));
});

interface Expectation {
    readonly verdict: Verdict;
    readonly code?: ErrorCode;
    readonly replayed?: boolean;
    readonly runs: number;
}

interface Case extends Expectation {
    readonly settings?: WorldSettings;
    readonly act: (scene: Scene) => Promise<SendEnd>;
}

const cases: Record<string, Case> = {
    "a first send runs": {
        act: ({ world, first, key }) => world.settle(first.send(key).end),
        verdict: Verdict.Ran,
        runs: 1,
    },
    "a repeated send at another sidecar replays the answer": {
        async act({ world, first, second, key }) {
            await world.settle(first.send(key).end);
            return world.settle(second.send(key).end);
        },
        verdict: Verdict.Ran,
        replayed: true,
        runs: 1,
    },
    "two sends at once at two sidecars run once and both get the answer": {
        async act({ world, first, second, key }) {
            const [one, two] = await world.settle(Promise.all([first.send(key).end, second.send(key).end]));
            assert.deepEqual([one.verdict, one.body], [two.verdict, two.body]);
            return one.replayed ? one : two;
        },
        verdict: Verdict.Ran,
        replayed: true,
        runs: 1,
    },
    "a replay works from memory while the log is down": {
        async act({ world, first, key }) {
            await world.settle(first.send(key).end);
            world.model.updateFaults({ unavailable: true });
            return world.settle(first.send(key).end);
        },
        verdict: Verdict.Ran,
        replayed: true,
        runs: 1,
    },
    "an outcome that the log does not take at once is there after the outage": {
        async act({ world, first, second, key }) {
            const sent = first.send(key);
            world.onStep = (node, step) => step === Step.CallSent && world.model.updateFaults({ unavailable: true });
            await world.settle(sent.end);
            await world.advance(5_000);
            world.model.updateFaults({ unavailable: false });
            return world.settle(second.send(key).end);
        },
        verdict: Verdict.Ran,
        replayed: true,
        runs: 1,
    },
    "a send with the log down is refused as not run": {
        act({ world, first, key }) {
            world.model.updateFaults({ unavailable: true });
            return world.settle(first.send(key).end);
        },
        verdict: Verdict.NotRun,
        code: ErrorCode.LogUnavailable,
        runs: 0,
    },
    "a send whose claim append stays unknown is refused, and a later send runs": {
        async act({ world, first, second, key }) {
            world.model.updateFaults({ lateAppends: 1_000, lateAppendMs: 4_000 });
            const refused = await world.settle(first.send(key, { limitMs: 3_000 }).end);
            assert.deepEqual([refused.verdict, refused.code], [Verdict.NotRun, ErrorCode.LogUnavailable]);
            world.model.updateFaults({ lateAppends: 0 });
            await world.advance(6_000);
            return world.settle(second.send(key).end);
        },
        verdict: Verdict.Ran,
        runs: 1,
    },
    "a killed holder leaves the key as may have run": {
        async act({ world, first, second, key }) {
            world.onStep = (node, step) => step === Step.CallSent && node.crash();
            first.send(key, { limitMs: 1_000 });
            await world.advance(3_000);
            return world.settle(second.send(key).end);
        },
        verdict: Verdict.MayHaveRun,
        code: ErrorCode.OutcomeUnknown,
        runs: 1,
    },
    "a lost answer of the service is never followed by another run": {
        async act({ world, first, second, key }) {
            world.service.lostAnswers = 1;
            assert.equal((await world.settle(first.send(key).end)).verdict, Verdict.MayHaveRun);
            return world.settle(second.send(key).end);
        },
        verdict: Verdict.MayHaveRun,
        code: ErrorCode.OutcomeUnknown,
        runs: 1,
    },
    "a refused connection frees the key for another sidecar": {
        async act({ world, first, second, key }) {
            world.service.refusedConnections = 1;
            assert.equal((await world.settle(first.send(key).end)).verdict, Verdict.NotRun);
            return world.settle(second.send(key).end);
        },
        verdict: Verdict.Ran,
        runs: 1,
    },
    "a holder paused before its call does not run it after its limit": {
        async act({ world, first, second, key }) {
            world.onStep = (node, step) => node === first && step === Step.ReadAnswered && node.pause();
            const paused = first.send(key, { limitMs: 1_000 });
            await world.advance(3_000);
            world.onStep = () => undefined;
            assert.equal((await world.settle(second.send(key).end)).verdict, Verdict.MayHaveRun);
            first.resume();
            assert.equal((await world.settle(paused.end)).verdict, Verdict.NotRun);
            await world.advance(500);
            return world.settle(second.send(key).end);
        },
        verdict: Verdict.Ran,
        runs: 1,
    },
    "the same key with another body is refused": {
        async act({ world, first, second, key }) {
            await world.settle(first.send(key).end);
            return world.settle(second.send(key, { body: "other" }).end);
        },
        verdict: Verdict.NotRun,
        code: ErrorCode.KeyReused,
        runs: 1,
    },
    "the same key of another customer is another key": {
        async act({ world, first, second, key }) {
            await world.settle(first.send(key).end);
            return world.settle(second.send(key, { customer: "clerk" }).end);
        },
        verdict: Verdict.Ran,
        runs: 2,
    },
    "the same key in capital letters is the same key": {
        async act({ world, first, second }) {
            const key = makeKey(world.timers.wallNow(), 0xabc);
            await world.settle(first.send(key).end);
            return world.settle(second.send(key.toUpperCase()).end);
        },
        verdict: Verdict.Ran,
        replayed: true,
        runs: 1,
    },
    "a key older than the window is refused": {
        async act({ world, first, second, key }) {
            await world.settle(first.send(key).end);
            await world.advance(61_000);
            return world.settle(second.send(key).end);
        },
        verdict: Verdict.NotRun,
        code: ErrorCode.KeyExpired,
        runs: 1,
    },
    "a key whose claim the log may have dropped is refused by a sidecar that has not seen it": {
        settings: { retentionMs: 10_000 },
        async act({ world, first, key }) {
            await world.settle(first.send(key).end);
            await world.advance(11_000);
            return world.settle(world.addNode("new").send(key).end);
        },
        verdict: Verdict.NotRun,
        code: ErrorCode.KeyExpired,
        runs: 1,
    },
    "a key is refused by a new sidecar after the log was emptied and began anew": {
        async act({ world, first, key }) {
            await world.settle(first.send(key).end);
            world.model.empty(true);
            return world.settle(world.addNode("new").send(key).end);
        },
        verdict: Verdict.NotRun,
        code: ErrorCode.KeyExpired,
        runs: 1,
    },
    "a sidecar that has seen the claim replays after the log was emptied and began anew": {
        async act({ world, first, second, key }) {
            await world.settle(first.send(key).end);
            await world.settle(second.send(key).end);
            world.model.empty(true);
            await world.settle(first.send(makeKey(world.timers.wallNow(), 9)).end);
            return world.settle(second.send(key).end);
        },
        verdict: Verdict.Ran,
        replayed: true,
        runs: 1,
    },
    "a sidecar goes on after the log was emptied and began anew": {
        async act({ world, first, key }) {
            await world.settle(first.send(key).end);
            world.model.empty(true);
            await world.settle(first.refreshMarks());
            await world.advance(100);
            return world.settle(first.send(makeKey(world.timers.wallNow(), 1)).end);
        },
        verdict: Verdict.Ran,
        runs: 2,
    },
    "a key that is no UUIDv7 is refused": {
        act: ({ world, first }) => world.settle(first.send("11111111-1111-4111-8111-111111111111").end),
        verdict: Verdict.NotRun,
        code: ErrorCode.KeyInvalid,
        runs: 0,
    },
    "a key from the future is refused": {
        act: ({ world, first }) => world.settle(first.send(makeKey(world.timers.wallNow() + 5_000)).end),
        verdict: Verdict.NotRun,
        code: ErrorCode.KeyInvalid,
        runs: 0,
    },
    "a send that is cancelled while it claims is not run": {
        async act({ world, first, key }) {
            world.model.updateFaults({ answerDelayMs: 300 });
            const sent = first.send(key);
            await world.advance(100);
            sent.cancel();
            return world.settle(sent.end);
        },
        verdict: Verdict.NotRun,
        code: ErrorCode.Cancelled,
        runs: 0,
    },
    "a sidecar with another number of partitions refuses": {
        async act({ world, first, key }) {
            await world.settle(first.send(key).end);
            const other = { kind: "mark", id: "other", partitions: 7 };
            await world.model.append("claims-0", [other]);
            return world.settle(world.addNode("new").send(makeKey(world.timers.wallNow(), 1)).end);
        },
        verdict: Verdict.NotRun,
        code: ErrorCode.LogUnavailable,
        runs: 1,
    },
};

for (const [name, { act, settings, ...expected }] of Object.entries(cases)) {
    test(`claims: ${name}`, async () => {
        const scene = await createScene(settings);
        const end = await act(scene);
        assert.deepEqual(
            { verdict: end.verdict, code: end.code, replayed: end.replayed, runs: scene.world.runs.length },
            { code: undefined, replayed: false, ...expected },
        );
    });
}

test("sends that wait for a holder while the log is down read at a bounded rate and do not wake each other", async () => {
    const { world, first, second, key } = await createScene();
    world.onStep = (node, step) => node === first && step === Step.CallSent && node.crash();
    first.send(key);
    await world.advance(200);
    await world.settle(second.send(key, { limitMs: 300 }).end);
    world.model.updateFaults({ unavailable: true });
    world.trace.length = 0;
    const sends = [second.send(key), second.send(key)];
    await world.settle(Promise.all(sends.map(send => send.end)));
    const reads = world.trace.filter(entry => entry.endsWith(Step.ReadSent)).length;
    assert.ok(reads < 100, `${reads} reads in 5 s`);
    checkRuns(world, sends);
});
