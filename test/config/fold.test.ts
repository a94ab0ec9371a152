import * as fastCheck from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { buildChanges, ChangeOperation, makeChangeSetRecord } from "../../src/config/changeSet.js";
import { makeCheckpoint, parseCheckpoint } from "../../src/config/checkpoint.js";
import {
    baseWindowOffsets,
    FoldOutcome,
    FoldOutcomeKind,
    foldRecord,
    FoldState,
    makeEmptyFoldState,
    RejectionReason,
} from "../../src/config/fold.js";
import { acceptHistoryPage, makeConfigurationHistory } from "../../src/config/history.js";
import { makeEmptyObjects, ObjectType } from "../../src/config/objects.js";
import {
    acceptPage,
    acceptPeerState,
    acceptRestart,
    ConfigurationReader,
    isCheckpointDue,
    makeConfigurationReader,
    makeRestartState,
    skipGap,
} from "../../src/config/reader.js";
import { LogRecord } from "../../src/ports/logService.js";
import { makeRankRecord, makeSampleObjects } from "./samples.js";

const sample = makeSampleObjects();
const firstRecord = makeChangeSetRecord({
    id: "first",
    author: "test",
    base: -1,
    changes: buildChanges(makeEmptyObjects(), sample, true),
});

function foldAll(values: readonly unknown[], state = makeEmptyFoldState()) {
    const outcomes: FoldOutcome[] = [];
    values.forEach((value, index) => {
        const result = foldRecord(state, { offset: index, timeMs: index, value });
        state = result.state;
        outcomes.push(result.outcome);
    });
    return { state, outcomes };
}

function makeDeletion(id: string, base: number, kind: ObjectType, name: string) {
    return makeChangeSetRecord({ id, author: "test", base, changes: [{ op: ChangeOperation.Delete, kind, name }] });
}

/** Records that follow `firstRecord` at offset 0, and the expected outcome of the last one. */
const foldCases: readonly (readonly [string, readonly unknown[], RejectionReason | FoldOutcomeKind])[] = [
    ["two change sets with the same base change different objects", [
        makeRankRecord("a", 0, "x", 1),
        makeRankRecord("b", 0, "y", 1),
    ], FoldOutcomeKind.Accepted],
    ["two change sets with the same base change the same object", [
        makeRankRecord("a", 0, "x", 1),
        makeRankRecord("b", 0, "x", 2),
    ], RejectionReason.Conflict],
    ["a change of an object that was deleted after the base of the change set", [
        makeRankRecord("a", 0, "x", 1),
        makeDeletion("b", 1, ObjectType.Rank, "x"),
        makeRankRecord("c", 1, "x", 2),
    ], RejectionReason.Conflict],
    ["a reference to an object that another change set has deleted", [
        makeRankRecord("a", 0, "x", 1),
        makeDeletion("b", 1, ObjectType.Rank, "x"),
        makeChangeSetRecord({
            id: "c",
            author: "test",
            base: 1,
            changes: [{ op: ChangeOperation.Put, kind: ObjectType.Kind, name: "k", value: { rank: "x" } }],
        }),
    ], RejectionReason.Invalid],
    ["a duplicate of a change set", [
        makeRankRecord("a", 0, "x", 1),
        makeRankRecord("a", 0, "x", 1),
    ], RejectionReason.Duplicate],
    ["a duplicate of a rejected change set that would be valid by then", [
        makeChangeSetRecord({
            id: "k",
            author: "test",
            base: 0,
            changes: [{ op: ChangeOperation.Put, kind: ObjectType.Kind, name: "k", value: { rank: "x" } }],
        }),
        makeRankRecord("a", 0, "x", 1),
        makeChangeSetRecord({
            id: "k",
            author: "test",
            base: 0,
            changes: [{ op: ChangeOperation.Put, kind: ObjectType.Kind, name: "k", value: { rank: "x" } }],
        }),
    ], RejectionReason.Duplicate],
    ["a base that does not exist yet", [makeRankRecord("a", 1, "x", 1)], RejectionReason.BaseInFuture],
    [
        "a deletion of an object that does not exist",
        [makeDeletion("a", 0, ObjectType.Rank, "none")],
        RejectionReason.Invalid,
    ],
    [
        "a record that does not match its digest",
        [{ ...makeRankRecord("a", 0, "x", 1), author: "other" }],
        FoldOutcomeKind.Ignored,
    ],
    ["a record of unknown type", [{ id: "a" }], FoldOutcomeKind.Ignored],
];

for (const [name, values, expected] of foldCases) {
    test(`fold: ${name}: ${expected}`, () => {
        const before = foldAll([firstRecord, ...values.slice(0, -1)]).state;
        const { state, outcomes } = foldAll([firstRecord, ...values]);
        const outcome = outcomes.at(-1)!;
        assert.equal(outcome.kind === FoldOutcomeKind.Rejected ? outcome.reason : outcome.kind, expected);
        if (outcome.kind !== FoldOutcomeKind.Accepted) {
            assert.equal(state.generation, before.generation);
            assert.deepEqual(state.objects, before.objects);
        }
    });
}

