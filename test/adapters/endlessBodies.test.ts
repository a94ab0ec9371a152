import assert from "node:assert/strict";
import { describe, test, TestContext } from "node:test";
import { createHttpModelEngine } from "../../src/adapters/httpModelEngine.js";
import { createHttpPlainService } from "../../src/adapters/httpPlainService.js";
import { EngineEvent, EngineEventKind } from "../../src/ports/modelEngine.js";
import { ServiceResultKind } from "../../src/ports/plainService.js";
import { waitUntil } from "../platform/support/deployment.js";
import { RawScript, startRawEndpoint } from "../platform/support/rawEndpoint.js";

/** Guards against a sick endpoint that fills the memory of a sidecar with bytes that are no answer. */

const ok = "HTTP/1.1 200 OK\r\n\r\n";
const waitMs = 5_000;
/** Answers are bounded to 1 MiB, or 16 MiB for a plain service; the sockets' buffers come in addition. */
const maxTakenBytes = 48 * 1024 * 1024;

async function startSick(context: TestContext, script: RawScript) {
    const sick = await startRawEndpoint("sick", () => script);
    context.after(() => sick.close());
    const checkClosed = async () => {
        await waitUntil("the connection is closed", () => sick.countWriting() === 0, waitMs);
        assert.ok(sick.countWrittenBytes() < maxTakenBytes, `${sick.countWrittenBytes()} bytes were taken`);
    };
    return { url: `http://${sick.address}`, checkClosed };
}

describe("bodies without end", () => {
    const streams: readonly [string, RawScript, EngineEventKind][] = [
        ["a line of a stream", { start: `${ok}data: `, repeated: "a" }, EngineEventKind.Broken],
        ["lines of an event", { start: ok, repeated: "data: a\n" }, EngineEventKind.Broken],
        ["comments", { start: ok, repeated: ":\n\n" }, EngineEventKind.Broken],
        ["an error answer", { start: "HTTP/1.1 500 Failed\r\n\r\n", repeated: "a" }, EngineEventKind.Broken],
    ];
    for (const [what, script, expected] of streams) {
        test(`${what} ends the generation`, { timeout: 2 * waitMs }, async context => {
            const sick = await startSick(context, script);
            const engine = createHttpModelEngine(sick.url);
            context.after(() => engine.dispose());
            const events: EngineEvent[] = [];
            engine.generate({
                id: "request-1",
                model: "m",
                priority: 0,
                maxOutputTokens: 10,
                prompt: "prompt",
                timeLimitMs: waitMs,
            }, event => events.push(event));
            await waitUntil("the end", () => events.length > 0, waitMs);
            assert.equal(events[0]!.kind, expected);
            await sick.checkClosed();
        });
    }

    test("a report fails", { timeout: 2 * waitMs }, async context => {
        const sick = await startSick(context, { start: ok, repeated: "a" });
        const engine = createHttpModelEngine(sick.url);
        context.after(() => engine.dispose());
        await assert.rejects(engine.report());
        await sick.checkClosed();
    });

    test("a call of a plain service may have run", { timeout: 2 * waitMs }, async context => {
        const sick = await startSick(context, { start: ok, repeated: "a" });
        const service = createHttpPlainService(sick.url);
        context.after(() => service.dispose());
        const result = await service.call({
            id: "call-1",
            method: "GET",
            path: "/",
            headers: {},
            body: new Uint8Array(),
            timeLimitMs: waitMs,
        });
        assert.equal(result.kind, ServiceResultKind.Unknown);
        await sick.checkClosed();
    });
});
