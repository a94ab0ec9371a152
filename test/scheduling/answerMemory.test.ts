import assert from "node:assert/strict";
import { test } from "node:test";
import { HeldAnswer, selectAnswersToEnd } from "../../src/scheduling/answerMemory.js";

interface NamedAnswer extends HeldAnswer {
    readonly name: string;
}

function makeAnswer(name: string, changes: Partial<HeldAnswer>): NamedAnswer {
    const usual = { isAssembling: false, isComplete: false, behindMs: 1_000, readBytes: 0, unreadMs: 1_000 };
    return { name, heldBytes: 100, ...usual, ...changes };
}

const select = (answers: readonly NamedAnswer[], maxBytes: number) =>
    selectAnswersToEnd(answers, maxBytes).map(answer => answer.name);

/** Guards against ending answers while there is memory for them. */
test("nothing is ended within the bound", () => {
    assert.deepEqual(select([makeAnswer("a", {}), makeAnswer("b", {})], 200), []);
});

/** Guards against a quick reader of a long answer that loses it because of slow ones. */
test("the slowest readers that hold the most are ended first, and no more than needed", () => {
    const answers = [
        makeAnswer("quick and large", { heldBytes: 400, readBytes: 90_000, unreadMs: 2 }),
        makeAnswer("slow and small", { heldBytes: 50 }),
        makeAnswer("slow and large", { heldBytes: 300 }),
        makeAnswer("slower by time", { heldBytes: 200, behindMs: 9_000 }),
    ];
    assert.deepEqual(select(answers, 900), ["slower by time"]);
    assert.deepEqual(select(answers, 500), ["slower by time", "slow and large"]);
});

/** Guards against losing complete answers, and against one that is never read and keeps its memory for good. */
test("a complete answer outlasts incomplete ones while it is read, and one that is being assembled outlasts both", () => {
    const answers = [
        makeAnswer("assembling", { isAssembling: true }),
        makeAnswer("read", { isComplete: true, behindMs: 60_000, unreadMs: 4_000 }),
        makeAnswer("incomplete", {}),
        makeAnswer("abandoned", { isComplete: true, behindMs: 60_000, unreadMs: 60_000 }),
    ];
    assert.deepEqual(select(answers, 50), ["abandoned", "incomplete", "read", "assembling"]);
    assert.deepEqual(select(answers, 250), ["abandoned", "incomplete"]);
});
