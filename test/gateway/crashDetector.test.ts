import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { ConnectResult } from "../../src/adapters/connections.js";
import { createManualTimerService } from "../../src/base/manualTimerService.js";
import { AttemptEnd, createCrashDetector, LossEvidence } from "../../src/gateway/crashDetector.js";
import { EndpointRecord, EndpointState } from "../../src/ports/endpointRecord.js";
import { CrashReport } from "../../src/quarantine/crashEvidence.js";

const answerSettlingMs = 150;
const checksEndMs = 1_000;
const detectionWindowMs = 6_000;

const endpoint: EndpointRecord = {
    id: "desk-1",
    startedAtMs: 1,
    service: "desk",
    address: "10.0.0.1:80",
    dataCentre: "a",
    slots: 6,
    state: EndpointState.Ready,
};

function setUp(result: ConnectResult) {
    const timers = createManualTimerService();
    const reports: CrashReport[] = [];
    const answers: { readonly traits: readonly string[]; readonly ageMs: number }[] = [];
    let idleLosses = 0;
    const detector = createCrashDetector({
        timers,
        connect: () => Promise.resolve(result),
        onCrash: report => reports.push(report),
        onAnswer: (traits, ageMs) => answers.push({ traits, ageMs }),
        onIdleLoss: () => {
            idleLosses += 1;
        },
    });
    /** Advances in small steps, so that each check of the endpoint ends before the next begins. */
    const advance = async (durationMs: number) => {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 10) {
            timers.advance(10);
            await new Promise(resolve => setImmediate(resolve));
        }
    };
    const end = (kind: AttemptEnd, trait: string, runningMs = 0) =>
        detector.recordEnd(endpoint, { end: kind, traits: [trait], sentAtMs: timers.now() - runningMs });
    return { detector, reports, answers, advance, end, countIdleLosses: () => idleLosses };
}

