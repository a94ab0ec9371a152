import assert from "node:assert/strict";
import { suite, test } from "node:test";
import { createSeededRandomSource } from "../../src/base/randomSource.js";
import { computeApertureCoverage, defaultApertureSettings, selectAperture } from "../../src/routing/aperture.js";
import { LoadReport } from "../../src/routing/loadReport.js";
import { computeLateness } from "../../src/routing/modelCapacity.js";
import { predictFirstTokenMs } from "../../src/routing/predictFirstToken.js";
import { createPredictivePolicy, defaultPredictiveSettings } from "../../src/routing/predictivePolicy.js";
import { EndpointView, RouteRequest } from "../../src/routing/routing.js";
import { createTokenEstimate } from "../../src/routing/tokenEstimate.js";

const ranks = ["urgent", "normal", "bulk"];
const rate = 20_000;

function makeLoad(pending: Readonly<Record<string, readonly [short: number, long: number]>> = {}): LoadReport {
    const loads = ranks.map(rank => {
        const [pendingShortTokens, pendingLongTokens] = pending[rank] ?? [0, 0];
        return { rank, queued: 0, queuedTokens: 0, pendingShortTokens, pendingLongTokens };
    });
    return {
        running: 0,
        queued: 0,
        pendingPrefillTokens: loads.reduce((sum, load) => sum + load.pendingShortTokens + load.pendingLongTokens, 0),
        reservedTokens: 0,
        memoryTokens: 400_000,
        prefillTokensPerSecond: rate,
        decodeTokensPerSecond: 40,
        ranks: loads,
        version: "v1",
        reconciledGeneration: 0,
        acceptsLongPrompts: true,
    };
}

function makeView(name: string, changes: Partial<EndpointView> = {}): EndpointView {
    return {
        name,
        dataCentre: "larissa",
        available: true,
        load: makeLoad(),
        loadAgeMs: 0,
        outstandingRequests: 0,
        dispatched: [],
        latencyMs: 1,
        warmPrefixes: new Set(),
        ...changes,
    };
}

function makeRequest(changes: Partial<RouteRequest> = {}): RouteRequest {
    return {
        id: "r",
        customer: "planner",
        rank: "normal",
        model: "demo",
        promptTokens: 1_000,
        maxOutputTokens: 50,
        prefixDigest: "prefix",
        remainingMs: 10_000,
        excluded: new Set(),
        ...changes,
    };
}

suite("prediction of the time to first token", () => {
    const cases: readonly (readonly [string, Partial<RouteRequest>, Partial<EndpointView>, number, number])[] = [
        ["an idle endpoint takes the prompt's prefill and the round trip of the link", {}, {}, 0, 52],
        ["cached tokens take no time", {}, {}, 600, 22],
        ["less urgent work is not ahead", {}, { load: makeLoad({ bulk: [9_000, 300_000] }) }, 0, 52],
        ["more urgent work of any length is ahead", {}, { load: makeLoad({ urgent: [2_000, 8_000] }) }, 0, 552],
        [
            "long prompts of the rank are not ahead of a short one",
            {},
            { load: makeLoad({ normal: [2_000, 99_000] }) },
            0,
            152,
        ],
        [
            "short prompts of the rank are ahead of a long one",
            { promptTokens: 20_000 },
            { load: makeLoad({ normal: [2_000, 4_000] }) },
            0,
            1_302,
        ],
        [
            "dispatches since the report are ahead",
            {},
            { dispatched: [{ rank: "normal", promptTokens: 2_000 }] },
            0,
            152,
        ],
        [
            "a long prompt dispatched to a lower rank is not ahead",
            {},
            { dispatched: [{ rank: "bulk", promptTokens: 90_000 }] },
            0,
            52,
        ],
        [
            "full memory adds the wait for a running request to end",
            {},
            { load: { ...makeLoad(), reservedTokens: 399_500 } },
            0,
            1_052,
        ],
    ];
    for (const [name, request, view, cached, expectedMs] of cases) {
        test(
            name,
            () => assert.equal(predictFirstTokenMs(makeRequest(request), makeView("e", view), cached), expectedMs),
        );
    }
});

