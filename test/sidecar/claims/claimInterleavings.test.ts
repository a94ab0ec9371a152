import { test } from "node:test";
import { checkInterleavings } from "../../support/fuzz.js";
import { runScenario, scenario } from "./claimInterleavings.js";

const settings = { seed: 20_261_204, runs: 150 };

test("no interleaving of sends, faults, pauses and crashes runs a key twice or reports a run as not run", async t => {
    const count = await checkInterleavings(scenario, runScenario, settings);
    t.diagnostic(`seed ${settings.seed}: ${count} different interleavings in ${settings.runs} runs`);
});
