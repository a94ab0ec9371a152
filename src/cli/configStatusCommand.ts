import { CommandModule } from "yargs";
import { z } from "zod";
import type { EntryStatus } from "../entry/operatorRoute.js";
import { openLog, readHistory } from "./configLog.js";
import { EntryAnswer, entryClientOptions, entryClientSchema, listErrors, readStatuses } from "./operatorClient.js";
import { CommandResult, endCommand, ExitCode, exitCodeHelp, formatTable, jsonOption } from "./output.js";
import { parseSettings, urlSchema } from "./settings.js";

const settingsSchema = z.object({ ...entryClientSchema, logService: urlSchema.optional(), json: z.boolean() });

/** Generation that one process has in force. */
interface ProcessGeneration {
    readonly process: string;
    readonly via: string;
    readonly generation: number;
    readonly isNewest: boolean;
}

/**
 * Compares the generation in force at each entry and each endpoint with the newest one in any status or in the log.
 *
 * @param logGeneration newest generation in the log, if it was read
 */
export function summarizeGenerations(
    answers: readonly EntryAnswer<EntryStatus>[],
    logGeneration: number | undefined,
): { readonly newest: number; readonly processes: readonly ProcessGeneration[] } {
    const statuses = answers.flatMap(answer => answer.value ? [{ url: answer.url, status: answer.value }] : []);
    const seen = statuses.flatMap(({ url, status }) => [
        { process: `entry ${status.entry}`, via: url, generation: status.generation },
        ...status.endpoints.map(endpoint => ({
            process: `endpoint ${endpoint.endpoint}`,
            via: `entry ${status.entry}, link ${endpoint.link}`,
            generation: endpoint.generation,
        })),
    ]);
    const newest = Math.max(-1, logGeneration ?? -1, ...seen.map(process => process.generation));
    const processes = seen.map(process => ({ ...process, isNewest: process.generation === newest }));
    return { newest, processes };
}

async function readLogGeneration(url: string): Promise<number | string> {
    let generation = -1;
    const result = await openLog(url, async log => {
        generation = (await readHistory(log)).reader.state.generation;
        return { code: ExitCode.Success, lines: [], data: {} };
    });
    return result.code === ExitCode.Success ? generation : result.lines.join("; ");
}

async function readConfigStatus(settings: z.infer<typeof settingsSchema>): Promise<CommandResult> {
    const [answers, logGeneration] = await Promise.all([
        readStatuses(settings.entry, settings.key),
        settings.logService === undefined ? undefined : readLogGeneration(settings.logService),
    ]);
    const errors = [...listErrors(answers), ...(typeof logGeneration === "string" ? [logGeneration] : [])];
    const logGenerationIfRead = typeof logGeneration === "number" ? logGeneration : undefined;
    const { newest, processes } = summarizeGenerations(answers, logGenerationIfRead);
    const alarms = answers.flatMap(answer =>
        (answer.value?.configuration.alarms ?? []).map(alarm => `${answer.value!.entry}: ${alarm}`)
    );
    const behind = processes.filter(process => !process.isNewest).length;
    const rows = processes.map((
        { process, via, generation, isNewest },
    ) => [process, `generation ${generation}`, isNewest ? "newest" : "behind", via]);
    const verdict = errors.length > 0
        ? `not all processes were reached; newest generation seen: ${newest}`
        : behind > 0
        ? `${behind} of ${processes.length} are not on generation ${newest}`
        : `all ${processes.length} are on generation ${newest}`;
    const lines = [
        ...formatTable(rows),
        ...alarms.map(alarm => `alarm: ${alarm}`),
        ...errors.map(error => `not reached: ${error}`),
        verdict,
    ];
    const code = errors.length > 0 ? ExitCode.Unreachable : behind > 0 ? ExitCode.Negative : ExitCode.Success;
    const allNewest = code === ExitCode.Success;
    return { code, lines, data: { newest, allNewest, logGeneration: logGenerationIfRead, processes, alarms, errors } };
}

/** `jujubelane config status` */
export const configStatusCommand: CommandModule = {
    command: "status",
    describe: "show the generation in force at each entry and each linked endpoint, and whether all have the newest",
    builder: yargs =>
        yargs.options({
            ...entryClientOptions,
            "log-service": {
                type: "string",
                describe: "root URL of the log service, to include the newest generation in the log",
            },
            json: jsonOption,
        }).epilogue(exitCodeHelp),
    handler: async argv => {
        const settings = parseSettings(settingsSchema, argv);
        endCommand(await readConfigStatus(settings), settings.json);
    },
};
