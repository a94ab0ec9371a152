import { Disposable } from "../base/disposable.js";
import { computeConfigurationDigest } from "../config/digest.js";
import { Configuration, ConfigurationObjects } from "../config/objects.js";
import { ConfigurationChangeMessage, ConfigurationMessage, LinkMessageType } from "../link/messages.js";

/** How a source stands with the log, for operators. */
export interface ConfigurationSourceStatus {
    /** Whether the last read of the log succeeded; absent when the configuration is fixed. */
    readonly logReachable?: boolean;
    /** Time since the last successful read of the log, in milliseconds. */
    readonly logAgeMs?: number;
    readonly foldedOffset: number;
    /** What an operator should look at; empty when all is well. */
    readonly alarms: readonly string[];
    /** Change sets that were rejected lately. */
    readonly rejections: readonly string[];
}

/** Where an entry gets its configuration from. */
export interface ConfigurationSource extends Disposable {
    getCurrent(): Configuration | undefined;
    /** Calls `listener` with the current configuration, if there is one, and with each later one. */
    subscribe(listener: (configuration: Configuration) => void): Disposable;
    /** Offers a configuration that a peer holds; it is used only if it is newer and matches its digest. */
    offer(message: ConfigurationMessage): void;
    /** Builds the message that gives the current configuration to a peer, with what later folds need. */
    buildMessage(): ConfigurationMessage | undefined;
    /** Builds the message that leads a peer on from a generation; `undefined` if it needs the whole configuration. */
    buildChange(base: number): ConfigurationChangeMessage | undefined;
    describe(): ConfigurationSourceStatus;
}

/**
 * Creates a source with one configuration that never changes, for trials and for tests.
 *
 * @example
 * const source = createFixedConfigurationSource(objects);
 */
export function createFixedConfigurationSource(objects: ConfigurationObjects): ConfigurationSource {
    const configuration = { generation: 0, digest: computeConfigurationDigest(objects), objects };
    return {
        getCurrent: () => configuration,
        subscribe(listener) {
            listener(configuration);
            return { dispose: () => undefined };
        },
        offer: () => undefined,
        buildMessage: () => ({ type: LinkMessageType.Configuration, foldedOffset: 0, ...configuration }),
        buildChange: () => undefined,
        describe: () => ({ foldedOffset: 0, alarms: [], rejections: [] }),
        dispose: () => undefined,
    };
}
