import { mkdir, readFile, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { parse } from "yaml";
import { CommandModule } from "yargs";
import { z } from "zod";
import { createSystemTimerService } from "../base/systemTimerService.js";
import { loadPlanSchema } from "../load/loadPlan.js";
import { formatLoadSummary } from "../load/loadReport.js";
import { runLoad } from "../load/loadRunner.js";
import { computeLoadSummary } from "../load/summary.js";
import { parseSettings, urlSchema } from "./settings.js";

const settingsSchema = z.object({
    plan: z.string().min(1),
    target: z.array(urlSchema).min(1, "expected the root URL of at least one entry"),
    seed: z.number().int().optional(),
    process: z.array(z.string().regex(/^[^=]+=\d+$/, "expected NAME=PID")),
    control: z.array(z.string().regex(/^[^=]+=https?:\/\/.+$/, "expected NAME=URL")),
    out: z.string().optional(),
});

function parsePairs(pairs: readonly string[]): Record<string, string> {
    return Object.fromEntries(pairs.map(pair => {
        const position = pair.indexOf("=");
        return [pair.slice(0, position), pair.slice(position + 1)];
    }));
}

/** `jujubelane load` */
export const loadCommand: CommandModule = {
    command: "load",
    describe: "send the requests of a load plan to entries, verify every answer and report",
    builder: yargs =>
        yargs.options({
            plan: { type: "string", demandOption: true, describe: "load plan (YAML)" },
            target: { type: "string", array: true, default: [], describe: "root URL of an entry; may be repeated" },
            seed: { type: "number", describe: "seed of arrivals and prompts; overrides the plan's seed" },
            process: {
                type: "string",
                array: true,
                default: [],
                describe: "NAME=PID of a process that the fault script may signal",
            },
            control: {
                type: "string",
                array: true,
                default: [],
                describe: "NAME=URL of an emulator that the fault script may control",
            },
            out: { type: "string", describe: "directory for load.json and load.md" },
        }),
    handler: async argv => {
        const settings = parseSettings(settingsSchema, argv);
        const plan = parseSettings(loadPlanSchema, parse(await readFile(settings.plan, "utf8")));
        const processes = Object.fromEntries(
            Object.entries(parsePairs(settings.process)).map(([name, id]) => [name, Number(id)]),
        );
        const faultTargets = { processes, controls: parsePairs(settings.control) };
        const seed = settings.seed ?? plan.seed;
        const run = await runLoad(plan, seed, settings.target, faultTargets, createSystemTimerService());
        const summary = computeLoadSummary(run);
        const text = formatLoadSummary(summary);
        process.stdout.write(text);
        if (settings.out !== undefined) {
            await mkdir(settings.out, { recursive: true });
            await writeFile(join(settings.out, "load.json"), JSON.stringify(summary, undefined, 4) + "\n");
            await writeFile(join(settings.out, "load.md"), text);
        }
        process.exit(summary.all.wrong === 0 && summary.all.hung === 0 ? 0 : 1);
    },
};
