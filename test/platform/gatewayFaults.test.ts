import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { LogEvent } from "../../src/base/logEvents.js";
import {
    makeHeaders,
    makeModelHeaders,
    send,
    sendWithoutPool,
    startDeployment,
    TestDeployment,
    waitUntil,
} from "./support/deployment.js";
import { EndpointFault, EndpointStandIn, renderEvent } from "./support/endpointStandIn.js";
import { StoreFault } from "./support/storeStandIn.js";

const completeStream = [0, 1, 2, 3, 4, 5].map(renderEvent).join("");

function countRuns(endpoints: readonly EndpointStandIn[], id: string): number {
    return endpoints.flatMap(endpoint => endpoint.requests)
        .filter(item => item.hasRun && item.headers["x-request-id"] === id).length;
}

function setFaultEverywhere(endpoints: readonly EndpointStandIn[], ...faults: EndpointFault[]): void {
    endpoints.forEach(endpoint => endpoint.setFaults(...faults));
}

/** Runs a test against its own deployment, so that endpoint health observed in earlier tests has no effect. */
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

/** Finds the engine that the gateway chooses first for short prompts, which depends on the order of the ids' hashes. */
async function findFirstEngine(deployment: TestDeployment): Promise<EndpointStandIn> {
    const sent = { method: "POST", path: "/draft/1", headers: makeModelHeaders(), body: "first" } as const;
    await send(deployment.gateways[0]!, sent);
    return deployment.engines.find(engine => engine.requests.length > 0)!;
}

