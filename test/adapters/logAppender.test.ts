import assert from "node:assert/strict";
import { test } from "node:test";
import { AppendOutcomeKind, createLogAppender } from "../../src/adapters/logAppender.js";
import { createManualTimerService } from "../../src/base/manualTimerService.js";
import { LogFaults } from "../../src/emulator/log/logFaults.js";
import { createLogModel, defaultLogModelSettings, LogModel } from "../../src/emulator/log/logModel.js";
import { createMemoryLogService } from "../../src/emulator/log/memoryLogService.js";

const answerTimeoutMs = 100;
const timeLimitMs = 1_000;

function createSubject() {
    const timers = createManualTimerService();
    const model = createLogModel({ ...defaultLogModelSettings, appendsPerSecond: 10 }, timers);
    const log = createMemoryLogService(model, timers, answerTimeoutMs);
    return { timers, model, log, appender: createLogAppender(log, timers) };
}

/** Advances virtual time in small steps until a promise is settled. */
async function settle<Value>(timers: ReturnType<typeof createManualTimerService>, promise: Promise<Value>) {
    let isSettled = false;
    void promise.finally(() => {
        isSettled = true;
    });
    for (let step = 0; step < 1_000 && !isSettled; step++) {
        await new Promise(resolve => setImmediate(resolve));
        timers.advance(10);
    }
    return promise;
}

interface Case {
    readonly faults: Partial<LogFaults>;
    readonly expected: AppendOutcomeKind;
    readonly offset?: number;
    /** A change of the service during the append. */
    readonly later?: { readonly atMs: number; readonly change: (model: LogModel) => void };
}

const repair = (model: LogModel) => model.updateFaults({ unavailable: false, unresponsive: false });

const cases: Record<string, Case> = {
    "an append that is answered": { faults: {}, expected: AppendOutcomeKind.Appended, offset: 1 },
    "the answer is lost after the append took effect": {
        faults: { lostAnswers: 1 },
        expected: AppendOutcomeKind.Appended,
        offset: 1,
    },
    "the append is lost and must be repeated": {
        faults: { lostAppends: 1 },
        expected: AppendOutcomeKind.Appended,
        offset: 1,
    },
    "several answers and an append are lost": {
        faults: { lostAnswers: 3, lostAppends: 1 },
        expected: AppendOutcomeKind.Appended,
        offset: 1,
    },
    "the append takes effect late, after it was repeated": {
        faults: { lateAppends: 1, lateAppendMs: 300 },
        expected: AppendOutcomeKind.Appended,
        offset: 1,
    },
    "the append is duplicated, and the offset is that of the first copy": {
        faults: { duplicatedAppends: 1, lostAnswers: 1 },
        expected: AppendOutcomeKind.Appended,
        offset: 1,
    },
    "the log is down, so the record is not appended": {
        faults: { unavailable: true },
        expected: AppendOutcomeKind.NotAppended,
    },
    "the log stops answering, so the outcome is unknown": {
        faults: { unresponsive: true },
        expected: AppendOutcomeKind.Unknown,
    },
    "the log answers again within the time limit": {
        faults: { unresponsive: true },
        expected: AppendOutcomeKind.Appended,
        offset: 1,
        later: { atMs: 500, change: repair },
    },
    "the log goes down after the answer was lost, so the outcome is unknown": {
        faults: { answerDelayMs: 2 * answerTimeoutMs },
        expected: AppendOutcomeKind.Unknown,
        later: { atMs: answerTimeoutMs / 2, change: model => model.updateFaults({ unavailable: true }) },
    },
};

for (const [name, { faults, expected, offset, later }] of Object.entries(cases)) {
    test(`append outcome: ${name}`, async () => {
        const { timers, model, log, appender } = createSubject();
        await settle(timers, appender.append("s", { id: "first" }, timeLimitMs));
        model.updateFaults(faults);
        if (later) {
            timers.schedule(later.atMs, () => later.change(model));
        }
        const startedMs = timers.now();
        const outcome = await settle(timers, appender.append("s", { id: "second" }, timeLimitMs));
        assert.equal(outcome.kind, expected);
        assert.equal(outcome.kind === AppendOutcomeKind.Appended ? outcome.offset : undefined, offset);
        assert.ok(timers.now() - startedMs <= timeLimitMs + 10, "the append took longer than its time limit");
        timers.advance(500);
        model.updateFaults({ unavailable: false, unresponsive: false, answerDelayMs: 0 });
        const page = await settle(timers, log.read("s", 0, 100));
        const first = page.records.find(record => (record.value as { id: string }).id === "second");
        assert.equal(first?.offset, expected === AppendOutcomeKind.Appended ? offset : first?.offset);
        assert.ok(
            expected !== AppendOutcomeKind.NotAppended || !first,
            "a record that was reported as not appended is in the log",
        );
    });
}

test("queued records of one stream are sent in one append, so that the append rate limit is not exceeded", async () => {
    const { timers, model, appender } = createSubject();
    const outcomes = await settle(
        timers,
        Promise.all([...Array(90).keys()].map(index => appender.append("s", { id: `r${index}` }, timeLimitMs))),
    );
    assert.deepEqual(outcomes.map(outcome => outcome.kind === AppendOutcomeKind.Appended && outcome.offset), [
        ...outcomes.keys(),
    ]);
    assert.equal(model.countAppends(), 2);
});
