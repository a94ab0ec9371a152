import murmurhash from "murmurhash";

/**
 * A group of gateways that places requests on its own partition of the endpoints. Services with few endpoints are
 * shared.
 */
export interface Cell {
    readonly index: number;
    /** Number of cells in the deployment, a power of two. */
    readonly count: number;
}

/** The cell of a deployment that is too small for more than one. */
export const onlyCell: Cell = { index: 0, count: 1 };

/**
 * Minimum gateways per cell. Each gateway reports every request to all others of its cell. Messages therefore grow with
 * the square of the cell's size, and so does the number of conflicting decisions on the same engine before a report
 * arrives.
 */
const minGateways = 6;
/**
 * Minimum endpoints of a service per cell. With fewer, requests would wait in one cell while endpoints of another are
 * idle.
 */
const minEndpoints = 8;

/** The cell of a gateway and the division of all other gateways by it. */
export interface CellMembership {
    readonly cell: Cell;
    /** Addresses of the other gateways of the same cell. */
    readonly members: readonly string[];
    /** Addresses of the gateways of other cells. */
    readonly others: readonly string[];
}

/**
 * Computes the cell of a gateway from the addresses of all gateways. Gateways that know the same set of addresses
 * compute the same cells. The number of cells is a power of two, so that half of the endpoints keep their cell when it
 * doubles or halves.
 *
 * @example
 * decideCell("10.1.0.4:7340", addresses).cell.index;
 */
export function decideCell(ownAddress: string, addresses: readonly string[]): CellMembership {
    const known = sortByHash([...new Set([...addresses, ownAddress])]);
    const count = computePowerOfTwo(known.length / minGateways);
    const index = known.indexOf(ownAddress) % count;
    return {
        cell: { index, count },
        members: known.filter((address, position) => position % count === index && address !== ownAddress),
        others: known.filter((address, position) => position % count !== index),
    };
}

/**
 * Selects the endpoints of a service that a cell uses. A service with few endpoints is divided into fewer partitions
 * than there are cells, and several cells share each of them.
 *
 * @example
 * selectCellEndpoints(cell, directory.listUsable("models"));
 */
export function selectCellEndpoints<Endpoint extends { readonly id: string }>(
    cell: Cell,
    endpoints: readonly Endpoint[],
): readonly Endpoint[] {
    const count = Math.min(cell.count, computePowerOfTwo(endpoints.length / minEndpoints));
    return count === 1
        ? endpoints
        : endpoints.filter(endpoint => murmurhash.v3(endpoint.id) % count === cell.index % count);
}

function computePowerOfTwo(value: number): number {
    return 2 ** Math.max(0, Math.floor(Math.log2(Math.max(1, value))));
}

function sortByHash(addresses: readonly string[]): readonly string[] {
    return addresses.map(address => ({ address, hash: murmurhash.v3(address) }))
        .sort((left, right) => left.hash - right.hash || (left.address < right.address ? -1 : 1))
        .map(({ address }) => address);
}
