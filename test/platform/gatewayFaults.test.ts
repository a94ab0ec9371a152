import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { LogEvent } from "../../src/base/logEvents.js";
import {
    makeHeaders,
    makeModelHeaders,
    send,
    startDeployment,
    TestDeployment,
    waitUntil,
} from "./support/deployment.js";
import { EndpointFault, EndpointStandIn, renderEvent } from "./support/endpointStandIn.js";
import { StoreFault } from "./support/storeStandIn.js";

const wholeStream = [0, 1, 2, 3, 4, 5].map(renderEvent).join("");

function countRuns(endpoints: readonly EndpointStandIn[], id: string): number {
    return endpoints.flatMap(endpoint => endpoint.requests)
        .filter(item => item.hasRun && item.headers["x-request-id"] === id).length;
}

function setFaultEverywhere(endpoints: readonly EndpointStandIn[], ...faults: EndpointFault[]): void {
    endpoints.forEach(endpoint => endpoint.setFaults(...faults));
}

/** Runs a test against a deployment of its own, so that what earlier tests taught the gateway does not matter. */
async function runWithDeployment(
    run: (deployment: TestDeployment) => Promise<void>,
    engines = 3,
): Promise<void> {
    const deployment = await startDeployment({ engines, services: 3 });
    try {
        await run(deployment);
    }
    finally {
        await deployment.close();
    }
}

/** Finds the engine that short prompts are sent to first, which depends on the order of the ids' hashes. */
async function findFirstEngine(deployment: TestDeployment): Promise<EndpointStandIn> {
    const sent = { method: "POST", path: "/draft/1", headers: makeModelHeaders(), body: "first" } as const;
    await send(deployment.gateways[0]!, sent);
    return deployment.engines.find(engine => engine.requests.length > 0)!;
}

