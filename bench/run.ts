// Runs the experiments and measures the cost that the entry adds; writes the results to bench/results or --out.
// With --answers it only prints what relayed streams cost by their framing, with --before PROGRAM beside another gateway.
// With --replay it only prints the table of placement policies, from simulated engines; with --crashes those of requests that crash endpoints, with --limits
// that of divided limits, with --pass the cost of a placement pass, with --ceiling the upper bound of the requests on time in a log.
import { execFileSync } from "node:child_process";
import { mkdir, writeFile } from "node:fs/promises";
import { loadavg } from "node:os";
import { join } from "node:path";
import { createSystemTimerService } from "../src/base/systemTimerService.js";
import { formatLoadSummary, formatMs } from "../src/load/loadReport.js";
import { LoadRun, runLoad } from "../src/load/loadRunner.js";
import { computeLoadSummary } from "../src/load/summary.js";
import { renderAnswerCost } from "./lib/answerCost.js";
import { parseCommandOptions } from "./lib/commandOptions.js";
import { startEngineSampler } from "./lib/engineSampler.js";
import { measureEntryCost } from "./lib/entryCost.js";
import { Experiment, readExperiment } from "./lib/experiment.js";
import { Fleet, getEffectiveRouting, startFleet } from "./lib/fleet.js";
import { computeMeasures } from "./lib/measures.js";
import { PlotRow, renderPlot } from "./lib/plot.js";
import { readUsage } from "./lib/processes.js";
import { formatComparison, formatMeasures, PolicyResult } from "./lib/results.js";
import { renderCeilingReport } from "./replay/ceilingReport.js";
import { renderCrashTable } from "./replay/crashReplay.js";
import { renderLimitTable } from "./replay/limitReplay.js";
import { renderReplayTable } from "./replay/main.js";
import { renderPassTable } from "./replay/placementPass.js";
import { renderPlainCrashTable } from "./replay/plainCrashReplay.js";

const quickPhaseScale = 0.1;
const quickPolicyCount = 2;
const experimentNames = ["kalamokopi", "comhar"];

const options = parseCommandOptions("npm run bench --", "Runs the experiments and measures what the entry adds.", {
    quick: { type: "boolean", default: false, description: "shorter phases and fewer policies" },
    replay: { type: "boolean", default: false, description: "only the table of placement policies" },
    crashes: { type: "boolean", default: false, description: "only the tables of requests that crash endpoints" },
    limits: { type: "boolean", default: false, description: "only the table of divided limits" },
    answers: { type: "boolean", default: false, description: "only the cost of relayed streams by their framing" },
    before: { type: "string", description: "program of another gateway to measure beside this one with --answers" },
    pass: { type: "boolean", default: false, description: "only the cost of a placement pass" },
    ceiling: { type: "string", description: "only the upper bound of the requests on time in this log of gateways" },
    deployment: { type: "string", description: "file with engines and routes for --ceiling (docs/ceiling.md)" },
    only: { type: "string", description: "name of the one experiment or measurement to run" },
    policy: { type: "string", description: "name of the one policy to run" },
    out: { type: "string", default: "bench/results", description: "directory for the results" },
});

if (options.ceiling !== undefined) {
    if (options.deployment === undefined) {
        console.error("--ceiling needs --deployment FILE");
        process.exit(2);
    }
    console.log(await renderCeilingReport(options.ceiling, options.deployment));
    process.exit(0);
}
if (options.answers) {
    console.log(await renderAnswerCost(options.before === undefined ? {} : { before: options.before }));
    process.exit(0);
}
if (options.pass) {
    console.log(renderPassTable());
    process.exit(0);
}
if (options.crashes) {
    console.log(`${renderCrashTable()}\n\n${renderPlainCrashTable()}`);
    process.exit(0);
}
if (options.limits) {
    console.log(renderLimitTable());
    process.exit(0);
}
if (options.replay) {
    console.log(renderReplayTable());
    process.exit(0);
}

interface PolicyRun extends PolicyResult {
    readonly run: LoadRun;
    readonly details: string;
}

function describeFleetUsage(fleet: Fleet): string {
    const describeProcesses = (label: string, processes: Fleet["entries"]) => {
        const usages = processes.map(process => readUsage(process.processId));
        const seconds = usages.reduce((sum, usage) => sum + usage.processorSeconds, 0);
        const largest = Math.max(...usages.map(usage => usage.residentBytes)) / 2 ** 20;
        return `${label} ${seconds.toFixed(1)} s of processor time, at most ${largest.toFixed(0)} MiB resident`;
    };
    return [
        describeProcesses("entries", fleet.entries),
        describeProcesses("sidecars", fleet.sidecars),
        describeProcesses("engines", fleet.engines),
    ].join("; ");
}

