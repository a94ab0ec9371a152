import { CommandModule } from "yargs";
import { z } from "zod";
import { callEntry, entryClientOptions, entryClientSchema, listErrors, readStatuses } from "./operatorClient.js";
import { CommandResult, endCommand, ExitCode, exitCodeHelp, formatTable, jsonOption } from "./output.js";
import { parseSettings } from "./settings.js";

const settingsSchema = z.object({ ...entryClientSchema, endpoint: z.string().optional(), json: z.boolean() });
type DrainSettings = z.infer<typeof settingsSchema>;

/** Lists the endpoints that each entry reports as leaving. */
async function listLeaving(settings: DrainSettings): Promise<CommandResult> {
    const answers = await readStatuses(settings.entry, settings.key);
    const errors = listErrors(answers);
    const leaving = answers.flatMap(({ value }) =>
        (value?.endpoints ?? []).filter(endpoint => endpoint.leaving).map(endpoint => ({
            endpoint: endpoint.endpoint,
            entry: value!.entry,
            requests: endpoint.requests,
            running: endpoint.load?.running,
            queued: endpoint.load?.queued,
        }))
    );
    const rows = leaving.map((
        { endpoint, entry, requests, running, queued },
    ) => [
        endpoint,
        `reported by ${entry}`,
        `requests ${requests}`,
        `running ${running ?? "?"}`,
        `queued ${queued ?? "?"}`,
    ]);
    const lines = [
        ...(rows.length > 0 ? formatTable(rows) : ["no endpoint is leaving"]),
        ...errors.map(error => `not reached: ${error}`),
    ];
    return { code: errors.length > 0 ? ExitCode.Unreachable : ExitCode.Success, lines, data: { leaving, errors } };
}

/** Asks one entry after another until one has an open link to the endpoint's sidecar. */
async function drainEndpoint(settings: DrainSettings, endpoint: string): Promise<CommandResult> {
    const errors: string[] = [];
    for (const url of settings.entry) {
        const answer = await callEntry<object>(url, settings.key, "POST", "/operator/drain", { endpoint });
        if (answer.error === undefined) {
            const lines = [`asked ${endpoint} to drain, through ${url}; it finishes what it holds`];
            return { code: ExitCode.Success, lines, data: { result: "draining", endpoint, entry: url } };
        }
        errors.push(`${url}: ${answer.error}`);
    }
    return { code: ExitCode.Unreachable, lines: errors, data: { result: "not-reached", endpoint, errors } };
}

/** `jujubelane drain` */
export const drainCommand: CommandModule = {
    command: "drain [endpoint]",
    describe:
        "ask an endpoint to accept no new work and finish its work in progress; without a name, list leaving endpoints",
    builder: yargs =>
        yargs.positional("endpoint", { type: "string", describe: "name of the endpoint in the configuration" })
            .options({ ...entryClientOptions, json: jsonOption }).epilogue(exitCodeHelp),
    handler: async argv => {
        const settings = parseSettings(settingsSchema, argv);
        const { endpoint } = settings;
        const result = endpoint === undefined ? await listLeaving(settings) : await drainEndpoint(settings, endpoint);
        endCommand(result, settings.json);
    },
};
