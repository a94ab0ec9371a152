import { CommandModule } from "yargs";
import { z } from "zod";
import type { EndpointStatus, EntryStatus } from "../entry/operatorRoute.js";
import { EntryAnswer, entryClientOptions, entryClientSchema, listErrors, readStatuses } from "./operatorClient.js";
import { CommandResult, endCommand, ExitCode, exitCodeHelp, formatTable, jsonOption } from "./output.js";
import { parseSettings } from "./settings.js";

const settingsSchema = z.object({ ...entryClientSchema, json: z.boolean() });

function describeEndpointRow(endpoint: EndpointStatus): readonly string[] {
    const { load } = endpoint;
    return [
        `  ${endpoint.endpoint}`,
        `link ${endpoint.link}`,
        endpoint.leaving ? "leaving" : "serving",
        `generation ${endpoint.generation}`,
        `requests ${endpoint.requests}`,
        load ? `running ${load.running}, queued ${load.queued}` : "no load report",
        load?.version === undefined ? "" : `version ${load.version}`,
    ];
}

function describeEntry(answer: EntryAnswer<EntryStatus>): readonly string[] {
    const status = answer.value;
    if (!status) {
        return [`${answer.url}: not reached: ${answer.error}`];
    }
    const { alarms, rejections } = status.configuration;
    return [
        `entry ${status.entry} in ${status.dataCentre}: generation ${status.generation}, requests ${status.requests}`,
        ...formatTable(status.endpoints.map(describeEndpointRow)),
        ...alarms.map(alarm => `  alarm: ${alarm}`),
        ...rejections.map(rejection => `  recently rejected: ${rejection}`),
    ];
}

async function readStatus(settings: z.infer<typeof settingsSchema>): Promise<CommandResult> {
    const answers = await readStatuses(settings.entry, settings.key);
    const isReached = listErrors(answers).length === 0;
    return {
        code: isReached ? ExitCode.Success : ExitCode.Unreachable,
        lines: answers.flatMap(describeEntry),
        data: { entries: answers.map(({ url, value, error }) => ({ url, status: value, error })) },
    };
}

/** `jujubelane status` */
export const statusCommand: CommandModule = {
    command: "status",
    describe: "show entries with their links, load, leaving endpoints and alarms",
    builder: yargs => yargs.options({ ...entryClientOptions, json: jsonOption }).epilogue(exitCodeHelp),
    handler: async argv => {
        const settings = parseSettings(settingsSchema, argv);
        endCommand(await readStatus(settings), settings.json);
    },
};