test("a base older than the base window is rejected, because later deletions may no longer be recorded", () => {
    const { state } = foldAll([firstRecord]);
    const record = { offset: baseWindowOffsets + 1, timeMs: 0, value: makeRankRecord("a", 0, "x", 1) };
    const { outcome } = foldRecord(state, record);
    assert.equal(outcome.kind === FoldOutcomeKind.Rejected && outcome.reason, RejectionReason.BaseTooOld);
});

test("a checkpoint that does not match its digest is rejected", () => {
    const { state } = foldAll([firstRecord]);
    const checkpoint = makeCheckpoint(state);
    assert.equal(typeof parseCheckpoint({ ...checkpoint, generation: -1 }), "string");
    assert.equal(typeof parseCheckpoint({ ...checkpoint, objects: makeEmptyObjects() }), "string");
    const parsed = parseCheckpoint(JSON.parse(JSON.stringify(checkpoint)));
    assert.deepEqual(parsed, { state, restart: false });
});

/** Reads a page from a log that retains the records from `firstOffset` on. */
function readPage(values: readonly unknown[], firstOffset: number, fromOffset: number, limit: number) {
    const from = Math.max(firstOffset, fromOffset);
    const records: LogRecord[] = values.slice(from, from + limit).map((value, index) => ({
        offset: from + index,
        timeMs: from + index,
        value,
    }));
    return { records, firstOffset, endOffset: values.length };
}

function readAll(values: readonly unknown[], firstOffset = 0, reader = makeConfigurationReader()): ConfigurationReader {
    return acceptPage(reader, readPage(values, firstOffset, reader.nextOffset, values.length)).reader;
}

const step = fastCheck.record({
    kind: fastCheck.constantFrom("put", "delete", "kind", "duplicate", "garbage", "checkpoint"),
    name: fastCheck.constantFrom("x", "y", "z"),
    lag: fastCheck.nat(3),
    value: fastCheck.integer({ min: 1, max: 5 }),
});

/** Builds a log and the state after each record. Checkpoints in the log are valid checkpoints of earlier states. */
function buildLog(steps: readonly { kind: string; name: string; lag: number; value: number }[]) {
    const values: unknown[] = [firstRecord];
    const states: FoldState[] = [foldAll(values).state];
    for (const { kind, name, lag, value } of steps) {
        const base = Math.max(-1, values.length - 1 - lag);
        const id = `id-${values.length}`;
        const put = { op: ChangeOperation.Put, kind: ObjectType.Kind, name, value: { rank: name } };
        const next = kind === "put"
            ? makeRankRecord(id, base, name, value)
            : kind === "delete"
            ? makeDeletion(id, base, ObjectType.Rank, name)
            : kind === "kind"
            ? makeChangeSetRecord({ id, author: "test", base, changes: [put] })
            : kind === "duplicate"
            ? values[Math.max(0, values.length - 1 - lag)]
            : kind === "garbage"
            ? { id, garbage: value }
            : JSON.parse(JSON.stringify(makeCheckpoint(states[Math.max(0, states.length - 1 - lag)]!))) as unknown;
        values.push(next);
        states.push(foldRecord(states.at(-1)!, { offset: values.length - 1, timeMs: 0, value: next }).state);
    }
    return { values, states };
}

test("every way of reading the log gives the same state: page sizes, repeated pages, restarts from checkpoints, peers", () => {
    const property = fastCheck.property(
        fastCheck.array(step, { minLength: 1, maxLength: 40 }),
        fastCheck.array(fastCheck.tuple(fastCheck.nat(5), fastCheck.nat(4), fastCheck.nat(9)), { minLength: 1 }),
        (steps, reads) => {
            const { values, states } = buildLog(steps);
            const expected = states.at(-1)!;
            let reader = makeConfigurationReader();
            let firstOffset = 0;
            let index = 0;
            while (reader.nextOffset < values.length || reader.gap) {
                const [limit, back, action] = reads[index++ % reads.length]!;
                const { generation } = reader.state;
                if (action === 0) {
                    // The process restarts, and a peer provides a state from any earlier time.
                    const checkpoint = parseCheckpoint(makeCheckpoint(states[Math.min(back, states.length - 1)]!));
                    assert.ok(typeof checkpoint !== "string");
                    reader = acceptPeerState(makeConfigurationReader(), checkpoint.state).reader;
                }
                else {
                    // A read may start before the next offset and repeat records.
                    const from = Math.max(0, reader.nextOffset - (action === 1 ? back : 0));
                    reader = acceptPage(reader, readPage(values, firstOffset, from, limit + 1 + back)).reader;
                    assert.ok(reader.state.generation >= generation, "the reader reverted to an older generation");
                }
                if (index > 200) {
                    reader = readAll(values, firstOffset, reader);
                    break;
                }
                firstOffset = 0;
            }
            assert.deepEqual(reader.state, expected);
            // A new process reads a log in which the records that are covered by the last checkpoint have expired.
            const covering = values.map(value => typeof parseCheckpoint(value) !== "string").lastIndexOf(true);
            if (covering > 0) {
                const checkpoint = parseCheckpoint(values[covering]) as { state: FoldState };
                const late = readAll(values, checkpoint.state.foldedOffset + 1);
                assert.deepEqual(late.state, expected);
            }
        },
    );
    fastCheck.assert(property, { seed: 20_261_204, numRuns: 300 });
});

