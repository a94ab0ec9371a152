import assert from "node:assert/strict";
import * as net from "node:net";
import { after, before, describe, test } from "node:test";
import OpenAI from "openai";
import { makeExpectedOutput } from "../../src/emulator/engine/tokens.js";
import { startSystem, testKeys, TestSystem, waitUntil } from "./system.js";

let system: TestSystem;
let client: OpenAI;

before(async () => {
    system = await startSystem({
        services: 1,
        objects: objects => {
            objects.models!.idle = { version: "idle-v1" };
            objects.versions!["idle-v1"] = { model: "idle", weights: "idle-v1" };
        },
    });
    client = new OpenAI({ baseURL: `${system.url}/v1`, apiKey: testKeys.planner, maxRetries: 0 });
});
after(() => system.close());

describe("the published OpenAI client", () => {
    test("a chat completion without a stream carries the complete answer and its usage", async () => {
        const answer = await client.chat.completions.create({
            model: "demo",
            messages: [{ role: "user", content: "plain" }],
            max_tokens: 6,
        });
        assert.equal(answer.choices[0]?.message.content, makeExpectedOutput("user: plain", 6));
        assert.equal(answer.choices[0]?.finish_reason, "length");
        assert.equal(answer.usage?.completion_tokens, 6);
    });

    test("a streamed chat completion arrives in order and ends with its usage", async () => {
        const stream = await client.chat.completions.create({
            model: "demo",
            messages: [{ role: "user", content: [{ type: "text", text: "streamed" }] }],
            max_tokens: 6,
            stream: true,
            stream_options: { include_usage: true },
        });
        let text = "";
        let tokens = 0;
        for await (const chunk of stream) {
            text += chunk.choices[0]?.delta.content ?? "";
            tokens = chunk.usage?.completion_tokens ?? tokens;
        }
        assert.equal(text, makeExpectedOutput("user: streamed", 6));
        assert.equal(tokens, 6);
    });

    test("a text completion carries its answer and the list of models is complete", async () => {
        const answer = await client.completions.create({ model: "demo", prompt: "text", max_tokens: 3 });
        assert.equal(answer.choices[0]?.text, makeExpectedOutput("text", 3));
        const models = await client.models.list();
        assert.deepEqual(models.data.map(model => model.id), ["demo", "idle"]);
    });

    test("a stream that the customer cancels releases the engine's memory", async () => {
        const stream = await client.chat.completions.create({
            model: "demo",
            messages: [{ role: "user", content: "cancelled" }],
            max_tokens: 2_000,
            stream: true,
        });
        for await (const chunk of stream) {
            assert.ok(chunk.id);
            break;
        }
        await waitUntil(() => system.endpoints[0]!.engine!.getUsedTokens() === 0, 2_000);
        await waitUntil(() => system.entry.state.countRequests() === 0, 1_000);
    });
});

interface ErrorCase {
    readonly name: string;
    readonly path?: string;
    readonly body?: unknown;
    readonly headers?: Record<string, string>;
    readonly status: number;
    readonly code: string;
}