describe("faults of endpoints", { concurrency: 4 }, () => {
    const singleFaults: readonly [EndpointFault, number, string][] = [
        [EndpointFault.Full, 503, "it did not run"],
        [EndpointFault.CloseBeforeAnswer, 502, "it may have run"],
        [EndpointFault.CloseWithinAnswer, 502, "it may have run"],
        [EndpointFault.UnframedReset, 502, "a connection reset does not complete an answer"],
        [EndpointFault.WrongRequestId, 502, "the answer belongs to another request"],
        [EndpointFault.Unsealed, 502, "the answer lacks the endpoint's seal"],
        [EndpointFault.Encoded, 502, "no content encoding was requested"],
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
                assert.ok(faulty!.requests.length > 0, "the fault did not occur");
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
            setFaultEverywhere(deployment.engines, EndpointFault.PowerLoss);
            // 250,000 tokens exceed the memory of one engine, so one engine answers and others reserve memory for it.
            // The prefill takes so long that silence alone would be detected only after the four seconds.
            const headers = makeModelHeaders({
                "x-deadline-ms": "12000",
                "x-token-count": "250000,100",
                "x-prompt-prefix": "a1:250000",
            });
            const answer = send(deployment.gateways[0]!, { method: "POST", path: "/digest/1", headers, body: "long" });
            const first = () => deployment.engines.find(engine => engine.requests.length > 0);
            await waitUntil("sent", () => first() !== undefined);
            const failedEngine = first()!;
            setFaultEverywhere(deployment.engines.filter(engine => engine !== failedEngine));
            const [address, id] = String(failedEngine.requests[0]!.headers["x-helpers"]).split(",")[0]!.split("/");
            const helper = deployment.engines.find(engine => engine.address === address)!;
            const isReleased = () => helper.reservationCalls.some(call => call.op === "release" && call.id === id);
            await waitUntil("released", isReleased, 4_000);
            // The request is served by the other engines, which have no faults.
            assert.equal((await answer).status, 200);
        }, 4));

    test("an endpoint's 500 answer is relayed unchanged", () =>
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

    test("a short answer without a length is held until its end and then given its length", () =>
        runWithDeployment(async deployment => {
            setFaultEverywhere(deployment.services, EndpointFault.Unframed);
            const answer = await send(deployment.gateways[0]!, { path: "/look/1", headers: makeHeaders() });
            assert.equal(answer.status, 200);
            assert.match(answer.body, /^done by desk-/);
            assert.equal(answer.headers["content-length"], String(answer.body.length));
            assert.equal(answer.headers["transfer-encoding"], undefined);
        }));

    test("a stream without a length or chunks is relayed whole in chunks, whose last one marks its end", () =>
        runWithDeployment(async deployment => {
            setFaultEverywhere(deployment.engines, EndpointFault.Unframed);
            const headers = makeModelHeaders();
            const sent = { method: "POST", path: "/draft/1", headers, body: "prompt" } as const;
            const answer = await send(deployment.gateways[0]!, sent);
            assert.equal(answer.status, 200);
            assert.equal(answer.body, completeStream);
            assert.equal(answer.headers["transfer-encoding"], "chunked");
            assert.equal(countRuns(deployment.engines, headers["x-request-id"]!), 1);
        }));

    test("a stream without a length that ends within an event has been broken off, and is resumed", () =>
        runWithDeployment(async deployment => {
            const first = await findFirstEngine(deployment);
            first.setFaults(EndpointFault.UnframedWithinAnswer);
            const headers = makeModelHeaders();
            const sent = { method: "POST", path: "/draft/1", headers, body: "prompt" } as const;
            const answer = await send(deployment.gateways[0]!, sent);
            assert.equal(answer.body, completeStream);
            assert.equal(countRuns([first], headers["x-request-id"]!), 1, "the fault did not occur");
            assert.equal(countRuns(deployment.engines, headers["x-request-id"]!), 2);
        }));

    test("a stream without a length that ends within an event and must not run twice is not passed on as complete", () =>
        runWithDeployment(async deployment => {
            setFaultEverywhere(deployment.engines, EndpointFault.UnframedWithinAnswer);
            const headers = makeModelHeaders();
            const sent = { method: "POST", path: "/once/1", headers, body: "prompt" } as const;
            await assert.rejects(sendWithoutPool(deployment.gateways[0]!, sent));
            assert.equal(countRuns(deployment.engines, headers["x-request-id"]!), 1);
        }));

    test("an unsolicited second answer on a keep-alive connection is discarded", () =>
        runWithDeployment(async deployment => {
            setFaultEverywhere(deployment.services, ...Array<EndpointFault>(20).fill(EndpointFault.DuplicateAnswer));
            for (let count = 0; count < 10; count++) {
                const answer = await send(deployment.gateways[0]!, { path: "/look/1", headers: makeHeaders() });
                assert.notEqual(answer.body, "late");
                if (answer.status === 200) {
                    assert.match(answer.body, /^done by desk-/);
                }
                await new Promise(resolve => setTimeout(resolve, 10));
            }
        }));

    test("a stream that breaks off within an event is resumed at another endpoint without a gap", () =>
        runWithDeployment(async deployment => {
            const first = await findFirstEngine(deployment);
            first.setFaults(EndpointFault.CloseWithinAnswer);
            const headers = makeModelHeaders();
            const sent = { method: "POST", path: "/draft/1", headers, body: "prompt" } as const;
            const answer = await send(deployment.gateways[0]!, sent);
            assert.equal(answer.body, completeStream);
            assert.equal(countRuns([first], headers["x-request-id"]!), 1, "the fault did not occur");
            assert.equal(countRuns(deployment.engines, headers["x-request-id"]!), 2);
        }));

    test("a broken stream that must not run twice is aborted instead of ending normally", () =>
        runWithDeployment(async deployment => {
            setFaultEverywhere(deployment.engines, EndpointFault.CloseWithinAnswer, EndpointFault.CloseWithinAnswer);
            const headers = makeModelHeaders();
            await assert.rejects(send(deployment.gateways[0]!, {
                method: "POST",
                path: "/once/1",
                headers,
                body: "prompt of one run",
            }));
            assert.equal(countRuns(deployment.engines, headers["x-request-id"]!), 1);
        }));

    test("a stream fails over from a silent endpoint before its deadline", () =>
        runWithDeployment(async deployment => {
            const first = await findFirstEngine(deployment);
            first.setFaults(EndpointFault.Silent);
            const headers = makeModelHeaders();
            const sent = { method: "POST", path: "/draft/1", headers, body: "silent" } as const;
            const answer = await send(deployment.gateways[0]!, sent);
            assert.equal(answer.body, completeStream);
            assert.equal(countRuns([first], headers["x-request-id"]!), 1, "the fault did not occur");
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

    test("the endpoint's connection is closed when the customer disconnects", () =>
        runWithDeployment(async deployment => {
            setFaultEverywhere(deployment.engines, EndpointFault.Slow);
            const headers = makeModelHeaders();
            const abortController = new AbortController();
            const sent = send(deployment.gateways[0]!, {
                method: "POST",
                path: "/draft/1",
                headers,
                body: "leaving",
                signal: abortController.signal,
            });
            const findRun = () =>
                deployment.engines.flatMap(engine => engine.requests)
                    .find(item => item.headers["x-request-id"] === headers["x-request-id"]);
            await waitUntil("the request has arrived", () => findRun() !== undefined);
            abortController.abort();
            await assert.rejects(sent);
            await waitUntil("the run is cancelled", () => findRun()!.isCancelled, 500);
        }));
});

describe("endpoint registrations", () => {
    let deployment: TestDeployment;
    before(async () => {
        deployment = await startDeployment({ services: 2 });
    });
    after(() => deployment.close());

    async function collectAnswers(count: number): Promise<Set<string>> {
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

    test("a draining endpoint gets no more requests, even if its record becomes ready again", async () => {
        deployment.register(deployment.services[0]!, "desk", { state: "draining" });
        await waitUntil("draining is known", () => countChanges("desk-0", "draining") === 1);
        deployment.register(deployment.services[0]!, "desk", { state: "ready" });
        await new Promise(resolve => setTimeout(resolve, 800));
        assert.deepEqual(await collectAnswers(6), new Set(["done by desk-1"]));
    });

    test("an endpoint that restarted under the same id gets requests again", async () => {
        deployment.register(deployment.services[0]!, "desk", { born: 1_700_000_009_000 });
        await waitUntil("the restart is known", () => countChanges("desk-0", "restarted") === 1);
        // Concurrent requests are spread over both endpoints.
        const bodies = await Promise.all(Array.from({ length: 6 }, () => collectAnswers(2)));
        assert.ok(bodies.some(found => found.has("done by desk-0")));
    });

    test("a malformed record registers no endpoint and does not affect other endpoints", async () => {
        deployment.store.put("keyed.servers", "desk-9", "{broken");
        deployment.store.put("keyed.servers", "desk-8", { service: "desk", addr: "not an address", slots: "many" });
        await new Promise(resolve => setTimeout(resolve, 800));
        assert.equal((await send(deployment.gateways[0]!, { path: "/look/1", headers: makeHeaders() })).status, 200);
    });

    test("a removed endpoint is dropped at once, but after a store outage only when its lapse ends", async () => {
        deployment.store.remove("keyed.servers", "desk-0");
        await waitUntil("the removal is known", () => countChanges("desk-0", "left") === 1);
        deployment.store.setFault(StoreFault.Reset);
        await waitUntil(
            "the store is unreachable",
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

    test("after a gap in the record history, the gateway reads all records again", async () => {
        deployment.store.setFault(StoreFault.Busy);
        deployment.register(deployment.services[1]!, "desk", { born: 1_700_000_010_000 });
        deployment.store.dropHistory("keyed.servers");
        deployment.store.setFault(StoreFault.None);
        const isServed = async () =>
            (await send(deployment.gateways[0]!, { path: "/look/1", headers: makeHeaders() })).status === 200;
        await waitUntil("the endpoint is known again", isServed);
    });

    test("an endpoint does not run a request that was meant for another endpoint at its address", async () => {
        const addressOwner = deployment.services[1]!;
        deployment.store.put("keyed.servers", "desk-gone", {
            service: "desk",
            addr: addressOwner.address,
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
        assert.ok(addressOwner.requests.filter(item => !item.hasRun).length > 0);
    });
});
