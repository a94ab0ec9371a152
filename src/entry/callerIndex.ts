import { computeDigest, isSameDigest } from "../base/ids.js";
import { CallerObject, Configuration } from "../config/objects.js";

/** A caller that presented a valid key. */
export interface AuthenticatedCaller {
    readonly name: string;
    readonly object: CallerObject;
}

/** Finds callers by key. */
export interface CallerIndex {
    find(authorization: string | undefined): AuthenticatedCaller | undefined;
}

const bearerPrefix = "Bearer ";

/**
 * Builds the index of callers of a configuration. Keys are looked up by their digest, so a look-up takes a time that
 * does not depend on how much of a key is right.
 *
 * @example
 * const index = buildCallerIndex(configuration);
 * index.find("Bearer key")?.name;
 */
export function buildCallerIndex(configuration: Configuration): CallerIndex {
    const byDigest = new Map<string, { readonly digest: string; readonly caller: AuthenticatedCaller }>();
    for (const [name, object] of Object.entries(configuration.objects.callers)) {
        for (const digest of object.keyDigests) {
            byDigest.set(digest, { digest, caller: { name, object } });
        }
    }
    return {
        find(authorization) {
            if (!authorization?.startsWith(bearerPrefix)) {
                return undefined;
            }
            const digest = computeDigest(authorization.slice(bearerPrefix.length).trim());
            const entry = byDigest.get(digest);
            return entry && isSameDigest(entry.digest, digest) ? entry.caller : undefined;
        },
    };
}
