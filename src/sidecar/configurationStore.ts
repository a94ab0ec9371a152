import { computeConfigurationDigest } from "../config/digest.js";
import { foldRecord, FoldState } from "../config/fold.js";
import { Configuration, ConfigurationObjects } from "../config/objects.js";
import { buildConfigurationMessage, parseConfigurationMessage } from "../link/configurationMessage.js";
import { ConfigurationChangeMessage, ConfigurationMessage } from "../link/messages.js";

/** Stores the configuration that a sidecar receives from its entries and sends to entries that are starting. */
export interface ConfigurationStore {
    getCurrent(): Configuration | undefined;
    /** Accepts a full configuration. Returns whether it is now in force, or the reason for its refusal. */
    accept(message: ConfigurationMessage): boolean | string;
    /** Accepts a change to the current configuration. Returns the same as `accept`. */
    acceptChange(message: ConfigurationChangeMessage): boolean | string;
    buildMessage(): ConfigurationMessage | undefined;
}

/**
 * Creates an empty store. A configuration is replaced only by a newer one whose content matches its digest.
 *
 * @example
 * const store = createConfigurationStore();
 */
export function createConfigurationStore(): ConfigurationStore {
    let current: Configuration | undefined;
    /** State to which changes are applied. Absent when the configuration does not come from a log. */
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
                return `the change from generation ${change.base} does not produce generation ${change.generation}`;
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
