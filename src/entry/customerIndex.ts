import { computeDigest, isSameDigest } from "../base/ids.js";
import { Configuration, CustomerObject } from "../config/objects.js";

/** A customer that presented a valid key. */
export interface AuthenticatedCustomer {
    readonly name: string;
    readonly object: CustomerObject;
}

/** Finds customers by API key. */
export interface CustomerIndex {
    find(authorization: string | undefined): AuthenticatedCustomer | undefined;
}

const bearerPrefix = "Bearer ";

/**
 * Builds the customer index of a configuration. Keys are looked up by their digest, so that the time of a look-up does
 * not reveal how much of a guessed key is correct.
 *
 * @example
 * const index = buildCustomerIndex(configuration);
 * index.find("Bearer key")?.name;
 */
export function buildCustomerIndex(configuration: Configuration): CustomerIndex {
    const byDigest = new Map<string, { readonly digest: string; readonly customer: AuthenticatedCustomer }>();
    for (const [name, object] of Object.entries(configuration.objects.customers)) {
        for (const digest of object.keyDigests) {
            byDigest.set(digest, { digest, customer: { name, object } });
        }
    }
    return {
        find(authorization) {
            if (!authorization?.startsWith(bearerPrefix)) {
                return undefined;
            }
            const digest = computeDigest(authorization.slice(bearerPrefix.length).trim());
            const found = byDigest.get(digest);
            return found && isSameDigest(found.digest, digest) ? found.customer : undefined;
        },
    };
}
