import yargs, { InferredOptionTypes, Options } from "yargs";

const usageExitCode = 2;

/**
 * Parses the arguments of a command of the repository. For `--help` it prints the usage and ends the process with 0, for
 * an unknown or malformed option with 2, as the product does.
 *
 * @example
 * const { seeds } = parseCommandOptions("npm run soak --", "Runs the soak test.", { seeds: { type: "number", default: 5 } });
 */
export function parseCommandOptions<Declared extends Readonly<Record<string, Options>>>(
    command: string,
    description: string,
    declared: Declared,
): InferredOptionTypes<Declared> {
    const parser = yargs(process.argv.slice(2)).scriptName(command);
    return parser
        .usage(`$0 [options]\n\n${description}`)
        .options(declared)
        .check(values => {
            const wrong = Object.entries(declared)
                .find(([name, { type }]) => type === "number" && Number.isNaN(values[name]));
            return wrong === undefined ? true : `${wrong[0]} is not a number`;
        })
        .demandCommand(0, 0)
        .strict()
        .version(false)
        .help()
        .fail((message, error) => {
            parser.showHelp();
            process.stderr.write(`\n${message ?? error.message}\n`);
            process.exit(usageExitCode);
        })
        .parseSync() as unknown as InferredOptionTypes<Declared>;
}
