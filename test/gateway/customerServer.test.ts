import assert from "node:assert/strict";
import { EventEmitter, once } from "node:events";
import { IncomingMessage, ServerResponse } from "node:http";
import { connect, Socket } from "node:net";
import { describe, test, TestContext } from "node:test";
import { createSystemTimerService } from "../../src/base/systemTimerService.js";
import { createCustomerAnswer } from "../../src/gateway/customerAnswer.js";
import { createCustomerServer, CustomerServer } from "../../src/gateway/customerServer.js";
import { findFreePorts } from "../soak/soak.js";

/** Seed of a port range that no soak run in CI uses. */
const portSeed = 498;
const request = "GET / HTTP/1.1\r\nHost: models.example\r\n\r\n";
/** Answer that neither the kernel nor a customer who reads nothing takes at once. */
const longBody = Buffer.alloc(16_000_000, "x");
const limits = { maxHeaderBytes: 4_096, maxBodyBytes: 1e9, headerTimeoutMs: 1_000, idleTimeoutMs: 5_000 };

/** A request that the server has handed on. */
interface HandedRequest {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly arrivedAtMs: number;
}

interface TestServer {
    readonly server: CustomerServer;
    readonly port: number;
    readonly handed: HandedRequest[];
}

/** Starts a server. Without `handle`, requests are only recorded. */
async function startServer(
    context: TestContext,
    handle: (request: IncomingMessage, response: ServerResponse) => void = () => undefined,
): Promise<TestServer> {
    const [port] = await findFreePorts(portSeed, 1);
    const handed: HandedRequest[] = [];
    const server = createCustomerServer({
        address: { ip: "127.0.0.1", port: port! },
        maxConnections: 10,
        timers: createSystemTimerService(),
        handle(received, response, arrivedAtMs) {
            handed.push({ request: received, response, arrivedAtMs });
            handle(received, response);
        },
    });
    server.setLimits(limits);
    await server.listen();
    context.after(() => server.close());
    return { server, port: port!, handed };
}

/** A customer's connection that keeps its own side open, as customers do that still send. */
interface Customer {
    readonly socket: Socket;
    readonly errors: string[];
    /** Resolves with all that was received when the server has closed its side. */
    readonly ended: Promise<string>;
    getReceived(): string;
}

function openCustomer(context: TestContext, port: number): Customer {
    const socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
    context.after(() => socket.destroy());
    const errors: string[] = [];
    let received = "";
    socket.setEncoding("latin1");
    socket.on("data", (text: string) => {
        received += text;
    });
    socket.on("error", error => errors.push(error.message));
    const ended = new Promise<string>(resolve => {
        socket.once("end", () => resolve(received));
        socket.once("close", () => resolve(received));
    });
    return { socket, errors, ended, getReceived: () => received };
}

