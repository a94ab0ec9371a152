import assert from "node:assert/strict";
import { after, test } from "node:test";
import { createHttpModelEngine, HttpModelEngine } from "../../src/adapters/httpModelEngine.js";
import { createHttpWeightStore } from "../../src/adapters/httpWeightStore.js";
import { createSystemTimerService } from "../../src/base/systemTimerService.js";
import { EmulatedEngine, startEmulatedEngine } from "../../src/emulator/engine/engineServer.js";
import { makeExpectedOutput } from "../../src/emulator/engine/tokens.js";
import { startEmulatedWeightStore } from "../../src/emulator/weightStoreServer.js";
import {
    EngineCommandKind,
    EngineCommandResultKind,
    EngineEvent,
    EngineEventKind,
    EngineFinish,
    ModelEngine,
} from "../../src/ports/modelEngine.js";
import { WeightStore, WeightTicketKind } from "../../src/ports/weightStore.js";

const timers = createSystemTimerService();
const openServers: { close(): Promise<void> }[] = [];
after(async () => {
    await Promise.all(openServers.map(server => server.close()));
});

async function startEngine(settings: { checksFencing?: boolean; loadingMs?: number } = {}) {
    const emulated: EmulatedEngine = await startEmulatedEngine({
        port: 0,
        model: "demo",
        version: "v1",
        checksFencing: true,
        memoryTokens: 10_000,
        prefillTokensPerSecond: 20_000,
        decodeTokensPerSecond: 500,
        maxBatch: 8,
        reportLagMs: 0,
        cacheEventDelayMs: 0,
        cacheEventGapEvery: 0,
        ...settings,
    }, timers);
    const engine: HttpModelEngine = createHttpModelEngine(emulated.url);
    openServers.push({
        close: () => {
            engine.dispose();
            return emulated.close();
        },
    });
    return { emulated, engine };
}

function makeRequest(id: string, prompt: string, maxOutputTokens = 8) {
    return { id, model: "demo", priority: 0, maxOutputTokens, prompt, timeLimitMs: 5_000 };
}

function collect(start: (listen: (event: EngineEvent) => void) => unknown): Promise<EngineEvent[]> {
    return new Promise(resolve => {
        const events: EngineEvent[] = [];
        start(event => {
            events.push(event);
            if (event.kind !== EngineEventKind.Token) {
                resolve(events);
            }
        });
    });
}

function joinText(events: readonly EngineEvent[]): string {
    return events.map(event => event.kind === EngineEventKind.Token ? event.text : "").join("");
}

async function waitUntil(isDone: () => Promise<boolean>): Promise<void> {
    for (let attempt = 0; attempt < 500; attempt++) {
        if (await isDone()) {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, 10));
    }
    assert.fail("the condition was not met within 5 s");
}

/** Behaviour of the port that the sidecar relies on, and that every adapter must provide. */
const engineContract: readonly (readonly [string, (engine: ModelEngine) => Promise<void>])[] = [
    ["a generation emits numbered tokens and an end event with usage", async engine => {
        const events = await collect(listen => engine.generate(makeRequest("a", "hello"), listen));
        const end = events.at(-1)!;
        assert.equal(joinText(events), makeExpectedOutput("hello", 8));
        assert.deepEqual(end.kind === EngineEventKind.End && [end.finish, end.tokens, end.usage.outputTokens], [
            EngineFinish.Length,
            8,
            8,
        ]);
    }],
    ["an ended stream can be read again from a sequence number until it is released", async engine => {
        await collect(listen => engine.generate(makeRequest("a", "hello"), listen));
        const events = await collect(listen => engine.resume("a", 5, listen));
        assert.deepEqual(events.map(event => event.kind === EngineEventKind.Token && event.sequence), [5, 6, 7, false]);
        await engine.cancel("a");
        const refused = await collect(listen => engine.resume("a", 0, listen));
        assert.equal(refused[0]?.kind, EngineEventKind.Refused);
    }],
    ["a cancelled generation frees its memory and is no longer listed", async engine => {
        const stream = collect(listen => engine.generate(makeRequest("a", "hello", 4_000), listen));
        await waitUntil(async () => (await engine.report()).usedTokens > 4_000);
        await engine.cancel("a");
        const end = (await stream).at(-1)!;
        assert.equal(end.kind === EngineEventKind.End && end.finish, EngineFinish.Cancelled);
        assert.equal((await engine.report()).usedTokens, 0);
        assert.deepEqual(await engine.list(), []);
    }],
    ["a repeated prompt uses the prefix cache, and a cache event reports the stored prefix", async engine => {
        const prompt = "word".repeat(2_000);
        await collect(listen => engine.generate(makeRequest("a", prompt, 1), listen));
        const end = (await collect(listen => engine.generate(makeRequest("b", prompt, 1), listen))).at(-1)!;
        assert.equal(end.kind === EngineEventKind.End && end.usage.cachedTokens, 1_536);
        const events = await engine.readCacheEvents(0);
        assert.deepEqual(events.map(event => [event.tokens, event.stored]), [[1_536, true]]);
    }],
    ["an export uses memory until it is released", async engine => {
        void collect(listen => engine.generate(makeRequest("a", "word".repeat(1_000), 2_000), listen));
        await waitUntil(async () => (await engine.list())[0]!.tokens > 0);
        const { exportId, tokens } = await engine.exportState("a");
        await engine.importState("copy", 100);
        await engine.cancel("a");
        assert.equal((await engine.report()).usedTokens, tokens + 100);
        assert.deepEqual((await engine.listExports()).map(item => item.exportId), [exportId, "copy"]);
        await engine.releaseExport(exportId);
        await engine.releaseExport("copy");
        assert.equal((await engine.report()).usedTokens, 0);
    }],
    ["the old version stays in use until the new one is loaded", async engine => {
        const command = { kind: EngineCommandKind.LoadVersion, fencingToken: 3, model: "demo", version: "v2" };
        assert.equal((await engine.command(command)).kind, EngineCommandResultKind.Accepted);
        const report = await engine.report();
        assert.deepEqual([report.version, report.loading], ["v1", "v2"]);
        await waitUntil(async () => (await engine.report()).version === "v2");
    }],
    ["commands load and unload adapters and change the role", async engine => {
        await engine.command({ kind: EngineCommandKind.LoadAdapter, fencingToken: 1, adapter: "rota" });
        await engine.command({ kind: EngineCommandKind.ChangeRole, fencingToken: 1, role: "prefill" });
        await waitUntil(async () => (await engine.report()).adapters.includes("rota"));
        assert.equal((await engine.report()).role, "prefill");
        await engine.command({ kind: EngineCommandKind.UnloadAdapter, fencingToken: 1, adapter: "rota" });
        assert.deepEqual((await engine.report()).adapters, []);
    }],
    ["an engine that checks fencing refuses a command with an older token", async engine => {
        await engine.command({ kind: EngineCommandKind.ChangeRole, fencingToken: 5, role: "decode" });
        const result = await engine.command({ kind: EngineCommandKind.ChangeRole, fencingToken: 4, role: "old" });
        assert.deepEqual(result, { kind: EngineCommandResultKind.Stale, newest: 5 });
        assert.equal((await engine.report()).role, "decode");
    }],
    ["a request for another model, or one that does not fit into memory, is refused", async engine => {
        const other = await collect(listen => engine.generate({ ...makeRequest("a", "x"), model: "other" }, listen));
        const large = await collect(listen => engine.generate(makeRequest("b", "x", 20_000), listen));
        assert.deepEqual([other[0]?.kind, large[0]?.kind], [EngineEventKind.Refused, EngineEventKind.Refused]);
    }],
];

