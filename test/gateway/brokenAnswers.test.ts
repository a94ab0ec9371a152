import assert from "node:assert/strict";
import { createServer, Socket } from "node:net";
import { after, before, describe, test, TestContext } from "node:test";
import { createEndpointConnections, EndpointConnections } from "../../src/gateway/endpointConnections.js";

/** Guards against an answer that breaks off and is taken for complete. */

const body = "0123456789";
const firstChunk = "01234";
const answers = {
    length: `HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
    chunks:
        `HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n${firstChunk}\r\n5\r\n56789\r\n0\r\n\r\n`,
    neither: `HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n${body}`,
} as const;
type Framing = keyof typeof answers;

enum Cut {
    Close = "close",
    Reset = "reset",
}

/** Time for the bytes of an answer to arrive before the connection is reset, which may discard them. */
const resetDelayMs = 15;

function cutAnswer(socket: Socket, path: string): void {
    const [, framing, position, cut] = path.split("/");
    socket.write(answers[framing as Framing].slice(0, Number(position)));
    if (cut === Cut.Close) {
        socket.end();
    }
    else {
        setTimeout(() => socket.resetAndDestroy(), resetDelayMs);
    }
}

describe("an answer that breaks off at any byte", () => {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", bytes => cutAnswer(socket, bytes.toString("latin1").split(" ")[1]!));
    });
    let address = "";
    let connections: EndpointConnections;

    before(async () => {
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        address = `127.0.0.1:${(server.address() as { port: number }).port}`;
        connections = createEndpointConnections();
    });
    after(async () => {
        await connections.close();
        server.close();
    });

    function receive(path: string): Promise<{ readonly isComplete: boolean; readonly received: string }> {
        let received = "";
        return new Promise(resolve => {
            connections.send(address, { method: "GET", path, headers: [], body: undefined, isSingleUse: true }, {
                onHead: () => undefined,
                onData: bytes => {
                    received += bytes.toString("latin1");
                },
                onEnd: () => resolve({ isComplete: true, received }),
                onFailure: () => resolve({ isComplete: false, received }),
            });
        });
    }

    for (const framing of Object.keys(answers) as Framing[]) {
        for (const cut of [Cut.Close, Cut.Reset]) {
            test(`framed by ${framing}, connection ended by ${cut}`, { timeout: 30_000 }, async () => {
                const text = answers[framing];
                const headEnd = text.indexOf("\r\n\r\n") + 4;
                for (let position = 0; position < text.length; position++) {
                    const { isComplete } = await receive(`/${framing}/${position}/${cut}`);
                    // Without a length, the regular end of the connection is the end of the answer.
                    const isAllowed = framing === "neither" && cut === Cut.Close && position >= headEnd;
                    assert.ok(!isComplete || isAllowed, `complete after ${position} of ${text.length} bytes`);
                }
                const whole = await receive(`/${framing}/${text.length}/${Cut.Close}`);
                assert.deepEqual(whole, { isComplete: true, received: body });
            });
        }
    }
});

/** Guards against a reset that is not seen because nothing was read from the connection when it arrived. */
describe("an answer without a length whose exchange is paused", () => {
    const pieceBytes = 64 * 1024;
    const pieces = 32;
    const totalBytes = pieces * pieceBytes;

    async function receivePaused(cut: Cut, context: TestContext): Promise<{ isComplete: boolean; bytes: number }> {
        const server = createServer(socket => {
            socket.on("error", () => undefined);
            socket.once("data", () => {
                socket.write("HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\n\r\n");
                Array.from({ length: pieces }, () => socket.write(Buffer.alloc(pieceBytes)));
                setTimeout(() => cut === Cut.Reset ? socket.resetAndDestroy() : socket.end(), resetDelayMs);
            });
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const address = `127.0.0.1:${(server.address() as { port: number }).port}`;
        const connections = createEndpointConnections();
        context.after(async () => {
            await connections.close();
            server.close();
        });
        return new Promise(resolve => {
            let bytes = 0;
            let isPaused = false;
            const request = { method: "GET", path: "/", headers: [], body: undefined, isSingleUse: true };
            const exchange = connections.send(address, request, {
                onHead: () => undefined,
                onData(received) {
                    bytes += received.length;
                    if (!isPaused) {
                        isPaused = true;
                        exchange.pause();
                        setTimeout(() => exchange.resume(), 10 * resetDelayMs);
                    }
                },
                onEnd: () => resolve({ isComplete: true, bytes }),
                onFailure: () => resolve({ isComplete: false, bytes }),
            });
        });
    }

    test("has failed if its connection is reset meanwhile", { timeout: 10_000 }, async context => {
        assert.equal((await receivePaused(Cut.Reset, context)).isComplete, false);
    });

    test("is whole if its connection is closed in order meanwhile", { timeout: 10_000 }, async context => {
        assert.deepEqual(await receivePaused(Cut.Close, context), { isComplete: true, bytes: totalBytes });
    });
});
