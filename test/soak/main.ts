// Runs the soak test with many seeds: npm run soak -- --seeds 50 --first 1 --jobs 3 [--crashing SHARE] [--crashingPlain SHARE] [--restored]
import { mkdir, writeFile } from "node:fs/promises";
import { parseCommandOptions } from "../../bench/lib/commandOptions.js";
import { runSoak, SoakResult } from "./soak.js";

const values = parseCommandOptions("npm run soak --", "Runs the soak test with many seeds.", {
    seeds: { type: "number", default: 5, description: "number of seeds" },
    first: { type: "number", default: 1, description: "first seed" },
    jobs: { type: "number", default: 2, description: "runs at the same time" },
    gateways: { type: "number", default: 3, description: "gateways of a run" },
    engines: { type: "number", default: 5, description: "engines of a run" },
    crashing: { type: "number", default: 0, description: "share of prompts that crash engines" },
    crashingPlain: { type: "number", default: 0, description: "share of plain requests that crash their endpoint" },
    restored: { type: "boolean", default: false, description: "restores the store from an older copy" },
    out: { type: "string", default: "out/soak", description: "directory for the logs of failed runs" },
});

const seeds = Array.from({ length: values.seeds }, (unused, index) => values.first + index);
const crashingShare = values.crashing;
const crashingPlainShare = values.crashingPlain;
const results: SoakResult[] = [];

async function runJob(): Promise<void> {
    for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
        const result = await runSoak({
            seed,
            faultMs: 10_000,
            gateways: values.gateways,
            engines: values.engines,
            services: 3,
            requestsPerSecond: 40,
            isStoreRestored: values.restored,
            ...(crashingShare > 0 ? { crashingShare } : {}),
            ...(crashingPlainShare > 0 ? { crashingPlainShare } : {}),
            ...(crashingShare + crashingPlainShare > 0 ? { faultFreeMs: 7_000 } : {}),
        });
        results.push(result);
        console.log(
            `seed ${seed}: ${result.requests} requests, ${result.served} served, ${result.faults.length} faults, `
                + `${result.violations.length} invariant violations`,
        );
        if (result.violations.length > 0) {
            result.violations.slice(0, 5).forEach(line => console.log(`  ${line}`));
            await mkdir(values.out, { recursive: true });
            const text = [...result.violations, ...result.faults, ...result.logs].join("\n");
            await writeFile(`${values.out}/seed-${seed}.log`, text);
        }
    }
}

await Promise.all(Array.from({ length: values.jobs }, runJob));
const failedSeeds = results.filter(result => result.violations.length > 0).map(result => result.seed);
console.log(
    `${results.length} seeds, ${failedSeeds.length} with invariant violations${
        failedSeeds.length > 0 ? `: ${failedSeeds.join(" ")}` : ""
    }`,
);
process.exit(failedSeeds.length === 0 ? 0 : 1);