describe("faults of endpoints", { concurrency: 4 }, () => {
    const singleFaults: readonly [EndpointFault, number, string][] = [
        [EndpointFault.Full, 503, "it did not run"],
        [EndpointFault.BreakBefore, 502, "it may have run"],
        [EndpointFault.BreakWithin, 502, "it may have run"],
        [EndpointFault.UnframedReset, 502, "a reset connection does not end an answer"],
        [EndpointFault.ForeignId, 502, "the answer belongs to another request"],
        [EndpointFault.Unsealed, 502, "the answer is not the endpoint's"],
        [EndpointFault.Encoded, 502, "the body is not the endpoint's"],
        [EndpointFault.Error, 500, "the endpoint ran it and failed"],
    ];
    for (const [fault, unsafeStatus, why] of singleFaults) {
        test(`${fault}: a safe request is served by another endpoint`, () =>
            runWithDeployment(async deployment => {
                const [faulty] = deployment.services;
                faulty!.setFaults(fault);
                for (let count = 0; count < 3; count++) {
                    const headers = makeHeaders();
                    const answer = await send(deployment.gateways[0]!, { path: "/look/1", headers });
                    assert.equal(answer.status, 200);
                    assert.ok(countRuns(deployment.services, headers["x-request-id"]!) <= 2);
                }
                assert.ok(faulty!.requests.length > 0, "the fault was not met");
            }));

        test(`${fault}: an unsafe request runs once at most and gets ${unsafeStatus}, because ${why}`, () =>
            runWithDeployment(async deployment => {
                const headers = makeHeaders({ "x-deadline-ms": "800" });
                setFaultEverywhere(deployment.services, ...Array<EndpointFault>(8).fill(fault));
                const sent = { method: "POST", path: "/book/1", headers, body: "booking" } as const;
                const answer = await send(deployment.gateways[0]!, sent);
                assert.equal(answer.status, unsafeStatus);
                const runs = countRuns(deployment.services, headers["x-request-id"]!);
                assert.equal(runs, fault === EndpointFault.Full ? 0 : 1);
                assert.equal(answer.headers["retry-after"] !== undefined, unsafeStatus === 503);
            }));
    }

    test("memory is freed within four seconds where the engine that answers loses power", () =>
        runWithDeployment(async deployment => {
            setFaultEverywhere(deployment.engines, EndpointFault.Dark);
            // 250,000 tokens exceed the memory of one engine, so that one answers and others keep memory for it. Its read
            // is long enough for silence alone to be noticed only after the four seconds.
            const headers = makeModelHeaders({
                "x-deadline-ms": "12000",
                "x-token-count": "250000,100",
                "x-prompt-prefix": "a1:250000",
            });
            const answer = send(deployment.gateways[0]!, { method: "POST", path: "/digest/1", headers, body: "long" });
            const first = () => deployment.engines.find(engine => engine.requests.length > 0);
            await waitUntil("sent", () => first() !== undefined);
            const dark = first()!;
            setFaultEverywhere(deployment.engines.filter(engine => engine !== dark));
            const [address, id] = String(dark.requests[0]!.headers["x-helpers"]).split(",")[0]!.split("/");
            const helping = deployment.engines.find(engine => engine.address === address)!;
            const isReleased = () => helping.orders.some(order => order.op === "release" && order.id === id);
            await waitUntil("released", isReleased, 4_000);
            // The other engines are sound: the request is served by them.
            assert.equal((await answer).status, 200);
        }, 4));

    test("an endpoint's failure is passed on as it came", () =>
        runWithDeployment(async deployment => {
            setFaultEverywhere(deployment.services, EndpointFault.Error);
            const answer = await send(deployment.gateways[0]!, {
                method: "POST",
                path: "/book/1",
                headers: makeHeaders(),
                body: "b",
            });
            assert.equal(answer.status, 500);
            assert.match(String(answer.headers["x-response-seal"]), /^seal-desk-/);
            assert.equal(answer.body, "failed");
        }));

    test("an answer without a length goes on without one, since its end is uncertain", () =>
        runWithDeployment(async deployment => {
            setFaultEverywhere(deployment.services, EndpointFault.Unframed);
            const answer = await send(deployment.gateways[0]!, { path: "/look/1", headers: makeHeaders() });
            assert.equal(answer.status, 200);
            assert.match(answer.body, /^done by desk-/);
            assert.equal(answer.headers["content-length"], undefined);
            assert.equal(answer.headers["transfer-encoding"], undefined);
            assert.equal(answer.headers.connection, "close");
        }));

    test("a second answer on a kept connection reaches nobody", () =>
        runWithDeployment(async deployment => {
            setFaultEverywhere(deployment.services, ...Array<EndpointFault>(20).fill(EndpointFault.Doubled));
            for (let count = 0; count < 10; count++) {
                const answer = await send(deployment.gateways[0]!, { path: "/look/1", headers: makeHeaders() });
                assert.notEqual(answer.body, "late");
                if (answer.status === 200) {
                    assert.match(answer.body, /^done by desk-/);
                }
                await new Promise(resolve => setTimeout(resolve, 10));
            }
        }));

    test("a stream that breaks within an event goes on at another endpoint without a gap", () =>
        runWithDeployment(async deployment => {
            const first = await findFirstEngine(deployment);
            first.setFaults(EndpointFault.BreakWithin);
            const headers = makeModelHeaders();
            const sent = { method: "POST", path: "/draft/1", headers, body: "prompt" } as const;
            const answer = await send(deployment.gateways[0]!, sent);
            assert.equal(answer.body, wholeStream);
            assert.equal(countRuns([first], headers["x-request-id"]!), 1, "the fault was not met");
            assert.equal(countRuns(deployment.engines, headers["x-request-id"]!), 2);
        }));

    test("a stream that must not run twice breaks off instead of looking whole", () =>
        runWithDeployment(async deployment => {
            setFaultEverywhere(deployment.engines, EndpointFault.BreakWithin, EndpointFault.BreakWithin);
            const headers = makeModelHeaders();
            await assert.rejects(send(deployment.gateways[0]!, {
                method: "POST",
                path: "/once/1",
                headers,
                body: "prompt of one run",
            }));
            assert.equal(countRuns(deployment.engines, headers["x-request-id"]!), 1);
        }));

    test("a silent endpoint is left for another in time", () =>
        runWithDeployment(async deployment => {
            const first = await findFirstEngine(deployment);
            first.setFaults(EndpointFault.Silent);
            const headers = makeModelHeaders();
            const sent = { method: "POST", path: "/draft/1", headers, body: "silent" } as const;
            const answer = await send(deployment.gateways[0]!, sent);
            assert.equal(answer.body, wholeStream);
            assert.equal(countRuns([first], headers["x-request-id"]!), 1, "the fault was not met");
            assert.equal(countRuns(deployment.engines, headers["x-request-id"]!), 2);
        }));

    test("an unsafe request to a silent endpoint gets 504 at its time limit", () =>
        runWithDeployment(async deployment => {
            setFaultEverywhere(deployment.services, EndpointFault.Silent);
            const startedAtMs = performance.now();
            const answer = await send(deployment.gateways[0]!, {
                method: "POST",
                path: "/book/1",
                headers: makeHeaders({ "x-deadline-ms": "400" }),
                body: "b",
            });
            assert.equal(answer.status, 504);
            assert.ok(performance.now() - startedAtMs < 900);
        }));

    test("when the customer leaves, the endpoint's connection is closed", () =>
        runWithDeployment(async deployment => {
            setFaultEverywhere(deployment.engines, EndpointFault.Slow);
            const headers = makeModelHeaders();
            const leaving = new AbortController();
            const sent = send(deployment.gateways[0]!, {
                method: "POST",
                path: "/draft/1",
                headers,
                body: "leaving",
                signal: leaving.signal,
            });
            const findRun = () =>
                deployment.engines.flatMap(engine => engine.requests)
                    .find(item => item.headers["x-request-id"] === headers["x-request-id"]);
            await waitUntil("the request has arrived", () => findRun() !== undefined);
            leaving.abort();
            await assert.rejects(sent);
            await waitUntil("the run is cancelled", () => findRun()!.isCancelled, 500);
        }));
});

