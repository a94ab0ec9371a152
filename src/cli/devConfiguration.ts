import { createHttpLogService } from "../adapters/httpLogService.js";
import { makeId } from "../base/ids.js";
import { buildChanges, configurationStream, makeChangeSetRecord } from "../config/changeSet.js";
import { ConfigurationObjects, makeEmptyObjects } from "../config/objects.js";
import { defaultLogModelSettings } from "../emulator/log/logModel.js";
import { startEmulatedLog } from "../emulator/log/logServer.js";
import { ConfigurationSource } from "../entry/configurationSource.js";
import {
    createLogConfigurationSource,
    defaultLogConfigurationSettings,
    LogConfigurationParts,
} from "../entry/logConfigurationSource.js";

/** Configuration of `dev`, followed from an embedded log. */
export interface DevConfiguration {
    readonly source: ConfigurationSource;
    readonly logUrl: string;
}

/**
 * Starts an embedded log, publishes the first configuration on it and waits until it is in force.
 */
export async function startDevConfiguration(
    objects: ConfigurationObjects,
    parts: Pick<LogConfigurationParts, "timers" | "random" | "log">,
): Promise<DevConfiguration> {
    const { retentionMs } = defaultLogModelSettings;
    const server = await startEmulatedLog({ ...defaultLogModelSettings, port: 0 }, parts.timers);
    const logService = createHttpLogService(server.url, parts.timers);
    const changes = buildChanges(makeEmptyObjects(), objects, true);
    const changeSet = { id: makeId(), author: "dev", base: -1, reason: "first configuration", changes };
    await logService.append(configurationStream, [makeChangeSetRecord(changeSet)]);
    const source = createLogConfigurationSource({ ...defaultLogConfigurationSettings, retentionMs }, {
        ...parts,
        logService,
        findPeerConfigurations: () => Promise.resolve([]),
    });
    await new Promise<void>(resolve => {
        source.subscribe(() => resolve());
    });
    return { source, logUrl: server.url };
}
