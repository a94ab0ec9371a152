// Runs the soak test with many seeds: npm run soak -- --seeds 50 --first 1 --jobs 3 [--crashing SHARE] [--crashingPlain SHARE] [--restored]
import { mkdir, writeFile } from "node:fs/promises";
import { parseArgs } from "node:util";
import { runSoak, SoakResult } from "./soak.js";

const { values } = parseArgs({
    options: {
        seeds: { type: "string", default: "5" },
        first: { type: "string", default: "1" },
        jobs: { type: "string", default: "2" },
        gateways: { type: "string", default: "3" },
        engines: { type: "string", default: "5" },
        crashing: { type: "string", default: "0" },
        crashingPlain: { type: "string", default: "0" },
        restored: { type: "boolean", default: false },
        out: { type: "string", default: "out/soak" },
    },
});

const seeds = Array.from({ length: Number(values.seeds) }, (unused, index) => Number(values.first) + index);
const crashingShare = Number(values.crashing);
const crashingPlainShare = Number(values.crashingPlain);
const results: SoakResult[] = [];

async function runJob(): Promise<void> {
    for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
        const result = await runSoak({
            seed,
            faultMs: 10_000,
            gateways: Number(values.gateways),
            engines: Number(values.engines),
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

await Promise.all(Array.from({ length: Number(values.jobs) }, runJob));
const failedSeeds = results.filter(result => result.violations.length > 0).map(result => result.seed);
console.log(
    `${results.length} seeds, ${failedSeeds.length} with invariant violations${
        failedSeeds.length > 0 ? `: ${failedSeeds.join(" ")}` : ""
    }`,
);
process.exit(failedSeeds.length === 0 ? 0 : 1);
