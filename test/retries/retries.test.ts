import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createSeededRandomSource } from "../../src/base/randomSource.js";
import { ErrorCode } from "../../src/base/requestError.js";
import { Verdict } from "../../src/base/verdict.js";
import { computeBudgetBurst } from "../../src/retries/budgetShare.js";
import { createRetryBudget, defaultRetryBudgetSettings } from "../../src/retries/retryBudget.js";
import { decideRetry, FailedAttempt, maxAttempts, RetryDecision } from "../../src/retries/retryPolicy.js";

const failed: FailedAttempt = {
    code: ErrorCode.EndpointFailed,
    verdict: Verdict.MayHaveRun,
    repeatable: true,
    delivered: false,
    remainingMs: 1_000,
    attempts: 1,
};

const cases: readonly (readonly [string, Partial<FailedAttempt>, RetryDecision])[] = [
    ["idempotent work that may have run", {}, RetryDecision.Retry],
    ["non-idempotent work that may have run", { repeatable: false }, RetryDecision.GiveUp],
    ["non-idempotent work that did not run", { repeatable: false, verdict: Verdict.NotRun }, RetryDecision.Retry],
    ["work that ran", { verdict: Verdict.Ran }, RetryDecision.GiveUp],
    ["a response that the customer has received in part", { delivered: true }, RetryDecision.GiveUp],
    ["no time left", { remainingMs: 0 }, RetryDecision.GiveUp],
    ["too many attempts", { attempts: maxAttempts }, RetryDecision.GiveUp],
    [
        "a refusal that every endpoint would repeat",
        { code: ErrorCode.PromptTooLarge, verdict: Verdict.NotRun },
        RetryDecision.GiveUp,
    ],
    ["an unknown outcome of a keyed call", { code: ErrorCode.OutcomeUnknown, repeatable: false }, RetryDecision.GiveUp],
    [
        "an endpoint that leaves",
        { code: ErrorCode.Leaving, verdict: Verdict.NotRun, repeatable: false },
        RetryDecision.Reroute,
    ],
    [
        "a restarted sidecar",
        { code: ErrorCode.StaleIncarnation, verdict: Verdict.NotRun, repeatable: false },
        RetryDecision.Reroute,
    ],
];

describe("retry decision", () => {
    for (const [name, change, expected] of cases) {
        test(name, () => assert.equal(decideRetry({ ...failed, ...change }), expected));
    }
});

describe("retry budget", () => {
    const requests = 20_000;
    /** Requirement: extra attempts are at most 10% of the requests, plus the initial burst once. */
    const maxExtra = requests * 0.1 + defaultRetryBudgetSettings.burst;

    // Guards against retries that multiply the load on failing endpoints.
    for (const failingShare of [0.5, 1]) {
        test(`extra attempts stay within the budget while a share of ${failingShare} of attempts fails`, () => {
            const random = createSeededRandomSource(7);
            const budget = createRetryBudget(defaultRetryBudgetSettings);
            let extra = 0;
            let wanted = 0;
            for (let request = 0; request < requests; request++) {
                budget.recordRequest();
                for (let attempts = 1; random() < failingShare; attempts++) {
                    if (decideRetry({ ...failed, attempts }) === RetryDecision.GiveUp) {
                        break;
                    }
                    wanted++;
                    if (!budget.acquire()) {
                        break;
                    }
                    extra++;
                }
            }
            assert.ok(extra <= maxExtra, `${extra} extra attempts for ${requests} requests`);
            assert.ok(wanted > 2 * extra, "the load was too small to show the budget");
        });
    }

    test("an entry with little traffic can retry at once", () => {
        const budget = createRetryBudget(defaultRetryBudgetSettings);
        budget.recordRequest();
        assert.equal(budget.acquire(), true);
    });
});

describe("a gateway's share of the retry budget", () => {
    test("all gateways together stay within the slack, even if some do not see each other", () => {
        for (const gateways of [1, 2, 4, 7, 11, 610]) {
            const known = [1, gateways];
            for (const count of known) {
                const burst = computeBudgetBurst(102, count);
                const sharers = count === gateways ? gateways : Math.min(gateways, 4);
                assert.ok(burst * sharers <= 102, `${gateways} gateways, ${count} known: ${burst} each`);
            }
        }
    });

    test("a smaller burst takes effect at once", () => {
        const budget = createRetryBudget({ ratio: 0.16, burst: 20 });
        budget.setBurst(7);
        assert.equal(budget.getBalance(), 7);
        for (let count = 0; count < 100; count++) {
            budget.recordRequest();
        }
        assert.equal(budget.getBalance(), 7);
    });
});