async function runPolicy(experiment: Experiment, policy: Experiment["policies"][number]): Promise<PolicyRun> {
    const fleet = await startFleet(experiment, policy);
    const sampler = startEngineSampler(fleet.engines.map(engine => engine.address));
    try {
        const processes = [...fleet.engines, ...fleet.services, ...fleet.sidecars, ...fleet.entries];
        const run = await runLoad(experiment.plan, experiment.seed, fleet.entries.map(entry => entry.address), {
            processes: Object.fromEntries(processes.map(process => [process.name, process.processId])),
            controls: Object.fromEntries(
                [...fleet.engines, ...fleet.services].map(process => [process.name, process.address]),
            ),
        }, createSystemTimerService());
        const summary = computeLoadSummary(run);
        const { lag, eventLoopBusy } = summary.overhead;
        return {
            policy: `${policy.name} (${policy.scheduler}, ${getEffectiveRouting(policy)})`,
            run,
            measures: computeMeasures(experiment, run, sampler),
            details: formatLoadSummary(summary),
            toolLagMs: lag.p99,
            tool: `load tool late by p99 ${formatMs(lag.p99)} ms, its event loop busy ${
                (eventLoopBusy * 100).toFixed(0)
            }%; ${describeFleetUsage(fleet)}; load average ${loadavg()[0]!.toFixed(1)}`,
        };
    }
    finally {
        sampler.stop();
        await fleet.stop();
    }
}

function makePlotRows(experiment: Experiment, result: PolicyRun): PlotRow[] {
    return computeLoadSummary(result.run).byPhaseAndLength
        .filter(group => group.firstToken.count > 0)
        .map(group => {
            const [phase, length] = group.name.split(" / ") as [string, string];
            return {
                experiment: experiment.name,
                policy: result.policy,
                phase,
                length,
                firstTokenP95Ms: group.firstToken.p95,
            };
        });
}

const names = experimentNames.filter(name => options.only === undefined || name === options.only);
const command = `npm run bench${process.argv.length > 2 ? ` -- ${process.argv.slice(2).join(" ")}` : ""}`;
const commit = execFileSync("git", ["rev-parse", "--short", "HEAD"], { encoding: "utf8" }).trim();
const startedMs = Date.now();
const sections: string[] = [];
const entryCostName = "entry-cost";
const entryCostSeed = 44;
const details: string[] = [];
const plotRows: PlotRow[] = [];
const json: unknown[] = [];
let wrongAnswerRuns = 0;

for (const name of names) {
    const path = `bench/experiments/${name}.yaml`;
    const experiment = await readExperiment(path, options.quick ? quickPhaseScale : 1);
    const policies = experiment.policies
        .filter((policy, index, all) => {
            const isSame = (other: typeof policy) =>
                other.scheduler === policy.scheduler && getEffectiveRouting(other) === getEffectiveRouting(policy);
            return all.findIndex(isSame) === index;
        })
        .filter(policy => options.policy === undefined || policy.name === options.policy)
        .slice(0, options.quick ? quickPolicyCount : undefined);
    const results: PolicyRun[] = [];
    for (const policy of policies) {
        console.error(`${name}: ${policy.name}`);
        const result = await runPolicy(experiment, policy);
        results.push(result);
        plotRows.push(...makePlotRows(experiment, result));
        details.push(`# ${name}, ${policy.name}\n\n${result.details}`);
        wrongAnswerRuns += result.measures.filter(measure =>
            measure.name === "wrong answers" && measure.value !== 0
        ).length;
    }
    const section = formatComparison(experiment, results);
    console.log(section);
    sections.push(section);
    json.push({
        experiment: name,
        seed: experiment.seed,
        scale: experiment.scale,
        results: results.map(({ policy, measures, tool, run }) => ({
            policy,
            measures,
            tool,
            summary: computeLoadSummary(run),
        })),
    });
}

if (options.only === undefined || options.only === entryCostName) {
    console.error(entryCostName);
    const cost = await measureEntryCost(options.quick, entryCostSeed);
    const load = `load average ${loadavg()[0]!.toFixed(1)}`;
    const section = [
        `## Entry's own cost, seed ${entryCostSeed}`,
        formatMeasures(cost.measures),
        ...cost.notes,
        load,
    ].join("\n\n");
    console.log(section);
    sections.push(section);
    json.push({ experiment: entryCostName, seed: entryCostSeed, ...cost, load });
}

const header = `Command \`${command}\`, commit ${commit}, ${((Date.now() - startedMs) / 1000).toFixed(0)} s. `
    + "The machine is shared with other work; the load average beside each policy is the machine's.";
const title = options.quick ? "Benchmark, quick" : "Benchmark";
const prefix = options.quick ? "quick" : "full";
const suffix = options.only === undefined ? "" : `-${options.only}`;
await mkdir(options.out, { recursive: true });
await writeFile(join(options.out, `${prefix}${suffix}.md`), `# ${title}\n\n${header}\n\n${sections.join("\n\n")}\n`);
await writeFile(join(options.out, `${prefix}${suffix}-details.md`), details.join("\n"));
await writeFile(
    join(options.out, `${prefix}${suffix}.json`),
    JSON.stringify({ command, commit, json }, undefined, 1) + "\n",
);
if (plotRows.length > 0) {
    await writeFile(
        join(options.out, `${prefix}${suffix}.svg`),
        await renderPlot(plotRows, `Time to the first token, seeds in ${prefix}${suffix}.json`),
    );
}
console.error(`finished in ${((Date.now() - startedMs) / 1000).toFixed(0)} s; results in ${options.out}`);
process.exit(wrongAnswerRuns === 0 ? 0 : 1);
