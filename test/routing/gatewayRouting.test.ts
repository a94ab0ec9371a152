import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { Route, RouteKind, ServingConfiguration } from "../../src/ports/servingConfiguration.js";
import { createLoadLedger, WorkItem, WorkPhase } from "../../src/routing/loadLedger.js";
import { placeOnPlainService, PlainView } from "../../src/routing/plainPlacement.js";
import { buildRouteTable, chooseService } from "../../src/routing/routeTable.js";
import { createSlowdownEstimate } from "../../src/routing/slowdownEstimate.js";

function makeRoute(host: string, prefix: string): Route {
    return {
        name: `${host}${prefix}`,
        host,
        prefix,
        kind: RouteKind.Safe,
        rank: 0,
        shares: [{ service: "s", weight: 1 }],
        maxEndpoints: 1,
        isPublic: false,
        isResumable: false,
    };
}

const configuration: ServingConfiguration = {
    version: 3,
    routes: [
        makeRoute("a.example", "/"),
        makeRoute("a.example", "/x/"),
        makeRoute("a.example", "/x/y/"),
        makeRoute(
            "b.example",
            "/x/",
        ),
    ],
    services: new Map(),
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    customers: [{ name: "planner", keys: ["k1", "k2"] }],
};

describe("routes", () => {
    const cases: readonly [string, string, string | undefined][] = [
        ["a.example", "/x/y/z", "a.example/x/y/"],
        ["a.example", "/x/yy", "a.example/x/"],
        ["a.example", "/x/y", "a.example/x/"],
        ["a.example", "/x", "a.example/"],
        ["A.Example:8080", "/x/1", "a.example/x/"],
        ["b.example", "/x/1?p=/x/y/", "b.example/x/"],
        ["b.example", "/y/", undefined],
        ["c.example", "/x/", undefined],
    ];
    for (const [host, path, expected] of cases) {
        test(`${host}${path} matches ${expected ?? "no route"}`, () => {
            assert.equal(buildRouteTable(configuration).findRoute(host, path)?.name, expected);
        });
    }

    test("each key identifies its customer", () => {
        assert.equal(buildRouteTable(configuration).findCustomer("k2")?.name, "planner");
        assert.equal(buildRouteTable(configuration).findCustomer("k3"), undefined);
    });

    test("a traffic split follows its weights, and the same request id always gets the same service", () => {
        const shares = [{ service: "a", weight: 90 }, { service: "b", weight: 10 }];
        const chosen = Array.from({ length: 2_000 }, (unused, index) => chooseService(shares, `request-${index}`));
        const share = chosen.filter(service => service === "b").length / chosen.length;
        assert.ok(share > 0.07 && share < 0.13, `${share}`);
        assert.equal(chooseService(shares, "request-1"), chosen[1]);
    });
});

describe("placement on plain services", () => {
    const makeView = (id: string, changes: Partial<PlainView> = {}): PlainView => ({
        id,
        address: id,
        dataCentre: "a",
        isTrial: false,
        hasSuspect: false,
        running: 0,
        slots: 6,
        ...changes,
    });
    const request = { avoid: new Set<string>(), dataCentre: "a", isUnsafe: true, isSuspect: false };

    test("chooses the endpoint with the lowest utilization, and on a tie one in the gateway's own data centre", () => {
        const views = [makeView("x", { running: 2 }), makeView("y", { dataCentre: "b" }), makeView("z")];
        assert.equal(placeOnPlainService(request, views)!.id, "z");
    });

    test("a request that must run at most once tests a failed endpoint only if there is no other", () => {
        const tried = makeView("tried", { isTrial: true });
        assert.equal(placeOnPlainService(request, [tried, makeView("busy", { running: 5 })])!.id, "busy");
        assert.equal(placeOnPlainService(request, [tried])!.id, "tried");
    });

    test("places no request on an endpoint whose slots and queue are full", () => {
        assert.equal(placeOnPlainService(request, [makeView("x", { running: 9 })]), undefined);
    });

    test("does not place requests that may crash endpoints beside each other, where all would count as later arrivals", () => {
        const suspect = { ...request, isSuspect: true };
        const views = [makeView("x", { hasSuspect: true, running: 1 }), makeView("y", { running: 5 })];
        assert.equal(placeOnPlainService(suspect, views)!.id, "y");
        assert.equal(placeOnPlainService(suspect, views.slice(0, 1)), undefined);
        assert.equal(placeOnPlainService(request, views)!.id, "x");
    });
});

describe("load ledger", () => {
    const makeItem = (key: string, endpoint = "e"): WorkItem => ({
        key,
        endpoint,
        prefillMs: 30,
        tokens: 1,
        dueAtMs: 0,
        phase: WorkPhase.Prefill,
        phaseSinceMs: 0,
        endsAtMs: 1_000,
        isSuspect: false,
    });

    test("work of a gateway that no longer reports expires some time after its predicted end", () => {
        const ledger = createLoadLedger();
        ledger.replacePeer("peer", [makeItem("p1")]);
        ledger.expire(3_000);
        assert.equal(ledger.listAt("e", 3_000).length, 1);
        ledger.expire(4_100);
        assert.equal(ledger.listAt("e", 4_100).length, 0);
    });

    test("a full report replaces the earlier work of a gateway, an incremental report changes it", () => {
        const ledger = createLoadLedger();
        ledger.replacePeer("peer", [makeItem("p1"), makeItem("p2")]);
        ledger.updatePeer("peer", [makeItem("p3")], ["p1"]);
        assert.deepEqual(ledger.listAt("e", 0).map(item => item.key).sort(), ["p2", "p3"]);
        ledger.replacePeer("peer", [makeItem("p4")]);
        assert.deepEqual(ledger.listAt("e", 0).map(item => item.key), ["p4"]);
    });

    test("a restarted endpoint has none of the work of its previous incarnation", () => {
        const ledger = createLoadLedger();
        ledger.add(makeItem("own"));
        ledger.replacePeer("peer", [makeItem("p1"), makeItem("p2", "other")]);
        ledger.forgetEndpoint("e");
        assert.equal(ledger.listAt("e", 0).length, 0);
        assert.equal(ledger.listAt("other", 0).length, 1);
    });
});

describe("slowdown estimate", () => {
    test("one long gap does not make an endpoint count as slow, five in a row do", () => {
        const slowdown = createSlowdownEstimate();
        [50, 400, 50, 52, 51].forEach((gapMs, index) => slowdown.record("e", gapMs, 50, index));
        assert.equal(slowdown.getSlowdown("e", 10), 1);
        [200, 210, 205, 250, 400].forEach((gapMs, index) => slowdown.record("e", gapMs, 50, 10 + index));
        assert.equal(slowdown.getSlowdown("e", 20), 4);
        assert.equal(slowdown.getSlowdown("e", 6_000), 1, "a formerly slow endpoint is used again");
    });
});
