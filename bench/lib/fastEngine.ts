// An engine for load tests of the entry: node fastEngine.js FIRST-TOKEN-MS TOKENS-PER-SECOND
// It streams tokens at a fixed rate for any number of requests, without batching, prefill or memory accounting, so that it
// uses little processor time compared with the processes under test.
import * as http from "node:http";
import { AddressInfo } from "node:net";
import { computePromptHash, countTokens, makeOutputToken } from "../../src/emulator/engine/tokens.js";

const [firstTokenMs, tokensPerSecond] = process.argv.slice(2).map(Number) as [number, number];
const millisecondsPerSecond = 1000;
const tickMs = 10;
const defaultMaxTokens = 16;

interface Stream {
    readonly id: string;
    readonly promptHash: number;
    readonly promptTokens: number;
    readonly maxTokens: number;
    readonly response: http.ServerResponse;
    readonly startMs: number;
    sentTokens: number;
}

const streams = new Set<Stream>();

function writeTokens(stream: Stream, nowMs: number) {
    const elapsedMs = nowMs - stream.startMs - firstTokenMs;
    if (elapsedMs < 0) {
        return;
    }
    const dueTokens = Math.min(stream.maxTokens, 1 + Math.floor(elapsedMs * tokensPerSecond / millisecondsPerSecond));
    let text = "";
    for (; stream.sentTokens < dueTokens; stream.sentTokens++) {
        const token = makeOutputToken(stream.promptHash, stream.sentTokens);
        text += `data: {"id":"${stream.id}","sequence":${stream.sentTokens},"choices":[{"text":"${token}"}]}\n\n`;
    }
    if (stream.sentTokens >= stream.maxTokens) {
        streams.delete(stream);
        const end = JSON.stringify({
            id: stream.id,
            sequence: stream.sentTokens,
            choices: [{ text: "", finish_reason: "length" }],
            usage: { prompt_tokens: stream.promptTokens, cached_tokens: 0, completion_tokens: stream.sentTokens },
        });
        stream.response.end(`${text}data: ${end}\n\ndata: [DONE]\n\n`);
    }
    else if (text.length > 0) {
        stream.response.write(text);
    }
}

setInterval(() => {
    const nowMs = performance.now();
    for (const stream of streams) {
        writeTokens(stream, nowMs);
    }
}, tickMs);

const loadReport = {
    model: "main",
    version: "main-v1",
    adapters: [],
    role: "general",
    incarnation: "fast",
    memoryTokens: 100_000_000,
    usedTokens: 0,
    running: 0,
    waiting: 0,
    prefillTokensPerSecond: 10_000_000,
    decodeTokensPerSecond: tokensPerSecond,
};

const server = http.createServer((request, response) => {
    const parts: Buffer[] = [];
    request.on("data", (part: Buffer) => parts.push(part));
    request.on("end", () => {
        if (request.method !== "POST" || request.url !== "/v1/completions") {
            response.setHeader("content-type", "application/json");
            response.end(
                request.url === "/v1/load" ? JSON.stringify(loadReport) : request.url === "/v1/requests" ? "[]" : "{}",
            );
            return;
        }
        const body = JSON.parse(Buffer.concat(parts).toString()) as {
            request_id?: string;
            prompt: string;
            max_tokens?: number;
        };
        response.writeHead(200, { "content-type": "text/event-stream" });
        const stream: Stream = {
            id: body.request_id ?? "",
            promptHash: computePromptHash(body.prompt),
            promptTokens: countTokens(body.prompt),
            maxTokens: body.max_tokens ?? defaultMaxTokens,
            response,
            startMs: performance.now(),
            sentTokens: 0,
        };
        response.on("close", () => streams.delete(stream));
        streams.add(stream);
        writeTokens(stream, stream.startMs);
    });
});
server.listen(0, "127.0.0.1", () => {
    process.stdout.write(`listening on http://127.0.0.1:${(server.address() as AddressInfo).port}\n`);
});
process.on("SIGTERM", () => process.exit(0));
