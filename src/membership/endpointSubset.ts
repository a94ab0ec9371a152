import { EndpointRecord } from "../ports/endpointRecord.js";
import { EndpointDirectory } from "./endpointDirectory.js";

/** The subset of each service's endpoints that this gateway uses. */
export interface EndpointSubset {
    list(service: string): readonly EndpointRecord[];
    /** Clears the cache. Must be called when the directory or the result of `select` changes. */
    invalidate(): void;
}

/**
 * Creates the subset of a directory that `select` chooses. The result is cached until it is invalidated, because every
 * placement uses it and a directory may have thousands of endpoints.
 *
 * @example
 * const endpointSubset = createEndpointSubset(directory, endpoints => selectCellEndpoints(cell, endpoints));
 */
export function createEndpointSubset(
    directory: EndpointDirectory,
    select: (endpoints: readonly EndpointRecord[]) => readonly EndpointRecord[],
): EndpointSubset {
    const known = new Map<string, readonly EndpointRecord[]>();
    return {
        list(service) {
            const endpoints = known.get(service) ?? select(directory.listUsable(service));
            known.set(service, endpoints);
            return endpoints;
        },
        invalidate: () => known.clear(),
    };
}
