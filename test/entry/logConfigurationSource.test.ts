import assert from "node:assert/strict";
import { test } from "node:test";
import { configurationStream } from "../../src/config/changeSet.js";
import { LogPage, LogService, LogServiceError, LogServiceErrorKind } from "../../src/ports/logService.js";
import { createConfigurationStore } from "../../src/sidecar/configurationStore.js";
import { makeRankRecord } from "../config/samples.js";
import { createSourceHarness, retentionMs, SourceHarness } from "./logSourceHarness.js";

const applyTimeoutMs = 3_000;

async function startTwoSources(harness: SourceHarness): Promise<void> {
    harness.start(0);
    harness.start(1);
    await harness.publishSample();
    await harness.advance(1_000);
    await harness.publishRank("first", "x", 1);
    await harness.advance(6_000);
    assert.equal(new Set(harness.generations()).size, 1);
    assert.equal(harness.sources[0]!.getCurrent()?.objects.ranks.x?.timeLimitMs, 1);
}

/** Publishes a change after the fault and asserts that it comes into force in time, with the same digest everywhere. */
async function assertPublishable(harness: SourceHarness): Promise<void> {
    const before = harness.generations()[0]!;
    await harness.publishRank(`after-${before}`, "y", 7);
    await harness.advance(applyTimeoutMs);
    const currents = harness.sources.map(source => source.getCurrent()!);
    for (const current of currents) {
        assert.equal(current.objects.ranks.y?.timeLimitMs, 7, "the change is not in force");
        assert.equal(current.objects.ranks.x?.timeLimitMs, 1, "the earlier change was lost");
        assert.ok(current.generation > before);
        assert.equal(current.digest, currents[0]!.digest);
        assert.equal(current.generation, currents[0]!.generation);
    }
    assert.equal(harness.regression, undefined);
}

async function replaceAll(harness: SourceHarness): Promise<void> {
    for (const index of harness.sources.keys()) {
        harness.start(index);
        await harness.advance(4_000);
        assert.equal(
            harness.sources[index]!.getCurrent()?.objects.ranks.x?.timeLimitMs,
            1,
            "a new process does not have the configuration",
        );
    }
}

/** Faults between the first configuration and the next publish. */
const faults: Readonly<Record<string, (harness: SourceHarness) => Promise<void>>> = {
    async "log down for longer than its retention"(harness) {
        harness.model.updateFaults({ unavailable: true });
        await harness.advance(retentionMs * 2);
        harness.model.updateFaults({ unavailable: false });
    },
    async "log unresponsive for longer than its retention"(harness) {
        harness.model.updateFaults({ unresponsive: true });
        await harness.advance(retentionMs * 2);
        harness.model.updateFaults({ unresponsive: false });
    },
    async "all processes replaced one by one while the log is down"(harness) {
        harness.model.updateFaults({ unavailable: true });
        await replaceAll(harness);
        await harness.advance(retentionMs * 2);
        await replaceAll(harness);
        harness.model.updateFaults({ unavailable: false });
    },
    async "all processes replaced while the log is down, and the log is empty when it recovers"(harness) {
        harness.model.updateFaults({ unavailable: true });
        await replaceAll(harness);
        harness.model.dropRecords(false);
        harness.model.updateFaults({ unavailable: false });
    },
    async "log emptied, offsets continue"(harness) {
        harness.model.dropRecords(false);
    },
    async "log emptied, offsets restart at 0"(harness) {
        harness.model.dropRecords(true);
    },
    async "log emptied with offsets from 0, then all processes replaced"(harness) {
        harness.model.updateFaults({ unavailable: true });
        harness.model.dropRecords(true);
        await replaceAll(harness);
        harness.model.updateFaults({ unavailable: false });
        await replaceAll(harness);
    },
    async "older records and checkpoints expire several times"(harness) {
        await harness.advance(retentionMs * 4);
        await replaceAll(harness);
    },
};

for (const [name, causeFault] of Object.entries(faults)) {
    test(`an accepted configuration never reverts and changes can still be published: ${name}`, async () => {
        const harness = createSourceHarness();
        await startTwoSources(harness);
        await causeFault(harness);
        await harness.advance(12_000);
        assert.equal(harness.regression, undefined);
        await assertPublishable(harness);
        // A process that starts now without peers must build the same state from the log alone.
        harness.sidecarConfiguration = undefined;
        harness.start(2);
        await harness.advance(1_000);
        assert.equal(harness.sources[2]!.getCurrent()?.digest, harness.sources[0]!.getCurrent()?.digest);
        harness.sources.forEach(source => source.dispose());
    });
}

/** Creates a read-only replica of the log that always returns the records of one page. */
function createStaleLog(page: LogPage): LogService {
    return {
        append: () => Promise.reject(new LogServiceError(LogServiceErrorKind.Unavailable, "read only")),
        read: (stream, from, limit) =>
            Promise.resolve({ ...page, records: page.records.filter(({ offset }) => offset >= from).slice(0, limit) }),
    };
}

