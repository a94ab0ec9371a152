import { EndpointDirectory } from "../membership/endpointDirectory.js";
import { EndpointSubset } from "../membership/endpointSubset.js";
import { EndpointRecord } from "../ports/endpointRecord.js";
import { EndpointPartition } from "../routing/gatewayCell.js";
import { GatewayCells } from "./gatewayCells.js";

/** Tells which gateways use the endpoints of other cells. */
export interface EndpointOwners {
    /** Lists the gateways of other cells that use an endpoint, nobody if the own cell uses it. */
    list(endpoint: string): readonly string[];
}

/**
 * Creates the lists. A division is kept until the endpoints of the own cell are selected anew, because it takes
 * milliseconds for thousands of endpoints.
 *
 * @param selectDivided selects the endpoints that are divided between cells
 *
 * @example
 * createEndpointOwners(directory, endpointSubset, cells, endpoints => endpoints).list("engine-7");
 */
export function createEndpointOwners(
    directory: Pick<EndpointDirectory, "find" | "listUsable">,
    endpointSubset: Pick<EndpointSubset, "list">,
    cells: Pick<GatewayCells, "split" | "listOwners">,
    selectDivided: (endpoints: readonly EndpointRecord[]) => readonly EndpointRecord[],
): EndpointOwners {
    const partitions = new WeakMap<readonly EndpointRecord[], EndpointPartition>();
    return {
        list(endpoint) {
            const service = directory.find(endpoint)?.record.service;
            const own = service === undefined ? undefined : endpointSubset.list(service);
            if (service === undefined || !own || own.some(record => record.id === endpoint)) {
                return [];
            }
            const partition = partitions.get(own) ?? cells.split(selectDivided(directory.listUsable(service)));
            partitions.set(own, partition);
            return cells.listOwners(endpoint, partition);
        },
    };
}
