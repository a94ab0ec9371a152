import assert from "node:assert/strict";
import { test } from "node:test";
import { startSystem, waitUntil } from "./system.js";

// Guards against urgent requests being refused because a flood of bulk requests takes every request slot of the entry.
test("urgent requests are admitted while a flood of bulk work fills the entry", async () => {
    const system = await startSystem({ entry: { maxRequests: 20 }, engine: { decodeTokensPerSecond: 10 } });
    const controller = new AbortController();
    try {
        const flood = Array.from({ length: 40 }, () =>
            fetch(`${system.url}/v1/completions`, {
                method: "POST",
                headers: {
                    authorization: "Bearer planner-key",
                    "content-type": "application/json",
                    "jujubelane-rank": "bulk",
                },
                body: JSON.stringify({ model: "demo", prompt: "summary", max_tokens: 400 }),
                signal: controller.signal,
            }).then(response => response.status, () => 0));
        await waitUntil(() => system.entry.state.countRequests() === 15);
        const urgent = await system.send("/v1/completions", { model: "demo", prompt: "draft", max_tokens: 2 });
        assert.equal(urgent.status, 200);
        await urgent.text();
        controller.abort();
        const refused = (await Promise.all(flood)).filter(status => status === 429);
        assert.equal(refused.length, 25);
        await waitUntil(() => system.entry.state.countRequests() === 0);
    }
    finally {
        controller.abort();
        await system.close();
    }
});

test("a body over the limit of held bytes is refused with a ticket and Retry-After and is not counted", async () => {
    const system = await startSystem({ entry: { maxHeldBytes: 1_000 } });
    try {
        const body = { model: "demo", prompt: "x".repeat(2_000), max_tokens: 1 };
        const response = await system.send("/v1/completions", body);
        assert.equal(response.status, 429);
        assert.ok(Number(response.headers.get("retry-after")) >= 1);
        assert.ok(response.headers.get("jujubelane-ticket"));
        const small = await system.send("/v1/completions", { ...body, prompt: "x" });
        assert.equal(small.status, 200);
        await small.text();
    }
    finally {
        await system.close();
    }
});
