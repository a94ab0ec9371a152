import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { LimitDivision, LimitLoad, runLimitReplay } from "../../bench/replay/limitReplay.js";
import { createEndpointLimits } from "../../src/membership/endpointLimits.js";
import { createLimitBudget, LimitSharing } from "../../src/scheduling/limitBudget.js";

const alone: LimitSharing = { gateways: 1, heard: 1 };

/** Counts the requests that one gateway sends if it always wants to. */
function countSent(perSecond: number, sharing: LimitSharing, durationMs: number): number {
    const budget = createLimitBudget(() => 0);
    budget.setLimit("e", perSecond, 0);
    let sent = 0;
    for (let nowMs = 0; nowMs < durationMs; nowMs += 10) {
        if (budget.canSend("e", sharing, nowMs)) {
            budget.recordDispatch("e", true, sharing, nowMs);
            sent += 1;
        }
    }
    return sent;
}

describe("budget of a limit", () => {
    test("an endpoint without a limit is always open", () => {
        assert.ok(createLimitBudget(() => 0).canSend("e", alone, 0));
    });

    test("a gateway that hears nobody has its equal share of the limit", () => {
        assert.equal(countSent(2, { gateways: 4, heard: 1 }, 60_000), 28);
        assert.equal(countSent(0.1, alone, 60_000), 5);
    });

    test("an endpoint that accepts none is still asked, since only an answer shows that it accepts more", () => {
        assert.equal(countSent(0, alone, 200_000), 9);
    });

    test("requests of others use up what a gateway could lend, but not its own part", () => {
        const sharing = { gateways: 4, heard: 4 };
        const budget = createLimitBudget(() => 0);
        budget.setLimit("e", 4, 0);
        let sent = 0;
        for (let nowMs = 0; nowMs < 60_000; nowMs += 10) {
            if (nowMs % 250 === 0) {
                budget.recordDispatch("e", false, sharing, nowMs);
            }
            if (budget.canSend("e", sharing, nowMs)) {
                budget.recordDispatch("e", true, sharing, nowMs);
                sent += 1;
            }
        }
        assert.ok(sent >= 11 && sent <= 13, `${sent} sent`);
    });

    test("unused requests do not accumulate beyond a second", () => {
        const budget = createLimitBudget(() => 0);
        budget.setLimit("e", 2, 0);
        let sent = 0;
        while (budget.canSend("e", alone, 600_000)) {
            budget.recordDispatch("e", true, alone, 600_000);
            sent += 1;
        }
        assert.ok(sent <= 3, `${sent} at once after ten minutes`);
    });

    test("a changed limit is in force at once, an ended one is none", () => {
        const budget = createLimitBudget(() => 0);
        budget.setLimit("e", 0.01, 0);
        assert.ok(!budget.canSend("e", alone, 1_000));
        budget.setLimit("e", 10, 1_000);
        assert.ok(budget.canSend("e", alone, 1_500));
        budget.setLimit("e", undefined, 1_500);
        assert.ok(budget.canSend("e", alone, 1_500));
    });

    test("no gateway goes without while all have requests, wherever their allowances began", () => {
        const sharing = { gateways: 3, heard: 3 };
        // Numbers from 0 to 1 for the allowance and the own part at the start, and for the first spread.
        const starts = [0.95, 0.5, 0.05];
        const budgets = starts.map(start => {
            const first = [start, 0, 0.5];
            return createLimitBudget(() => first.shift() ?? 0.5);
        });
        budgets.forEach(budget => budget.setLimit("e", 2, 0));
        const sent = budgets.map(() => 0);
        for (let nowMs = 0; nowMs < 20_000; nowMs += 10) {
            const index = budgets.findIndex(budget => budget.canSend("e", sharing, nowMs));
            budgets.forEach((budget, other) =>
                index >= 0 && budget.recordDispatch("e", other === index, sharing, nowMs)
            );
            sent[index]! += 1;
        }
        assert.ok(sent.every(count => count >= 10), `of 38 requests the gateways sent ${sent.join(", ")}`);
    });

    const ordinary: LimitLoad = {
        gateways: 4,
        cellSize: 4,
        perSecond: 0.5,
        demandPerSecond: 2,
        isUneven: false,
        lostMessages: 0.03,
        isCutOff: false,
    };
    const loads: readonly (readonly [string, LimitLoad])[] = [
        ["four gateways, a limit under one a second", ordinary],
        ["one gateway has nearly all requests", { ...ordinary, perSecond: 10, demandPerSecond: 30, isUneven: true }],
        ["a tenth of the messages is lost", { ...ordinary, perSecond: 10, demandPerSecond: 30, lostMessages: 0.1 }],
        ["nobody hears another", { ...ordinary, perSecond: 10, demandPerSecond: 30, isCutOff: true }],
        ["30 gateways in cells of 8", { ...ordinary, gateways: 30, cellSize: 8 }],
        ["30 gateways, nobody hears another", {
            ...ordinary,
            gateways: 30,
            perSecond: 5,
            demandPerSecond: 30,
            isCutOff: true,
        }],
    ];
    for (const [name, load] of loads) {
        test(`the sum of all gateways stays within what an endpoint allows: ${name}`, () => {
            for (const seed of [1, 2, 3]) {
                const { mostOfAllowed } = runLimitReplay(load, LimitDivision.Lent, seed);
                assert.ok(mostOfAllowed <= 1, `seed ${seed}: ${mostOfAllowed} of what is allowed`);
            }
        });
    }
});

describe("known limits", () => {
    test("the newest answer holds, whichever gateway received it", () => {
        const limits = createEndpointLimits();
        assert.ok(limits.record({ endpoint: "e", perSecond: 2, observedAtMs: 100 }));
        assert.ok(!limits.record({ endpoint: "e", perSecond: 5, observedAtMs: 90 }), "an older answer");
        assert.equal(limits.find("e")?.perSecond, 2);
        assert.ok(limits.record({ endpoint: "e", perSecond: undefined, observedAtMs: 200 }));
        assert.equal(limits.find("e"), undefined);
        assert.ok(!limits.record({ endpoint: "e", perSecond: 2, observedAtMs: 150 }), "the limit has ended since");
    });

    test("an endpoint that never named a limit takes no memory, and one whose limit ended only for a while", () => {
        const limits = createEndpointLimits();
        assert.ok(!limits.record({ endpoint: "e", perSecond: undefined, observedAtMs: 0 }));
        limits.record({ endpoint: "f", perSecond: 1, observedAtMs: 0 });
        limits.record({ endpoint: "f", perSecond: undefined, observedAtMs: 1 });
        assert.equal(limits.list(100).length, 1);
        assert.equal(limits.list(20_000).length, 0);
    });
});
