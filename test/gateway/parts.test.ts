import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { ConnectResult } from "../../src/adapters/connections.js";
import { LogEvent } from "../../src/base/logEvents.js";
import { createManualTimerService } from "../../src/base/manualTimerService.js";
import { createMetrics } from "../../src/base/metrics.js";
import { makeFailure, makeSuccess } from "../../src/base/result.js";
import { AttemptEnd, createCrashDetector, LossEvidence } from "../../src/gateway/crashDetector.js";
import { createEventStreamSplitter } from "../../src/gateway/eventStreamSplitter.js";
import { followFeed } from "../../src/gateway/feedFollower.js";
import { createIdleTimer } from "../../src/gateway/idleTimer.js";
import { decodeLoadMessage, encodeLoadMessage } from "../../src/gateway/loadMessage.js";
import { createQuarantineRegistry } from "../../src/gateway/quarantineRegistry.js";
import { createReservations } from "../../src/gateway/reservations.js";
import { EndpointRecord, EndpointState } from "../../src/ports/endpointRecord.js";
import { MemoryReservationService, ReservationOutcome } from "../../src/ports/memoryReservationService.js";
import { FeedErrorKind, RecordFeed } from "../../src/ports/recordFeed.js";
import { CrashReport } from "../../src/quarantine/crashEvidence.js";
import { Treatment } from "../../src/quarantine/quarantine.js";
import { WorkItem, WorkPhase } from "../../src/routing/loadLedger.js";
import { compareWaiting, WaitingWork } from "../../src/scheduling/compareWaiting.js";
import { computeRetryAfterMs } from "../../src/scheduling/retryAfter.js";

async function flushMicrotasks(): Promise<void> {
    for (let turn = 0; turn < 20; turn++) {
        await Promise.resolve();
    }
}

describe("event stream splitter", () => {
    test("returns complete events wherever the bytes are split", () => {
        const text = "id: 4\ndata: a\n\nid: 5\ndata: b\n\nid: 6\nda";
        for (let cut = 0; cut <= text.length; cut++) {
            const splitter = createEventStreamSplitter();
            const parts = [text.slice(0, cut), text.slice(cut)].map(part => splitter.add(Buffer.from(part)));
            const passed = Buffer.concat(parts.filter(part => part !== undefined)).toString();
            assert.equal(passed, "id: 4\ndata: a\n\nid: 5\ndata: b\n\n");
            assert.equal(splitter.getFirstId(), 4);
            assert.equal(splitter.getLastId(), 5);
            assert.equal(splitter.takeRemainder().toString(), "id: 6\nda");
        }
    });

    test("finds an id that is not on the first line of an event", () => {
        const splitter = createEventStreamSplitter();
        splitter.add(Buffer.from("x-weight-versions: 2\nid: 9\ndata: a\n\n"));
        assert.equal(splitter.getLastId(), 9);
    });
});

describe("load message", () => {
    const item: WorkItem = {
        key: "g/1",
        endpoint: "engine-1",
        prefillMs: 440,
        tokens: 45_000,
        gapTargetMs: 600,
        dueAtMs: 2_500,
        phase: WorkPhase.Decode,
        phaseSinceMs: 900,
        endsAtMs: 4_000,
        isSuspect: true,
    };
    const message = {
        host: "front-1",
        address: "10.0.0.1:7340",
        incarnation: "i",
        sequence: 9,
        isSnapshot: false,
        items: [item],
        removed: ["g/0"],
        crashes: [
            { crash: "c", ageMs: 40, suspects: [["part/models/a1", "request/f"], ["request/g"]], runningMs: [20, 35] },
            { crash: "of an older process", ageMs: 10, suspects: [["request/g"]] },
        ],
        quarantines: [{
            trait: "part/models/b2",
            isActive: true,
            decidedAtMs: 5,
            untilMs: 60_005,
            crashes: 3,
            firstCrashAtMs: 1,
        }],
        limits: [
            { endpoint: "e", perSecond: 0.5, observedAtMs: 900 },
            { endpoint: "f", perSecond: undefined, observedAtMs: 950 },
        ],
    };

    test("converts times between hosts whose clocks differ", () => {
        const decoded = decodeLoadMessage(encodeLoadMessage(message, 1_000), 501_000)!;
        assert.deepEqual(decoded, {
            ...message,
            items: [{ ...item, dueAtMs: 502_500, phaseSinceMs: 500_900, endsAtMs: 504_000 }],
            limits: [{ ...message.limits[0], observedAtMs: 500_900 }, { ...message.limits[1], observedAtMs: 500_950 }],
        });
    });

    for (const bytes of [Buffer.alloc(0), Buffer.from("hello"), Buffer.from([0x81, 0x02]), Buffer.alloc(1_000, 0xff)]) {
        test(`ignores ${bytes.length} bytes that are not a message`, () => {
            assert.equal(decodeLoadMessage(bytes, 0), undefined);
        });
    }
});

