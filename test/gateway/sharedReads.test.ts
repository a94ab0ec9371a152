import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { LogEvent } from "../../src/base/logEvents.js";
import { createPeerNotices } from "../../src/gateway/peerNotices.js";
import { createSharedReads, PositionVerdict } from "../../src/membership/sharedReads.js";
import { startSharedFollowers } from "./support/sharedFollowers.js";

/** Timing of the configuration with `config_apply_ms` 2,000. */
const configuration = { waitMs: 1_100, pauseMs: 0 };
const boundMs = 1_100;
/** Spread of the followers' reads, and some steps of the simulation. */
const noticeMs = 70;
/** Time in which all followers have heard a position and rest. */
const startMs = 3_000;

type Followers = ReturnType<typeof startSharedFollowers>;

async function startResting(count = 8, timing = configuration): Promise<Followers> {
    const followers = startSharedFollowers(count, timing);
    followers.append();
    await followers.run(startMs);
    followers.all.forEach(item => {
        item.calls = 0;
    });
    return followers;
}

function sumCalls(items: readonly { readonly calls: number }[]): number {
    return items.reduce((sum, item) => sum + item.calls, 0);
}

function isKnown({ store }: Followers, items: readonly { readonly known: number }[]): boolean {
    return items.every(item => item.known === store.end);
}

function countEvents(item: { readonly logged: readonly LogEvent[] }, event: LogEvent): number {
    return item.logged.filter(logged => logged === event).length;
}

describe("a received position", () => {
    const read = { era: 1, offset: 10 };

    test("is not believed if it is older than the own last read or than another position", () => {
        const reads = createSharedReads(boundMs);
        assert.equal(reads.recordPosition(read, 5), PositionVerdict.Outdated);
        reads.recordRead(read, 100);
        assert.equal(reads.recordPosition({ era: 1, offset: 20 }, 100), PositionVerdict.Outdated);
        assert.equal(reads.recordPosition(read, 200), PositionVerdict.Confirmed);
        assert.equal(reads.recordPosition({ era: 1, offset: 9 }, 199), PositionVerdict.Outdated);
        assert.equal(reads.getRestEndMs(), 200 + boundMs);
    });

    for (const position of [{ era: 1, offset: 11 }, { era: 1, offset: 9 }, { era: 2, offset: 10 }]) {
        test(`of era ${position.era} and offset ${position.offset} makes one read due`, () => {
            const reads = createSharedReads(boundMs);
            reads.recordRead(read, 100);
            assert.equal(reads.recordPosition(position, 200), PositionVerdict.Differs);
            assert.ok(reads.isReadDue() && reads.getRestEndMs() < 0);
            reads.recordRead(position, 210);
            assert.ok(!reads.isReadDue());
            assert.equal(reads.getRestEndMs(), 200 + boundMs);
        });
    }

    test("that a read does not confirm ends no later read", () => {
        const reads = createSharedReads(boundMs);
        reads.recordRead(read, 100);
        reads.recordPosition({ era: 1, offset: 99 }, 200);
        reads.recordRead(read, 210);
        assert.ok(reads.getRestEndMs() < 0);
    });
});

