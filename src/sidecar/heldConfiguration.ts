import { computeConfigurationDigest } from "../config/digest.js";
import { foldRecord, FoldState } from "../config/fold.js";
import { Configuration, ConfigurationObjects } from "../config/objects.js";
import { buildConfigurationMessage, parseConfigurationMessage } from "../link/configurationMessage.js";
import { ConfigurationChangeMessage, ConfigurationMessage } from "../link/messages.js";

/** The configuration that a sidecar has from its entries and hands to entries that start. */
export interface ConfigurationStore {
    getCurrent(): Configuration | undefined;
    /** Takes a whole configuration. Returns whether it is now in force, or why it is refused. */
    accept(message: ConfigurationMessage): boolean | string;
    /** Takes a change of the configuration held. Returns whether it is now in force, or why it is refused. */
    acceptChange(message: ConfigurationChangeMessage): boolean | string;
    buildMessage(): ConfigurationMessage | undefined;
}

/**
 * Creates the holder of a sidecar that has no configuration yet. A configuration is only replaced by a newer one that
 * matches its digest.
 *
 * @example
 * const held = createHeldConfiguration();
 */
export function createHeldConfiguration(): ConfigurationStore {
    let current: Configuration | undefined;
    /** Absent when the configuration does not come from a log. */
    let state: FoldState | undefined;
    let message: ConfigurationMessage | undefined;

    return {
        getCurrent: () => current,
        accept(offered) {
            if (current && offered.generation <= current.generation) {
                return false;
            }
            const objects = offered.objects as ConfigurationObjects;
            if (computeConfigurationDigest(objects) !== offered.digest) {
                return "the configuration does not match its digest";
            }
            const parsed = offered.fold && parseConfigurationMessage(offered);
            if (typeof parsed === "string") {
                return parsed;
            }
            current = { generation: offered.generation, digest: offered.digest, objects };
            state = parsed;
            message = offered;
            return true;
        },
        acceptChange(change) {
            if (!current || !state || change.base !== current.generation) {
                return false;
            }
            const next = change.records.reduce((folded, record) => foldRecord(folded, record).state, state);
            const digest = computeConfigurationDigest(next.objects);
            if (next.generation !== change.generation || digest !== change.digest) {
                return `the change does not lead from generation ${change.base} to ${change.generation}`;
            }
            current = { generation: next.generation, digest, objects: next.objects };
            state = next;
            message = undefined;
            return true;
        },
        buildMessage() {
            if (!message && state && current) {
                message = buildConfigurationMessage(state, current);
            }
            return message;
        },
    };
}
