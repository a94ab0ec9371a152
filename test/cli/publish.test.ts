import assert from "node:assert/strict";
import { test } from "node:test";
import { createSystemTimerService } from "../../src/base/systemTimerService.js";
import { publishChanges, readHistory } from "../../src/cli/configLog.js";
import { ExitCode } from "../../src/cli/output.js";
import { buildChanges, ChangeOperation, configurationStream, makeChangeSetRecord } from "../../src/config/changeSet.js";
import { makeEmptyObjects, ObjectType } from "../../src/config/objects.js";
import { LogFaults } from "../../src/emulator/log/logFaults.js";
import { createLogModel, defaultLogModelSettings } from "../../src/emulator/log/logModel.js";
import { createMemoryLogService } from "../../src/emulator/log/memoryLogService.js";
import { makeSampleObjects } from "../config/samples.js";

const timers = createSystemTimerService();
const answerTimeoutMs = 100;
const timeoutMs = 1_500;

async function startLog() {
    const model = createLogModel(defaultLogModelSettings, timers);
    const log = createMemoryLogService(model, timers, answerTimeoutMs);
    const changes = buildChanges(makeEmptyObjects(), makeSampleObjects(), true);
    await log.append(configurationStream, [makeChangeSetRecord({ id: "first", author: "test", base: -1, changes })]);
    return { model, log };
}

function makeRequest(author: string, name: string, timeLimitMs: number) {
    const value = { urgency: 5, share: 0.01, timeLimitMs };
    const changes = [{ op: ChangeOperation.Put, kind: ObjectType.Rank, name, value }] as const;
    return { author, base: 0, changes, timeoutMs };
}

/** Faults of the append, with the exit code and result that must be reported and the change sets that are accepted. */
const faultCases: readonly (readonly [string, Partial<LogFaults>, ExitCode, string, number])[] = [
    ["no fault", {}, ExitCode.Success, "accepted", 1],
    ["answer lost after the append", { lostAnswers: 1 }, ExitCode.Success, "accepted", 1],
    ["append lost", { lostAppends: 1 }, ExitCode.Success, "accepted", 1],
    ["append delayed and repeated", { lateAppends: 1, lateAppendMs: 300 }, ExitCode.Success, "accepted", 1],
    ["append written twice", { duplicatedAppends: 1 }, ExitCode.Success, "accepted", 1],
    ["log down", { unavailable: true }, ExitCode.Unreachable, "not-published", 0],
    ["log unresponsive", { unresponsive: true }, ExitCode.Unreachable, "not-published", 0],
    ["appends lost until the time limit", { lostAppends: 1_000 }, ExitCode.Unknown, "unknown", 0],
];

for (const [name, faults, code, result, accepted] of faultCases) {
    test(`the outcome of a change set is reported to its operator: ${name}`, async () => {
        const { model, log } = await startLog();
        const before = await readHistory(log);
        model.updateFaults(faults);
        const published = await publishChanges(makeRequest("ann", "x", 1), before, log, timers);
        assert.equal((published.data as { result: string }).result, result);
        assert.equal(published.code, code);
        model.updateFaults({ unavailable: false, unresponsive: false, lostAppends: 0 });
        await new Promise(resolve => setTimeout(resolve, 400));
        const history = await readHistory(log);
        assert.equal(history.entries.filter(entry => entry.accepted).length - 1, accepted);
    });
}

test("of concurrent changes of one object exactly one is accepted, and each other one is reported as a conflict", async () => {
    const { log } = await startLog();
    const before = await readHistory(log);
    const names = ["ann", "ben", "cleo", "dan", "eve"];
    const results = await Promise.all(names.flatMap((author, index) => [
        publishChanges(makeRequest(author, "shared", index + 1), before, log, timers),
        publishChanges(makeRequest(author, `own-${author}`, 1), before, log, timers),
    ]));
    const shared = results.filter((unused, index) => index % 2 === 0);
    assert.equal(shared.filter(({ code }) => code === ExitCode.Success).length, 1);
    for (const loser of shared.filter(({ code }) => code !== ExitCode.Success)) {
        assert.equal((loser.data as { reason: string }).reason, "conflict");
    }
    assert.ok(results.filter((unused, index) => index % 2 === 1).every(({ code }) => code === ExitCode.Success));
    const { objects } = (await readHistory(log)).reader.state;
    const winner = shared.findIndex(({ code }) => code === ExitCode.Success);
    assert.equal(objects.ranks.shared?.timeLimitMs, winner + 1);
    assert.deepEqual(names.filter(name => !objects.ranks[`own-${name}`]), []);
});