function waitMs(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

async function waitUntil(description: string, isReached: () => boolean, timeoutMs = 3_000): Promise<void> {
    const endMs = performance.now() + timeoutMs;
    while (!isReached()) {
        assert.ok(performance.now() < endMs, `not reached in ${timeoutMs} ms: ${description}`);
        await waitMs(5);
    }
}

function countAnswers(text: string): number {
    return text.split("HTTP/1.1 200 OK").length - 1;
}

/** Guards against a request that runs although its connection was closed before it was read: nobody gets its answer. */
test("a request that crosses the close of its idle connection is not handled", { timeout: 10_000 }, async context => {
    const { server, port, handed } = await startServer(context, (unused, response) => response.end());
    const customer = connect(port, "127.0.0.1");
    customer.write(request);
    await once(customer, "data");
    assert.equal(handed.length, 1);
    customer.write(request);
    server.closeIdleConnections();
    await once(customer, "close");
    assert.equal(handed.length, 1);
});

describe("pipelined requests", { timeout: 20_000 }, () => {
    /** Guards against a connection that is closed after its first answer although a second request was read from it. */
    test("are all answered when the stop begins before the first answer", async context => {
        const { server, port, handed } = await startServer(context);
        const customer = openCustomer(context, port);
        customer.socket.write(request + request);
        await waitUntil("the first request", () => handed.length > 0);
        server.startClosing();
        handed[0]!.response.end("first");
        await waitUntil("the second request", () => handed.length === 2);
        handed[1]!.response.end("second");
        const answers = (await customer.ended).split("HTTP/1.1 200 OK").slice(1);
        assert.equal(answers.length, 2);
        assert.doesNotMatch(answers[0]!, /Connection: close/u);
        assert.match(answers[1]!, /Connection: close/u);
        assert.match(answers[1]!, /second$/u);
    });

    /** Guards against a second request that is lost when idle connections are closed during the first answer. */
    test("are all answered when the stop begins within the first answer", async context => {
        const { server, port, handed } = await startServer(context);
        const customer = openCustomer(context, port);
        customer.socket.write(request + request);
        await waitUntil("the first request", () => handed.length > 0);
        handed[0]!.response.write("first");
        server.startClosing();
        server.closeIdleConnections();
        handed[0]!.response.end();
        await waitUntil("the second request", () => handed.length === 2);
        await waitMs(100);
        handed[1]!.response.end("second");
        const text = await customer.ended;
        assert.equal(countAnswers(text), 2);
        assert.match(text, /Connection: close.*second$/su);
    });

    /** Guards against a request that is passed on although the answer before it has announced the close. */
    test("are not handed on after an answer that announced the close", async context => {
        const { server, port, handed } = await startServer(context);
        const customer = openCustomer(context, port);
        server.startClosing();
        customer.socket.write(request);
        await waitUntil("the first request", () => handed.length > 0);
        handed[0]!.response.write("first");
        await waitUntil("the head", () => customer.getReceived().includes("Connection: close"));
        customer.socket.write(request);
        await waitMs(100);
        handed[0]!.response.end();
        assert.equal(countAnswers(await customer.ended), 1);
        assert.equal(handed.length, 1);
        assert.deepEqual(customer.errors, []);
    });

    /** Guards against requests that may not be repeated running at the same time as those before them. */
    test("are handed on one after the other, with the time at which they arrived", async context => {
        const { server, port, handed } = await startServer(context);
        const customer = openCustomer(context, port);
        customer.socket.write(request + request);
        await waitUntil("both requests", () => server.countRequests() === 2);
        const readAtMs = performance.now();
        await waitMs(100);
        assert.equal(handed.length, 1);
        handed[0]!.response.end();
        await waitUntil("the second request", () => handed.length === 2);
        assert.ok(handed[1]!.arrivedAtMs - handed[0]!.arrivedAtMs < 50);
        assert.ok(performance.now() - readAtMs >= 95);
    });

    /** Guards against a request that runs for a customer that left while it waited behind another. */
    test("of a customer that has left are not handed on", async context => {
        const { server, port, handed } = await startServer(context);
        const customer = openCustomer(context, port);
        customer.socket.write(request + request);
        await waitUntil("both requests", () => server.countRequests() === 2);
        customer.socket.destroy();
        await waitUntil("the end of the connection", () => server.countConnections() === 0);
        assert.equal(server.countRequests(), 0);
        assert.equal(handed.length, 1);
    });

    /** Guards against memory without bound for requests that wait behind a long answer. */
    test("are not read without bound", async context => {
        const { server, port, handed } = await startServer(context);
        const customer = openCustomer(context, port);
        const count = 50_000;
        customer.socket.write(request.repeat(count));
        await waitUntil("the first request", () => handed.length > 0);
        await waitMs(300);
        assert.ok(server.countRequests() < 2_000, `${server.countRequests()} requests were read`);
        handed[0]!.response.end();
        await waitUntil("the second request", () => handed.length === 2);
    });

    /** Guards against a malformed or incomplete second request that ends the connection within the first answer. */
    test("leave the answer before a malformed or late one complete", async context => {
        const { port, handed } = await startServer(context);
        for (const next of ["malformed\r\n\r\n", "GET / HTTP/1.1\r\nHost: mod"]) {
            const customer = openCustomer(context, port);
            const index = handed.length;
            customer.socket.write(request + next);
            await waitUntil("the first request", () => handed.length > index);
            handed[index]!.response.write("first");
            await waitMs(limits.headerTimeoutMs + 700);
            handed[index]!.response.end("last");
            const text = await customer.ended;
            assert.match(text, /\r\nlast\r\n0\r\n\r\n$/u);
            assert.doesNotMatch(text, /HTTP\/1.1 4/u);
            assert.deepEqual(customer.errors, []);
        }
    });

    /** Guards against a request that runs although its customer was told that it came too late. */
    test("whose body comes too late are refused and not received any more", async context => {
        let bodies = 0;
        const { port, handed } = await startServer(context, received => {
            received.resume();
            received.once("end", () => bodies++);
        });
        const customer = openCustomer(context, port);
        customer.socket.write("POST / HTTP/1.1\r\nHost: models.example\r\nContent-Length: 10\r\n\r\n");
        await waitUntil("the request", () => handed.length === 1);
        const { socket } = handed[0]!.request;
        const { server: listener } = socket as unknown as { server: EventEmitter };
        const error = Object.assign(new Error("late"), { code: "ERR_HTTP_REQUEST_TIMEOUT" });
        listener.emit("clientError", error, socket);
        customer.socket.write("0123456789");
        assert.match(await customer.ended, /^HTTP\/1.1 408 /u);
        await waitMs(100);
        assert.equal(bodies, 0);
        assert.deepEqual(customer.errors, []);
    });
});

describe("closing a connection", { timeout: 20_000 }, () => {
    /** Guards against an answer that is lost because its connection is reset while the customer still sends. */
    test("delivers a refusal to a customer that is still sending its body", async context => {
        const { port } = await startServer(context, (unused, response) => {
            response.shouldKeepAlive = false;
            response.writeHead(503, ["Content-Length", "0"]);
            response.end();
        });
        const customer = openCustomer(context, port);
        customer.socket.write("POST / HTTP/1.1\r\nHost: models.example\r\nContent-Length: 50000000\r\n\r\n");
        for (let count = 0; count < 40; count++) {
            customer.socket.write(Buffer.alloc(50_000));
            await waitMs(10);
        }
        assert.match(await customer.ended, /^HTTP\/1.1 503 /u);
        assert.deepEqual(customer.errors, []);
    });

    /** Guards against the end of a long answer that is lost because the customer has sent something meanwhile. */
    test("delivers the end of an answer to a slow reader that goes on sending", async context => {
        const { port } = await startServer(context, (unused, response) => {
            response.shouldKeepAlive = false;
            response.end(longBody);
        });
        const customer = openCustomer(context, port);
        customer.socket.write(request);
        const sending = setInterval(() => customer.socket.write(request), 5);
        context.after(() => clearInterval(sending));
        const pausing = setInterval(() => {
            customer.socket.pause();
            setTimeout(() => customer.socket.resume(), 10);
        }, 20);
        context.after(() => clearInterval(pausing));
        const text = await customer.ended;
        assert.equal(text.length - text.indexOf("\r\n\r\n") - 4, longBody.length);
        assert.deepEqual(customer.errors, []);
    });

    /** Guards against a reset of an idle connection on which a request is arriving. */
    test("that is idle does not reset it while a request arrives", async context => {
        const { server, port, handed } = await startServer(context, (unused, response) => response.end());
        const customer = openCustomer(context, port);
        customer.socket.write(request);
        await waitUntil("the first answer", () => customer.getReceived().includes("\r\n\r\n"));
        server.closeIdleConnections();
        customer.socket.write("POST / HTTP/1.1\r\nHost: models.example\r\nContent-Length: 2000000\r\n\r\n");
        for (let count = 0; count < 20; count++) {
            customer.socket.write(Buffer.alloc(100_000));
            await waitMs(5);
        }
        await customer.ended;
        assert.equal(handed.length, 1);
        assert.deepEqual(customer.errors, []);
        customer.socket.end();
        await waitUntil("the end of the connection", () => server.countConnections() === 0);
    });

    /** Guards against connections that a customer never closes. */
    test("takes a bounded time when the customer does not close its side", async context => {
        const { server, port } = await startServer(context, (unused, response) => response.end());
        const customer = openCustomer(context, port);
        customer.socket.write(request);
        await waitUntil("the first answer", () => customer.getReceived().includes("\r\n\r\n"));
        server.closeIdleConnections();
        await waitUntil("the end of the connection", () => server.countConnections() === 0, 4_000);
    });

    /** Guards against a request that is dropped although its first bytes, or its connection, came before the close. */
    test("as idle leaves those on which a request has begun to arrive, and new ones", async context => {
        const { server, port, handed } = await startServer(context, (unused, response) => response.end());
        const kept = openCustomer(context, port);
        kept.socket.write(request);
        await waitUntil("the first answer", () => kept.getReceived().includes("\r\n\r\n"));
        kept.socket.write(request.slice(0, 20));
        const opened = openCustomer(context, port);
        await waitUntil("both connections", () => server.countConnections() === 2);
        await waitMs(50);
        server.startClosing();
        server.closeIdleConnections();
        kept.socket.write(request.slice(20));
        opened.socket.write(request);
        assert.equal(countAnswers(await kept.ended), 2);
        assert.equal(countAnswers(await opened.ended), 1);
        assert.equal(handed.length, 3);
    });

    /** Guards against requests that are cut off by new limits, or by the time-out of idle connections. */
    test("for its idle time spares requests in progress, also when the limits become shorter", async context => {
        const { server, port, handed } = await startServer(context);
        server.setLimits({ ...limits, idleTimeoutMs: 0 });
        const customer = openCustomer(context, port);
        customer.socket.write(request + request);
        await waitUntil("the first request", () => handed.length === 1);
        handed[0]!.response.end();
        await waitUntil("the second request", () => handed.length === 2);
        handed[1]!.response.write("second");
        server.startClosing();
        server.setLimits({ ...limits, idleTimeoutMs: 0, headerTimeoutMs: 100 });
        await waitMs(4_500);
        assert.ok(!handed[1]!.response.destroyed);
        handed[1]!.response.end();
        await waitUntil("the second answer", () => customer.getReceived().endsWith("0\r\n\r\n"));
    });

    /** Guards against an idle connection that is closed sooner than its customer was told. */
    test("for its idle time keeps to the time that the customer was told", async context => {
        const { server, port, handed } = await startServer(context);
        server.setLimits({ ...limits, idleTimeoutMs: 3_000 });
        const customer = openCustomer(context, port);
        customer.socket.write(request);
        await waitUntil("the request", () => handed.length === 1);
        handed[0]!.response.write("first");
        server.setLimits({ ...limits, idleTimeoutMs: 100 });
        handed[0]!.response.end();
        await waitUntil("the answer", () => customer.getReceived().endsWith("0\r\n\r\n"));
        const toldMs = 1_000 * Number(/Keep-Alive: timeout=(\d+)/u.exec(customer.getReceived())![1]);
        await waitMs(toldMs);
        customer.socket.write(request);
        await waitUntil("the second request", () => handed.length === 2);
        handed[1]!.response.end();
        assert.equal(server.countConnections(), 1);
    });

    /** Guards against a cut answer that looks complete to a customer whose protocol version has no chunks. */
    test("within an answer of HTTP/1.0 without a length resets it", async context => {
        const { port, handed } = await startServer(context);
        const customer = openCustomer(context, port);
        customer.socket.write("GET / HTTP/1.0\r\nHost: models.example\r\n\r\n");
        await waitUntil("the request", () => handed.length === 1);
        const answer = createCustomerAnswer(handed[0]!.response, {});
        answer.start(200, []);
        answer.write(Buffer.from("begun"));
        await waitUntil("the first bytes", () => customer.getReceived().endsWith("begun"));
        answer.abort();
        await customer.ended;
        await waitMs(50);
        assert.equal(customer.errors.length, 1);
    });
});

describe("the end of a stop", { timeout: 20_000 }, () => {
    /** Guards against an answer that is cut because its last bytes still wait for the customer. */
    test("lets answers that are complete reach slow readers", async context => {
        const { server, port } = await startServer(context, (unused, response) => response.end(longBody));
        const customer = openCustomer(context, port);
        customer.socket.pause();
        customer.socket.write(request);
        await waitUntil("the request", () => server.countRequests() === 1);
        await waitMs(100);
        server.startClosing();
        server.stopAccepting();
        setTimeout(() => customer.socket.resume(), 200);
        await server.flush(5_000);
        server.close();
        const text = await customer.ended;
        assert.equal(text.length - text.indexOf("\r\n\r\n") - 4, longBody.length);
        assert.deepEqual(customer.errors, []);
    });

    test("delivers an answer that is written just before it to a customer that still sends", async context => {
        const { server, port, handed } = await startServer(context);
        const customers = Array.from({ length: 5 }, () => openCustomer(context, port));
        customers.forEach(({ socket }) => {
            socket.write("POST / HTTP/1.1\r\nHost: models.example\r\nContent-Length: 50000000\r\n\r\n");
            const sending = setInterval(() => socket.write(Buffer.alloc(5_000)), 5);
            context.after(() => clearInterval(sending));
            socket.once("end", () => {
                clearInterval(sending);
                socket.end();
            });
        });
        await waitUntil("all requests", () => handed.length === customers.length);
        server.startClosing();
        server.stopAccepting();
        handed.forEach(({ response }) => {
            response.writeHead(503, ["Content-Length", "0"]);
            response.end();
        });
        await server.flush(1_000);
        server.close();
        for (const customer of customers) {
            assert.match(await customer.ended, /^HTTP\/1.1 503 .*Connection: close/su);
            assert.deepEqual(customer.errors, []);
        }
    });

    test("waits no longer than it was told for answers that do not end", async context => {
        const { server, port, handed } = await startServer(context);
        openCustomer(context, port).socket.write(request);
        await waitUntil("the request", () => handed.length === 1);
        const startedAtMs = performance.now();
        await server.flush(200);
        const elapsedMs = performance.now() - startedAtMs;
        assert.ok(elapsedMs >= 190 && elapsedMs < 1_000, `${elapsedMs} ms`);
    });

    /** Guards against a cut answer without a length that looks complete, since only a reset tells that it is not. */
    test("resets an answer that the end of its connection would complete", async context => {
        const { server, port, handed } = await startServer(context);
        const customer = openCustomer(context, port);
        customer.socket.write(request);
        await waitUntil("the request", () => handed.length === 1);
        const { response } = handed[0]!;
        response.useChunkedEncodingByDefault = false;
        response.shouldKeepAlive = false;
        response.writeHead(200);
        response.write("begun");
        await waitUntil("the first bytes", () => customer.getReceived().endsWith("begun"));
        server.close();
        await customer.ended;
        await waitMs(50);
        assert.equal(customer.errors.length, 1);
    });
});
