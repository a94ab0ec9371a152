import assert from "node:assert/strict";
import { test } from "node:test";
import { createManualTimerService } from "../../src/base/manualTimerService.js";
import { createMetrics } from "../../src/base/metrics.js";
import { ErrorCode } from "../../src/base/requestError.js";
import { createSystemTimerService } from "../../src/base/systemTimerService.js";
import { makeExpectedOutput } from "../../src/emulator/engine/tokens.js";
import { createLogModel, defaultLogModelSettings } from "../../src/emulator/log/logModel.js";
import { createMemoryLogService } from "../../src/emulator/log/memoryLogService.js";
import { createQuarantineManager } from "../../src/entry/quarantineManager.js";
import { LinkMessageType, QuarantineMessage } from "../../src/link/messages.js";
import { buildCrashRecord } from "../../src/quarantine/crashRecord.js";
import { startSystem, TestSystem } from "./system.js";

const poison = "POISON";
const poisonedPrompt = `please ${poison} all`;
const innocentRequests = 6;

function countCrashes(system: TestSystem): number {
    return system.endpoints.reduce((sum, endpoint) => sum + endpoint.engine!.faults.countCrashes(), 0);
}

async function sendPrompt(system: TestSystem, prompt: string, origin: string) {
    const response = await system.send("/v1/completions", { model: "demo", prompt, max_tokens: 60 }, {}, origin);
    return { status: response.status, text: await response.text() };
}

/** Crashes of one message after which every entry refuses requests with it, and later crashes that may still occur. */
const allowedCrashes = 5;
const maxLaterCrashes = 3;
const knownWithinMs = 3_000;

test("different prompts that share a message which crashes engines do not go on crashing them", async () => {
    const system = await startSystem({ engines: 6, entries: 2, engine: { poison } });
    const origins = [system.url, system.otherEntries[0]!.url];
    const sendChat = async (index: number) => {
        const messages = [{ role: "system", content: poisonedPrompt }, { role: "user", content: `question ${index}` }];
        const body = { model: "demo", messages, max_tokens: 20 };
        const response = await system.send("/v1/chat/completions", body, {}, origins[index % 2]);
        await response.text();
    };
    try {
        let count = 0;
        while (countCrashes(system) < allowedCrashes && count < 40) {
            await sendChat(count++);
        }
        assert.ok(countCrashes(system) >= 2, "the fault did not occur");
        await new Promise(resolve => setTimeout(resolve, knownWithinMs));
        const crashesBefore = countCrashes(system);
        for (let later = 0; later < 8; later++) {
            await sendChat(count++);
        }
        const laterCrashes = countCrashes(system) - crashesBefore;
        assert.ok(laterCrashes <= maxLaterCrashes, `${laterCrashes} later crashes`);
    }
    finally {
        await system.close();
    }
});

interface PoisonCase {
    readonly name: string;
    /** Pause between the customer's attempts. */
    readonly pauseMs: number;
    /** Whether the log is unavailable during the whole test. */
    readonly logDown: boolean;
}

const cases: readonly PoisonCase[] = [
    { name: "sent again at once", pauseMs: 0, logDown: false },
    { name: "sent again after a while", pauseMs: 400, logDown: false },
    { name: "sent again with the log down", pauseMs: 100, logDown: true },
];