suite("choice of an endpoint", () => {
    function choose(
        request: RouteRequest,
        views: readonly EndpointView[],
        policy = createPredictivePolicy(defaultPredictiveSettings),
    ) {
        const context = { dataCentre: "larissa", random: createSeededRandomSource(5), decision: 0 };
        return policy.choose(request, views, context);
    }
    const busy = (tokens: number) => ({ load: makeLoad({ normal: [tokens, 0] }) });
    const cases: readonly (readonly [string, readonly EndpointView[], string | undefined])[] = [
        ["the endpoint with the shortest predicted time", [makeView("a", busy(4_000)), makeView("b")], "b"],
        ["the own data centre while another is better by less than the margin", [
            makeView("own", busy(160)),
            makeView("far", { dataCentre: "volos" }),
        ], "own"],
        [
            "another data centre when it is better by more than the margin",
            [makeView("own", busy(600)), makeView("far", { dataCentre: "volos" })],
            "far",
        ],
        ["another data centre when it is the only one available", [
            makeView("own", { available: false }),
            makeView("far", { dataCentre: "volos" }),
        ], "far"],
        ["nothing when none is available", [makeView("own", { available: false })], undefined],
    ];
    for (const [name, views, expected] of cases) {
        test(name, () => assert.equal(choose(makeRequest(), views)?.endpoint, expected));
    }

    test("an endpoint that refused is not chosen again", () => {
        const views = [makeView("a"), makeView("b", busy(4_000))];
        assert.equal(choose(makeRequest({ excluded: new Set(["a"]) }), views)?.endpoint, "b");
    });

    test("requests with the same prefix go to the endpoint that has it cached, up to the load bound", () => {
        const policy = createPredictivePolicy(defaultPredictiveSettings);
        const names = Array.from({ length: 20 }, (unused, index) => `engine-${index}`);
        const first = choose(makeRequest(), names.map(name => makeView(name)), policy)!.endpoint;
        policy.recordUsage("prefix", 900);
        const views = (outstandingRequests: number) =>
            names.map(name => makeView(name, name === first ? { outstandingRequests } : {}));
        assert.deepEqual(
            [choose(makeRequest(), views(1), policy)?.reason, choose(makeRequest(), views(1), policy)?.endpoint],
            ["warm", first],
        );
        assert.notEqual(choose(makeRequest(), views(10), policy)?.endpoint, first);
    });

    test("calls with the same affinity key reach the same endpoint from every entry", () => {
        const views = Array.from({ length: 5 }, (unused, index) => makeView(`booking-${index}`));
        const call = makeRequest({ model: undefined, promptTokens: 0, affinityKey: "key-1" });
        assert.equal(choose(call, views)?.endpoint, choose(call, [...views].reverse())?.endpoint);
    });

    test("a part of the endpoints, sized by demand, is reserved for short prompts", () => {
        const policy = createPredictivePolicy(defaultPredictiveSettings);
        const random = createSeededRandomSource(3);
        const views = Array.from({ length: 20 }, (unused, index) => makeView(`engine-${index}`));
        const used = { short: new Map<string, number>(), long: new Map<string, number>() };
        for (let index = 0; index < 4_000; index++) {
            // One long prompt in 50 requests: 24,500 short tokens beside 100,000 long ones.
            const isLong = index % 50 === 0;
            const request = makeRequest({
                promptTokens: isLong ? 100_000 : 500,
                prefixDigest: String(Math.floor(random() * 1e6)),
            });
            const { endpoint } = policy.choose(request, views, { dataCentre: "larissa", random, decision: index })!;
            const counts = isLong ? used.long : used.short;
            if (index >= 2_000) {
                counts.set(endpoint, (counts.get(endpoint) ?? 0) + 1);
            }
        }
        const free = views.filter(view => !used.long.has(view.name)).length;
        assert.ok(free >= 2 && free <= 6, `${free} endpoints without long prompts`);
    });
});

