import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { after, before, describe, test } from "node:test";
import { LogEvent } from "../../src/base/logEvents.js";
import { findFreePorts } from "../soak/soak.js";
import {
    customerKey,
    isReady,
    makeConfiguration,
    makeHeaders,
    makeModelHeaders,
    send,
    startDeployment,
    startGatewayWith,
    startTestGateway,
    TestDeployment,
    waitUntil,
} from "./support/deployment.js";
import { renderEvent } from "./support/endpointStandIn.js";
import { startStoreStandIn } from "./support/storeStandIn.js";

/** Seed of a port range that no soak run in CI uses. */
const portSeed = 498;

describe("requests through a gateway", () => {
    let deployment: TestDeployment;
    before(async () => {
        deployment = await startDeployment();
    });
    after(() => deployment.close());

    function findReceived(id: string) {
        return [...deployment.engines, ...deployment.services].flatMap(endpoint =>
            endpoint.requests.filter(item => item.headers["x-request-id"] === id).map(item => ({ endpoint, item }))
        );
    }

    test("a plain request reaches one endpoint unchanged, and its answer is relayed completely", async () => {
        const headers = makeHeaders({ "x-other": "kept", "content-type": "text/plain" });
        const answer = await send(deployment.gateways[0]!, {
            method: "POST",
            path: "/book/1/%7Ea?q=1&r=%20",
            headers,
            body: "two words",
        });
        const [received, ...others] = findReceived(headers["x-request-id"]!);
        assert.equal(others.length, 0);
        assert.equal(answer.status, 200);
        assert.equal(answer.body, `done by ${received!.endpoint.id}`);
        assert.equal(answer.headers["x-response-seal"], `seal-${received!.endpoint.id}`);
        assert.equal(answer.headers["x-request-id"], headers["x-request-id"]);
        assert.equal(received!.item.method, "POST");
        assert.equal(received!.item.path, "/book/1/%7Ea?q=1&r=%20");
        assert.equal(received!.item.body, "two words");
        assert.equal(received!.item.headers.host, "models.example");
        assert.equal(received!.item.headers["x-other"], "kept");
    });

    test("the endpoint gets the customer's name and the remaining time, but not the API key", async () => {
        const headers = makeHeaders({ "x-tenant": "somebody-else", "x-deadline-ms": "2500" });
        await send(deployment.gateways[0]!, { path: "/look/1", headers });
        const [received] = findReceived(headers["x-request-id"]!);
        assert.equal(received!.item.headers["x-tenant"], "planner");
        assert.equal(received!.item.headers["api-key"], undefined);
        assert.equal(received!.item.headers["x-expect-instance"], received!.endpoint.id);
        const remainingMs = Number(received!.item.headers["x-deadline-ms"]);
        assert.ok(remainingMs > 1_500 && remainingMs <= 2_500, `${remainingMs} ms left`);
    });

    test("the route's timeout limits the time that an endpoint gets", async () => {
        const headers = makeHeaders({ "x-deadline-ms": "60000" });
        await send(deployment.gateways[0]!, { path: "/look/1", headers });
        const [received] = findReceived(headers["x-request-id"]!);
        assert.ok(Number(received!.item.headers["x-deadline-ms"]) <= 4_000);
    });

    test("a stream is relayed with every event exactly once", async () => {
        const headers = makeModelHeaders();
        const answer = await send(deployment.gateways[0]!, {
            method: "POST",
            path: "/draft/1",
            headers,
            body: "prompt",
        });
        assert.equal(answer.status, 200);
        assert.equal(answer.body, [0, 1, 2, 3, 4, 5].map(renderEvent).join(""));
        assert.equal(findReceived(headers["x-request-id"]!)[0]!.item.headers["x-token-count"], "1000,100");
    });

    test("a stream that a customer resumes begins after the last event that it received", async () => {
        const headers = makeModelHeaders({ "last-event-id": "3" });
        const answer = await send(deployment.gateways[0]!, { method: "POST", path: "/draft/1", headers, body: "p" });
        assert.equal(answer.body, [4, 5].map(renderEvent).join(""));
    });

    const refusals: readonly [string, number, () => Parameters<typeof send>[1]][] = [
        ["a path without a route", 404, () => ({ path: "/none/1", headers: makeHeaders() })],
        ["a path without the final slash of a prefix", 404, () => ({ path: "/look", headers: makeHeaders() })],
        ["a host without routes", 404, () => ({ path: "/look/1", headers: makeHeaders({ host: "other.example" }) })],
        ["an unknown key", 401, () => ({ path: "/look/1", headers: makeHeaders({ "api-key": "wrong" }) })],
        [
            "a header section over the size limit",
            431,
            () => ({ path: "/look/1", headers: makeHeaders({ "x-a": "a".repeat(5_000) }) }),
        ],
        ["a body over the size limit", 413, () => ({
            method: "POST",
            path: "/book/1",
            headers: makeHeaders(),
            body: "b".repeat(20_001),
        })],
    ];
    for (const [name, status, makeRequest] of refusals) {
        test(`${name} is refused with ${status} and reaches no endpoint`, async () => {
            const sent = makeRequest();
            const answer = await send(deployment.gateways[0]!, sent);
            assert.equal(answer.status, status);
            assert.equal(answer.headers["x-response-seal"], undefined);
            assert.equal(findReceived(sent.headers["x-request-id"]!).length, 0);
        });
    }

    test("a request without a key is refused, unless its route is public", async () => {
        const { "api-key": key, ...headers } = makeHeaders();
        assert.equal(key, customerKey);
        assert.equal((await send(deployment.gateways[0]!, { path: "/look/1", headers })).status, 401);
        assert.equal((await send(deployment.gateways[0]!, { path: "/open/1", headers })).status, 200);
    });

    test("an attempt at request smuggling is refused, and neither request reaches an endpoint", async () => {
        const headers = makeHeaders({ "transfer-encoding": "chunked", "content-length": "5" });
        const { port } = deployment.gateways[0]!.settings.customerAddress;
        const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
        const answer = await sendRaw(
            port,
            `POST /book/1 HTTP/1.1\r\n${lines}\r\n0\r\n\r\nGET /look/2 HTTP/1.1\r\n\r\n`,
        );
        assert.match(answer, /^HTTP\/1\.1 400 /);
        assert.equal(findReceived(headers["x-request-id"]!).length, 0);
    });

    test("each request logs one line for its chosen endpoint and one for its end, with its id", async () => {
        const headers = makeHeaders();
        await send(deployment.gateways[0]!, { path: "/look/1", headers });
        const lines = deployment.gateways[0]!.lines.filter(line => line.fields.request === headers["x-request-id"]);
        assert.deepEqual(lines.map(line => line.event), [LogEvent.EndpointChosen, LogEvent.RequestEnded]);
        assert.equal(lines[1]!.fields.status, 200);
    });

    test("a gateway that cannot listen closes its sockets, so that its process can exit", async () => {
        const [running] = deployment.gateways;
        const [exchangePort] = await findFreePorts(portSeed, 1);
        const conflictingSettings = { ...running!.settings, host: "gateway-late", exchangePort: exchangePort! };
        await assert.rejects(startGatewayWith(conflictingSettings), { code: "EADDRINUSE" });
        const socket = createSocket("udp4");
        await new Promise<void>((resolve, reject) => {
            socket.once("error", reject);
            socket.bind(exchangePort, "127.0.0.1", resolve);
        });
        await new Promise<void>(resolve => socket.close(resolve));
    });

    test("the metrics address serves counters and histograms", async () => {
        const { ip, port } = {
            ip: deployment.gateways[0]!.settings.ip,
            port: deployment.gateways[0]!.settings.metricsPort,
        };
        const text = await (await fetch(`http://${ip}:${port}/metrics`)).text();
        assert.match(text, /jujubelane_requests_total\{result="answered-200"\} \d+/);
        assert.match(text, /jujubelane_request_seconds\{kind="stream",quantile="0.99"\}/);
    });
});

