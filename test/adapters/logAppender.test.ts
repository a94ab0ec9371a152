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

/** Moves time forward in small steps until a promise is settled. */
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
    /** Changes the service after some time. */
    readonly later?: { readonly atMs: number; readonly change: (model: LogModel) => void };
}

const repair = (model: LogModel) => model.updateFaults({ unavailable: false, unresponsive: false });

const cases: Record<string, Case> = {
    "an answered append": { faults: {}, expected: AppendOutcomeKind.Appended, offset: 1 },
    "an answer lost after the effect is found": {
        faults: { lostAnswers: 1 },
        expected: AppendOutcomeKind.Appended,
        offset: 1,
    },
    "an append that was lost is made again": {
        faults: { lostAppends: 1 },
        expected: AppendOutcomeKind.Appended,
        offset: 1,
    },
    "answer lost, append lost, answer lost": {
        faults: { lostAnswers: 3, lostAppends: 1 },
        expected: AppendOutcomeKind.Appended,
        offset: 1,
    },
    "a late append that comes after the repeated one": {
        faults: { lateAppends: 1, lateAppendMs: 300 },
        expected: AppendOutcomeKind.Appended,
        offset: 1,
    },
    "a duplicated append counts at its first copy": {
        faults: { duplicatedAppends: 1, lostAnswers: 1 },
        expected: AppendOutcomeKind.Appended,
        offset: 1,
    },
    "a log that is down certainly took nothing": {
        faults: { unavailable: true },
        expected: AppendOutcomeKind.NotAppended,
    },
    "a log that stops answering leaves the outcome unknown": {
        faults: { unresponsive: true },
        expected: AppendOutcomeKind.Unknown,
    },
    "a log that answers again within the limit": {
        faults: { unresponsive: true },
        expected: AppendOutcomeKind.Appended,
        offset: 1,
        later: { atMs: 500, change: repair },
    },
    "a log that is down after the answer was lost leaves the outcome unknown": {
        faults: { answerDelayMs: 2 * answerTimeoutMs },
        expected: AppendOutcomeKind.Unknown,
        later: { atMs: answerTimeoutMs / 2, change: model => model.updateFaults({ unavailable: true }) },
    },
};

for (const [name, { faults, expected, offset, later }] of Object.entries(cases)) {
    test(`append with resolution: ${name}`, async () => {
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
        assert.ok(timers.now() - startedMs <= timeLimitMs + 10, "the time limit bounds the resolution");
        timers.advance(500);
        model.updateFaults({ unavailable: false, unresponsive: false, answerDelayMs: 0 });
        const page = await settle(timers, log.read("s", 0, 100));
        const first = page.records.find(record => (record.value as { id: string }).id === "second");
        assert.equal(first?.offset, expected === AppendOutcomeKind.Appended ? offset : first?.offset);
        assert.ok(expected !== AppendOutcomeKind.NotAppended || !first, "a record reported as absent is in the log");
    });
}

test("records that wait for one stream leave in one append, so the append rate is not exceeded", async () => {
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
