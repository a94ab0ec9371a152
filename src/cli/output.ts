import { Options } from "yargs";

/** Exit codes of the operators' commands. */
export enum ExitCode {
    Success = 0,
    /** The command ran with a negative result, such as a rejected change, differences or a process that is behind. */
    Negative = 1,
    /** Wrong flags or invalid configuration files. */
    Usage = 2,
    /** The outcome is not known; the change may or may not have taken effect. */
    Unknown = 3,
    /** An external service or an entry was not reached, or refused the key. */
    Unreachable = 4,
}

/** Description of the exit codes for `--help`. */
export const exitCodeHelp = "Exit codes: 0 success, 1 the answer is no (rejected, different, not everywhere), "
    + "2 wrong flags or files, 3 outcome not known, 4 not reached.";

/** Flag that every operator's command has. */
export const jsonOption: Options = { type: "boolean", default: false, describe: "print one JSON object" };

/** Output and exit code of a command. */
export interface CommandResult {
    readonly code: ExitCode;
    readonly lines: readonly string[];
    /** The same as data, for `--json`. */
    readonly data: object;
}

/** Writes the result of a command and ends the process. Only error text goes to standard error. */
export function endCommand(result: CommandResult, json: boolean): void {
    const text = json ? JSON.stringify(result.data) : result.lines.join("\n");
    const stream = json || result.code <= ExitCode.Negative ? process.stdout : process.stderr;
    // Output to a pipe is asynchronous; the process ends when it has been written.
    stream.write(text.length > 0 ? `${text}\n` : "", () => process.exit(result.code));
}

/** Formats rows as columns of equal width. */
export function formatTable(rows: readonly (readonly string[])[]): readonly string[] {
    const widths: number[] = [];
    for (const row of rows) {
        row.forEach((cell, index) => {
            widths[index] = Math.max(widths[index] ?? 0, cell.length);
        });
    }
    return rows.map(row => row.map((cell, index) => cell.padEnd(widths[index]!)).join("  ").trimEnd());
}