describe("configuration", () => {
    test("a gateway without a configuration is not ready and answers 503, never 404", async () => {
        const store = await startStoreStandIn();
        const gateway = await startTestGateway("unconfigured", store.address);
        assert.equal(await isReady(gateway), false);
        const answer = await send(gateway, { path: "/look/1", headers: makeHeaders() });
        assert.equal(answer.status, 503);
        assert.ok(Number(answer.headers["retry-after"]) > 0);
        await gateway.drain();
        await store.close();
    });

    test("a newer version is applied, and an older version is ignored", async () => {
        const deployment = await startDeployment();
        const gateway = deployment.gateways[0]!;
        const isServed = async () => (await send(gateway, { path: "/look/1", headers: makeHeaders() })).status === 200;
        deployment.publish(makeConfiguration(5, { routes: [] }));
        await waitUntil("the newer version is in force", async () => !await isServed());
        deployment.publish(makeConfiguration(4));
        await new Promise(resolve => setTimeout(resolve, 300));
        assert.equal(await isServed(), false);
        deployment.publish(makeConfiguration(9));
        await waitUntil("the newest version is in force", isServed);
        await deployment.close();
    });

    test("a long prompt that no engine can take runs on engines claimed for it, and the log names them", async () => {
        const large = await startDeployment({ engines: 4 });
        const headers = makeModelHeaders({
            "x-deadline-ms": "10000",
            "x-token-count": "150000,100",
            "x-prompt-prefix": "a1:150000",
        });
        const [gateway] = large.gateways;
        const answer = await send(gateway!, { method: "POST", path: "/digest/1", headers, body: "long" });
        assert.equal(answer.status, 200);
        const id = headers["x-request-id"];
        const lines = gateway!.lines.filter(line => line.fields.request === id);
        const claimed = lines.find(line => line.event === LogEvent.EnginesClaimed);
        assert.equal(String(claimed?.fields.endpoints).split(",").length, 2);
        const chosen = lines.find(line => line.event === LogEvent.EndpointChosen);
        assert.match(String(chosen?.fields.inputs), /^stage=claimed/);
        await large.close();
    });

    test("an invalid configuration is ignored", async () => {
        const deployment = await startDeployment();
        deployment.store.put("keyed.op", "config", '{"version": 99, "routes": 7}');
        await new Promise(resolve => setTimeout(resolve, 300));
        const answer = await send(deployment.gateways[0]!, { path: "/look/1", headers: makeHeaders() });
        assert.equal(answer.status, 200);
        await deployment.close();
    });

    test("an API key that a new version removes is refused", async () => {
        const deployment = await startDeployment();
        deployment.publish(makeConfiguration(2, { tenants: [{ name: "planner", keys: [] }] }));
        const getStatus = async () =>
            (await send(deployment.gateways[0]!, { path: "/look/1", headers: makeHeaders() })).status;
        await waitUntil("the key is refused", async () => await getStatus() === 401);
        await deployment.close();
    });
});

async function sendRaw(port: number, text: string): Promise<string> {
    const { connect } = await import("node:net");
    return new Promise((resolve, reject) => {
        const socket = connect(port, "127.0.0.1", () => socket.write(text));
        let received = "";
        socket.setEncoding("utf8");
        socket.on("data", part => {
            received += String(part);
        });
        socket.on("close", () => resolve(received));
        socket.on("error", reject);
        setTimeout(() => socket.destroy(), 1_000);
    });
}
