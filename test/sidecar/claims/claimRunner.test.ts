import assert from "node:assert/strict";
import { test } from "node:test";
import { createManualTimerService } from "../../../src/base/manualTimerService.js";
import { ErrorCode } from "../../../src/base/requestError.js";
import { Verdict } from "../../../src/base/verdict.js";
import { OutcomeResult, RecordedOutcome } from "../../../src/idempotency/index.js";
import { SidecarMessage } from "../../../src/link/messages.js";
import { PlainService, ServiceResultKind } from "../../../src/ports/plainService.js";
import { AcquireKind, AcquireResult } from "../../../src/sidecar/claims/acquireClaim.js";
import { createClaimRunner, maxRecordedBodyBytes } from "../../../src/sidecar/claims/claimRunner.js";
import { ClaimTask } from "../../../src/sidecar/claims/claimTask.js";
import { describeEnd, makeKey, makeWork, SendEnd } from "./claimSimulation.js";

interface Setup {
    readonly acquired?: AcquireResult;
    /** Time that passes while the claim is acquired, in milliseconds. */
    readonly acquireMs?: number;
    readonly bodyBytes?: number;
    readonly isKeyed?: boolean;
    readonly hasLog?: boolean;
}

interface Observed {
    readonly end: SendEnd;
    readonly calls: number;
    readonly recorded: readonly RecordedOutcome[];
    readonly released: number;
}

async function run(setup: Setup): Promise<Observed> {
    const timers = createManualTimerService();
    const recorded: RecordedOutcome[] = [];
    let calls = 0;
    let released = 0;
    const service: PlainService = {
        async call() {
            calls++;
            const body = new Uint8Array(setup.bodyBytes ?? 2);
            return { kind: ServiceResultKind.Answered, status: 200, headers: {}, body };
        },
    };
    const claim = { record: (outcome: RecordedOutcome) => void recorded.push(outcome), release: () => void released++ };
    const claims: ClaimTask = {
        async acquire() {
            timers.advance(setup.acquireMs ?? 0);
            return setup.acquired ?? { kind: AcquireKind.Acquired, claim };
        },
        refreshMarks: () => Promise.resolve(),
        drain: () => Promise.resolve(),
        countPendingRecords: () => 0,
    };
    const runner = createClaimRunner(service, setup.hasLog === false ? undefined : claims, timers);
    const key = setup.isKeyed === false ? undefined : makeKey(timers.wallNow());
    const work = makeWork("request", key, "body", "kiosk", 1_000);
    const messages = await new Promise<readonly SidecarMessage[]>(resolve => {
        runner(work, { handleItems: () => undefined, handleEnd: resolve });
    });
    return { end: describeEnd("request", messages), calls, recorded, released };
}

const cases: Record<string, { setup: Setup; verdict: Verdict; code?: ErrorCode; calls: number; released?: number }> = {
    "a process that was stopped after its claim does not call after the limit, and frees the key": {
        setup: { acquireMs: 1_001 },
        verdict: Verdict.NotRun,
        code: ErrorCode.TimedOut,
        calls: 0,
        released: 1,
    },
    "a call without a key runs once without a claim": {
        setup: { isKeyed: false, hasLog: false },
        verdict: Verdict.Ran,
        calls: 1,
    },
    "a call with a key is refused without a log for its claim": {
        setup: { hasLog: false },
        verdict: Verdict.NotRun,
        code: ErrorCode.LogUnavailable,
        calls: 0,
    },
    "an outcome whose body was not recorded is replayed as ran": {
        setup: {
            acquired: {
                kind: AcquireKind.Replay,
                outcome: { result: OutcomeResult.Ran, status: 200, headers: { etag: "1" }, body: undefined },
            },
        },
        verdict: Verdict.Ran,
        calls: 0,
    },
};

for (const [name, { setup, ...expected }] of Object.entries(cases)) {
    test(`claim runner: ${name}`, async () => {
        const { end, calls, released } = await run(setup);
        assert.deepEqual(
            { verdict: end.verdict, code: end.code, calls, released },
            { code: undefined, released: 0, ...expected },
        );
    });
}

test("claim runner: a body over the limit is not recorded, so that one answer cannot fill the log", async () => {
    const within = await run({ bodyBytes: maxRecordedBodyBytes });
    assert.equal(Buffer.from(within.recorded[0]?.body ?? "", "base64").length, maxRecordedBodyBytes);
    const beyond = await run({ bodyBytes: maxRecordedBodyBytes + 1 });
    assert.deepEqual(beyond.recorded, [{ result: OutcomeResult.Ran, status: 200, headers: {}, body: undefined }]);
});
