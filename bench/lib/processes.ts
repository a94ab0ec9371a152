import { ChildProcess, spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

/** Path of the compiled command-line program. */
export const mainPath = fileURLToPath(new URL("../../src/main.js", import.meta.url));
const startTimeoutMs = 30_000;
const stopTimeoutMs = 15_000;
const maxLogLines = 50;
/** Clock ticks per second, the unit of processor times in /proc. */
const ticksPerSecond = 100;
const pageBytes = 4096;

/** Running child processes. They are killed when this process exits, also on SIGINT and SIGTERM. */
const children = new Set<ChildProcess>();
process.on("exit", () => children.forEach(child => child.kill("SIGKILL")));
for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(signal, () => process.exit(1));
}

/** A process of the fleet. */
export interface FleetProcess {
    readonly name: string;
    readonly processId: number;
    /** Address that the process prints on standard output after "listening on ". */
    readonly address: string;
    /** Last lines of standard error. */
    readonly logLines: readonly string[];
    stop(): Promise<void>;
}

/** Resources used by a process: processor time since its start and current resident memory. */
export interface ProcessUsage {
    readonly processorSeconds: number;
    readonly residentBytes: number;
}

/** Starts a command of jujubelane, or another script, and waits until it prints the address on which it listens. */
export async function startProcess(
    name: string,
    args: readonly string[],
    nodeArgs: readonly string[] = [],
    script = mainPath,
): Promise<FleetProcess> {
    const child = spawn(process.execPath, [...nodeArgs, script, ...args], { stdio: ["ignore", "pipe", "pipe"] });
    children.add(child);
    const logLines: string[] = [];
    createInterface({ input: child.stderr }).on("line", line => {
        logLines.push(line);
        if (logLines.length > maxLogLines) {
            logLines.shift();
        }
    });
    const exited = new Promise<number | null>(resolve =>
        child.once("exit", code => {
            children.delete(child);
            resolve(code);
        })
    );
    const address = await new Promise<string>((resolve, reject) => {
        const timer = setTimeout(() => reject(new Error(`${name} did not start to listen in time`)), startTimeoutMs);
        createInterface({ input: child.stdout }).on("line", line => {
            const match = /^listening on (\S+)$/.exec(line);
            if (match?.[1] !== undefined) {
                clearTimeout(timer);
                resolve(match[1]);
            }
        });
        void exited.then(code => {
            clearTimeout(timer);
            reject(new Error(`${name} exited with ${code}: ${logLines.join("\n")}`));
        });
    });
    return {
        name,
        processId: child.pid!,
        address,
        logLines,
        async stop() {
            child.kill("SIGTERM");
            const timer = setTimeout(() => child.kill("SIGKILL"), stopTimeoutMs);
            await exited;
            clearTimeout(timer);
        },
    };
}

/** Reads processor time and resident memory of a process from /proc. */
export function readUsage(processId: number): ProcessUsage {
    const stat = readFileSync(`/proc/${processId}/stat`, "utf8");
    // The second field is the program's name in parentheses, which may itself contain spaces and parentheses.
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const pages = Number(readFileSync(`/proc/${processId}/statm`, "utf8").split(" ")[1]);
    return {
        processorSeconds: (Number(fields[11]) + Number(fields[12])) / ticksPerSecond,
        residentBytes: pages * pageBytes,
    };
}

/** Runs at most `limit` tasks concurrently and returns the results in the order of the tasks. */
export async function runConcurrently<Result>(
    limit: number,
    tasks: readonly (() => Promise<Result>)[],
): Promise<Result[]> {
    const results: Result[] = [];
    let next = 0;
    async function runWorker() {
        while (next < tasks.length) {
            const index = next++;
            results[index] = await tasks[index]!();
        }
    }
    await Promise.all(Array.from({ length: limit }, runWorker));
    return results;
}
