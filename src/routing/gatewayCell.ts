import murmurhash from "murmurhash";

/** A group of gateways that places requests on a share of the endpoints, of which it alone makes use. */
export interface Cell {
    readonly index: number;
    /** Number of cells, a power of two. */
    readonly count: number;
}

/** The cell of a deployment that is too small for several. */
export const onlyCell: Cell = { index: 0, count: 1 };

/**
 * Gateways of a cell at least. Each tells all others of its cell of each request: the messages grow with the square of
 * the cell, and with it the number of decisions that are made on the same engine within the time of a message.
 */
const minGateways = 6;
/** Endpoints of a service in a cell at least; with fewer, requests of one cell wait while those of another are free. */
const minEndpoints = 8;

/** The cell of a gateway, and the other gateways. */
export interface CellMembership {
    readonly cell: Cell;
    /** Gateways of the same cell. */
    readonly members: readonly string[];
    /** Gateways of other cells. */
    readonly others: readonly string[];
}

/**
 * Decides the cell of a gateway from the addresses of all. Gateways that know the same others agree; a power of two keeps
 * half of the endpoints where they are when the number of cells changes.
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
 * Selects the endpoints of a service that a cell uses; cells share those of a service with few.
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
