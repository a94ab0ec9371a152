import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { Verdict } from "../../src/base/verdict.js";
import { decideFinalStatus } from "../../src/retries/finalStatus.js";

/** Guards against a status that promises that a request has not run, given on the word of its status alone. */
describe("the status of an endpoint's answer", () => {
    for (const endpointStatus of [408, 421, 429, 503]) {
        const decide = (verdict: Verdict, isRepeatable: boolean) =>
            decideFinalStatus({ endpointStatus, verdict, isRepeatable, isDeadlineOver: false });

        test(`${endpointStatus} is kept if no attempt has run the request`, () => {
            assert.deepEqual([decide(Verdict.NotRun, false), decide(Verdict.NotRun, true)], [
                endpointStatus,
                endpointStatus,
            ]);
        });

        test(`${endpointStatus} becomes 502 if an attempt may have run a request that may run once only`, () => {
            assert.deepEqual([decide(Verdict.MayHaveRun, false), decide(Verdict.Ran, false)], [502, 502]);
            assert.deepEqual([decide(Verdict.MayHaveRun, true), decide(Verdict.Ran, true)], [
                endpointStatus,
                endpointStatus,
            ]);
        });
    }

    for (const endpointStatus of [200, 204, 400, 404, 409, 500, 502, 504]) {
        test(`${endpointStatus} promises nothing and is kept`, () => {
            const status = decideFinalStatus({
                endpointStatus,
                verdict: Verdict.MayHaveRun,
                isRepeatable: false,
                isDeadlineOver: false,
            });
            assert.equal(status, endpointStatus);
        });
    }
});

describe("the status of the gateway's own answer", () => {
    const cases: readonly (readonly [Verdict, boolean, number])[] = [
        [Verdict.NotRun, false, 503],
        [Verdict.NotRun, true, 503],
        [Verdict.MayHaveRun, false, 502],
        [Verdict.MayHaveRun, true, 504],
    ];
    for (const [verdict, isDeadlineOver, expected] of cases) {
        test(`${verdict}, deadline ${isDeadlineOver ? "over" : "not over"}: ${expected}`, () => {
            for (const isRepeatable of [true, false]) {
                assert.equal(decideFinalStatus({ verdict, isRepeatable, isDeadlineOver }), expected);
            }
        });
    }
});
