import assert from "node:assert/strict";
import { createServer, ServerResponse } from "node:http";
import { connect } from "node:net";
import { Writable } from "node:stream";
import { test } from "node:test";
import { createManualTimerService } from "../../src/base/manualTimerService.js";
import { createMetrics } from "../../src/base/metrics.js";
import { createAnswerBuffers } from "../../src/gateway/answerBuffers.js";
import { createCustomerAnswer } from "../../src/gateway/customerAnswer.js";

/** Guards against a complete answer that is lost or cut because its request has ended, and against one held for good. */
test("a complete answer is delivered after its request has ended, however slowly it is read", () => {
    const timers = createManualTimerService();
    const metrics = createMetrics();
    const buffers = createAnswerBuffers({ timers, log: () => undefined, metrics, maxBytes: 1e6 });
    const reads: (() => void)[] = [];
    let receivedBytes = 0;
    let hasEnded = false;
    const connection = new Writable({
        highWaterMark: 1,
        write(bytes: Buffer, unused, onTaken) {
            receivedBytes += bytes.length;
            reads.push(onTaken);
        },
    });
    const response = Object.assign(connection, { writeHead: () => undefined }) as unknown as ServerResponse;
    const answer = createCustomerAnswer(response, {
        mustClose: () => false,
        openAccount: onDropped => buffers.open("request", onDropped),
        onEnded: () => {
            hasEnded = true;
        },
    });
    answer.sendComplete(200, [], Buffer.alloc(900_000));
    assert.ok(hasEnded, "the body of the request is released");
    assert.match(metrics.render(), /jujubelane_held_answer_bytes 900000/u);
    while (reads.length > 0) {
        timers.advance(4_000);
        reads.shift()!();
    }
    assert.equal(receivedBytes, 900_000);
});

/** Guards against a short answer that looks whole at any byte to a customer whose protocol version has no chunks. */
test("a whole answer of HTTP/1.0 has its length", { timeout: 10_000 }, async context => {
    const server = createServer((request, response) => {
        createCustomerAnswer(response, {}).sendComplete(200, [], Buffer.from("whole"));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    context.after(() => server.close());
    const customer = connect((server.address() as { port: number }).port, "127.0.0.1");
    customer.write("GET / HTTP/1.0\r\n\r\n");
    let text = "";
    for await (const bytes of customer) {
        text += String(bytes);
    }
    assert.match(text, /^Content-Length: 5\r\n(.+\r\n)*\r\nwhole$/mu);
});