const staleLogs: Readonly<Record<string, (page: LogPage) => LogPage>> = {
    "an old checkpoint is the log's only record": page => {
        const checkpoint = page.records.find(({ value }) => (value as { type: string }).type === "checkpoint")!;
        return { records: [checkpoint], firstOffset: checkpoint.offset, endOffset: checkpoint.offset + 1 };
    },
    "the log lags behind the configurations of peers": page => ({
        ...page,
        records: page.records.slice(0, 1),
        endOffset: 1,
    }),
    "the log is empty": () => ({ records: [], firstOffset: 0, endOffset: 0 }),
};

for (const [name, makeStale] of Object.entries(staleLogs)) {
    test(`a replaced process serves no older generation than its peers: ${name}`, async () => {
        const harness = createSourceHarness();
        await startTwoSources(harness);
        await harness.publishRank("newer", "x", 2);
        await harness.advance(1_000);
        const newest = harness.generations()[0]!;
        const page = await harness.logService.read(configurationStream, 0, 100);
        harness.start(2, createStaleLog(makeStale(page)));
        await harness.advance(10_000);
        assert.equal(harness.regression, undefined);
        assert.equal(harness.sources[2]!.getCurrent()?.generation, newest);
        assert.equal(harness.sources[2]!.getCurrent()?.objects.ranks.x?.timeLimitMs, 2);
        harness.sources.forEach(source => source.dispose());
    });
}

test("a process that could not reach the log while records expired continues from a checkpoint", async () => {
    const harness = createSourceHarness();
    await startTwoSources(harness);
    harness.disconnected.add(1);
    await harness.publishRank("missed", "z", 3);
    await harness.advance(retentionMs * 2);
    await harness.publishRank("later", "y", 4);
    harness.sidecarConfiguration = undefined;
    harness.disconnected.delete(1);
    await harness.advance(applyTimeoutMs);
    const ranks = harness.sources[1]!.getCurrent()!.objects.ranks;
    assert.equal(ranks.z?.timeLimitMs, 3);
    assert.equal(ranks.y?.timeLimitMs, 4);
    assert.equal(harness.generations()[1], harness.generations()[0]);
    harness.sources.forEach(source => source.dispose());
});

test("a peer's configuration that does not match its digest is not used", async () => {
    const harness = createSourceHarness();
    await startTwoSources(harness);
    const message = harness.sidecarConfiguration!;
    const objects = { ...message.objects as object, ranks: {} };
    harness.sources[0]!.offer({ ...message, generation: message.generation + 5, foldedOffset: 99, objects });
    harness.sources[0]!.offer({ ...message, generation: message.generation + 5, foldedOffset: 99, fold: undefined });
    await harness.advance(100);
    assert.equal(harness.generations()[0], message.generation);
    harness.sources.forEach(source => source.dispose());
});

test("a sidecar that folds change messages has the same configuration as one that received it in full", async () => {
    const harness = createSourceHarness();
    await startTwoSources(harness);
    const source = harness.sources[0]!;
    const store = createConfigurationStore();
    assert.equal(store.accept(source.buildMessage()!), true);
    for (let round = 1; round <= 5; round++) {
        const base = source.getCurrent()!.generation;
        // Folding later records also needs a rejected change set between two accepted ones.
        await harness.logService.append(configurationStream, [makeRankRecord(`old-${round}`, 0, "x", 9)]);
        await harness.publishRank(`round-${round}`, "z", round);
        await harness.advance(500);
        const change = source.buildChangeMessage(base)!;
        assert.equal(change.records.length, 2);
        assert.equal(typeof store.acceptChange({ ...change, records: change.records.slice(0, 1) }), "string");
        assert.equal(store.acceptChange({ ...change, base: base - 1 }), false);
        assert.equal(store.acceptChange(change), true);
        assert.equal(store.acceptChange(change), false, "a repeated change has no effect");
        assert.deepEqual(store.getCurrent(), source.getCurrent());
        const { foldedOffset, fold, ...actual } = store.buildMessage()!;
        const { foldedOffset: expectedOffset, fold: expectedFold, ...expected } = source.buildMessage()!;
        assert.deepEqual(actual, expected);
        assert.deepEqual(fold?.ids, expectedFold?.ids);
        assert.equal(foldedOffset, expectedOffset);
    }
    assert.equal(
        source.buildChangeMessage(-5),
        undefined,
        "a peer that is far behind needs the complete configuration",
    );
    harness.sources.forEach(each => each.dispose());
});

test("one of many processes writes each checkpoint, at half of the retention", async () => {
    const harness = createSourceHarness();
    for (let index = 0; index < 8; index++) {
        harness.start(index);
    }
    await harness.publishSample();
    await harness.advance(retentionMs * 2.2);
    const appends = harness.model.countAppends();
    assert.ok(appends >= 5 && appends <= 10, `${appends} appends`);
    harness.sources.forEach(source => source.dispose());
});
