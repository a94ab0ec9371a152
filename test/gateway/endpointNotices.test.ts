import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { exchangeCodec } from "../../platform/exchangeCodec.js";
import { LogFields } from "../../src/base/log.js";
import { LogEvent } from "../../src/base/logEvents.js";
import { createManualTimerService } from "../../src/base/manualTimerService.js";
import { createEndpointNoticeBoard } from "../../src/gateway/endpointNoticeBoard.js";
import { createPeerNotices } from "../../src/gateway/peerNotices.js";
import { createEndpointDirectory, defaultDirectorySettings } from "../../src/membership/endpointDirectory.js";
import { createLeavingEndpoints, NoticeEnd, NoticeSource } from "../../src/membership/endpointNotices.js";
import { EndpointRecord, EndpointState } from "../../src/ports/endpointRecord.js";

function makeRecord(id: string, startedAtMs: number | undefined = 1_000): EndpointRecord {
    const address = `10.0.0.1:${id.length}${id.charCodeAt(id.length - 1)}`;
    return { id, startedAtMs, service: "desk", address, dataCentre: "a", slots: 8, state: EndpointState.Ready };
}

const [one, two] = [makeRecord("one"), makeRecord("two")];

/** Creates gateways that know the same endpoints and hear each other if both are reachable. */
function createGateways(count: number) {
    const timers = createManualTimerService();
    const network = { reachable: Array.from({ length: count }, (unused, index) => index) };
    const gateways = Array.from({ length: count }, (unused, index) => {
        const lines: { readonly event: LogEvent; readonly fields: LogFields }[] = [];
        const log = (event: LogEvent, fields: LogFields = {}) => void lines.push({ event, fields });
        const address = `10.1.0.${index}:7`;
        const notices = createPeerNotices({
            host: address,
            address,
            incarnation: "1",
            log,
            send: bytes =>
                gateways.filter((other, receiver) => [index, receiver].every(side => network.reachable.includes(side)))
                    .forEach(other => other.notices.receive(bytes, address)),
        });
        const directory = createEndpointDirectory(defaultDirectorySettings);
        [one, two].forEach(record => directory.applyRecord(record, timers.now()));
        const board = createEndpointNoticeBoard({ timers, log, directory, notices, onChange: () => undefined });
        const answer = (endpoint: EndpointRecord, status: number, ...headers: string[]) =>
            board.recordAnswer(endpoint, exchangeCodec.decodeAnswer(status, headers));
        const isOpen = (endpoint: EndpointRecord) => board.isOpen(endpoint, timers.now());
        const isLastChoice = (endpoint: EndpointRecord) => board.isLastChoice(endpoint, timers.now());
        const count = (event: LogEvent) => lines.filter(line => line.event === event).length;
        return { notices, directory, board, answer, isOpen, isLastChoice, count };
    });
    return { timers, network, gateways };
}

