import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { LogFields } from "../../src/base/log.js";
import { LogEvent } from "../../src/base/logEvents.js";
import { createManualTimerService } from "../../src/base/manualTimerService.js";
import { createMetrics } from "../../src/base/metrics.js";
import { AcceptedRequest } from "../../src/gateway/acceptedRequest.js";
import { createDrainControl, DrainEnding } from "../../src/gateway/drainControl.js";
import { RouteKind } from "../../src/ports/servingConfiguration.js";
import { createAnswerPace } from "../../src/scheduling/answerPace.js";
import { DrainStep } from "../../src/scheduling/drainAdmission.js";

const graceMs = 8_000;
const drain = { startedAtMs: 0, lateFromMs: 2_800, closesIdleAtMs: 3_000, endsAtMs: 7_600 };

/** Makes a request whose deadline is later than the end of the drain. */
function makeRequest(id: string, arrivedAtMs = 0): AcceptedRequest {
    return {
        id,
        head: { id, deadlineMs: 2 * graceMs, sharedPromptParts: [] },
        route: { name: "look", kind: RouteKind.Safe },
        service: { name: "desk" },
        arrivedAtMs,
    } as unknown as AcceptedRequest;
}

function startControl(processReturnMs = 0) {
    const timers = createManualTimerService();
    const lines: { event: LogEvent; fields: LogFields }[] = [];
    const metrics = createMetrics();
    const answerPace = createAnswerPace();
    const control = createDrainControl({
        timers,
        log: (event, fields = {}) => lines.push({ event, fields }),
        metrics,
        answerPace,
        getProcessReturnMs: () => processReturnMs,
        publishStop: () => undefined,
    });
    return { timers, lines, metrics, answerPace, control };
}

describe("control of a planned stop", () => {
    test("nothing is refused or logged before the stop", () => {
        const { control, lines } = startControl();
        assert.equal(
            control.checkStep({ request: makeRequest("1"), step: DrainStep.Arrival, isUnsafe: false }),
            undefined,
        );
        assert.equal(control.getReturnMs(), undefined);
        assert.deepEqual(lines, []);
    });

    test("short plain requests are taken until they cannot end any more, which the log explains", () => {
        const { control, timers, lines, answerPace } = startControl();
        control.begin(drain);
        answerPace.startAttempt({ service: "desk", endpoint: "desk-1" }, 0).end(true, 40);
        timers.advance(7_000);
        const question = { request: makeRequest("1"), step: DrainStep.Arrival, isUnsafe: false };
        assert.equal(control.checkStep(question), undefined);
        timers.advance(400);
        assert.match(control.checkStep(question) ?? "", /would outlast this process/);
        assert.deepEqual(lines.map(({ fields }) => fields.isAllowed), [true, false]);
        assert.equal(lines[1]?.fields.remainingMs, 200);
        assert.equal(lines[1]?.fields.usualMs, 40);
        assert.equal(lines[1]?.fields.paceSamples, 1);
        assert.equal(lines[1]?.fields.paceAgeMs, 7_360);
    });

    test("a request that must not run twice needs more time in reserve", () => {
        const { control, timers, answerPace } = startControl();
        control.begin(drain);
        answerPace.startAttempt({ service: "desk", endpoint: "desk-1" }, 0).end(true, 40);
        timers.advance(7_000);
        assert.notEqual(
            control.checkStep({ request: makeRequest("1", 7_000), step: DrainStep.Arrival, isUnsafe: true }),
            undefined,
        );
    });

    test("refused customers are told when the load balancer has noticed the stop and another process is there", () => {
        const { control, timers } = startControl(4_000);
        control.begin(drain);
        assert.equal(control.getReturnMs(), 4_000);
        const staying = startControl(0);
        staying.control.begin(drain);
        assert.equal(staying.control.getReturnMs(), 2_200);
        timers.advance(3_000);
    });

    test("what is left at the end is ended, and the log names a bounded number of ids, those broken off first", () => {
        const { control, lines, metrics } = startControl();
        const makeDrainable = (id: string, ending: DrainEnding) => ({
            id,
            onDrainStarted: () => undefined,
            endByDrain: () => ending,
        });
        Array.from({ length: 30 }, (unused, index) => control.add(makeDrainable(`r${index}`, DrainEnding.Refused)));
        control.add(makeDrainable("b", DrainEnding.BrokenOff));
        control.add(makeDrainable("f", DrainEnding.Failed));
        control.add(makeDrainable("gone", DrainEnding.BrokenOff)).dispose();
        control.begin(drain);
        control.endRequests();
        const { event, fields } = lines.at(-1)!;
        assert.equal(event, LogEvent.ProcessStopped);
        assert.deepEqual([fields.brokenOff, fields.failed, fields.refused], [1, 1, 30]);
        const ids = String(fields.requests).split(",");
        assert.equal(ids.length, 20);
        assert.deepEqual(ids.slice(0, 3), ["b", "f", "r0"]);
        assert.match(metrics.render(), /jujubelane_drain_endings_total\{ending="broken-off"\} 1/);
    });
});
