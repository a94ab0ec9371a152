import { writeFileSync } from "node:fs";

/** What was sent, answered and run, and what has to be ended after it. */
export interface CaseRecord {
    add(line: string): void;
    /** Registers a step that ends a process or a server. Steps are taken in the reverse order. */
    onEnd(step: () => unknown): void;
}

/** Whether the disruption is left out. */
export const isCalm = process.env.TROUBLE === "0";

/** Exit codes of a case. */
export enum CaseExit {
    Held = 0,
    Broken = 1,
    NotRun = 2,
}

/** Time after which a case is given up, in milliseconds. */
const maxCaseMs = 100_000;

function describeExit(exit: CaseExit): string {
    return exit === CaseExit.Held ? "the rule held" : exit === CaseExit.Broken ? "the rule was broken" : "not run";
}

/** Runs a case, writes `record.txt` in its folder, ends what it has started, and exits with its result. */
export async function runCase(folder: string, run: (record: CaseRecord) => Promise<CaseExit>): Promise<void> {
    const startedAtMs = performance.now();
    const lines: string[] = [];
    const steps: (() => unknown)[] = [];
    const record: CaseRecord = {
        add(line) {
            lines.push(`${((performance.now() - startedAtMs) / 1_000).toFixed(3).padStart(8)} ${line}`);
        },
        onEnd: step => void steps.unshift(step),
    };
    const timeout = AbortSignal.timeout(maxCaseMs);
    const late = new Promise<CaseExit>(resolve => timeout.addEventListener("abort", () => resolve(CaseExit.NotRun)));
    let exit = CaseExit.NotRun;
    try {
        exit = await Promise.race([run(record), late]);
    }
    catch (error) {
        record.add(`the case could not run: ${String(error)}`);
    }
    for (const step of steps) {
        await step();
    }
    record.add(`${isCalm ? "without the disruption" : "with the disruption"}: ${describeExit(exit)}`);
    writeFileSync(`${folder}/record.txt`, `${lines.join("\n")}\n`);
    process.stdout.write(`${folder}: ${describeExit(exit)}\n`);
    process.exit(exit);
}