describe("order of queued requests", () => {
    const makeWork = (changes: Partial<WaitingWork>): WaitingWork => ({
        rank: 0,
        softStartDeadlineMs: 1_000,
        hardStartDeadlineMs: 5_000,
        prefillMs: 30,
        orderDelayMs: 0,
        isAboveShare: false,
        ...changes,
    });

    const cases: readonly [string, WaitingWork, WaitingWork, number][] = [
        [
            "the request that must start sooner comes first",
            makeWork({ softStartDeadlineMs: 500 }),
            makeWork({ softStartDeadlineMs: 900 }),
            0,
        ],
        [
            "a request that can still be on time comes before a late one",
            makeWork({ rank: 2 }),
            makeWork({ softStartDeadlineMs: 50 }),
            100,
        ],
        [
            "a prompt of usual length comes before a huge one that arrived with it",
            makeWork({ softStartDeadlineMs: 5_200, prefillMs: 3_000 }),
            makeWork({ softStartDeadlineMs: 3_900, prefillMs: 8_500 }),
            0,
        ],
        [
            "a huge prompt that has waited comes before one of usual length that arrived later",
            makeWork({ softStartDeadlineMs: 3_900, prefillMs: 8_500 }),
            makeWork({ softStartDeadlineMs: 10_200, prefillMs: 3_000 }),
            3_000,
        ],
        [
            "the more urgent of two late requests comes first",
            makeWork({ softStartDeadlineMs: 0, rank: 0 }),
            makeWork({ softStartDeadlineMs: 0, rank: 1, hardStartDeadlineMs: 2_000 }),
            100,
        ],
    ];
    for (const [name, first, second, nowMs] of cases) {
        test(name, () => {
            assert.ok(compareWaiting(first, second, nowMs) < 0);
            assert.ok(compareWaiting(second, first, nowMs) > 0);
        });
    }
});

describe("retry time of refused requests", () => {
    test("is when capacity is predicted, with jitter, and bounded by the time that the customer waits", () => {
        assert.equal(computeRetryAfterMs(400, 9_000, 0), 400);
        assert.equal(computeRetryAfterMs(400, 9_000, 1), 600);
        assert.equal(computeRetryAfterMs(8_000, 9_000, 0), 3_000);
        assert.equal(computeRetryAfterMs(0, 9_000, 0), 100);
        assert.equal(computeRetryAfterMs(Number.POSITIVE_INFINITY, 900, 0.5), 300);
    });
});

describe("idle timer", () => {
    test("fires once, after the last extension", () => {
        const timers = createManualTimerService();
        const firedAtMs: number[] = [];
        const idleTimer = createIdleTimer(timers, () => firedAtMs.push(timers.now()));
        idleTimer.extend(100);
        timers.advance(80);
        idleTimer.extend(100);
        timers.advance(1_000);
        assert.deepEqual(firedAtMs, [180]);
        idleTimer.extend(10);
        idleTimer.dispose();
        timers.advance(1_000);
        assert.deepEqual(firedAtMs, [180]);
    });
});

describe("idle timer of a process that did not run", () => {
    /** Guards against endpoints that are held to be silent although their answers have only not been read yet. */
    test("does not count that time, and fires if nothing comes after it", () => {
        const timers = createManualTimerService();
        const firedAtMs: number[] = [];
        const idleTimer = createIdleTimer(timers, () => firedAtMs.push(timers.now()));
        idleTimer.extend(500);
        timers.advance(100);
        timers.pause(3_000);
        timers.advance(10);
        assert.deepEqual(firedAtMs, []);
        timers.advance(10_000);
        assert.equal(firedAtMs.length, 1);
        assert.ok(firedAtMs[0]! >= 3_100 + 400, `fired at ${firedAtMs[0]}`);
    });
});

