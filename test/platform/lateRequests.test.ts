import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { LogEvent } from "../../src/base/logEvents.js";
import { EndpointChangeKind } from "../../src/membership/endpointDirectory.js";
import { CustomerConnection, openCustomerConnection, RequestEnd } from "../soak/customerConnection.js";
import {
    isReady,
    makeConfiguration,
    makeHeaders,
    makeModelHeaders,
    startDeployment,
    TestDeployment,
    TestGateway,
    waitUntil,
} from "./support/deployment.js";
import { renderEvent } from "./support/endpointStandIn.js";
import { RawEndpoint, RawScript, startRawEndpoint } from "./support/rawEndpoint.js";

/**
 * Guards against answers that a stopping gateway breaks off although it took their requests so late that it owes them
 * whole. Endpoints stop within such an answer, so that no speed of the machine decides whether it ends in time.
 */

/** Time after SIGTERM from which on a request is owed a whole answer, in milliseconds. */
const lateMs = 3_000;
/** Longer than any grace here, so that only the gateway's prediction says that a request may be taken. */
const timeLimitMs = 15_000;
const eventsOfStream = 16;
const eventsBeforeStop = 3;
const longBodyBytes = 1_500_000;
const completeStream = Array.from({ length: eventsOfStream }, (unused, id) => renderEvent(id)).join("");
const longBody = "a".repeat(longBodyBytes);

/** How an endpoint answers. */
enum Answering {
    Whole = "whole",
    /** It begins its answer and goes no further. */
    Stopping = "stopping",
}

/** A kind of request, and what its endpoint answers. */
interface Kind {
    readonly name: string;
    readonly path: string;
    readonly isStream: boolean;
    readonly body: string;
    /** Part of the body after which an endpoint stops that stops. */
    readonly begun: string;
}

const begunStream = completeStream.slice(0, completeStream.indexOf(renderEvent(eventsBeforeStop)));
const kinds: readonly Kind[] = [
    { name: "stream that may be resumed", path: "/digest/", isStream: true, body: completeStream, begun: begunStream },
    {
        name: "stream that must not run twice",
        path: "/once/",
        isStream: true,
        body: completeStream,
        begun: begunStream,
    },
    { name: "long safe request", path: "/look/", isStream: false, body: longBody, begun: longBody.slice(1_000) },
    { name: "long unsafe request", path: "/book/", isStream: false, body: longBody, begun: longBody.slice(1_000) },
];

/** A request to a service of its own, so that what is known of the others stays as it is. */
const unendingKind: Kind = { ...kinds.find(({ path }) => path === "/book/")!, path: "/archive/" };

function makeLateConfiguration(version = 1): object {
    const base = makeConfiguration() as {
        routes: readonly { prefix: string }[];
        services: readonly { name: string }[];
    };
    const changes = { timeout_ms: timeLimitMs, gap_aim_ms: 1_000 };
    const booking = base.routes.find(({ prefix }) => prefix === "/book/")!;
    const archiving = { ...booking, name: "archive", prefix: unendingKind.path, service: "archive" };
    return makeConfiguration(version, {
        routes: [...base.routes, archiving].map(route => ({ ...route, ...changes })),
        services: [...base.services, { ...base.services.find(({ name }) => name === "desk"), name: "archive" }],
    });
}

function makeScript(kind: Kind, requestId: string, answering: Answering): RawScript {
    const isWhole = answering === Answering.Whole;
    const lines = [
        "HTTP/1.1 200 OK",
        `X-Request-Id: ${requestId}`,
        "X-Response-Seal: seal",
        "Connection: close",
        ...kind.isStream ? ["Content-Type: text/event-stream"] : [],
        `Content-Length: ${kind.body.length}`,
    ];
    const start = `${lines.join("\r\n")}\r\n\r\n${isWhole ? kind.body : kind.begun}`;
    return isWhole ? { start, isEnded: true } : { start, repeated: "", pauseMs: 1_000 };
}

/** A deployment whose endpoints answer all requests as a function says, and how its requests ended. */
interface LateDeployment {
    readonly deployment: TestDeployment;
    readonly endpoints: readonly RawEndpoint[];
    /** Sends a request on a connection, with the given version of HTTP. */
    send(connection: CustomerConnection, kind: Kind, answering: Answering, version?: string): Promise<RequestEnd>;
    close(): Promise<void>;
}

async function startLateDeployment(graceMs: number, gateways: number): Promise<LateDeployment> {
    const scripts = new Map<string, RawScript>();
    const deployment = await startDeployment({
        engines: 1,
        services: 1,
        gateways,
        graceMs,
        configuration: makeLateConfiguration(),
    });
    const endpoints = await Promise.all(
        ["models", "models", "desk", "desk", "archive"].map((service, index) =>
            startRawEndpoint(`${service}-raw-${index}`, id => scripts.get(id)!)
        ),
    );
    const known = { models: deployment.engines[0]!, desk: deployment.services[0]! };
    endpoints.forEach(({ id, address }) => {
        const service = id.split("-")[0]!;
        deployment.register({ ...(service === "models" ? known.models : known.desk), id, address }, service);
    });
    Object.values(known).forEach(({ id }) => deployment.store.remove("keyed.servers", id));
    const removed = new Set(Object.values(known).map(({ id }) => id));
    const countRemoved = ({ lines }: TestGateway) =>
        lines.filter(({ event, fields }) =>
            event === LogEvent.EndpointChanged && fields["change"] === EndpointChangeKind.Left
            && removed.has(String(fields["endpoint"]))
        ).length;
    await waitUntil(
        "the endpoints are known",
        () => deployment.gateways.every(gateway => countRemoved(gateway) === removed.size),
    );
    return {
        deployment,
        endpoints,
        send(connection, kind, answering, version = "1.1") {
            const changes = { "x-deadline-ms": String(timeLimitMs), "x-token-count": "1000,160" };
            const headers = kind.isStream
                ? makeModelHeaders(changes)
                : makeHeaders({ ...changes, "x-token-count": "" });
            const id = headers["x-request-id"]!;
            scripts.set(id, makeScript(kind, id, answering));
            const method = kind.path === "/look/" ? "GET" : "POST";
            const fields = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
            const lines = [`${method} ${kind.path}1 HTTP/${version}`, ...fields, "content-length: 0"];
            return connection.send(`${lines.join("\r\n")}\r\n\r\n`);
        },
        async close() {
            await Promise.all(endpoints.map(endpoint => endpoint.close()));
            await deployment.close();
        },
    };
}