describe("endpoints that come and go", () => {
    let deployment: TestDeployment;
    before(async () => {
        deployment = await startDeployment({ services: 2 });
    });
    after(() => deployment.close());

    async function listServers(count: number): Promise<Set<string>> {
        const bodies = new Set<string>();
        for (let index = 0; index < count; index++) {
            bodies.add((await send(deployment.gateways[0]!, { path: "/look/1", headers: makeHeaders() })).body);
        }
        return bodies;
    }

    function countChanges(endpoint: string, change: string): number {
        return deployment.gateways[0]!.lines.filter(line =>
            line.event === LogEvent.EndpointChanged && line.fields.endpoint === endpoint
            && line.fields.change === change
        ).length;
    }

    test("an endpoint that drains gets nothing more, also when its record says ready again", async () => {
        deployment.register(deployment.services[0]!, "desk", { state: "draining" });
        await waitUntil("draining is known", () => countChanges("desk-0", "draining") === 1);
        deployment.register(deployment.services[0]!, "desk", { state: "ready" });
        await new Promise(resolve => setTimeout(resolve, 800));
        assert.deepEqual(await listServers(6), new Set(["done by desk-1"]));
    });

    test("another life under the same id is used again", async () => {
        deployment.register(deployment.services[0]!, "desk", { born: 1_700_000_009_000 });
        await waitUntil("the new life is known", () => countChanges("desk-0", "restarted") === 1);
        // Requests that run at the same time use both.
        const bodies = await Promise.all(Array.from({ length: 6 }, () => listServers(2)));
        assert.ok(bodies.some(found => found.has("done by desk-0")));
    });

    test("a record that cannot be read names no endpoint and harms no other", async () => {
        deployment.store.put("keyed.servers", "desk-9", "{broken");
        deployment.store.put("keyed.servers", "desk-8", { service: "desk", addr: "not an address", slots: "many" });
        await new Promise(resolve => setTimeout(resolve, 800));
        assert.equal((await send(deployment.gateways[0]!, { path: "/look/1", headers: makeHeaders() })).status, 200);
    });

    test("a removed endpoint is left, and one whose registration lapsed with the store is kept", async () => {
        deployment.store.remove("keyed.servers", "desk-0");
        await waitUntil("the removal is known", () => countChanges("desk-0", "left") === 1);
        deployment.store.setFault(StoreFault.Reset);
        await waitUntil(
            "the store is lost",
            () =>
                deployment.gateways[0]!.lines.some(line =>
                    line.event === LogEvent.StoreFeedLost
                    && line.fields.feed === "endpoints"
                ),
        );
        deployment.store.remove("keyed.servers", "desk-1");
        assert.equal((await send(deployment.gateways[0]!, { path: "/look/1", headers: makeHeaders() })).status, 200);
        deployment.store.setFault(StoreFault.None);
        await waitUntil("the lapse is known", () => countChanges("desk-1", "lapsed") === 1);
        assert.equal((await send(deployment.gateways[0]!, { path: "/look/1", headers: makeHeaders() })).status, 200);
        await waitUntil("the lapse ends", () => countChanges("desk-1", "left") === 1, 4_000);
        assert.equal((await send(deployment.gateways[0]!, { path: "/look/1", headers: makeHeaders() })).status, 503);
    });

    test("a gap in the history is closed by reading everything", async () => {
        deployment.store.setFault(StoreFault.Busy);
        deployment.register(deployment.services[1]!, "desk", { born: 1_700_000_010_000 });
        deployment.store.dropHistory("keyed.servers");
        deployment.store.setFault(StoreFault.None);
        const isServed = async () =>
            (await send(deployment.gateways[0]!, { path: "/look/1", headers: makeHeaders() })).status === 200;
        await waitUntil("the endpoint is known again", isServed);
    });

    test("another endpoint at a used address does not run the request", async () => {
        const old = deployment.services[1]!;
        deployment.store.put("keyed.servers", "desk-gone", {
            service: "desk",
            addr: old.address,
            zone: "a",
            slots: 100,
            state: "ready",
            born: 1,
        });
        await waitUntil("the record is known", () => countChanges("desk-gone", "joined") === 1);
        const answers = await Promise.all(
            Array.from(
                { length: 4 },
                () =>
                    send(deployment.gateways[0]!, {
                        method: "POST",
                        path: "/book/1",
                        headers: makeHeaders(),
                        body: "b",
                    }),
            ),
        );
        assert.ok(answers.every(answer => answer.status === 200 || answer.status === 503));
        assert.ok(old.requests.filter(item => !item.hasRun).length > 0);
    });
});
