import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { ReceivedRequest } from "../platform/support/endpointStandIn.js";
import { parseAnswer } from "./customerConnection.js";
import { BreakCause, decideBreakCause, StopOutcome, StopRequestKind } from "./stopOutcome.js";
import { runStopSoak } from "./stopSoak.js";

/** Seeds of which each has failed in its own way. */
const seeds: readonly (readonly [number, string])[] = [
    [74, "a stream that was sent to a slow engine long after SIGTERM was broken off"],
    [3, "requests behind another one on their connection were passed on and never answered"],
    [25, "a stream was broken off before the last sixth of a short grace"],
    [15, "streams that waited for a slot until the end of the grace were never answered"],
];

describe("requests around planned stops are answered completely or refused", { concurrency: 2 }, () => {
    for (const [seed, failure] of seeds) {
        test(`planned stops, seed ${seed}: ${failure}`, async () => {
            const result = await runStopSoak({ seed, series: 1 });
            assert.ok(result.answered > 50, `${result.answered} answered`);
            const report = [result.plan, ...result.violations, ...result.logs.slice(-200)].join("\n");
            assert.equal(result.violations.length, 0, report);
        });
    }
});

describe("the cause to which an answer that broke off is put down", () => {
    const stop = { gateway: "gateway-0", atMs: 10_000, graceMs: 6_000, endedAtMs: 15_700 };
    const outcome: StopOutcome = {
        id: "stop-1",
        kind: StopRequestKind.Resumable,
        gateway: "gateway-0",
        deadlineMs: 12_000,
        events: 40,
        sentAtMs: 12_900,
        endedAtMs: 15_600,
        hasBegun: true,
    };
    const run = {} as ReceivedRequest;
    const cases: readonly (readonly [string, Partial<StopOutcome>, readonly ReceivedRequest[], BreakCause])[] = [
        ["in the last sixth of the grace", {}, [run], BreakCause.EndOfGrace],
        ["before the last sixth of the grace", { endedAtMs: 14_900 }, [run], BreakCause.Violation],
        ["sent long after SIGTERM", { sentAtMs: 13_100 }, [run], BreakCause.Violation],
        ["held until the end of the grace and not passed on", { hasBegun: false }, [], BreakCause.Violation],
        ["at its deadline", { deadlineMs: 2_700 }, [run], BreakCause.Deadline],
        ["crossed the close", { sentAtMs: 15_590, hasBegun: false }, [], BreakCause.CrossedClose],
        ["crossed the close, but passed on", { sentAtMs: 15_590, hasBegun: false }, [run], BreakCause.Violation],
    ];
    for (const [name, changes, runs, expected] of cases) {
        test(name, () => assert.equal(decideBreakCause({ ...outcome, ...changes }, runs, stop, []), expected));
    }

    test("a fault that nobody planned explains it, unless that ended long before", () => {
        const late = { ...outcome, sentAtMs: 13_100 };
        const decide = (atMs: number) => decideBreakCause(late, [run], stop, [{ name: "reset", atMs }]);
        assert.equal(decide(11_000), BreakCause.UnplannedFault);
        assert.equal(decide(10_000), BreakCause.Violation);
        assert.equal(decide(15_700), BreakCause.Violation);
    });
});

test("an answer counts as complete only with its last byte", () => {
    const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n";
    for (
        const whole of [
            `${head}Content-Length: 3\r\n\r\nabc`,
            `${head}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n`,
        ]
    ) {
        assert.equal(parseAnswer(`${whole}HTTP/1.1 200`)?.answer.body, "abc");
        assert.equal(parseAnswer(`${whole}HTTP/1.1 200`)?.length, whole.length);
        assert.equal(parseAnswer(whole.slice(0, -1)), undefined);
    }
    assert.equal(parseAnswer(`${head}\r\nabc`), undefined);
    assert.equal(parseAnswer(`${head}\r\nabc`, true)?.answer.body, "abc");
    assert.equal(parseAnswer(`${head}Content-Length: 3\r\n\r\nab`, true), undefined);
    assert.equal(parseAnswer(`${head}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n`, true), undefined);
});
