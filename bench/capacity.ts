// Measures how the costs of entry, sidecar and log grow with size, and fits a line through at least four sizes of each.
// node --expose-gc out/bench/capacity.js [--only GROUP]
import { execFileSync } from "node:child_process";
import { mkdir, writeFile } from "node:fs/promises";
import { loadavg } from "node:os";
import { parseCommandOptions } from "./lib/commandOptions.js";
import { formatEvenness } from "./lib/evenness.js";
import { formatSlopes, LinearFit } from "./lib/linearFit.js";
import {
    measureClaims,
    measureConfiguration,
    measureCustomers,
    measureLogAppends,
    measureQueue,
} from "./lib/slopesInProcess.js";
import { measureIdleEntry, measureInFlight, measureLinks, measureTokens } from "./lib/slopesProcess.js";

const seed = 45;
const resultsDirectory = "bench/results";
const groups: Readonly<Record<string, () => readonly LinearFit[] | Promise<readonly LinearFit[]>>> = {
    "configuration": measureConfiguration,
    "customers": measureCustomers,
    "queue": measureQueue,
    "claims": measureClaims,
    "log": measureLogAppends,
    "in-flight": measureInFlight,
    "links": measureLinks,
    "rest": measureIdleEntry,
    "tokens": () => measureTokens(seed),
};

const options = parseCommandOptions("npm run capacity --", "Measures how costs grow with size, and fits lines.", {
    only: { type: "string", array: true, description: "groups to measure instead of all" },
});
const commit = execFileSync("git", ["rev-parse", "--short", "HEAD"], { encoding: "utf8" }).trim();
const evennessName = "evenness";
const isSelected = (name: string) => options.only === undefined || options.only.includes(name);
await mkdir(resultsDirectory, { recursive: true });

for (const [name, measure] of Object.entries(groups)) {
    if (!isSelected(name)) {
        continue;
    }
    const slopes = await measure();
    const header = `Command \`npm run capacity -- --only ${name}\`, seed ${seed}, commit ${commit}, `
        + `load average ${loadavg()[0]!.toFixed(1)} on ${execFileSync("nproc", { encoding: "utf8" }).trim()} cores.`;
    const text = `## Slopes: ${name}\n\n${header}\n\n${formatSlopes(slopes)}\n`;
    console.log(text);
    await writeFile(`${resultsDirectory}/capacity-${name}.md`, text);
    await writeFile(
        `${resultsDirectory}/capacity-${name}.json`,
        JSON.stringify({ commit, seed, slopes }, undefined, 1) + "\n",
    );
}
if (isSelected(evennessName)) {
    const text =
        `## Aperture at full size\n\nCommand \`npm run capacity -- --only ${evennessName}\`, commit ${commit}. `
        + `610 entries, 7,700 endpoints of 7 models in 6 data centres.\n\n${formatEvenness()}\n`;
    console.log(text);
    await writeFile(`${resultsDirectory}/capacity-${evennessName}.md`, text);
}
process.exit(0);