test("an old page, an empty log or an old checkpoint does not replace a newer state", () => {
    const values = [firstRecord, makeRankRecord("a", 0, "x", 1), makeRankRecord("b", 1, "x", 2)];
    const reader = readAll(values);
    const oldCheckpoint = makeCheckpoint(foldAll(values.slice(0, 1)).state);
    assert.equal(readAll(values.slice(0, 1), 0, reader).state, reader.state);
    assert.equal(acceptPage(reader, { records: [], firstOffset: 0, endOffset: 0 }).reader.state, reader.state);
    assert.equal(acceptPage(reader, { records: [], firstOffset: 3, endOffset: 3 }).reader.state, reader.state);
    const withCheckpoint = readAll([...values, oldCheckpoint], 3, reader);
    assert.equal(withCheckpoint.state.objects, reader.state.objects);
    const afterGap = readAll([...values, makeRankRecord("c", 2, "y", 1), oldCheckpoint], 4, reader);
    assert.equal(afterGap.state.objects, reader.state.objects);
    assert.deepEqual(afterGap.gap, { fromOffset: 3, toOffset: 3, isRestart: false });
});

test("a reader with a gap folds later records only after a checkpoint or peer covers it or it is skipped", () => {
    const values = [firstRecord, makeRankRecord("a", 0, "x", 1), makeRankRecord("b", 1, "x", 2)];
    const states = values.map((value, index) => foldAll(values.slice(0, index + 1)).state);
    const readerWithGap = readAll(values, 2, readAll(values.slice(0, 1)));
    assert.equal(readerWithGap.state.generation, 0);
    assert.equal(readerWithGap.pending.length, 1);
    assert.equal(isCheckpointDue(readerWithGap, { retentionMs: 10, maxRecords: 10 }, 0), false);
    assert.equal(acceptPeerState(readerWithGap, states[1]!).reader.state.objects.ranks.x?.timeLimitMs, 2);
    const covered = readAll([...values, makeCheckpoint(states[1]!)], 2, readerWithGap);
    assert.deepEqual(covered.state.objects, states[2]!.objects);
    const skipped = skipGap(readerWithGap).reader;
    assert.equal(skipped.state.generation, 2);
    assert.equal(isCheckpointDue(skipped, { retentionMs: 10, maxRecords: 10 }, 0), true);
});

test("a log that restarts at offset 0 neither reverts the configuration nor prevents later changes", () => {
    const values = [firstRecord, makeRankRecord("a", 0, "x", 1)];
    const reader = acceptRestart(readAll(values));
    const ended = acceptPage(reader, readPage([], 0, 0, 10)).reader;
    assert.equal(ended.state.generation, 1);
    const restart = JSON.parse(JSON.stringify(makeCheckpoint(makeRestartState(ended), true))) as unknown;
    const base = makeRestartState(ended).foldedOffset + 1;
    const log = [restart, makeRankRecord("b", base, "x", 2), makeCheckpoint(ended.state)];
    const existingReader = readAll(log, 0, ended);
    const newReader = readAll(log);
    assert.equal(existingReader.state.objects.ranks.x?.timeLimitMs, 2);
    assert.ok(existingReader.state.generation > 1);
    assert.deepEqual(newReader.state, existingReader.state);
    // A new process starts after the restart checkpoint has expired.
    const later = [...log, makeCheckpoint(existingReader.state)];
    assert.deepEqual(readAll(later, 3).state, {
        ...existingReader.state,
        foldedOffset: existingReader.state.foldedOffset + 1,
    });
});

test("the history retains each generation, so that it can be restored by a rollback", () => {
    const values = [firstRecord, makeRankRecord("a", 0, "x", 1), makeRankRecord("b", 0, "x", 2)];
    const history = acceptHistoryPage(makeConfigurationHistory(), readPage(values, 0, 0, 10));
    assert.deepEqual(history.entries.map(entry => entry.rejection ?? "accepted"), ["accepted", "accepted", "conflict"]);
    const changes = buildChanges(history.reader.state.objects, history.generations.get(0)!, true);
    assert.deepEqual(changes, [{ op: ChangeOperation.Delete, kind: ObjectType.Rank, name: "x" }]);
});
