import { runFuzzFile } from "../../support/fuzz.js";
import { runScenario, scenario } from "./claimInterleavings.js";

await runFuzzFile("claims of keyed calls", scenario, runScenario);
