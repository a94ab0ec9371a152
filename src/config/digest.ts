import stringify from "safe-stable-stringify";
import { computeDigest } from "../base/ids.js";
import { ConfigurationObjects } from "./objects.js";

/**
 * Returns the digest of a set of objects, which does not depend on key order.
 *
 * @example
 * computeConfigurationDigest(makeEmptyObjects());
 */
export function computeConfigurationDigest(objects: ConfigurationObjects): string {
    return computeDigest(stringify(objects));
}
