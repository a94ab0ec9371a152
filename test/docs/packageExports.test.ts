import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";

const packageJson = JSON.parse(
    readFileSync(new URL("../../../package.json", import.meta.url), "utf8"),
) as { exports: Record<string, string> };

/** One name that each entry point of the package must export. */
const expected: Readonly<Record<string, string>> = {
    ".": "createSystemTimerService",
    "./config": "computeConfigurationDigest",
    "./idempotency": "createClaimFold",
    "./routing": "chooseRoundRobin",
    "./scheduling": "createFairScheduler",
    "./retries": "createRetryBudget",
    "./quarantine": "createQuarantineState",
    "./rollout": "foldLease",
    "./membership": "createPauseDetector",
};

// Guards against a documented entry point that cannot be imported.
for (const path of Object.keys(packageJson.exports)) {
    test(`the package exports ${path}`, async () => {
        const name = path.replace(/^\./, "jujubelane");
        const imported = await import(name) as Record<string, unknown>;
        assert.equal(typeof imported[expected[path]!], "function", `${path} lacks ${expected[path]}`);
    });
}
