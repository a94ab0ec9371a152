import assert from "node:assert/strict";
import { test } from "node:test";
import { startSystem, TestSystem } from "./system.js";

const timeLimitMs = 800;
/** The requirement: no request passes its limit by more than one second. */
const toleranceMs = 1_000;

interface TimeLimitCase {
    readonly name: string;
    readonly stream: boolean;
    /** Injects the fault. */
    readonly inject: (system: TestSystem) => void;
    /** Time between the start of the request and the fault; if negative, the fault is injected before the request. */
    readonly injectAfterMs: number;
    readonly engine?: { readonly prefillTokensPerSecond?: number; readonly maxBatch?: number };
}

const cases: readonly TimeLimitCase[] = [
    {
        name: "engine slower than the limit",
        stream: false,
        inject: () => undefined,
        injectAfterMs: 0,
        engine: { prefillTokensPerSecond: 1 },
    },
    {
        name: "connection silent in mid-stream, new ones refused",
        stream: true,
        inject: system => {
            system.endpoints[0]!.relay.pauseConnections();
            system.endpoints[0]!.relay.disconnect();
        },
        injectAfterMs: 300,
    },
    {
        name: "connection silent in mid-stream",
        stream: true,
        inject: s => s.endpoints[0]!.relay.pauseConnections(),
        injectAfterMs: 300,
    },
    {
        name: "connection silent before the dispatch",
        stream: false,
        inject: s => s.endpoints[0]!.relay.pauseConnections(),
        injectAfterMs: -1,
    },
    {
        name: "sidecar gone in mid-stream",
        stream: true,
        inject: s => s.endpoints[0]!.relay.disconnect(),
        injectAfterMs: 300,
    },
    {
        name: "engine gone in mid-stream",
        stream: true,
        inject: s => void s.endpoints[0]!.engine!.close(),
        injectAfterMs: 300,
    },
    {
        name: "engine gone before the dispatch",
        stream: false,
        inject: s => void s.endpoints[0]!.engine!.close(),
        injectAfterMs: -1,
    },
    { name: "engine's batch full", stream: false, inject: () => undefined, injectAfterMs: 0, engine: { maxBatch: 0 } },
];

for (const { name, stream, inject, injectAfterMs, engine } of cases) {
    test(`a request ends within its limit: ${name}`, async () => {
        const system = await startSystem({ engine });
        try {
            if (injectAfterMs < 0) {
                inject(system);
            }
            const startedMs = performance.now();
            const pending = system.send("/v1/completions", {
                model: "demo",
                prompt: "word".repeat(50),
                max_tokens: 2_000,
                stream,
            }, { "jujubelane-time-limit-ms": String(timeLimitMs) });
            if (injectAfterMs >= 0) {
                setTimeout(() => inject(system), injectAfterMs);
            }
            const response = await pending;
            const text = await response.text();
            const elapsedMs = performance.now() - startedMs;
            assert.ok(elapsedMs <= timeLimitMs + toleranceMs, `ended after ${elapsedMs} ms`);
            // 2,000 tokens take 10 s, so the answer is truncated and must not end like a complete one.
            assert.ok(!text.includes("[DONE]"), "a truncated answer was ended like a complete one");
            assert.match(text, /"verdict":"(not-run|may-have-run)"/);
            assert.equal(system.entry.state.countRequests(), 0);
        }
        finally {
            await system.close();
        }
    });
}
