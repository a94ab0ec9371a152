import { EndpointRecord } from "../ports/endpointRecord.js";
import { EndpointDirectory } from "./endpointDirectory.js";

/** The endpoints of each service that one gateway uses. */
export interface EndpointShare {
    list(service: string): readonly EndpointRecord[];
    /** Must be called when endpoints have changed, or what selects them. */
    invalidate(): void;
}

/**
 * Creates the share of a directory that `select` chooses. It is computed once for each change, as every placement asks
 * for it and a directory may have thousands of endpoints.
 *
 * @example
 * const share = createEndpointShare(directory, endpoints => selectCellEndpoints(cell, endpoints));
 */
export function createEndpointShare(
    directory: EndpointDirectory,
    select: (endpoints: readonly EndpointRecord[]) => readonly EndpointRecord[],
): EndpointShare {
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