function wait(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

/** What customers get of requests that were sent late. */
interface LateResult {
    readonly name: string;
    readonly kind: Kind;
    readonly end: RequestEnd;
}

/** A way on which a late request reaches the gateway. */
type Transport = (
    late: LateDeployment,
    gateway: TestGateway,
    kind: Kind,
    answering: Answering,
) => Promise<RequestEnd>;

const transports: Readonly<Record<string, Transport>> = {
    "new connection": async (late, gateway, ...sent) => late.send(await openCustomerConnection(gateway.url), ...sent),
    "HTTP/1.0": async (late, gateway, ...sent) => late.send(await openCustomerConnection(gateway.url), ...sent, "1.0"),
    "behind a request on its connection": async (late, gateway, ...sent) => {
        const connection = await openCustomerConnection(gateway.url);
        const [, second] = await Promise.all([late.send(connection, ...sent), late.send(connection, ...sent)]);
        return second;
    },
};

interface LateOptions {
    readonly graceMs: number;
    readonly gateways?: number;
    readonly spacingMs?: number;
    /** Time after SIGTERM at which the gateways notice it, in milliseconds. */
    readonly noticedAfterMs?: number;
    readonly answering: Answering;
    /** Called when the late requests are sent. */
    readonly onSent?: (late: LateDeployment) => void;
}

/** Stops gateways, sends requests of all kinds in all ways to each of them later than `lateMs`, and returns their ends. */
async function runLate(options: LateOptions): Promise<readonly LateResult[]> {
    const late = await startLateDeployment(options.graceMs, options.gateways ?? 1);
    const { gateways } = late.deployment;
    try {
        await Promise.all(gateways.map(gateway => waitUntil("ready", () => isReady(gateway))));
        // The gateways observe how long answers take.
        await Promise.all(
            gateways.flatMap(gateway =>
                kinds.map(async kind => late.send(await openCustomerConnection(gateway.url), kind, Answering.Whole))
            ),
        );
        const results = await Promise.all(gateways.map(async (gateway, index) => {
            await wait(index * (options.spacingMs ?? 0));
            // A request from before the stop that never ends keeps the gateway from ending early.
            const unending = late.send(await openCustomerConnection(gateway.url), unendingKind, Answering.Stopping);
            await wait(100);
            const { noticedAfterMs = 0 } = options;
            const stopped = gateway.drain(noticedAfterMs);
            await wait(lateMs - noticedAfterMs + 50);
            const pending = kinds.flatMap(kind =>
                Object.entries(transports).map(async ([name, transport]) => ({
                    name: `${kind.name}, ${name}`,
                    kind,
                    end: await transport(late, gateway, kind, options.answering),
                }))
            );
            options.onSent?.(late);
            const ended = await Promise.all(pending);
            await Promise.all([stopped, unending]);
            return ended;
        }));
        return results.flat();
    }
    finally {
        await late.close();
    }
}

function describeEnd({ name, end: { answer, hasBegun } }: LateResult): string {
    return `${name}: ${
        answer ? `${answer.status}, ${answer.body.length} bytes` : hasBegun ? "broken off" : "no answer"
    }`;
}

function listWrong(results: readonly LateResult[], isRight: (result: LateResult) => boolean): readonly string[] {
    return results.filter(result => !isRight(result)).map(describeEnd);
}

/** Whether the customer was told that its request has failed, or that it was not taken, and got no part of an answer. */
function isToldWhole({ end: { answer } }: LateResult): boolean {
    return answer !== undefined && (answer.status === 502 || answer.status === 503) && answer.body === "";
}

describe("requests that a stopping gateway takes late and whose endpoints stop within the answer", {
    concurrency: true,
}, () => {
    const cases: readonly (readonly [string, Omit<LateOptions, "answering">])[] = [
        ["a grace of 8 s", { graceMs: 8_000 }],
        ["a grace of 4 s", { graceMs: 4_000 }],
        ["a stop that was noticed late", { graceMs: 8_000, noticedAfterMs: 1_500 }],
        ["two gateways that stop 0.7 s apart", { graceMs: 8_000, gateways: 2, spacingMs: 700 }],
        ["a new configuration and a repeated one meanwhile", {
            graceMs: 6_000,
            onSent({ deployment }) {
                deployment.publish(makeLateConfiguration(2));
                setTimeout(() => deployment.publish(makeLateConfiguration(3)), 300);
            },
        }],
    ];
    for (const [name, options] of cases) {
        test(`end with one whole answer of the gateway: ${name}`, async () => {
            const results = await runLate({ ...options, answering: Answering.Stopping });
            assert.deepEqual(listWrong(results, isToldWhole), []);
        });
    }
});

/** Guards against the opposite error: a fix that refuses what could have been served. */
test("requests that a stopping gateway takes late and whose endpoints keep their pace are answered", async () => {
    const results = await runLate({ graceMs: 8_000, answering: Answering.Whole });
    assert.deepEqual(listWrong(results, ({ kind, end: { answer } }) => answer?.body === kind.body), []);
});
