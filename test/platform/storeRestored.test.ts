import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createStoreClient } from "../../platform/storeClient.js";
import { Result, ResultKind } from "../../src/base/result.js";
import { readBody, sendJson, startHttpServer } from "../../src/emulator/httpServer.js";
import { FeedError, FeedErrorKind } from "../../src/ports/recordFeed.js";
import {
    customerKey,
    makeConfiguration,
    makeHeaders,
    send,
    startDeployment,
    startTestGateway,
    TestGateway,
    waitUntil,
} from "./support/deployment.js";
import { CrashKind } from "./support/endpointStandIn.js";
import { followKeys } from "./support/followedKeys.js";
import { startStoreStandIn, StoreFault } from "./support/storeStandIn.js";

const topic = "keyed.test";
/** Time after the store's return within which everything that it says must be known, in milliseconds. */
const knownWithinMs = 2_000;
const awayMs = 300;
/** Time after which live endpoints and gateways have written again what was lost, in milliseconds. */
const writtenAgainMs = 3_000;

function wait(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

async function startFollower(waitMs: number) {
    const store = await startStoreStandIn();
    const client = createStoreClient(store.address);
    const follower = followKeys(client, topic, waitMs);
    const put = (generation: string, from: number, to: number) => {
        for (let index = from; index < to; index++) {
            store.put(topic, `key-${index}`, `${generation}-${index}`);
        }
    };
    return {
        store,
        known: follower.known,
        put,
        close: async () => {
            follower.dispose();
            await client.close();
            await store.close();
        },
    };
}

function makeExpected(...parts: readonly (readonly [string, number, number])[]): Map<string, string> {
    const expected = new Map<string, string>();
    for (const [generation, from, to] of parts) {
        for (let index = from; index < to; index++) {
            expected.set(`key-${index}`, `${generation}-${index}`);
        }
    }
    return expected;
}

function sortEntries(entries: ReadonlyMap<string, string>): [string, string][] {
    return [...entries].sort(([left], [right]) => left < right ? -1 : 1);
}

describe("a follower of a store that comes back from an older copy", { concurrency: 4 }, () => {
    test("knows every key although the store has been written past its offset again while it was away", async () => {
        const { store, known, put, close } = await startFollower(500);
        try {
            put("old", 0, 4);
            const copy = store.makeCopy();
            put("lost", 4, 10);
            await waitUntil("all is known", () => known.size === 10);
            store.setFault(StoreFault.Reset);
            await wait(awayMs);
            store.restore(copy);
            put("new", 0, 10);
            store.setFault(StoreFault.None);
            await wait(knownWithinMs);
            assert.deepEqual(sortEntries(known), sortEntries(makeExpected(["new", 0, 10])));
        }
        finally {
            await close();
        }
    });

    test("knows every key although its read has waited through the restoration", async () => {
        const { store, known, put, close } = await startFollower(400);
        try {
            put("old", 0, 4);
            const copy = store.makeCopy();
            put("lost", 4, 10);
            await waitUntil("all is known", () => known.size === 10);
            await wait(100);
            store.restore(copy);
            put("new", 2, 9);
            await wait(knownWithinMs);
            assert.deepEqual(sortEntries(known), sortEntries(makeExpected(["old", 0, 2], ["new", 2, 9])));
        }
        finally {
            await close();
        }
    });

    test("reads all pages again if the store is restored between two of them", async () => {
        const { store, known, put, close } = await startFollower(400);
        try {
            store.setPageSize(3);
            put("old", 0, 4);
            const copy = store.makeCopy();
            put("lost", 0, 10);
            store.dropHistory(topic);
            let isRestored = false;
            store.onCall(path => {
                if (!isRestored && path.includes("after=")) {
                    isRestored = true;
                    store.restore(copy);
                    put("new", 0, 10);
                }
            });
            await waitUntil("restored", () => isRestored);
            await wait(knownWithinMs);
            assert.deepEqual(sortEntries(known), sortEntries(makeExpected(["new", 0, 10])));
        }
        finally {
            await close();
        }
    });
});

describe("the client of a store", () => {
    /** Starts a store whose answers name the given eras, in order, and are empty reads or acknowledged writes. */
    async function startEras(...eras: readonly (number | undefined)[]) {
        const remaining = [...eras];
        const server = await startHttpServer(0, async (request, response) => {
            const era = remaining.shift();
            if (era !== undefined) {
                response.setHeader("Store-Era", String(era));
            }
            const isNewest = request.url?.includes("log-newest");
            await readBody(request);
            if (isNewest) {
                sendJson(response, 200, { items: [], has_more: false, end: 5 });
                return;
            }
            const header = Buffer.alloc(16);
            header.writeBigUInt64BE(5n, 0);
            response.end(header);
        });
        const client = createStoreClient(`127.0.0.1:${server.port}`);
        const close = async () => {
            await client.close();
            await server.close();
        };
        return { feed: client.openFeed(topic), close };
    }

    function getErrorKind(result: Result<unknown, FeedError>): FeedErrorKind | undefined {
        return result.kind === ResultKind.Failure ? result.error.kind : undefined;
    }

    test("does not take an answer of an earlier era that arrives late for a newer one", async () => {
        const { feed, close } = await startEras(2, 1, 1, 2);
        try {
            const read = await feed.readNewest();
            assert.ok(read.kind === ResultKind.Success);
            assert.equal(getErrorKind(await feed.readNewest()), FeedErrorKind.Unavailable);
            assert.equal(getErrorKind(await feed.write("key", Buffer.from("lost"))), FeedErrorKind.Unavailable);
            assert.equal(getErrorKind(await feed.readFrom(read.value.next, 10)), undefined);
        }
        finally {
            await close();
        }
    });

    test("tells a reader that its position is of an earlier era, also after several restorations", async () => {
        const { feed, close } = await startEras(1, 4, 4);
        try {
            const read = await feed.readNewest();
            assert.ok(read.kind === ResultKind.Success);
            assert.equal(getErrorKind(await feed.readFrom(read.value.next, 10)), FeedErrorKind.Restored);
            assert.equal(getErrorKind(await feed.readFrom(read.value.next, 10)), FeedErrorKind.Restored);
        }
        finally {
            await close();
        }
    });

    test("reads from a store that names no era", async () => {
        const { feed, close } = await startEras();
        try {
            const read = await feed.readNewest();
            assert.ok(read.kind === ResultKind.Success);
            assert.equal(getErrorKind(await feed.readFrom(read.value.next, 10)), undefined);
        }
        finally {
            await close();
        }
    });
});

describe("a gateway whose store comes back from an older copy", { concurrency: 4 }, () => {
    const newPath = "/new/1";
    const makeNewConfiguration = (version: number, changes: object = {}) => {
        const configuration = makeConfiguration(version, changes) as { routes: object[] };
        const route = {
            host: "models.example",
            timeout_ms: 4_000,
            public: false,
            kind: "safe",
            service: "desk",
            attempts: 2,
        };
        return { ...configuration, routes: [...configuration.routes, { ...route, name: "new", prefix: "/new/" }] };
    };
    const get = (gateway: TestGateway, path: string, key = customerKey) =>
        send(gateway, { path, headers: makeHeaders({ "api-key": key, "x-deadline-ms": "1000" }) });

    test("keeps the configuration in force and a revoked key refused, and takes over the next one in time", async () => {
        const otherKey = "key-that-goes";
        const both = { tenants: [{ name: "planner", keys: [customerKey, otherKey] }] };
        const deployment = await startDeployment({ engines: 0, configuration: makeConfiguration(1, both) });
        try {
            const gateway = deployment.gateways[0]!;
            const { store } = deployment;
            const copy = store.makeCopy();
            deployment.publish(makeConfiguration(2));
            deployment.publish(makeConfiguration(3));
            await waitUntil("the key is refused", async () => (await get(gateway, "/look/1", otherKey)).status === 401);
            store.setFault(StoreFault.Reset);
            await wait(awayMs);
            store.restore(copy);
            store.setFault(StoreFault.None);
            await wait(400);
            assert.equal((await get(gateway, "/look/1", otherKey)).status, 401);
            // The operator writes its last version again, and then the next one.
            deployment.publish(makeConfiguration(3));
            deployment.publish(makeNewConfiguration(4));
            await wait(knownWithinMs);
            assert.equal((await get(gateway, newPath)).status, 200);
            assert.equal((await get(gateway, "/look/1", otherKey)).status, 401);
        }
        finally {
            await deployment.close();
        }
    });

    test("that starts meanwhile refuses requests until the operator has written again what was lost", async () => {
        const otherKey = "key-that-goes";
        const both = { tenants: [{ name: "planner", keys: [customerKey, otherKey] }] };
        const deployment = await startDeployment({ engines: 0, configuration: makeConfiguration(1, both) });
        let late: TestGateway | undefined;
        try {
            const gateway = deployment.gateways[0]!;
            const { store } = deployment;
            const copy = store.makeCopy();
            deployment.publish(makeConfiguration(2));
            await waitUntil("the key is refused", async () => (await get(gateway, "/look/1", otherKey)).status === 401);
            store.restore(copy);
            deployment.services.forEach(service => deployment.register(service, "desk", { seq: 5 }));
            // The running gateway renews its registration and learns of the restoration meanwhile.
            await wait(knownWithinMs);
            late = await startTestGateway("gateway-late", store.address);
            const answers = [await get(late, "/look/1", otherKey), await get(late, "/look/2")];
            assert.deepEqual(answers.map(({ status }) => status), [503, 503]);
            assert.ok(answers.every(({ headers }) => Number(headers["retry-after"]) >= 0));
            assert.equal((await get(gateway, "/look/3")).status, 200);
            deployment.publish(makeConfiguration(2));
            await waitUntil("served", async () => (await get(late!, "/look/4")).status === 200, 1_000);
            assert.equal((await get(late, "/look/5", otherKey)).status, 401);
        }
        finally {
            await deployment.close();
            await late?.drain();
        }
    });

    test("does not use an endpoint that had left, although the copy still has it", async () => {
        const deployment = await startDeployment({ engines: 0, services: 2 });
        try {
            const gateway = deployment.gateways[0]!;
            const { store, services } = deployment;
            const [leaving, staying] = services;
            const copy = store.makeCopy();
            deployment.register(leaving!, "desk", { state: "draining", seq: 7 });
            await wait(700);
            store.remove("keyed.servers", leaving!.id);
            await wait(700);
            store.restore(copy);
            // The runner that lives writes its registration again, as it does with each renewal.
            deployment.register(staying!, "desk", { seq: 8 });
            await wait(knownWithinMs);
            const before = leaving!.requests.length;
            const answers = await Promise.all(
                Array.from({ length: 10 }, (unused, count) => get(gateway, `/look/${count}`)),
            );
            assert.ok(answers.every(answer => answer.status === 200));
            assert.equal(leaving!.requests.length, before);
        }
        finally {
            await deployment.close();
        }
    });

    test("goes on using endpoints that the copy lacks until they have had the time to register again", async () => {
        const deployment = await startDeployment({ engines: 0, services: 2 });
        try {
            const gateway = deployment.gateways[0]!;
            const { store, services } = deployment;
            store.remove("keyed.servers", services[0]!.id);
            store.remove("keyed.servers", services[1]!.id);
            const copy = store.makeCopy();
            services.forEach(service => deployment.register(service, "desk", { seq: 3 }));
            await wait(1_500);
            store.restore(copy);
            for (let count = 0; count < 10; count++) {
                assert.equal((await get(gateway, `/look/${count}`)).status, 200, `request ${count}`);
                await wait(150);
            }
        }
        finally {
            await deployment.close();
        }
    });

    test("writes quarantines again, so that a gateway that starts later knows them", async () => {
        const path = "/look/bad";
        const deployment = await startDeployment({
            engines: 0,
            services: 3,
            serviceCrashPlan: {
                kind: CrashKind.Reset,
                isCrashing: received => received.url === path,
                delayMs: 30,
                restartDelayMs: 200,
            },
        });
        let late: TestGateway | undefined;
        try {
            const { store } = deployment;
            await wait(500);
            const copy = store.makeCopy();
            await waitUntil("refused", async () => {
                await wait(300);
                return (await get(deployment.gateways[0]!, path)).status === 503;
            });
            await waitUntil("stored", () => store.listKeys("keyed.quarantines").length > 0);
            store.setFault(StoreFault.Reset);
            await wait(awayMs);
            store.restore(copy);
            deployment.services.forEach(service => deployment.register(service, "desk", { seq: 5 }));
            store.setFault(StoreFault.None);
            await wait(writtenAgainMs);
            assert.equal(store.listKeys("keyed.quarantines").length, 1);
            late = await startTestGateway("gateway-late", store.address);
            await wait(500);
            assert.equal((await get(late, path)).status, 503);
        }
        finally {
            await deployment.close();
            await late?.drain();
        }
    });

    test("registers again within seconds", async () => {
        const deployment = await startDeployment({ engines: 0, gateways: 2 });
        try {
            const { store } = deployment;
            // After their first reads gateways only renew their registrations every ten seconds.
            await wait(5_000);
            assert.equal(store.listKeys("keyed.gateways").length, 2);
            store.remove("keyed.gateways", "gateway-0");
            const copy = store.makeCopy();
            store.restore(copy);
            await wait(writtenAgainMs);
            assert.equal(store.listKeys("keyed.gateways").length, 2);
        }
        finally {
            await deployment.close();
        }
    });
});
