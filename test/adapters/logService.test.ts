import assert from "node:assert/strict";
import { test } from "node:test";
import { createHttpLogService, defaultHttpLogServiceSettings } from "../../src/adapters/httpLogService.js";
import { Disposable } from "../../src/base/disposable.js";
import { createSystemTimerService } from "../../src/base/systemTimerService.js";
import { createLogModel, defaultLogModelSettings, LogModel } from "../../src/emulator/log/logModel.js";
import { startEmulatedLog } from "../../src/emulator/log/logServer.js";
import { createMemoryLogService } from "../../src/emulator/log/memoryLogService.js";
import { LogService, LogServiceError, LogServiceErrorKind } from "../../src/ports/logService.js";

const timers = createSystemTimerService();
const modelSettings = { ...defaultLogModelSettings, maxRecords: 5, retentionMs: 60_000, appendsPerSecond: 20 };
const answerTimeoutMs = 400;

interface Subject {
    readonly log: LogService;
    readonly model: LogModel;
    close(): Promise<void> | void;
}

const subjects: Record<string, () => Promise<Subject>> = {
    async memory() {
        const model = createLogModel(modelSettings, timers);
        return { log: createMemoryLogService(model, timers, answerTimeoutMs), model, close: () => undefined };
    },
    async http() {
        const server = await startEmulatedLog({ ...modelSettings, port: 0 }, timers);
        const log: LogService & Disposable = createHttpLogService(server.url, timers, {
            ...defaultHttpLogServiceSettings,
            answerTimeoutMs,
        });
        return {
            log,
            model: server.model,
            async close() {
                log.dispose();
                await server.close();
            },
        };
    },
};

async function expectError(kind: LogServiceErrorKind, call: Promise<unknown>): Promise<void> {
    await assert.rejects(call, error => {
        assert.ok(error instanceof LogServiceError, String(error));
        assert.equal(error.kind, kind, error.message);
        return true;
    });
}

async function readValues(log: LogService, fromOffset = 0): Promise<unknown[]> {
    return (await log.read("s", fromOffset, 100)).records.map(record => record.value);
}