describe("reservations", () => {
    function setUp(reply: (op: string, address: string) => ReservationOutcome) {
        const timers = createManualTimerService();
        const sent: string[] = [];
        const memoryReservations: MemoryReservationService = {
            reserve(address, id) {
                sent.push(`reserve ${address} ${id}`);
                return Promise.resolve(reply("reserve", address));
            },
            release(address, id) {
                sent.push(`release ${address} ${id}`);
                return Promise.resolve(reply("release", address));
            },
        };
        const reservations = createReservations({
            memoryReservations,
            timers,
            log: () => undefined,
            maxLeaseMs: 20_000,
            idPrefix: "p",
        });
        return { timers, sent, reservations };
    }

    test("are renewed while in use and released once", async () => {
        const { timers, sent, reservations } = setUp(() => ReservationOutcome.Done);
        const held = (await reservations.reserveAll(["a", "b"], 1_000))!;
        timers.advance(2_000);
        await flushMicrotasks();
        assert.equal(sent.filter(call => call === "reserve a p-0").length, 3);
        held.dispose();
        held.dispose();
        timers.advance(30_000);
        await flushMicrotasks();
        assert.deepEqual(sent.filter(call => call.startsWith("release")), ["release a p-0", "release b p-1"]);
        assert.equal(reservations.countHeld(), 0);
    });

    test("are released at the other endpoints if one endpoint refuses", async () => {
        const { sent, reservations } = setUp((op, address) =>
            address === "b" ? ReservationOutcome.Refused : ReservationOutcome.Done
        );
        assert.equal(await reservations.reserveAll(["a", "b"], 1_000), undefined);
        await flushMicrotasks();
        assert.deepEqual(sent.filter(call => call.startsWith("release")), ["release a p-0"]);
        assert.equal(reservations.countHeld(), 0);
    });

    test("are released repeatedly until an unanswered call can no longer take effect", async () => {
        const { timers, sent, reservations } = setUp(op =>
            op === "reserve" ? ReservationOutcome.Unknown : ReservationOutcome.Done
        );
        assert.equal(await reservations.reserveAll(["a"], 1_000), undefined);
        for (let second = 0; second < 30; second++) {
            await flushMicrotasks();
            timers.advance(1_000);
        }
        // A call can take effect up to 12 s after it was sent.
        const releases = sent.filter(call => call === "release a p-0").length;
        assert.ok(releases > 8 && releases < 13, `${releases} releases`);
    });
});

