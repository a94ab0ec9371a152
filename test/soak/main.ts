// Runs the soak test with many seeds: npm run soak -- --seeds 50 --first 1 --jobs 3 [--crashing SHARE] [--crashingPlain SHARE] [--restored]
// With --kills: gateways are killed while they relay answers with and without a length; customers judge these by their framing.
// With --stops: only planned stops, in series and overlapping, under customers that keep using their connections.
import { mkdir, writeFile } from "node:fs/promises";
import { parseCommandOptions } from "../../bench/lib/commandOptions.js";
import { runKillSoak } from "./killSoak.js";
import { runSoak, SoakResult } from "./soak.js";
import { runStopSoak } from "./stopSoak.js";

const values = parseCommandOptions("npm run soak --", "Runs the soak test with many seeds.", {
    seeds: { type: "number", default: 5, description: "number of seeds" },
    first: { type: "number", default: 1, description: "first seed" },
    jobs: { type: "number", default: 2, description: "runs at the same time" },
    gateways: { type: "number", default: 3, description: "gateways of a run" },
    engines: { type: "number", default: 5, description: "engines of a run" },
    crashing: { type: "number", default: 0, description: "share of prompts that crash engines" },
    crashingPlain: { type: "number", default: 0, description: "share of plain requests that crash their endpoint" },
    failing: {
        type: "number",
        default: 0,
        description: "share of requests that one endpoint of each service fails after it ran them",
    },
    restored: { type: "boolean", default: false, description: "restores the store from an older copy" },
    stops: { type: "boolean", default: false, description: "planned stops instead of faults" },
    kills: { type: "boolean", default: false, description: "gateways that are killed while they relay answers" },
    gateway: { type: "string", description: "program of the gateway for --kills; absent: that of this build" },
    series: { type: "number", default: 2, description: "series of planned stops in a run" },
    out: { type: "string", default: "out/soak", description: "directory for the logs of failed runs" },
});

const seeds = Array.from({ length: values.seeds }, (unused, index) => values.first + index);
const maxPrintedLines = 5;
const crashingShare = values.crashing;
const crashingPlainShare = values.crashingPlain;
const results: Pick<SoakResult, "seed" | "violations">[] = [];

async function writeLog(seed: number, lines: readonly string[]): Promise<void> {
    await mkdir(values.out, { recursive: true });
    await writeFile(`${values.out}/seed-${seed}.log`, lines.join("\n"));
}

async function runStops(seed: number): Promise<void> {
    const result = await runStopSoak({ seed, series: values.series });
    results.push(result);
    console.log(
        `seed ${seed} (${result.plan}): ${result.requests} requests, ${result.answered} answered, `
            + `${result.refused} refused (p50 ${result.refusalP50Ms.toFixed(0)} ms, `
            + `at most ${result.refusalMaxMs.toFixed(0)} ms, ${result.refusedWithoutRetryAfter} without Retry-After), `
            + `${result.failed.length} failed, ${result.brokenOff.length} broken off, `
            + `${result.violations.length} invariant violations`,
    );
    const endings = [...result.failed, ...result.brokenOff];
    [...result.violations.slice(0, maxPrintedLines), ...endings.slice(0, maxPrintedLines)]
        .forEach(line => console.log(`  ${line}`));
    if (result.violations.length > 0) {
        await writeLog(seed, [...result.violations, ...endings, ...result.logs]);
    }
}

async function runKills(seed: number): Promise<void> {
    const result = await runKillSoak({ seed, kills: 8, command: values.gateway ? [values.gateway] : undefined });
    results.push(result);
    console.log(
        `seed ${seed} (${result.gateways} gateways): ${result.requests} requests, ${result.answered} answered, `
            + `${result.cut} cut, ${result.refused} refused, ${result.failed} failed, `
            + `${result.violations.length} invariant violations`,
    );
    result.violations.slice(0, maxPrintedLines).forEach(line => console.log(`  ${line}`));
    if (result.violations.length > 0) {
        await writeLog(seed, [...result.violations, ...result.logs]);
    }
}

async function runJob(): Promise<void> {
    for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
        if (values.kills) {
            await runKills(seed);
            continue;
        }
        if (values.stops) {
            await runStops(seed);
            continue;
        }
        const result = await runSoak({
            seed,
            faultMs: 10_000,
            gateways: values.gateways,
            engines: values.engines,
            services: 3,
            requestsPerSecond: 40,
            isStoreRestored: values.restored,
            ...(values.failing > 0 ? { failingShare: values.failing } : {}),
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
            await writeLog(seed, [...result.violations, ...result.faults, ...result.logs]);
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