/** Behaviour that callers rely on to decide whether an append took effect. */
const cases: Record<string, (subject: Subject) => Promise<void>> = {
    async "offsets start at 0, are contiguous within an append and are independent between streams"({ log }) {
        assert.equal(await log.append("s", [{ a: 1 }, { a: 2 }]), 0);
        assert.equal(await log.append("s", [{ a: 3 }]), 2);
        assert.equal(await log.append("other", [1]), 0);
        const page = await log.read("s", 1, 1);
        assert.deepEqual(page.records.map(record => [record.offset, record.value]), [[1, { a: 2 }]]);
        assert.equal(page.endOffset, 3);
        assert.ok(Math.abs(page.records[0]!.timeMs - Date.now()) < 10_000);
    },
    async "a read from an expired offset returns the offset of the oldest record"({ log }) {
        await log.append("s", [1, 2, 3, 4, 5, 6, 7]);
        const page = await log.read("s", 0, 100);
        assert.equal(page.firstOffset, 2);
        assert.deepEqual(page.records.map(record => record.offset), [2, 3, 4, 5, 6]);
    },
    async "a long poll returns when a record is appended, or empty when its wait time ends"({ log }) {
        const waiting = log.read("s", 0, 10, 5_000);
        await log.append("s", ["x"]);
        assert.equal((await waiting).records.length, 1);
        assert.equal((await log.read("s", 1, 10, 20)).records.length, 0);
    },
    async "calls during an outage fail without effect and succeed after it"({ log, model }) {
        model.updateFaults({ unavailable: true });
        await expectError(LogServiceErrorKind.Unavailable, log.append("s", [1]));
        await expectError(LogServiceErrorKind.Unavailable, log.read("s", 0, 1));
        model.updateFaults({ unavailable: false });
        assert.deepEqual(await readValues(log), []);
        assert.equal(await log.append("s", [2]), 0);
    },
    async "a long poll fails when an outage begins"({ log, model }) {
        const waiting = log.read("s", 0, 10, 5_000);
        const expected = expectError(LogServiceErrorKind.Unavailable, waiting);
        setTimeout(() => model.updateFaults({ unavailable: true }), 20);
        await expected;
    },
    async "the outcome is unknown after a lost answer, whether or not the append took effect"({ log, model }) {
        model.updateFaults({ lostAnswers: 1 });
        await expectError(LogServiceErrorKind.OutcomeUnknown, log.append("s", ["effect"]));
        model.updateFaults({ lostAppends: 1 });
        await expectError(LogServiceErrorKind.OutcomeUnknown, log.append("s", ["none"]));
        assert.deepEqual(await readValues(log), ["effect"]);
    },
    async "the outcome is unknown when the answer timeout elapses"({ log, model }) {
        model.updateFaults({ answerDelayMs: 3 * answerTimeoutMs });
        await expectError(LogServiceErrorKind.OutcomeUnknown, log.append("s", ["slow"]));
        model.updateFaults({ answerDelayMs: 0, unresponsive: true });
        await expectError(LogServiceErrorKind.OutcomeUnknown, log.append("s", ["dropped"]));
        await expectError(LogServiceErrorKind.Unavailable, log.read("s", 0, 1));
        model.updateFaults({ unresponsive: false });
        assert.deepEqual(await readValues(log), ["slow"]);
    },
    async "an append with an unknown outcome can take effect later"({ log, model }) {
        model.updateFaults({ lateAppends: 1, lateAppendMs: 50 });
        await expectError(LogServiceErrorKind.OutcomeUnknown, log.append("s", ["late"]));
        assert.equal((await log.read("s", 0, 1, 2_000)).records[0]?.value, "late");
    },
    async "a duplicated append is stored twice and returns the offset of the first copy"({ log, model }) {
        model.updateFaults({ duplicatedAppends: 1 });
        assert.equal(await log.append("s", ["a"]), 0);
        assert.deepEqual(await readValues(log), ["a", "a"]);
    },
    async "appends above the rate limit are refused without effect"({ log, model }) {
        const appends = Array.from({ length: 60 }, () => log.append("s", [1]));
        const settled = await Promise.allSettled(appends);
        const refused = settled.filter(result => result.status === "rejected");
        assert.ok(refused.length > 0);
        refused.forEach(result =>
            assert.equal((result.reason as LogServiceError).kind, LogServiceErrorKind.RateLimited)
        );
        assert.equal((await log.read("s", 0, 1)).endOffset, settled.length - refused.length);
        assert.equal(model.countAppends(), settled.length - refused.length);
    },
    async "a malformed call is refused"({ log }) {
        await expectError(LogServiceErrorKind.Refused, log.append("Not A Stream", [1]));
        await expectError(LogServiceErrorKind.Refused, log.append("s", []));
    },
    async "offsets continue or restart at 0 after the log was emptied"({ log, model }) {
        await log.append("s", [1, 2]);
        model.dropRecords(false);
        assert.deepEqual(await log.read("s", 0, 9), { records: [], firstOffset: 2, endOffset: 2, era: 1 });
        model.dropRecords(true);
        assert.equal(await log.append("s", [3]), 0);
    },
    async "offsets are given out again in another era after the log came back from a copy"({ log, model }) {
        await log.append("s", ["kept"]);
        const copy = model.makeCopy();
        await log.append("s", ["lost"]);
        const waiting = log.read("s", 2, 1, 2_000);
        const { era } = await log.read("s", 0, 1);
        model.restore(copy);
        assert.equal(await log.append("s", ["new"]), 1);
        assert.deepEqual(await readValues(log), ["kept", "new"]);
        assert.equal((await waiting).era, era! + 1);
    },
};

for (const [subjectName, createSubject] of Object.entries(subjects)) {
    for (const [name, run] of Object.entries(cases)) {
        test(`log service over ${subjectName}: ${name}`, async () => {
            const subject = await createSubject();
            try {
                await run(subject);
            }
            finally {
                await subject.close();
            }
        });
    }
}

test("an append to an address without a service fails as unavailable, not with an unknown outcome", async () => {
    const server = await startEmulatedLog({ ...modelSettings, port: 0 }, timers);
    await server.close();
    const log = createHttpLogService(server.url, timers);
    await expectError(LogServiceErrorKind.Unavailable, log.append("s", [1]));
    log.dispose();
});