describe("an endpoint that leaves", () => {
    test("is closed by each kind of answer, here and at the others, and logged once", () => {
        for (const [status, ...headers] of [[200], [500], [503], [503, "X-Not-Executed", "1"]] as const) {
            const { gateways } = createGateways(2);
            const [left, right] = gateways;
            left!.answer(one, status, "Server-Leaving", "1", ...headers);
            left!.answer(one, status, "Server-Leaving", "1", ...headers);
            assert.deepEqual(gateways.map(({ isOpen }) => [isOpen(one), isOpen(two)]), [[false, true], [false, true]]);
            assert.equal(left!.board.getOpensInMs(one, 0), Number.POSITIVE_INFINITY);
            assert.deepEqual(gateways.map(({ count }) => count(LogEvent.EndpointNoticeBegan)), [1, 1]);
            assert.equal(right!.board.isServiceLeaving("desk"), false);
            left!.answer(two, status, "Server-Leaving", "1", ...headers);
            assert.equal(right!.board.isServiceLeaving("desk"), true);
        }
    });

    test("on a 421 it is the one that answered, not the intended one, and none if it is unknown", () => {
        const { gateways: [gateway] } = createGateways(1);
        gateway!.answer(one, 421, "Server-Leaving", "1", "X-Runner-Id", "nobody");
        gateway!.answer(one, 421, "Server-Leaving", "1");
        assert.ok(gateway!.isOpen(one) && gateway!.isOpen(two));
        assert.equal(gateway!.count(LogEvent.EndpointNoticeRefused), 1);
        gateway!.answer(one, 421, "Server-Leaving", "1", "X-Runner-Id", "two");
        assert.ok(gateway!.isOpen(one) && !gateway!.isOpen(two));
    });

    test("an answer to a memory reservation binds the endpoint at that address", () => {
        const { gateways: [gateway] } = createGateways(1);
        gateway!.board.recordCallAnswer(one.address, exchangeCodec.decodeAnswer(200, ["Server-Leaving", "1"]));
        assert.ok(!gateway!.isOpen(one) && gateway!.isOpen(two));
    });

    test("a lost notice is repeated, also by a gateway that heard of it, to one that starts when the first is gone", () => {
        const { network, gateways: [first, second, third] } = createGateways(3);
        network.reachable = [];
        first!.answer(one, 200, "Server-Leaving", "1");
        network.reachable = [0, 1];
        first!.notices.repeat();
        assert.ok(!second!.isOpen(one) && third!.isOpen(one));
        network.reachable = [1, 2];
        second!.notices.repeat();
        assert.ok(!third!.isOpen(one));
    });

    test("the same id again is open, a late notice of the incarnation before changes nothing", () => {
        const { timers, gateways: [left, right] } = createGateways(2);
        left!.answer(one, 200, "Server-Leaving", "1");
        left!.directory.applyRemoval("one", timers.now());
        left!.directory.applyRecord(one, timers.now());
        assert.ok(!left!.isOpen(one), "closed where the registration of the incarnation comes back");
        const again = makeRecord("one", 2_000);
        [left!, right!].forEach(({ directory }) => directory.applyRecord(again, timers.now()));
        left!.notices.repeat();
        left!.answer(one, 200, "Server-Leaving", "1");
        timers.advance(300);
        assert.ok(left!.isOpen(again) && right!.isOpen(again));
        left!.notices.repeat();
        assert.deepEqual([left!, right!].map(({ count }) => count(LogEvent.EndpointNoticeEnded)), [1, 1]);
        assert.deepEqual([left!, right!].map(({ board }) => board.countLeaving()), [0, 0]);
    });

    test("is repeated for 30 s after its registration has ended, binds for ten minutes, and no repeat renews it", () => {
        const { timers, gateways } = createGateways(2);
        gateways[0]!.answer(one, 200, "Server-Leaving", "1");
        timers.advance(60_000);
        gateways.forEach(({ directory }) => directory.applyRemoval("one", timers.now()));
        gateways[0]!.directory.applyRemoval("two", timers.now());
        timers.advance(29_000);
        assert.ok(gateways[0]!.board.isServiceLeaving("desk"));
        timers.advance(2_000);
        assert.ok(!gateways[0]!.board.isServiceLeaving("desk"));
        for (let second = 0; second < 600; second++) {
            assert.ok(second > 500 || !gateways[1]!.isOpen(one));
            gateways.forEach(({ notices }) => notices.repeat());
            timers.advance(1_000);
        }
        assert.deepEqual(gateways.map(({ board }) => board.countLeaving()), [0, 0]);
    });

    test("more of them than the bound drop the oldest without a registration", () => {
        const leaving = createLeavingEndpoints(2);
        const record = (endpoint: string, source: NoticeSource) =>
            leaving.record({ endpoint, startedAtMs: 1, source, observedAtMs: 0 }).ended;
        record("a", NoticeSource.Answer);
        record("b", NoticeSource.Gateway);
        const ended = record("c", NoticeSource.Gateway);
        assert.deepEqual(ended.map(({ notice, end }) => [notice.endpoint, end]), [["b", NoticeEnd.Evicted]]);
        assert.equal(leaving.count(), 2);
    });
});

