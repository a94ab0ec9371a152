import { spawn } from "node:child_process";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { stringify } from "yaml";
import { LoadPlan } from "../../src/load/loadPlan.js";
import { LoadSummary } from "../../src/load/summary.js";

const mainPath = fileURLToPath(new URL("../../src/main.js", import.meta.url));

/** Runs a plan in several load processes in parallel, each with its own seed, and returns their summaries. */
export async function runLoadProcesses(
    plan: LoadPlan,
    seed: number,
    target: string,
    count: number,
): Promise<readonly LoadSummary[]> {
    const directory = await mkdtemp(join(tmpdir(), "jujubelane-load-"));
    const planFile = join(directory, "plan.yaml");
    await writeFile(planFile, stringify(plan));
    const summaries = await Promise.all([...Array(count).keys()].map(async index => {
        const outputDirectory = join(directory, String(index));
        const args = [
            mainPath,
            "load",
            "--plan",
            planFile,
            "--target",
            target,
            "--seed",
            String(seed + index),
            "--out",
            outputDirectory,
        ];
        const child = spawn(process.execPath, args, { stdio: ["ignore", "ignore", "inherit"] });
        await new Promise(resolve => child.once("exit", resolve));
        return JSON.parse(await readFile(join(outputDirectory, "load.json"), "utf8")) as LoadSummary;
    }));
    await rm(directory, { recursive: true, force: true });
    return summaries;
}