describe("crashes of endpoints", () => {
    const settlingMs = 2_000;

    function makeEndpoint(id: string): EndpointRecord {
        return {
            id,
            startedAtMs: 1,
            service: "models",
            address: `10.0.0.1:${id.length}`,
            dataCentre: "a",
            slots: 8,
            state: EndpointState.Ready,
        };
    }

    function setUp(isReachable = true) {
        const timers = createManualTimerService();
        const reports: CrashReport[] = [];
        const registry = createQuarantineRegistry({
            timers,
            log: () => undefined,
            metrics: createMetrics(),
            reportCrash: report => reports.push(report),
            reportTerm: () => undefined,
            isTester: () => false,
        });
        const detector = createCrashDetector({
            timers,
            connect: () => Promise.resolve(isReachable ? ConnectResult.Accepted : ConnectResult.NoAnswer),
            onCrash: report => registry.applyCrash(report, true),
            onAnswer: (traits, ageMs) => registry.recordAnswer(traits, ageMs),
            onIdleLoss: () => undefined,
        });
        const recordBroken = (endpoint: string, request: string) =>
            detector.recordEnd(makeEndpoint(endpoint), {
                end: AttemptEnd.Broken,
                traits: [request],
                sentAtMs: timers.now(),
            });
        return { timers, reports, registry, detector, recordBroken };
    }

    test("a broken connection to an endpoint that still accepts connections makes no request a suspect", async () => {
        const { timers, reports, registry, detector, recordBroken } = setUp();
        recordBroken("e1", "f");
        assert.equal(registry.decideTreatment(["f"]), Treatment.Free);
        for (let step = 0; step < 10; step++) {
            await flushMicrotasks();
            timers.advance(settlingMs / 10);
        }
        detector.recordEndpointLoss("e1", LossEvidence.NoConnection);
        assert.equal(registry.decideTreatment(["f"]), Treatment.Free);
        assert.equal(reports.length, 0);
    });

    test("a broken connection to an endpoint that accepts no connection is a crash, without a further request to it", async () => {
        const { timers, reports, registry, recordBroken } = setUp(false);
        recordBroken("e1", "f");
        recordBroken("e1", "g");
        timers.advance(0);
        await flushMicrotasks();
        assert.equal(registry.decideTreatment(["f"]), Treatment.Isolated);
        assert.deepEqual(reports.map(report => report.suspects), [[["f"], ["g"]]]);
    });

    test("isolates requests that ran on a lost endpoint, and quarantines one that ran on two", () => {
        const { timers, registry, detector, reports, recordBroken } = setUp();
        recordBroken("e1", "f");
        recordBroken("e1", "innocent");
        timers.advance(500);
        detector.recordEndpointLoss("e1", LossEvidence.NoConnection);
        assert.equal(registry.decideTreatment(["f"]), Treatment.Isolated);
        recordBroken("e2", "f");
        recordBroken("e2", "other");
        detector.recordEndpointLoss("e2", LossEvidence.NoConnection);
        assert.equal(registry.decideTreatment(["f"]), Treatment.Quarantined);
        assert.equal(reports.length, 2);
        // The crashes are explained by the other request, so that this one runs without conditions again.
        assert.equal(registry.decideTreatment(["innocent"]), Treatment.Free);
    });

    test("does not suspect a request whose connection broke long before the endpoint was lost", () => {
        const { timers, registry, detector, recordBroken } = setUp();
        recordBroken("e1", "f");
        timers.advance(7_000);
        detector.recordEndpointLoss("e1", LossEvidence.NoConnection);
        assert.equal(registry.decideTreatment(["f"]), Treatment.Free);
    });

    test("counts reports of several gateways about one crash once", () => {
        const { registry } = setUp();
        const report: CrashReport = { crash: "e1/1", ageMs: 0, suspects: [["f"]] };
        registry.applyCrash(report, false);
        registry.applyCrash(report, false);
        registry.applyCrash({ ...report, ageMs: 800 }, false);
        assert.equal(registry.decideTreatment(["f"]), Treatment.Isolated);
    });
});

describe("store feed", () => {
    test("reports a failure once, and reads a snapshot again after a gap", async () => {
        const timers = createManualTimerService();
        const seen: string[] = [];
        const unavailable = makeFailure({ kind: FeedErrorKind.Unavailable, reason: "down" });
        const expired = makeFailure({ kind: FeedErrorKind.Expired, reason: "old" });
        const next = [unavailable, unavailable, makeSuccess({ records: [], next: { era: 1, offset: 8 } }), expired];
        const feed: RecordFeed = {
            readNewest: () => Promise.resolve(makeSuccess({ records: [], next: { era: 1, offset: 7 } })),
            readFrom: () => Promise.resolve(next.shift() ?? makeSuccess({ records: [], next: { era: 1, offset: 9 } })),
        };
        const following = followFeed({
            name: "test",
            feed,
            timing: { waitMs: 10, pauseMs: 100 },
            timers,
            log: event => seen.push(LogEvent[event]),
            listener: {
                onSnapshot: () => seen.push("snapshot"),
                onUpdate: () => seen.push("update"),
                onRestored: () => undefined,
                onUnavailable: () => seen.push("unavailable"),
                onAvailable: () => seen.push("available"),
            },
        });
        for (let step = 0; step < 8; step++) {
            await flushMicrotasks();
            timers.advance(150);
        }
        following.dispose();
        assert.deepEqual(seen.slice(0, 8), [
            "snapshot",
            "StoreFeedLost",
            "unavailable",
            "StoreFeedBack",
            "available",
            "update",
            "StoreFeedGap",
            "snapshot",
        ]);
    });
});