describe("gateways that share the reads of a feed", { concurrency: 4 }, () => {
    /** Guards against followers that read beside the reader because a notice comes just after their bound. */
    test("leave them to one of them while nothing is written", async () => {
        const followers = await startResting();
        await followers.run(20_000);
        assert.equal(sumCalls(followers.others), 0);
        assert.ok(followers.reader.calls <= 25, `${followers.reader.calls} calls`);
        followers.close();
    });

    test("read by themselves as before where they are fewer than eight", async () => {
        const followers = await startResting(7);
        await followers.run(11_000);
        followers.all.forEach(item => assert.ok(item.calls >= 9 && item.calls <= 11, `${item.calls} calls`));
        followers.close();
    });

    test("know of a change within some tens of milliseconds, with one read each", async () => {
        const followers = await startResting();
        followers.append();
        assert.ok(await followers.run(1_000, () => isKnown(followers, followers.all)) <= noticeMs);
        assert.equal(sumCalls(followers.others), 7);
        followers.close();
    });

    test("read a feed that is written all the time no more often than before, and in time", async () => {
        const followers = await startResting(8, { waitMs: 300, pauseMs: 200 });
        for (let round = 0; round < 50; round++) {
            followers.append();
            assert.ok(await followers.run(200, () => isKnown(followers, followers.all)) <= 200 + noticeMs);
            await followers.run(50);
        }
        const seconds = followers.all[0]!.timers.now() / 1_000 - startMs / 1_000;
        followers.all.forEach(item => assert.ok(item.calls <= seconds * 5 + 1, `${item.calls} in ${seconds} s`));
        followers.close();
    });

    /** Guards against a change that waits for a reader which is gone: the worst moment is just after a position. */
    test("know of a change within the bound if the reader stops just after a position", async () => {
        const followers = await startResting();
        const { reader, others } = followers;
        const { calls } = reader;
        await followers.run(2_000, () => reader.calls > calls);
        reader.isPaused = true;
        followers.silent.add(reader.address);
        followers.append();
        assert.ok(await followers.run(3_000, () => isKnown(followers, others)) <= boundMs + 10);
        followers.others.forEach(item => assert.ok(countEvents(item, LogEvent.FeedPositionMissing) <= 1));
        followers.close();
    });

    /** Guards against a connection that died during the rest: a long poll on it would exceed the time of a change. */
    test("read without a wait when no position arrives in time, then with the usual one", async () => {
        const followers = await startResting();
        const [other] = followers.others;
        followers.faults.isLost = () => true;
        await followers.run(boundMs + 10, () => other!.calls === 1);
        assert.equal(other!.lastWaitMs, 0);
        await followers.run(100);
        assert.equal(other!.calls, 2);
        assert.equal(other!.lastWaitMs, configuration.waitMs);
        followers.close();
    });

    test("know of each change within the bound if a third of the datagrams is lost", async () => {
        const followers = await startResting();
        let count = 0;
        followers.faults.isLost = () => count++ % 3 === 0;
        for (let round = 0; round < 20; round++) {
            followers.append();
            assert.ok(await followers.run(2_000, () => isKnown(followers, followers.all)) <= boundMs + 10);
            await followers.run(730);
        }
        followers.close();
    });

    /** Guards against a reader that is reachable for its peers, but whose reads fail. */
    test("read by themselves while the reader has no access to the store, and say so once", async () => {
        const followers = await startResting();
        const { reader, others } = followers;
        reader.isStoreAway = true;
        await followers.run(5_000);
        assert.ok(!reader.isAvailable && others.every(item => item.isAvailable));
        others.forEach(item => assert.equal(countEvents(item, LogEvent.FeedPositionMissing), 1));
        followers.append();
        assert.ok(await followers.run(1_000, () => isKnown(followers, others)) <= 10);
        reader.isStoreAway = false;
        await followers.run(startMs);
        const calls = sumCalls(others);
        await followers.run(5_000);
        assert.equal(sumCalls(others), calls);
        followers.close();
    });

    test("consider the feed unavailable only after own failed reads", async () => {
        const followers = await startResting();
        const away = followers.others[0]!;
        away.isStoreAway = true;
        await followers.run(5_000);
        assert.ok(away.isAvailable);
        followers.append();
        await followers.run(500);
        assert.ok(!away.isAvailable && away.calls > 1);
        assert.ok(isKnown(followers, [followers.reader, ...followers.others.slice(1)]));
        away.isStoreAway = false;
        await followers.run(500);
        assert.ok(away.isAvailable && isKnown(followers, [away]));
        followers.close();
    });

    /** Guards against datagrams that the socket has kept since before or during a pause. */
    test("do not believe a position received before or during a pause of the process", async () => {
        const followers = await startResting();
        const paused = followers.others[0]!;
        paused.isPaused = true;
        await followers.run(4_000);
        // All positions in the socket confirm what the paused process has read; then something is written.
        followers.faults.isLost = () => true;
        followers.append();
        assert.ok(paused.inbox.length > 0);
        followers.resume(paused);
        assert.ok(await followers.run(1_000, () => isKnown(followers, [paused])) <= noticeMs);
        assert.match(paused.metrics.render(), /positions_total\{feed="test",verdict="void"\} [4-9]/);
        followers.close();
    });

    /** Guards against a position that was true when the answer arrived, during a pause of the reader. */
    test("are not told a position that the reader has read before or during a pause", async () => {
        const followers = await startResting();
        const { reader, others } = followers;
        const { calls } = reader;
        await followers.run(2_000, () => reader.calls > calls);
        await followers.run(200);
        reader.isPaused = true;
        await followers.run(780);
        followers.append();
        followers.resume(reader);
        reader.isStoreAway = true;
        const lastPositionMs = 200 + 780;
        assert.ok(await followers.run(2_000, () => isKnown(followers, others)) <= boundMs - lastPositionMs + 10);
        followers.close();
    });

    test("read a snapshot if records expired before they were read", async () => {
        const followers = await startResting();
        followers.faults.isLost = () => true;
        followers.append();
        followers.append();
        followers.store.first = followers.store.end;
        await followers.run(boundMs + 10);
        assert.ok(isKnown(followers, followers.others));
        followers.others.forEach(item => assert.equal(countEvents(item, LogEvent.StoreFeedGap), 1));
        followers.close();
    });

    test("find by own reads that the store has come back from an older copy", async () => {
        const followers = await startResting();
        followers.append();
        followers.append();
        await followers.run(1_000);
        followers.restore(1);
        const retryMs = 150;
        assert.ok(await followers.run(2_000, () => isKnown(followers, followers.all)) <= 2 * retryMs + noticeMs + 10);
        followers.all.forEach(item => assert.equal(countEvents(item, LogEvent.StoreRestored), 1));
        followers.close();
    });

    /** Guards against a faulty or foreign sender that makes gateways read without end. */
    test("bound the reads that wrong positions cause", async () => {
        const followers = await startResting();
        const [victim] = followers.others;
        const address = "10.0.0.99:7";
        const send = (bytes: Buffer) => followers.receive(victim!, bytes, address);
        const notices = createPeerNotices({ host: "x", address, incarnation: "1", log() {}, send });
        const publisher = notices.register<readonly unknown[]>({
            name: "position",
            isForAllCells: false,
            isValid: Array.isArray,
            onReceived() {},
            listCurrent: () => [],
        });
        for (let count = 0; count < 500; count++) {
            publisher.publish([["test", 1, 1_000 + count, 0], ["test", "era", -1, 0], ["unknown", 1, 1, 0]]);
            await followers.run(10);
        }
        assert.ok(victim!.calls <= 11, `${victim!.calls} calls`);
        followers.close();
    });
});
