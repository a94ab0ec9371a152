import assert from "node:assert/strict";
import { createServer, Socket } from "node:net";
import { describe, test, TestContext } from "node:test";
import { makeHeaders, send, startDeployment, waitUntil } from "./support/deployment.js";

/** Guards against a late copy of an earlier answer that the next customer on the connection receives. */

function renderAnswer(id: string, hasId: boolean): string {
    const idField = hasId ? `X-Request-Id: ${id}\r\n` : "";
    return `HTTP/1.1 200 OK\r\n${idField}X-Response-Seal: seal\r\nContent-Length: ${id.length}\r\n\r\n${id}`;
}

/** Starts an endpoint that sends each answer again just before the next answer on the same connection. */
async function startRepeatingEndpoint(context: TestContext, hasId: boolean) {
    let repeated = 0;
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        let previous = "";
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("data", bytes => {
            const id = /x-request-id: (\S+)/iu.exec(bytes.toString("latin1"))![1]!;
            repeated += previous === "" ? 0 : 1;
            socket.write(previous + renderAnswer(id, true));
            previous = renderAnswer(id, hasId);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    context.after(() => {
        server.close();
        sockets.forEach(socket => socket.destroy());
    });
    const { port } = server.address() as { port: number };
    return { address: `127.0.0.1:${port}`, countRepeated: () => repeated };
}

describe("a late copy of an answer on a connection in use again", () => {
    for (const hasId of [true, false]) {
        test(`${hasId ? "with" : "without"} the id of its request is nobody's answer`, async context => {
            const repeating = await startRepeatingEndpoint(context, hasId);
            const deployment = await startDeployment({ engines: 1, services: 1 });
            context.after(() => deployment.close());
            const identity = { ...deployment.services[0]!, id: "repeating", address: repeating.address };
            deployment.register(identity, "desk");
            await waitUntil("a repeated answer", async () => {
                const requests = Array.from({ length: 4 }, () => makeHeaders());
                await Promise.all(requests.map(async headers => {
                    const answer = await send(deployment.gateways[0]!, { path: "/look/1", headers });
                    const id = headers["x-request-id"]!;
                    assert.ok(answer.status !== 200 || !answer.body.startsWith("request-") || answer.body === id);
                    assert.notEqual(answer.status, 502);
                }));
                return repeating.countRepeated() > 0;
            }, 10_000);
        });
    }
});