for (const { name, pauseMs, logDown } of cases) {
    test(`a request that crashes endpoints costs at most two and innocent requests finish: ${name}`, async () => {
        const timers = createSystemTimerService();
        const logModel = createLogModel(defaultLogModelSettings, timers);
        logModel.updateFaults({ unavailable: logDown });
        const logService = createMemoryLogService(logModel, timers);
        const system = await startSystem({ engines: 4, entries: 2, engine: { poison }, logService });
        const origins = [system.url, system.otherEntries[0]!.url];
        try {
            const answers = Array.from({ length: innocentRequests }, async (unused, index) => {
                const prompt = `innocent ${index}`;
                return { prompt, ...await sendPrompt(system, prompt, origins[index % 2]!) };
            });
            const codes: string[] = [];
            for (let attempt = 0; attempt < 6; attempt++) {
                const { status, text } = await sendPrompt(system, poisonedPrompt, origins[attempt % 2]!);
                assert.ok(status >= 400, text);
                codes.push((JSON.parse(text) as { error: { code: string } }).error.code);
                await new Promise(resolve => setTimeout(resolve, pauseMs));
            }
            assert.ok(countCrashes(system) <= 2, `${countCrashes(system)} endpoints crashed`);
            assert.deepEqual(codes.slice(1), Array.from({ length: 5 }, () => ErrorCode.Quarantined));
            for (const { prompt, status, text } of await Promise.all(answers)) {
                assert.equal(status, 200, text);
                assert.ok(text.includes(makeExpectedOutput(prompt, 60)), text);
            }
            const after = await sendPrompt(system, "after", origins[0]!);
            assert.equal(after.status, 200);
        }
        finally {
            await system.close();
        }
    });
}

test("entries that share no sidecar receive each other's crashes through the log, also an entry that starts later", async () => {
    const timers = createManualTimerService();
    const model = createLogModel(defaultLogModelSettings, timers);
    const logService = createMemoryLogService(model, timers);
    const sent: QuarantineMessage[] = [];
    const dependencies = { timers, log: () => undefined, metrics: createMetrics(), logService };
    const advanceTime = async () => {
        for (let round = 0; round < 20; round++) {
            timers.advance(100);
            await new Promise(resolve => setImmediate(resolve));
        }
    };
    const first = createQuarantineManager({ ...dependencies, broadcast: () => undefined });
    const second = createQuarantineManager({ ...dependencies, broadcast: message => sent.push(message) });
    const report = (crash: string) =>
        ({
            type: LinkMessageType.CrashReport,
            crash,
            fingerprints: ["a", "b"].slice(0, crash === "1" ? 2 : 1),
        }) as const;
    first.handleCrashReport(report("1"));
    await advanceTime();
    assert.equal(second.check({ fingerprint: "a", traits: [] }), undefined);
    assert.deepEqual(sent.map(message => [message.fingerprint, message.isolated]), [["a", true], ["b", true]]);
    second.handleCrashReport(report("2"));
    await advanceTime();
    const lateManager = createQuarantineManager({ ...dependencies, broadcast: () => undefined });
    await advanceTime();
    for (const manager of [first, second, lateManager]) {
        assert.equal(manager.check({ fingerprint: "a", traits: [] })?.code, ErrorCode.Quarantined);
        assert.equal(manager.check({ fingerprint: "b", traits: [] }), undefined);
        manager.dispose();
    }
});

/** Guards against an entry that never reads what others have written to a log that came back from an older copy. */
test("an entry reads quarantines again from a log that was restored and written past its offset", async () => {
    const timers = createManualTimerService();
    const model = createLogModel(defaultLogModelSettings, timers);
    const logService = createMemoryLogService(model, timers);
    const manager = createQuarantineManager({
        timers,
        log: () => undefined,
        metrics: createMetrics(),
        logService,
        broadcast: () => undefined,
    });
    const copy = model.makeCopy();
    await logService.append("control", ["lost", "lost"]);
    await new Promise(resolve => setImmediate(resolve));
    model.updateFaults({ unavailable: true });
    model.restore(copy);
    model.updateFaults({ unavailable: false });
    const crashes = ["1", "2"].map(crash => buildCrashRecord({ crash, fingerprints: ["a"] }));
    await logService.append("control", [...crashes, "other", "other"]);
    for (let round = 0; round < 30; round++) {
        timers.advance(100);
        await new Promise(resolve => setImmediate(resolve));
    }
    assert.equal(manager.check({ fingerprint: "a", traits: [] })?.code, ErrorCode.Quarantined);
    manager.dispose();
});
