import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { LogEvent } from "../../src/base/logEvents.js";
import { makeExpectedOutput } from "../../src/emulator/engine/tokens.js";
import { startSystem, TestSystem, waitUntil } from "./system.js";

/** Phase of the first request when the fault is injected. */
enum RequestPhase {
    Queued = "queued",
    Prefill = "prefill",
    Decode = "decode",
}

interface MemoryCase {
    readonly name: string;
    readonly inject: (system: TestSystem, abort: () => void) => Promise<void> | void;
    readonly heal?: (system: TestSystem) => void;
    /** Phases in which the fault leaks memory unless the audit runs. */
    readonly leaksWithoutAudit: readonly RequestPhase[];
}

const memoryTokens = 100_000;
const largePrompt = "word".repeat(90_000);
/** At 100 tokens a second no request completes while a test runs. */
const outputTokens = 4_000;
const floodRequests = 6;
/** Time for the entry to reconnect to a restarted sidecar before the customers disconnect. */
const settleMs = 600;
const audit = { intervalMs: 200, orphanGraceMs: 500 };
const noAudit = { intervalMs: 1e9, orphanGraceMs: 500 };

const engineOf = (system: TestSystem) => system.endpoints[0]!.engine!;

function callEngine(system: TestSystem, path: string, body: unknown): Promise<Response> {
    return fetch(`${engineOf(system).url}${path}`, { method: "POST", body: JSON.stringify(body) });
}

const cases: readonly MemoryCase[] = [
    { name: "customers close their connections", inject: (system, abort) => abort(), leaksWithoutAudit: [] },
    {
        name: "the sidecar crashes",
        inject: system => system.endpoints[0]!.restartSidecar(),
        // The entry asks the new sidecar for its requests, and the sidecar takes them over.
        leaksWithoutAudit: [],
    },
    { name: "the entry crashes", inject: system => system.otherEntries[0]!.crash(), leaksWithoutAudit: [] },
    {
        name: "the entry and the sidecar crash",
        inject(system) {
            system.otherEntries[0]!.crash();
            system.endpoints[0]!.restartSidecar();
        },
        leaksWithoutAudit: [RequestPhase.Prefill, RequestPhase.Decode],
    },
    {
        name: "the engine's connections are silent",
        inject(system, abort) {
            engineOf(system).faults.apply({ silence: true });
            abort();
        },
        leaksWithoutAudit: [],
    },
    {
        name: "cancels are lost",
        inject(system, abort) {
            engineOf(system).faults.apply({ lostCancels: 2 });
            abort();
        },
        leaksWithoutAudit: [RequestPhase.Prefill, RequestPhase.Decode],
    },
    {
        name: "exports are not released",
        async inject(system, abort) {
            await callEngine(system, "/v1/imports", { exportId: "left", tokens: 5_000 });
            abort();
        },
        leaksWithoutAudit: [RequestPhase.Queued, RequestPhase.Prefill, RequestPhase.Decode],
    },
];

async function waitForPhase(system: TestSystem, phase: RequestPhase) {
    const isLogged = (event: LogEvent) => system.events.some(item => item.event === event);
    switch (phase) {
        case RequestPhase.Queued:
            return waitUntil(() => isLogged(LogEvent.WorkQueued));
        case RequestPhase.Prefill:
            return waitUntil(() => engineOf(system).getUsedTokens() > 0);
        case RequestPhase.Decode:
            await waitUntil(() => engineOf(system).getUsedTokens() > 0);
            return waitUntil(() => engineOf(system).countOutputTokens() > 0);
    }
}

async function runFlood(memoryCase: MemoryCase, phase: RequestPhase, auditSettings: typeof audit) {
    const system = await startSystem({
        entries: 2,
        audit: auditSettings,
        engine: { memoryTokens, prefillTokensPerSecond: 400_000, decodeTokensPerSecond: 100 },
    });
    const controller = new AbortController();
    const flood = Array.from(
        { length: floodRequests },
        (unused, index) =>
            fetch(`${system.otherEntries[0]!.url}/v1/completions`, {
                method: "POST",
                signal: controller.signal,
                headers: { authorization: "Bearer planner-key", "jujubelane-rank": "bulk" },
                body: JSON.stringify({ model: "demo", prompt: `${index}${largePrompt}`, max_tokens: outputTokens }),
            }).then(response => response.text()).catch(() => undefined),
    );
    await waitForPhase(system, phase);
    await memoryCase.inject(system, () => controller.abort());
    await new Promise(resolve => setTimeout(resolve, settleMs));
    controller.abort();
    await Promise.all(flood);
    return system;
}

async function checkMemoryIsUsable(system: TestSystem) {
    const prompt = `after${largePrompt}`;
    const response = await system.send("/v1/completions", { model: "demo", prompt, max_tokens: 4 });
    const text = await response.text();
    assert.equal(response.status, 200, text);
    const answer = JSON.parse(text) as { choices: { text: string }[] };
    assert.equal(answer.choices[0]?.text, makeExpectedOutput(prompt, 4));
}

// These tests spend most of their time waiting for grace periods, so they run concurrently.
describe("the engine's memory after a flood", { concurrency: 4 }, () => {
    for (const memoryCase of cases) {
        for (const phase of Object.values(RequestPhase)) {
            test(`the engine's memory is released without a restart: ${memoryCase.name} (${phase})`, async () => {
                const system = await runFlood(memoryCase, phase, audit);
                try {
                    const load = () => system.entry.state.directory.list()[0]!.getLoad();
                    const isIdle = () => load()?.running === 0 && load()?.queued === 0;
                    await waitUntil(() => engineOf(system).getUsedTokens() === 0 && isIdle(), 15_000);
                    await checkMemoryIsUsable(system);
                    await waitUntil(() => load()?.reservedTokens === 0 && load()?.memoryTokens === memoryTokens);
                }
                finally {
                    await system.close();
                }
            });

            if (memoryCase.leaksWithoutAudit.includes(phase)) {
                test(`without the audit the engine's memory stays in use: ${memoryCase.name} (${phase})`, async () => {
                    const system = await runFlood(memoryCase, phase, noAudit);
                    try {
                        // Longer than the session's grace period, the request's own run and several audit intervals.
                        await new Promise(resolve => setTimeout(resolve, 3_500));
                        assert.ok(
                            engineOf(system).getUsedTokens() > 0,
                            "the memory was released without the audit, so the case does not test the audit",
                        );
                    }
                    finally {
                        await system.close();
                    }
                });
            }
        }
    }
});