for (const [name, check] of engineContract) {
    test(`model engine over HTTP: ${name}`, async () => check((await startEngine()).engine));
}

const weightContract: readonly (readonly [string, (store: WeightStore, url: string) => Promise<void>])[] = [
    ["a refusal returns the delay after which a request is granted", async store => {
        assert.equal((await store.request("v1")).kind, WeightTicketKind.Granted);
        const refused = await store.request("v1");
        assert.ok(refused.kind === WeightTicketKind.Refused && refused.retryAfterMs <= 1_000, "expected a refusal");
    }],
    ["a request throws if the store is down", async (store, url) => {
        await fetch(`${url}/emulator/faults`, { method: "POST", body: JSON.stringify({ down: true }) });
        await assert.rejects(store.request("v1"));
    }],
];

for (const [name, check] of weightContract) {
    test(`weight store over HTTP: ${name}`, async () => {
        const emulated = await startEmulatedWeightStore({ port: 0, grantsPerSecond: 1 }, timers);
        openServers.push(emulated);
        await check(createHttpWeightStore(emulated.url), emulated.url);
    });
}

test("faults: a silenced connection stays silent, and a frozen engine answers after it resumes", async () => {
    const { emulated, engine } = await startEngine();
    const first = collect(listen => engine.generate(makeRequest("a", "hello", 4_000), listen));
    await waitUntil(async () => (await engine.list())[0]!.tokens > 0);
    emulated.faults.apply({ silence: true });
    assert.deepEqual(await Promise.race([first, waitForSilence(100)]), "silent");
    const resumed = createHttpModelEngine(emulated.url);
    assert.equal((await resumed.list()).length, 1);
    emulated.faults.apply({ frozen: true });
    const report = resumed.report();
    assert.equal(await Promise.race([report, waitForSilence(100)]), "silent");
    emulated.faults.apply({ frozen: false });
    assert.equal((await report).running, 1);
    resumed.dispose();
});

test("faults: a poisoned prompt crashes the engine, which restarts empty with its initial version", async () => {
    const { emulated, engine } = await startEngine({ loadingMs: 0 });
    const { incarnation } = await engine.report();
    await engine.command({ kind: EngineCommandKind.LoadVersion, fencingToken: 1, version: "v2" });
    emulated.faults.apply({ poison: "BOOM" });
    const events = await collect(listen => engine.generate(makeRequest("a", "so BOOM it goes"), listen));
    assert.equal(events.at(-1)?.kind, EngineEventKind.Broken);
    await assert.rejects(engine.report());
    await waitUntil(() => engine.report().then(() => true, () => false));
    const report = await engine.report();
    assert.deepEqual([report.version, report.usedTokens, report.incarnation === incarnation], ["v1", 0, false]);
});

function waitForSilence(delayMs: number): Promise<"silent"> {
    return new Promise(resolve => setTimeout(() => resolve("silent"), delayMs));
}
