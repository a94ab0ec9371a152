import { Argv, CommandModule, Options } from "yargs";
import { z } from "zod";
import { ResultKind } from "../base/result.js";
import { buildChanges } from "../config/changeSet.js";
import { diffObjects, formatDifferences } from "../config/diff.js";
import { ConfigurationHistory } from "../config/history.js";
import { ConfigurationObjects, makeEmptyObjects, ObjectType } from "../config/objects.js";
import { describeUnusableLog, openLog, publishChanges, readHistory } from "./configLog.js";
import { configStatusCommand } from "./configStatusCommand.js";
import { formatProblems, loadConfigurationFiles, readConfigurationFiles } from "./configurationFiles.js";
import { CommandResult, endCommand, ExitCode, exitCodeHelp, formatTable, jsonOption } from "./output.js";
import { parseSettings, urlSchema } from "./settings.js";

const logServiceOption: Options = {
    type: "string",
    demandOption: true,
    describe: "root URL of the log service (or JUJUBELANE_LOG_SERVICE)",
};
const deleteMissingOption: Options = {
    type: "boolean",
    default: false,
    describe:
        "the files are the whole configuration: objects that they do not name are deleted; by default they are kept",
};
const publishOptions: Record<string, Options> = {
    "log-service": logServiceOption,
    author: { type: "string", demandOption: true, describe: "author shown in the history" },
    reason: { type: "string", describe: "reason shown in the history" },
    "timeout-ms": { type: "number", default: 5_000, describe: "time limit for the append and for reading it back" },
    json: jsonOption,
};
const publishSchema = {
    logService: urlSchema,
    author: z.string().min(1),
    reason: z.string().optional(),
    timeoutMs: z.number().positive(),
    json: z.boolean(),
};
const files = { type: "string", array: true, describe: "configuration files (YAML or JSON)" } as const;
const generationSchema = z.number().int().min(-1);

function countObjects(objects: ConfigurationObjects): number {
    return Object.values(ObjectType).reduce((count, type) => count + Object.keys(objects[type]).length, 0);
}

/** Finds the objects of a generation, by default the newest. Generation -1 is empty, before the first change set. */
function findGeneration(
    history: ConfigurationHistory,
    generation: number | undefined,
): { readonly objects: ConfigurationObjects; readonly generation: number } | CommandResult {
    const found = generation ?? history.reader.state.generation;
    const objects = found === -1 && !history.reader.gap ? makeEmptyObjects() : history.generations.get(found);
    if (objects) {
        return { objects, generation: found };
    }
    const known = [...history.generations.keys()].join(", ");
    const message = `generation ${found} is not in the log; generations in the log: ${known || "none"}`;
    return { code: ExitCode.Negative, lines: [message], data: { result: "no-generation", message } };
}

const checkCommand: CommandModule = {
    command: "check <files..>",
    describe: "check configuration files; needs no network",
    builder: yargs => yargs.positional("files", files).option("json", jsonOption).epilogue(exitCodeHelp),
    handler: async argv => {
        const settings = parseSettings(z.object({ files: z.array(z.string()).min(1), json: z.boolean() }), argv);
        const result = await loadConfigurationFiles(settings.files);
        if (result.kind === ResultKind.Success) {
            const objects = countObjects(result.value);
            const lines = [`valid: ${objects} objects in ${settings.files.length} files`];
            return endCommand({ code: ExitCode.Success, lines, data: { result: "valid", objects } }, settings.json);
        }
        const problems = result.error;
        const lines = ["invalid configuration:", formatProblems(problems)];
        endCommand({ code: ExitCode.Usage, lines, data: { result: "invalid", problems } }, settings.json);
    },
};

const publishFilesSchema = z.object({
    ...publishSchema,
    files: z.array(z.string()).min(1),
    base: generationSchema.optional(),
    deleteMissing: z.boolean(),
    dryRun: z.boolean(),
});

async function publishFiles(settings: z.infer<typeof publishFilesSchema>): Promise<CommandResult> {
    return openLog(settings.logService, async (log, timers) => {
        const history = await readHistory(log);
        const base = findGeneration(history, settings.base);
        const unusable = describeUnusableLog(history) ?? ("code" in base ? base : undefined);
        if (unusable || "code" in base) {
            return unusable!;
        }
        const targetObjects = await readConfigurationFiles(
            settings.files,
            settings.deleteMissing ? undefined : base.objects,
        );
        const changes = buildChanges(base.objects, targetObjects, settings.deleteMissing);
        const { generation } = history.reader.state;
        if (changes.length === 0) {
            const lines = [`nothing to publish: generation ${generation} already has these objects`];
            return { code: ExitCode.Success, lines, data: { result: "unchanged", generation } };
        }
        if (settings.dryRun) {
            const lines = changes.map(change => `${change.op} ${change.kind}.${change.name}`);
            return { code: ExitCode.Success, lines, data: { result: "dry-run", generation, changes } };
        }
        // Without --base, the change set is based on the end of the log as it was just read.
        const baseOffset = settings.base ?? history.reader.state.foldedOffset;
        return publishChanges({ ...settings, base: baseOffset, changes }, history, log, timers);
    });
}

