import { Options } from "yargs";
import { z } from "zod";
import { createHttpLogService } from "../adapters/httpLogService.js";
import { makeId } from "../base/ids.js";
import { ConfigurationSource, createFixedConfigurationSource } from "../entry/configurationSource.js";
import {
    createLogConfigurationSource,
    defaultLogConfigurationSettings,
    LogConfigurationParts,
} from "../entry/logConfigurationSource.js";
import { defaultPeerSearch, findPeerConfigurations, PeerSearchParts } from "../entry/peerConfiguration.js";
import { readConfigurationFiles } from "./configurationFiles.js";
import { linkDefaults } from "./defaults.js";
import { durationSchema, SettingsError, urlSchema } from "./settings.js";

/** Flags that select the source of an entry's configuration. */
export const entryConfigurationOptions: Record<string, Options> = {
    "log-service": { type: "string", describe: "root URL of the log service that holds the configuration" },
    config: {
        type: "string",
        array: true,
        default: [],
        describe: "configuration files to read once at startup instead of --log-service; for trials",
    },
    "log-retention-ms": {
        type: "number",
        default: defaultLogConfigurationSettings.retentionMs,
        describe: "time for which the log service keeps a record; checkpoints are written at half of it",
    },
};

/** Schema of the values of {@link entryConfigurationOptions}. */
export const entryConfigurationSchema = {
    logService: urlSchema.optional(),
    config: z.array(z.string()),
    logRetentionMs: durationSchema,
};

interface EntryConfigurationSettings {
    readonly name: string;
    readonly dataCentre: string;
    readonly linkKey: string;
    readonly logService?: string;
    readonly config: readonly string[];
    readonly logRetentionMs: number;
}

type EntryConfigurationParts =
    & Pick<LogConfigurationParts, "timers" | "random" | "log">
    & Pick<PeerSearchParts, "hostList" | "connect">;

/**
 * Creates the configuration source that an entry's settings select.
 *
 * @throws SettingsError unless exactly one of the log service and files is set, or if a file is not valid
 */
export async function createEntryConfiguration(
    settings: EntryConfigurationSettings,
    parts: EntryConfigurationParts,
): Promise<ConfigurationSource> {
    if ((settings.logService === undefined) === (settings.config.length === 0)) {
        throw new SettingsError("invalid settings:\n  --log-service, --config: expected exactly one of the two");
    }
    if (settings.logService === undefined) {
        return createFixedConfigurationSource(await readConfigurationFiles(settings.config));
    }
    const { name, dataCentre, linkKey } = settings;
    const search = { ...linkDefaults, ...defaultPeerSearch, entry: name, dataCentre, linkKey };
    return createLogConfigurationSource({ ...defaultLogConfigurationSettings, retentionMs: settings.logRetentionMs }, {
        ...parts,
        logService: createHttpLogService(settings.logService, parts.timers),
        findPeerConfigurations: () => findPeerConfigurations(search, { ...parts, makeIncarnation: makeId }),
    });
}
