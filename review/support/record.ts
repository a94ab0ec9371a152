import { writeFileSync } from "node:fs";
import { join } from "node:path";

/** Exit codes of a script. */
export enum Outcome {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
}

/** Whether the script runs with its disruption. */
export const isTroubled = process.env.TROUBLE !== "0";

/** Lines of a run: what was sent, answered and run. */
export interface Record {
    add(line: string): void;
    /** Writes the record into the folder of the case. */
    write(): void;
}

/** Starts the record of a case, in its folder. */
export function startRecord(caseNumber: number): Record {
    const lines: string[] = [];
    const path = join(import.meta.dirname, `../../../review/${caseNumber}/record.txt`);
    return {
        add(line) {
            lines.push(`${(performance.now() / 1_000).toFixed(3)} ${line}`);
        },
        write: () => writeFileSync(path, `${lines.join("\n")}\n`),
    };
}

/** Runs a case, writes its record and exits with its outcome. */
export async function runCase(caseNumber: number, run: (record: Record) => Promise<Outcome>): Promise<void> {
    const record = startRecord(caseNumber);
    let outcome = Outcome.CouldNotRun;
    try {
        outcome = await run(record);
    }
    catch (error) {
        record.add(`could not run: ${String(error)}`);
    }
    record.add(`outcome ${outcome} (${Outcome[outcome]}), disruption ${isTroubled ? "on" : "off"}`);
    record.write();
    process.stdout.write(`${Outcome[outcome]}\n`);
    process.exit(outcome);
}