const publishCommand: CommandModule = {
    command: "publish <files..>",
    describe: "publish the objects in files as one change set and wait until it is accepted or rejected",
    builder: yargs =>
        yargs.positional("files", files).options({
            ...publishOptions,
            base: {
                type: "number",
                describe: "generation that the files are based on; objects that changed after it are not overwritten",
            },
            "delete-missing": deleteMissingOption,
            "dry-run": { type: "boolean", default: false, describe: "print the changes and publish nothing" },
        }).epilogue(exitCodeHelp),
    handler: async argv => {
        const settings = parseSettings(publishFilesSchema, argv);
        endCommand(await publishFiles(settings), settings.json);
    },
};

const diffSchema = z.object({
    files: z.array(z.string()).default([]),
    logService: urlSchema,
    from: generationSchema.optional(),
    to: generationSchema.optional(),
    deleteMissing: z.boolean(),
    json: z.boolean(),
}).refine(settings => settings.files.length === 0 || settings.to === undefined, {
    message: "expected files or --to, not both",
    path: ["to"],
});

const diffCommand: CommandModule = {
    command: "diff [files..]",
    describe: "compare the configuration in force, or a generation, with files or with another generation",
    builder: yargs =>
        yargs.positional("files", files).options({
            "log-service": logServiceOption,
            from: { type: "number", describe: "generation to compare from; default: the one in force" },
            to: { type: "number", describe: "generation to compare with; default: the files, else the one in force" },
            "delete-missing": deleteMissingOption,
            json: jsonOption,
        }).epilogue(exitCodeHelp),
    handler: async argv => {
        const settings = parseSettings(diffSchema, argv);
        const result = await openLog(settings.logService, async log => {
            const history = await readHistory(log);
            const from = findGeneration(history, settings.from);
            if ("code" in from) {
                return from;
            }
            const base = settings.deleteMissing ? undefined : from.objects;
            const to = settings.files.length > 0
                ? { objects: await readConfigurationFiles(settings.files, base), generation: undefined }
                : findGeneration(history, settings.to);
            if ("code" in to) {
                return to;
            }
            const differences = diffObjects(from.objects, to.objects);
            const code = differences.length === 0 ? ExitCode.Success : ExitCode.Negative;
            const lines = differences.length === 0 ? ["no differences"] : formatDifferences(differences);
            return { code, lines, data: { from: from.generation, to: to.generation, differences } };
        });
        endCommand(result, settings.json);
    },
};

const historyCommand: CommandModule = {
    command: "history",
    describe: "list the change sets that are still in the log, each with its outcome",
    builder: yargs =>
        yargs.options({
            "log-service": logServiceOption,
            limit: { type: "number", default: 20, describe: "number of newest change sets to list" },
            json: jsonOption,
        }).epilogue(exitCodeHelp),
    handler: async argv => {
        const schema = z.object({ logService: urlSchema, limit: z.number().int().positive(), json: z.boolean() });
        const settings = parseSettings(schema, argv);
        const result = await openLog(settings.logService, async log => {
            const history = await readHistory(log);
            const entries = history.entries.slice(-settings.limit);
            const rows = entries.map(entry => [
                String(entry.offset),
                new Date(entry.timeMs).toISOString(),
                entry.author,
                entry.accepted ? "accepted" : `rejected: ${entry.rejection}`,
                `${entry.changes} changes`,
                entry.id,
                entry.reason ?? "",
            ]);
            const lines = rows.length > 0 ? formatTable(rows) : ["no change sets"];
            const { generation } = history.reader.state;
            return { code: ExitCode.Success, lines, data: { generation, entries, ignored: history.ignored } };
        });
        endCommand(result, settings.json);
    },
};

const rollbackSchema = z.object({ ...publishSchema, generation: generationSchema });

async function publishRollback(settings: z.infer<typeof rollbackSchema>): Promise<CommandResult> {
    return openLog(settings.logService, async (log, timers) => {
        const history = await readHistory(log);
        const target = findGeneration(history, settings.generation);
        const unusable = describeUnusableLog(history) ?? ("code" in target ? target : undefined);
        if (unusable || "code" in target) {
            return unusable!;
        }
        const { state } = history.reader;
        const changes = buildChanges(state.objects, target.objects, true);
        if (changes.length === 0) {
            const lines = [`nothing to do: generation ${state.generation} equals ${settings.generation}`];
            return { code: ExitCode.Success, lines, data: { result: "unchanged", generation: state.generation } };
        }
        const reason = settings.reason ?? `rollback to ${settings.generation}`;
        return publishChanges({ ...settings, reason, base: state.foldedOffset, changes }, history, log, timers);
    });
}

const rollbackCommand: CommandModule = {
    command: "rollback <generation>",
    describe: "publish the contents of an earlier generation as a new change set",
    builder: yargs =>
        yargs.positional("generation", { type: "number", describe: "generation whose contents to restore" })
            .options(publishOptions).epilogue(exitCodeHelp),
    handler: async argv => {
        const settings = parseSettings(rollbackSchema, argv);
        endCommand(await publishRollback(settings), settings.json);
    },
};

/** `jujubelane config` */
export const configCommand: CommandModule = {
    command: "config",
    describe: "check, publish and compare configurations",
    builder: (yargs: Argv) =>
        yargs.command(checkCommand).command(publishCommand).command(configStatusCommand).command(diffCommand)
            .command(historyCommand).command(rollbackCommand).demandCommand(1, "expected a subcommand of config"),
    handler: () => undefined,
};
