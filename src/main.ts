#!/usr/bin/env node
import yargs, { MiddlewareFunction } from "yargs";
import { configCommand } from "./cli/configCommand.js";
import { devCommand } from "./cli/devCommand.js";
import { drainCommand } from "./cli/drainCommand.js";
import { emulateCommand } from "./cli/emulateCommand.js";
import { entryCommand } from "./cli/entryCommand.js";
import { dropUnknownVariables, environmentPrefix } from "./cli/environment.js";
import { explainCommand } from "./cli/explainCommand.js";
import { loadCommand } from "./cli/loadCommand.js";
import { SettingsError } from "./cli/settings.js";
import { sidecarCommand } from "./cli/sidecarCommand.js";
import { statusCommand } from "./cli/statusCommand.js";

const usageExitCode = 2;

// In a single-executable build the first two arguments are both the path of the binary, so two are skipped there too.
const args = process.argv.slice(2);

/**
 * Runs before yargs checks for unknown flags. yargs passes the parser as the second argument, which the declared type
 * of a middleware omits.
 */
function dropUnrelatedVariables(values: Record<string, unknown>, parser: { getOptions(): { key: object } }): void {
    dropUnknownVariables(values, Object.keys(parser.getOptions().key), process.env, args);
}

yargs(args)
    .scriptName("jujubelane")
    .env(environmentPrefix)
    .middleware(dropUnrelatedVariables as unknown as MiddlewareFunction, true)
    .command(entryCommand)
    .command(sidecarCommand)
    .command(emulateCommand)
    .command(loadCommand)
    .command(devCommand)
    .command(configCommand)
    .command(statusCommand)
    .command(drainCommand)
    .command(explainCommand)
    .demandCommand(1, "expected a command")
    .strict()
    .help()
    .version("0.1.0")
    .fail((message, error, parser) => {
        const text = error instanceof SettingsError || message === null ? error.message : message;
        process.stderr.write(`jujubelane: ${text}\n`);
        if (args[0] === "explain") {
            parser.showHelp(help => process.stderr.write(`${help}\n`));
        }
        else if (!(error instanceof SettingsError) && message) {
            process.stderr.write("run jujubelane --help for usage\n");
        }
        process.exit(usageExitCode);
    })
    .parseAsync()
    .catch((error: unknown) => {
        process.stderr.write(`jujubelane: ${error instanceof Error ? error.message : String(error)}\n`);
        process.exit(1);
    });