const completion = { model: "demo", prompt: "hello", max_tokens: 2 };
const errorCases: readonly ErrorCase[] = [
    { name: "malformed JSON", body: '{"model":', status: 400, code: "bad_request" },
    { name: "empty body", body: "", status: 400, code: "bad_request" },
    { name: "missing prompt", body: { model: "demo" }, status: 400, code: "bad_request" },
    { name: "negative token count", body: { ...completion, max_tokens: -1 }, status: 400, code: "bad_request" },
    { name: "unknown model", body: { ...completion, model: "none" }, status: 404, code: "unknown_model" },
    {
        name: "body over the limit",
        body: { ...completion, prompt: "x".repeat(600_000) },
        status: 413,
        code: "body_too_large",
    },
    {
        name: "prompt larger than the engine's memory",
        body: { ...completion, prompt: "x".repeat(450_000) },
        status: 413,
        code: "prompt_too_large",
    },
    { name: "wrong key", headers: { authorization: "Bearer wrong" }, status: 401, code: "unauthorized" },
    { name: "no key", headers: { authorization: "" }, status: 401, code: "unauthorized" },
    { name: "unknown rank", headers: { "jujubelane-rank": "none" }, status: 400, code: "unknown_rank" },
    {
        name: "rank that the customer may not use",
        headers: { "jujubelane-rank": "bulk", authorization: `Bearer ${testKeys.clerk}` },
        status: 403,
        code: "forbidden",
    },
    { name: "unknown kind", headers: { "jujubelane-kind": "none" }, status: 400, code: "bad_request" },
    {
        name: "kind with an inherited name",
        headers: { "jujubelane-kind": "constructor" },
        status: 400,
        code: "bad_request",
    },
    {
        name: "rank with an inherited name",
        headers: { "jujubelane-rank": "constructor" },
        status: 400,
        code: "unknown_rank",
    },
    {
        name: "model with an inherited name",
        body: { ...completion, model: "toString" },
        status: 404,
        code: "unknown_model",
    },
    {
        name: "service with an inherited name",
        path: "/v1/services/constructor/x",
        status: 404,
        code: "unknown_service",
    },
    { name: "time limit of zero", headers: { "jujubelane-time-limit-ms": "0" }, status: 400, code: "bad_request" },
    {
        name: "time limit that is no number",
        headers: { "jujubelane-time-limit-ms": "soon" },
        status: 400,
        code: "bad_request",
    },
    { name: "unknown route", path: "/v1/none", status: 404, code: "not_found" },
    { name: "unknown service", path: "/v1/services/none/x", status: 404, code: "unknown_service" },
    { name: "malformed escape in a service name", path: "/v1/services/%ZZ/x", status: 404, code: "not_found" },
    { name: "operator route with a customer's key", path: "/operator/status", status: 403, code: "forbidden" },
    { name: "model without endpoints", body: { ...completion, model: "idle" }, status: 503, code: "no_endpoint" },
];

describe("an invalid request gets a typed error and the entry keeps serving", () => {
    for (const { name, path, body, headers, status, code } of errorCases) {
        test(name, async () => {
            const response = await system.send(path ?? "/v1/completions", body ?? completion, headers);
            const answer = await response.json() as { error: { code: string; verdict: string; message: string } };
            assert.equal(response.status, status);
            assert.equal(answer.error.code, code);
            assert.equal(answer.error.verdict, "not-run");
            assert.equal(response.headers.get("jujubelane-verdict"), "not-run");
            assert.ok(answer.error.message.length > 0);
            assert.equal((await fetch(`${system.url}/health`)).status, 200);
        });
    }

    test("a client that disconnects in the middle of its body leaves no request in the entry", async () => {
        const socket = net.connect(Number(new URL(system.url).port), "127.0.0.1");
        socket.write(
            `POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${testKeys.planner}\r\n`
                + 'Content-Length: 100\r\n\r\n{"model"',
        );
        await new Promise(resolve => setTimeout(resolve, 50));
        socket.destroy();
        const response = await system.send("/v1/completions", completion);
        assert.equal(response.status, 200);
        await response.text();
        assert.equal(system.entry.state.countRequests(), 0);
    });

    test("metrics are in the Prometheus text exposition format", async () => {
        const text = await (await fetch(`${system.url}/metrics`)).text();
        assert.match(text, /# TYPE jujubelane_first_token_seconds summary/);
        assert.match(text, /^jujubelane_requests_total\{rank="urgent",result="completed"\} \d+$/m);
        for (const line of text.trim().split("\n").filter(candidate => !candidate.startsWith("#"))) {
            assert.match(line, /^[a-z_]+(\{[^}]*\})? -?[\d.e+-]+$/);
        }
    });
});
