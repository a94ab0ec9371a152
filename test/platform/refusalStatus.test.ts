import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { LogEvent } from "../../src/base/logEvents.js";
import {
    makeHeaders,
    makeModelHeaders,
    ReceivedAnswer,
    send,
    startDeployment,
    TestDeployment,
} from "./support/deployment.js";
import { RawEndpoint, RawScript, startRawEndpoint } from "./support/rawEndpoint.js";

/**
 * Guards against answers with 408, 421, 429 or 503, which promise that a request has not run, to requests that may run
 * once only and have run.
 */

/** Statuses that an endpoint may give without a statement on whether the request ran. 421 is always such a statement. */
const refusalStatuses = [408, 429, 503];
const otherStatuses = [400, 404, 409, 500, 502, 504];
const rawEndpoints = 8;
const longBodyBytes = 300 * 1024;
const secondPartDelayMs = 30;

/** What an endpoint answers to one request. */
interface Answer {
    readonly status: number;
    /** Whether it states that the request did not run. */
    readonly isStated: boolean;
}

function makeHead({ status, isStated }: Answer, requestId: string, fields: readonly string[]): string {
    const lines = [
        `HTTP/1.1 ${status} Failed`,
        `X-Request-Id: ${requestId}`,
        "X-Response-Seal: seal",
        "Connection: close",
        ...isStated ? ["X-Not-Executed: 1"] : [],
        ...fields,
    ];
    return `${lines.join("\r\n")}\r\n\r\n`;
}

const forms: Readonly<Record<string, (answer: Answer, requestId: string) => RawScript>> = {
    "with a length": (answer, id) => ({ start: `${makeHead(answer, id, ["Content-Length: 6"])}failed` }),
    "in chunks": (answer, id) => ({
        start: `${makeHead(answer, id, ["Transfer-Encoding: chunked"])}6\r\nfailed\r\n0\r\n\r\n`,
    }),
    "ended by the connection": (answer, id) => ({ start: `${makeHead(answer, id, [])}failed`, isEnded: true }),
    "long": (answer, id) => ({
        start: makeHead(answer, id, [`Content-Length: ${longBodyBytes}`]) + "f".repeat(longBodyBytes),
    }),
    "in two parts": (answer, id) => ({
        start: `${makeHead(answer, id, ["Content-Length: 6"])}fai`,
        repeated: index => index === 0 ? "led" : "",
        pauseMs: secondPartDelayMs,
    }),
    "as an event stream": (answer, id) => ({
        start: `${makeHead(answer, id, ["Content-Type: text/event-stream", "Content-Length: 14"])}data: failed\n\n`,
    }),
    "after early hints": (answer, id) => ({
        start: "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n"
            + `${makeHead(answer, id, ["Content-Length: 6"])}failed`,
    }),
    "with a time to return": (answer, id) => ({
        start: `${makeHead(answer, id, ["Retry-After: 1", "Content-Length: 6"])}failed`,
    }),
};

interface Kind {
    readonly name: string;
    readonly path: string;
    readonly service: string;
    readonly mayRepeat: boolean;
}

const kinds: readonly Kind[] = [
    { name: "an unsafe request", path: "/book/", service: "desk", mayRepeat: false },
    { name: "a stream that must not run twice", path: "/once/", service: "models", mayRepeat: false },
    { name: "a safe request", path: "/look/", service: "desk", mayRepeat: true },
    { name: "a stream that may be resumed", path: "/draft/", service: "models", mayRepeat: true },
];

/** One request with the answer that its endpoint gave and the one that its customer got. */
interface Sent {
    readonly description: string;
    readonly id: string;
    readonly given: Answer;
    readonly received: ReceivedAnswer;
    /** Number of times that an endpoint received the request. */
    readonly arrivals: number;
    /** The line that the gateway logged at its end. */
    readonly end: Readonly<Record<string, unknown>> | undefined;
}

/** Result of requests that were answered by endpoints in all forms. */
interface FormsResult {
    readonly sent: readonly Sent[];
    readonly metrics: string;
}

async function readMetrics({ gateways }: TestDeployment): Promise<string> {
    const { ip, metricsPort } = gateways[0]!.settings;
    return (await fetch(`http://${ip}:${metricsPort}/metrics`)).text();
}

