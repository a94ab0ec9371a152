import { makeId } from "../base/ids.js";
import { buildChanges, configurationStream, makeChangeSetRecord } from "../config/changeSet.js";
import { ConfigurationObjects, makeEmptyObjects } from "../config/objects.js";
import { defaultLogModelSettings } from "../emulator/log/logModel.js";
import { ConfigurationSource } from "../entry/configurationSource.js";
import {
    createLogConfigurationSource,
    defaultLogConfigurationSettings,
    LogConfigurationParts,
} from "../entry/logConfigurationSource.js";

/** Publishes the first configuration to the embedded log and waits until the returned source has it in force. */
export async function startDevConfiguration(
    objects: ConfigurationObjects,
    parts: Pick<LogConfigurationParts, "timers" | "random" | "log" | "logService">,
): Promise<ConfigurationSource> {
    const { retentionMs } = defaultLogModelSettings;
    const changes = buildChanges(makeEmptyObjects(), objects, true);
    const changeSet = { id: makeId(), author: "dev", base: -1, reason: "first configuration", changes };
    await parts.logService.append(configurationStream, [makeChangeSetRecord(changeSet)]);
    const source = createLogConfigurationSource({ ...defaultLogConfigurationSettings, retentionMs }, {
        ...parts,
        findPeerConfigurations: () => Promise.resolve([]),
    });
    await new Promise<void>(resolve => {
        source.subscribe(() => resolve());
    });
    return source;
}
