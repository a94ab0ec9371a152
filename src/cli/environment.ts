/** Prefix of the environment variables that set flags. */
export const environmentPrefix = "JUJUBELANE";

function toCamelCase(words: readonly string[]): string {
    return words.map((word, index) => index === 0 ? word : word[0]!.toUpperCase() + word.slice(1)).join("");
}

/**
 * Drops values that come from environment variables of other commands, so that one environment can serve all of them.
 * An unknown flag on the command line is still an error.
 *
 * @param values values that were parsed, changed in place
 * @param known names of the command's flags
 *
 * @example
 * dropUnknownVariables(argv, ["key"], process.env, process.argv.slice(2));
 */
export function dropUnknownVariables(
    values: Record<string, unknown>,
    known: readonly string[],
    environment: Readonly<Record<string, string | undefined>>,
    args: readonly string[],
): void {
    for (const variable of Object.keys(environment).filter(name => name.startsWith(`${environmentPrefix}_`))) {
        const words = variable.slice(environmentPrefix.length + 1).toLowerCase().split("_");
        const flag = words.join("-");
        const isGiven = args.some(arg => arg === `--${flag}` || arg.startsWith(`--${flag}=`));
        if (!known.includes(flag) && !isGiven) {
            delete values[flag];
            delete values[toCamelCase(words)];
        }
    }
}