describe("crash of an endpoint", () => {
    test("is recognised when an endpoint that fell silent refuses connections, with the running request", async () => {
        const { reports, advance, end } = setUp(ConnectResult.Refused);
        await advance(2_000);
        end(AttemptEnd.Silent, "bad", 600);
        await advance(checksEndMs);
        assert.deepEqual(reports.map(report => report.suspects), [[["bad"]]]);
        assert.ok(reports[0]!.ageMs >= 600, "the endpoint may have crashed at any time since the request was sent");
    });

    test("is not recognised when a silent endpoint does not answer attempts to connect, until it is known to be gone", async () => {
        const { detector, reports, advance, end } = setUp(ConnectResult.NoAnswer);
        // All endpoints seem silent to a gateway that is cut off itself.
        end(AttemptEnd.Silent, "sent while cut off", 600);
        await advance(checksEndMs);
        detector.recordEndpointLoss(endpoint.id, LossEvidence.NoConnection);
        await advance(checksEndMs);
        assert.equal(reports.length, 0);
        detector.recordEndpointLoss(endpoint.id, LossEvidence.Gone);
        assert.equal(reports.length, 1);
    });

    test("is not recognised when a silent endpoint accepts connections", async () => {
        const { reports, advance, end } = setUp(ConnectResult.Accepted);
        end(AttemptEnd.Silent, "slow", 600);
        await advance(detectionWindowMs);
        assert.equal(reports.length, 0);
    });

    test("is recognised when another endpoint has its address, although that accepts connections", async () => {
        const { detector, reports, advance, end } = setUp(ConnectResult.Accepted);
        end(AttemptEnd.Broken, "bad", 60);
        await advance(checksEndMs);
        detector.recordEndpointJoined({ ...endpoint, id: "desk-2", address: "10.0.0.2:80" });
        assert.equal(reports.length, 0);
        detector.recordEndpointJoined({ ...endpoint, id: "desk-3" });
        assert.deepEqual(reports.map(report => [report.suspects, report.runningMs]), [[[["bad"]], [60]]]);
    });

    test("is recognised when another endpoint answers at its address before the connection of a request breaks", async () => {
        const { detector, reports, advance, end } = setUp(ConnectResult.Accepted);
        await advance(100);
        detector.recordEndpointLoss(endpoint.id, LossEvidence.Gone);
        await advance(400);
        end(AttemptEnd.Broken, "sent to the next incarnation", 300);
        await advance(checksEndMs);
        assert.equal(reports.length, 0);
        end(AttemptEnd.Broken, "bad", checksEndMs + 450);
        assert.deepEqual(reports.map(report => report.suspects), [[["bad"]]]);
    });

    test("is recognised when another endpoint answers at its address right after an answer", async () => {
        const { detector, reports, answers, advance, end } = setUp(ConnectResult.Accepted);
        end(AttemptEnd.Answered, "bad", 40);
        await advance(50);
        detector.recordEndpointLoss(endpoint.id, LossEvidence.Gone);
        await advance(detectionWindowMs);
        assert.deepEqual(reports.map(report => report.suspects), [[["bad"]]]);
        assert.equal(answers.length, 0, "the endpoint did not outlive the answer");
    });

    test("includes a request whose deadline passed after the endpoint was known to be lost", async () => {
        const { reports, advance, end } = setUp(ConnectResult.Refused);
        end(AttemptEnd.Broken, "first");
        await advance(checksEndMs);
        end(AttemptEnd.Abandoned, "second", 900);
        assert.deepEqual(reports.map(report => [report.crash, report.suspects]), [
            ["desk-1/1", [["first"]]],
            ["desk-1/1", [["second"]]],
        ]);
    });

    test("does not include a request that the customer left before the endpoint answered another one", async () => {
        const { detector, reports, advance, end } = setUp(ConnectResult.Accepted);
        end(AttemptEnd.Abandoned, "left", 300);
        await advance(100);
        end(AttemptEnd.Answered, "sound", 50);
        await advance(500);
        detector.recordEndpointLoss(endpoint.id, LossEvidence.Gone);
        assert.deepEqual(reports, []);
    });

    test("includes a request that was answered right before", async () => {
        const { detector, reports, answers, advance, end } = setUp(ConnectResult.Accepted);
        end(AttemptEnd.Answered, "bad", 40);
        await advance(20);
        detector.recordIdleClose(endpoint.address);
        await advance(500);
        detector.recordEndpointLoss(endpoint.id, LossEvidence.NoConnection);
        assert.deepEqual(reports.map(report => report.suspects), [[["bad"]]]);
        assert.equal(answers.length, 0, "the endpoint did not outlive the answer");
    });

    test("does not include requests whose connections broke or were closed seconds before", async () => {
        const { detector, reports, advance, end } = setUp(ConnectResult.Accepted);
        end(AttemptEnd.Answered, "answered earlier", 40);
        detector.recordIdleClose(endpoint.address);
        end(AttemptEnd.Broken, "broken earlier", 40);
        await advance(3_000);
        end(AttemptEnd.Broken, "bad", 60);
        detector.recordEndpointLoss(endpoint.id, LossEvidence.Gone);
        assert.deepEqual(reports.map(report => [report.suspects, report.runningMs]), [[[["bad"]], [60]]]);
    });

    test("without a request that may have caused it is counted", () => {
        const { detector, reports, countIdleLosses } = setUp(ConnectResult.Accepted);
        detector.recordEndpointLoss(endpoint.id, LossEvidence.NoConnection);
        assert.equal(countIdleLosses(), 0);
        detector.recordEndpointLoss(endpoint.id, LossEvidence.Gone);
        assert.equal(countIdleLosses(), 1);
        assert.deepEqual(reports, []);
    });
});

describe("answer of an endpoint", () => {
    test("counts once the endpoint has outlived it, with its age", async () => {
        const { answers, advance, end } = setUp(ConnectResult.Accepted);
        end(AttemptEnd.Answered, "sound");
        await advance(answerSettlingMs - 10);
        assert.equal(answers.length, 0);
        await advance(10);
        assert.deepEqual(answers, [{ traits: ["sound"], ageMs: answerSettlingMs }]);
    });

    test("counts, later, if its connection was closed and the endpoint lives on", async () => {
        const { detector, answers, advance, end } = setUp(ConnectResult.Accepted);
        end(AttemptEnd.Answered, "sound");
        detector.recordIdleClose(endpoint.address);
        await advance(detectionWindowMs);
        assert.equal(answers.length, 0);
        await advance(20);
        end(AttemptEnd.Answered, "next");
        assert.deepEqual(answers.map(answer => answer.traits), [["sound"]]);
    });
});
