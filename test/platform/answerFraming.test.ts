import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { LogEvent } from "../../src/base/logEvents.js";
import { sendStrictly } from "../support/strictCustomer.js";
import { makeHeaders, startDeployment, TestDeployment } from "./support/deployment.js";
import { RawEndpoint, startRawEndpoint } from "./support/rawEndpoint.js";

/** Guards against heads whose framing differs from what the answer's method, status or own headers say. */

interface FramingCase {
    readonly name: string;
    readonly method: string;
    /** Status and headers of the endpoint's answer, and its body. */
    readonly status: string;
    readonly fields: string;
    readonly body: string;
    /** Whether the end of the answer depends on its connection, so that its endpoint is checked. */
    readonly isChecked: boolean;
    readonly length: string | undefined;
}

const cases: readonly FramingCase[] = [
    {
        name: "HEAD with a length",
        method: "HEAD",
        status: "200 OK",
        fields: "Content-Length: 10",
        body: "",
        isChecked: false,
        length: undefined,
    },
    {
        name: "HEAD without one",
        method: "HEAD",
        status: "200 OK",
        fields: "X-None: 1",
        body: "",
        isChecked: false,
        length: undefined,
    },
    {
        name: "204",
        method: "POST",
        status: "204 No Content",
        fields: "X-None: 1",
        body: "",
        isChecked: false,
        length: undefined,
    },
    {
        name: "304",
        method: "GET",
        status: "304 Not Modified",
        fields: "ETag: a",
        body: "",
        isChecked: false,
        length: undefined,
    },
    {
        name: "no length",
        method: "GET",
        status: "200 OK",
        fields: "X-None: 1",
        body: "abc",
        isChecked: true,
        length: "3",
    },
    {
        name: "headers that Connection names",
        method: "GET",
        status: "200 OK",
        fields: "Connection: close, X-Hop\r\nX-Hop: 1\r\nTrailer: X-Late",
        body: "abc",
        isChecked: true,
        length: "3",
    },
    {
        name: "another transfer coding",
        method: "GET",
        status: "200 OK",
        fields: "Transfer-Encoding: identity",
        body: "abc",
        isChecked: true,
        length: "3",
    },
    {
        name: "an empty body",
        method: "GET",
        status: "200 OK",
        fields: "X-None: 1",
        body: "",
        isChecked: true,
        length: "0",
    },
];

async function runWithEndpoint(
    framing: FramingCase,
    run: (deployment: TestDeployment, endpoint: RawEndpoint) => Promise<void>,
): Promise<void> {
    const { status, fields, body } = framing;
    const endpoint = await startRawEndpoint("raw", id => ({
        start: `HTTP/1.1 ${status}\r\nX-Request-Id: ${id}\r\nX-Response-Seal: seal\r\n${fields}\r\n\r\n${body}`,
        isEnded: true,
    }));
    const deployment = await startDeployment({ services: 0, engines: 1 });
    try {
        deployment.register({ ...deployment.engines[0]!, id: endpoint.id, address: endpoint.address }, "desk");
        await run(deployment, endpoint);
    }
    finally {
        await deployment.close();
        await endpoint.close();
    }
}

describe("the framing of answers", { concurrency: 4 }, () => {
    for (const framing of cases) {
        test(framing.name, () =>
            runWithEndpoint(framing, async ({ gateways }, endpoint) => {
                const { method, body } = framing;
                const sent = {
                    method,
                    path: "/look/1",
                    headers: makeHeaders(),
                    body: method === "POST" ? "a" : undefined,
                };
                const answer = await sendStrictly(gateways[0]!.url, sent).answer;
                assert.equal(answer.status, Number(framing.status.split(" ")[0]));
                assert.deepEqual([answer.isComplete, answer.body], [true, body]);
                assert.equal(answer.headers["content-length"], framing.length);
                assert.equal(answer.headers["x-hop"], undefined);
                assert.equal(answer.headers.trailer, undefined);
                assert.equal(endpoint.requestIds.length, 1);
                const checks = gateways[0]!.lines.filter(line => line.event === LogEvent.AnswerEndingChecked);
                assert.equal(checks.length, framing.isChecked ? 1 : 0);
            }));
    }
});