describe("a full endpoint", () => {
    test("is closed here until the later end, and the last choice elsewhere for that time", () => {
        const { timers, gateways: [left, right] } = createGateways(2);
        left!.answer(one, 503, "Retry-After", "2.5");
        left!.answer(one, 503, "Retry-After", "1", "X-Not-Executed", "1");
        left!.answer(one, 200, "X-Response-Seal", "s");
        assert.ok(!left!.isOpen(one) && left!.isOpen(two) && right!.isOpen(one) && right!.isLastChoice(one));
        timers.advance(2_400);
        assert.equal(Math.round(left!.board.getOpensInMs(one, timers.now())), 100);
        left!.notices.repeat();
        timers.advance(110);
        assert.ok(left!.isOpen(one) && !right!.isLastChoice(one));
        timers.advance(500);
        assert.deepEqual([left!, right!].map(({ count }) => count(LogEvent.EndpointNoticeEnded)), [1, 1]);
    });

    test("is the last choice of a gateway that starts later, too, for the remaining time", () => {
        const { timers, network, gateways: [left, right] } = createGateways(2);
        network.reachable = [0];
        left!.answer(one, 503, "Retry-After", "2");
        timers.advance(1_500);
        network.reachable = [0, 1];
        left!.notices.repeat();
        assert.ok(right!.isLastChoice(one) && right!.isOpen(one));
        timers.advance(510);
        assert.ok(!right!.isLastChoice(one));
    });

    test("a notice of an incarnation does not bind the next one, nor an answer with another status", () => {
        const { gateways: [left, right] } = createGateways(2);
        [200, 421, 429, 500].forEach(status => left!.answer(two, status, "Retry-After", "2"));
        assert.ok(left!.isOpen(two) && !right!.isLastChoice(two));
        left!.answer(one, 503, "Retry-After", "2");
        assert.ok(left!.isOpen(makeRecord("one", 2_000)) && !right!.isLastChoice(makeRecord("one", 2_000)));
    });

    test("values that are negative or no numbers are absent, above 60 s they are 60 s, and each is logged once", () => {
        const { timers, gateways: [gateway] } = createGateways(1);
        for (const value of ["-1", "soon", "", "NaN", "Fri, 04 Dec 2026 21:00:00 GMT", "0"]) {
            gateway!.answer(one, 503, "Retry-After", value);
            assert.ok(gateway!.isOpen(one), value);
        }
        gateway!.answer(two, 503, "Retry-After", "900");
        gateway!.answer(two, 503, "Retry-After", "900");
        assert.equal(gateway!.board.getOpensInMs(two, timers.now()), 60_000);
        assert.equal(gateway!.count(LogEvent.EndpointNoticeRefused), 2);
    });
});

function isAnything(value: unknown): value is unknown {
    return value !== undefined;
}

test("malformed notices of another gateway change nothing and are logged once", () => {
    const { gateways: [left, right] } = createGateways(2);
    const wrong: unknown[] = [
        ["one"],
        ["", 1_000, 0],
        ["one", "x", 0],
        ["one", 1_000, -1],
        ["one", 1_000, Number.NaN],
        7,
    ];
    for (const name of ["leaving", "full"]) {
        const topic = { name, isForAllCells: false, isValid: isAnything };
        left!.notices.register<unknown>({ ...topic, onReceived: () => undefined, listCurrent: () => [] }).publish(
            wrong,
        );
    }
    assert.ok(right!.isOpen(one) && !right!.isLastChoice(one));
    assert.equal(right!.board.countLeaving(), 0);
    assert.equal(right!.count(LogEvent.PeerNoticeMalformed), 1);
});