suite("refusal before the body is received", () => {
    const busy = makeLoad({ urgent: [30_000, 0], normal: [500_000, 500_000] });
    const cases: readonly (readonly [string, string, number, readonly Partial<EndpointView>[], number])[] = [
        ["a prompt that an idle endpoint prefills in time", "normal", 40_000, [{}], 0],
        ["a prompt that no endpoint prefills in time", "normal", 240_000, [{}, {}], 2_000],
        ["the backlog of other customers in the rank does not count", "normal", 40_000, [{ load: busy }], 0],
        ["more urgent work counts", "normal", 180_000, [{ load: busy }], 500],
        ["the guaranteed share bounds what more urgent work delays", "normal", 5_000, [
            { load: makeLoad({ urgent: [900_000, 0] }) },
        ], 0],
        ["one free endpoint is enough", "normal", 180_000, [{ load: busy }, {}], 0],
        ["an endpoint without a report may be in time", "normal", 900_000, [{ load: undefined }], 0],
        ["no known endpoint is no reason to refuse", "normal", 900_000, [], 0],
    ];
    for (const [name, rank, promptTokens, views, expectedMs] of cases) {
        test(name, () => {
            const request = { rank, rankShare: 0.05, promptTokens, limitMs: 10_000 };
            assert.equal(computeLateness(request, views.map((view, index) => makeView(`e${index}`, view))), expectedMs);
        });
    }
});

test("the token estimate converges to an engine's usage figures", () => {
    const estimate = createTokenEstimate();
    assert.equal(estimate.compute("demo", 4_000, 4), 1_000);
    for (let index = 0; index < 100; index++) {
        estimate.record("demo", 3_000, 1_000);
    }
    assert.equal(estimate.compute("demo", 6_000, 4), 2_000);
    assert.equal(estimate.compute("other", 4_000, 4), 1_000);
});

suite("aperture", () => {
    const dataCentres = Array.from({ length: 6 }, (unused, index) => `dataCentre-${index}`);
    const endpoints = Array.from(
        { length: 7_700 },
        (unused, index) =>
            [`engine-${index}`, {
                dataCentre: dataCentres[index % 6]!,
                model: `model-${Math.floor(index / 6) % 7}`,
            }] as const,
    );

    test("with 610 entries and bounded links, each of 7,700 endpoints has links from enough entries", () => {
        const entries = Array.from({ length: 610 }, (unused, index) => ({
            entry: `entry-${index}`,
            dataCentre: dataCentres[index % 6]!,
        }));
        const coverage = computeApertureCoverage(entries, endpoints, defaultApertureSettings);
        console.log(`aperture: ${JSON.stringify(coverage)}`);
        assert.equal(coverage.maxLinks, 336);
        assert.ok(coverage.minEntries >= 8, `an endpoint has links from only ${coverage.minEntries} entries`);
        assert.ok(
            coverage.maxEntries <= 2 * coverage.meanEntries,
            `an endpoint has links from ${coverage.maxEntries} entries`,
        );
    });

    test("a change of the endpoints changes few links of an entry", () => {
        const entry = { entry: "entry-1", dataCentre: "dataCentre-0" };
        const before = new Set(selectAperture(entry, endpoints, defaultApertureSettings).map(([name]) => name));
        const after = selectAperture(entry, endpoints.slice(77), defaultApertureSettings);
        const added = after.filter(([name]) => !before.has(name)).length;
        assert.ok(added <= 12, `${added} new links after 77 of 7,700 endpoints left`);
    });

    test("an entry links to all endpoints of a small fleet", () => {
        const few = endpoints.slice(0, 40);
        assert.deepEqual(
            selectAperture({ entry: "e", dataCentre: "dataCentre-1" }, few, defaultApertureSettings).length,
            40,
        );
    });
});