/** Sends a request for each answer in each form at the same time, so that all of them arrive before an endpoint is avoided. */
async function sendInAllForms({ path, service }: Kind, answers: readonly Answer[]): Promise<FormsResult> {
    const scripts = new Map<string, RawScript>();
    const endpoints: RawEndpoint[] = [];
    const deployment = await startDeployment({ engines: 1, services: 1 });
    try {
        const known = service === "models" ? deployment.engines[0]! : deployment.services[0]!;
        for (let index = 0; index < rawEndpoints; index++) {
            const endpoint = await startRawEndpoint(`raw-${index}`, id => scripts.get(id) ?? { start: "" });
            endpoints.push(endpoint);
            deployment.register({ ...known, id: endpoint.id, address: endpoint.address }, service);
        }
        deployment.store.remove("keyed.servers", known.id);
        await new Promise(resolve => setTimeout(resolve, 300));
        const gateway = deployment.gateways[0]!;
        const cases = answers.flatMap(given =>
            Object.entries(forms).map(([form, makeScript]) => ({ given, form, makeScript }))
        );
        const received = await Promise.all(cases.map(async ({ given, makeScript }) => {
            const headers = service === "models" ? makeModelHeaders() : makeHeaders();
            const id = headers["x-request-id"]!;
            scripts.set(id, makeScript(given, id));
            const isGet = path === "/look/";
            const request = { method: isGet ? "GET" as const : "POST" as const, path: `${path}1`, headers };
            return { id, answer: await send(gateway, isGet ? request : { ...request, body: "order" }) };
        }));
        const sent = received.map(({ id, answer }, index) => ({
            description: `${cases[index]!.given.status} ${cases[index]!.form}: ${answer.status}`,
            id,
            given: cases[index]!.given,
            received: answer,
            arrivals: endpoints.flatMap(endpoint => endpoint.requestIds).filter(item => item === id).length,
            end: gateway.lines.find(({ event, fields }) => event === LogEvent.RequestEnded && fields["request"] === id)
                ?.fields,
        }));
        return { sent, metrics: await readMetrics(deployment) };
    }
    finally {
        await Promise.all(endpoints.map(endpoint => endpoint.close()));
        await deployment.close();
    }
}

const unstated = refusalStatuses.map(status => ({ status, isStated: false }));

function listDescriptions(sent: readonly Sent[], isWrong: (item: Sent) => boolean): readonly string[] {
    return sent.filter(isWrong).map(item => item.description);
}

for (const kind of kinds.filter(({ mayRepeat }) => !mayRepeat)) {
    describe(`${kind.name} whose endpoint answers 408, 429 or 503 after it ran`, () => {
        let result: Promise<FormsResult> | undefined;
        const run = () => result ??= sendInAllForms(kind, unstated);

        test("gets 502, which promises nothing", async () => {
            const { sent } = await run();
            assert.deepEqual(listDescriptions(sent, item => item.arrivals !== 1), []);
            assert.deepEqual(listDescriptions(sent, item => item.received.status !== 502), []);
        });

        test("gets an answer of the gateway, with its own id and no invitation to return", async () => {
            const { sent } = await run();
            const isForeign = ({ id, received: { headers, body } }: Sent) =>
                headers["x-response-seal"] !== undefined || headers["retry-after"] !== undefined
                || headers["x-request-id"] !== id || body !== "";
            assert.deepEqual(listDescriptions(sent, isForeign), []);
        });

        test("is logged and counted with the status of its endpoint", async () => {
            const { sent, metrics } = await run();
            const isUnlogged = ({ end, given }: Sent) =>
                end?.["result"] !== "replaced" || end["status"] !== 502 || end["endpointStatus"] !== given.status
                || end["verdict"] !== "may-have-run";
            assert.deepEqual(listDescriptions(sent, isUnlogged), []);
            for (const status of refusalStatuses) {
                const line = `jujubelane_replaced_answers_total{status="${status}"} ${Object.keys(forms).length}\n`;
                assert.ok(metrics.includes(line), `${line.trim()} in ${metrics.match(/.*replaced.*/gu)?.join("\n")}`);
            }
        });
    });
}

for (const kind of kinds.filter(({ mayRepeat }) => mayRepeat)) {
    test(`${kind.name} gets 408, 429 or 503 of its endpoint unchanged, since it may run again`, async () => {
        const { sent } = await sendInAllForms(kind, unstated);
        const isChanged = ({ given, received }: Sent) =>
            received.status !== given.status || received.headers["x-response-seal"] !== "seal";
        assert.deepEqual(listDescriptions(sent, isChanged), []);
    });
}

for (const kind of kinds) {
    test(`${kind.name} gets any other status of its endpoint unchanged`, async () => {
        const { sent } = await sendInAllForms(kind, otherStatuses.map(status => ({ status, isStated: false })));
        const isChanged = ({ given, received }: Sent) =>
            received.status !== given.status || received.headers["x-response-seal"] !== "seal" || received.body === "";
        assert.deepEqual(listDescriptions(sent, isChanged), []);
    });

    test(`${kind.name} is refused if all endpoints state that it did not run`, async () => {
        const { sent } = await sendInAllForms(kind, [429, 503].map(status => ({ status, isStated: true })));
        const isWrong = ({ received, arrivals }: Sent) =>
            received.status !== 503 || received.headers["x-response-seal"] !== undefined || arrivals === 0;
        assert.deepEqual(listDescriptions(sent, isWrong), []);
    });
}
