import assert from "node:assert/strict";
import { createServer, Server, Socket } from "node:net";
import { describe, test } from "node:test";
import { createHttpPlainService } from "../../src/adapters/httpPlainService.js";
import { ServiceResultKind } from "../../src/ports/plainService.js";

/** Guards against an answer of a plain service that is cut off and taken for whole, and against the opposite error. */

const body = "x".repeat(200_000);
const cutBytes = 150_000;
const cutDelayMs = 30;
const framed = `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n`;
const unframed = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

const cases: readonly (readonly [string, ServiceResultKind, (socket: Socket, server: Server) => void])[] = [
    ["a whole answer with a length", ServiceResultKind.Answered, socket => socket.end(framed + body)],
    ["a whole answer without one", ServiceResultKind.Answered, socket => socket.end(unframed + body)],
    ["an answer with a length that is cut off", ServiceResultKind.Unknown, socket => {
        socket.end(framed + body.slice(0, cutBytes));
    }],
    ["an answer without one whose connection is reset", ServiceResultKind.Unknown, socket => {
        socket.write(unframed + body.slice(0, cutBytes));
        setTimeout(() => socket.resetAndDestroy(), cutDelayMs);
    }],
    ["an answer without one whose service ends", ServiceResultKind.Unknown, (socket, server) => {
        socket.write(unframed + body.slice(0, cutBytes));
        setTimeout(() => {
            server.close();
            socket.end();
        }, cutDelayMs);
    }],
];

describe("an answer of a plain service", { concurrency: true }, () => {
    for (const [name, expected, answer] of cases) {
        test(`${name}: ${expected}`, { timeout: 10_000 }, async () => {
            const server = createServer(socket => {
                socket.on("error", () => undefined);
                socket.once("data", () => answer(socket, server));
            });
            await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
            const service = createHttpPlainService(`http://127.0.0.1:${(server.address() as { port: number }).port}`);
            const call = { id: "1", method: "GET", path: "/", headers: {}, body: new Uint8Array(), timeLimitMs: 5_000 };
            const result = await service.call(call);
            service.dispose();
            server.close();
            assert.equal(result.kind, expected);
            if (result.kind === ServiceResultKind.Answered) {
                assert.equal(Buffer.from(result.body).toString("latin1"), body);
            }
        });
    }
});
