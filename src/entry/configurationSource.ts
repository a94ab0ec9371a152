import { Disposable } from "../base/disposable.js";
import { computeConfigurationDigest } from "../config/digest.js";
import { Configuration, ConfigurationObjects } from "../config/objects.js";
import { ConfigurationMessage } from "../link/messages.js";

/** Where an entry gets its configuration from. */
export interface ConfigurationSource extends Disposable {
    getCurrent(): Configuration | undefined;
    /** Calls `listener` with the current configuration, if there is one, and with each later one. */
    subscribe(listener: (configuration: Configuration) => void): Disposable;
    /** Offers a configuration that a peer holds; it is used only if it is newer and matches its digest. */
    offer(message: ConfigurationMessage): void;
}

/**
 * Creates a source with one configuration that never changes, for `dev` and for tests.
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
        dispose: () => undefined,
    };
}
