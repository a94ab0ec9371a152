import { Disposable } from "../base/disposable.js";
import { computeConfigurationDigest } from "../config/digest.js";
import { Configuration, ConfigurationObjects } from "../config/objects.js";
import { ConfigurationChangeMessage, ConfigurationMessage, LinkMessageType } from "../link/messages.js";

/** State of a configuration source, as reported to operators. */
export interface ConfigurationSourceStatus {
    /** Whether the last read of the log succeeded; absent if the configuration is fixed. */
    readonly logReachable?: boolean;
    /** Time since the last successful read of the log, in milliseconds. */
    readonly logAgeMs?: number;
    readonly foldedOffset: number;
    /** Conditions that need an operator's attention. */
    readonly alarms: readonly string[];
    /** The most recent rejected change sets. */
    readonly rejections: readonly string[];
}

/** Where an entry gets its configuration from. */
export interface ConfigurationSource extends Disposable {
    getCurrent(): Configuration | undefined;
    /** Calls `listener` with the current configuration, if there is one, and with each later one. */
    subscribe(listener: (configuration: Configuration) => void): Disposable;
    /** Offers a peer's configuration, which is used only if it is newer and matches its digest. */
    offer(message: ConfigurationMessage): void;
    /** Builds the message with the current configuration and the state that folding later records needs. */
    buildMessage(): ConfigurationMessage | undefined;
    /**
     * Builds the message with the records that a peer at generation `base` lacks; `undefined` if the peer needs the
     * complete configuration.
     */
    buildChangeMessage(base: number): ConfigurationChangeMessage | undefined;
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
        buildChangeMessage: () => undefined,
        describe: () => ({ foldedOffset: 0, alarms: [], rejections: [] }),
        dispose: () => undefined,
    };
}
