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
/**
 * Minimum engines per cell. A long prompt is read in parts by up to 17 engines at once; with 11 engines in a cell such
 * prompts waited a second at the median for engines that were free in other cells.
 */
const minEngines = 16;

/** The cell of a gateway and the division of all other gateways by it. */
export interface CellMembership {
    readonly cell: Cell;
    /** Addresses of the other gateways of the same cell. */
    readonly members: readonly string[];
    /** Addresses of the gateways of other cells. */
    readonly others: readonly string[];
    /** Index of the cell of each gateway, by address. */
    readonly indexes: ReadonlyMap<string, number>;
}

/**
 * Computes the cell of a gateway from the addresses of all gateways. Gateways that know the same set of addresses
 * compute the same cells. The number of cells is a power of two, so that half of the endpoints keep their cell when it
 * doubles or halves.
 *
 * @param maxCells most cells that the endpoints allow, see `computeMaxCells`
 *
 * @example
 * decideCell("10.1.0.4:7340", addresses, computeMaxCells(45, true)).cell.index;
 */
export function decideCell(ownAddress: string, addresses: readonly string[], maxCells: number): CellMembership {
    const known = [...new Set([...addresses, ownAddress])];
    const count = computePowerOfTwo(Math.min(known.length / minGateways, maxCells));
    const indexes = assignCells(known, count);
    const index = indexes.get(ownAddress)!;
    const isMember = (address: string) => indexes.get(address) === index;
    return {
        cell: { index, count },
        members: known.filter(address => address !== ownAddress && isMember(address)),
        others: known.filter(address => !isMember(address)),
        indexes,
    };
}

/** Assigns ids to a number of cells, a power of two. Returns the index of the cell of each id. */
function assignCells(ids: readonly string[], count: number): ReadonlyMap<string, number> {
    let groups: readonly (readonly string[])[] = [ids];
    for (let level = 0; 1 << level < count; level++) {
        const halves = groups.map(group => splitEvenly(group, id => id, level));
        groups = [...halves.map(([lower]) => lower), ...halves.map(([, upper]) => upper)];
    }
    return new Map(groups.flatMap((group, index) => group.map(id => [id, index] as const)));
}

/** Division of a service's endpoints into partitions, each of which one or several cells use. */
export interface EndpointPartition {
    readonly count: number;
    /** Index of the partition of each endpoint, by id. */
    readonly indexes: ReadonlyMap<string, number>;
}

/**
 * Divides the endpoints of a service as `selectCellEndpoints` does.
 *
 * @example
 * splitEndpoints(cell, engineIds).indexes.get("engine-7");
 */
export function splitEndpoints(cell: Cell, endpoints: readonly string[]): EndpointPartition {
    const count = countPartitions(cell, endpoints.length);
    return { count, indexes: assignCells(endpoints, count) };
}

/**
 * Lists the gateways of other cells that use an endpoint, nobody if the own cell uses it.
 *
 * @param indexes index of the cell of each gateway, see `decideCell`
 *
 * @example
 * listEndpointOwners(cell, indexes, splitEndpoints(cell, engineIds), "engine-7");
 */
export function listEndpointOwners(
    cell: Cell,
    indexes: ReadonlyMap<string, number>,
    partition: EndpointPartition,
    endpoint: string,
): readonly string[] {
    const owner = partition.indexes.get(endpoint);
    if (owner === undefined || cell.index % partition.count === owner) {
        return [];
    }
    return [...indexes].filter(([, index]) => index % partition.count === owner).map(([address]) => address);
}

/**
 * Selects the gateways of other cells that a cell reports to, so that each gateway hears of a bounded number of cells.
 *
 * @param indexes index of the cell of each gateway, see `decideCell`
 *
 * @example
 * selectReportReceivers(cell, indexes, 3);
 */
export function selectReportReceivers(
    cell: Cell,
    indexes: ReadonlyMap<string, number>,
    maxReports: number,
): readonly string[] {
    return [...indexes]
        .filter(([, index]) => index !== cell.index && (index - cell.index + cell.count) % cell.count <= maxReports)
        .map(([address]) => address);
}

/**
 * Computes the most cells among which the largest service of a deployment can be divided. If no service can be divided,
 * all gateways use all endpoints and have to know of each other's work.
 *
 * @param endpoints number of endpoints of the largest service; of the largest engine service if there is one
 *
 * @example
 * computeMaxCells(45, true); // 2.8, so two cells
 */
export function computeMaxCells(endpoints: number, areEngines: boolean): number {
    return endpoints / (areEngines ? minEngines : minEndpoints);
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
    const count = countPartitions(cell, endpoints.length);
    let selected = endpoints;
    for (let level = 0; 1 << level < count; level++) {
        const [lower, upper] = splitEvenly(selected, endpoint => endpoint.id, level);
        selected = (cell.index >> level) & 1 ? upper : lower;
    }
    return selected;
}

/**
 * Counts the gateways that use the same endpoints of a service as one of them does.
 *
 * @example
 * countSharingGateways({ index: 0, count: 2 }, 16, 4); // 16, since four endpoints are not divided
 */
export function countSharingGateways(cell: Cell, gateways: number, endpoints: number): number {
    return Math.ceil(gateways / countPartitions(cell, endpoints));
}

/** Counts the partitions of a service's endpoints, of which each cell uses one. */
function countPartitions(cell: Cell, endpoints: number): number {
    return Math.min(cell.count, computePowerOfTwo(endpoints / minEndpoints));
}

function computePowerOfTwo(value: number): number {
    return 2 ** Math.max(0, Math.floor(Math.log2(Math.max(1, value))));
}

/**
 * Splits items into two halves whose sizes differ by one at most. Each item goes to the half that its hash names, unless
 * that is full, so that one item more or less moves few others. Gateways that know different items for some seconds
 * thereby still agree on most of them.
 *
 * @param level distinguishes the hashes of successive splits
 */
function splitEvenly<Item>(
    items: readonly Item[],
    getId: (item: Item) => string,
    level: number,
): readonly [readonly Item[], readonly Item[]] {
    const maxSize = Math.ceil(items.length / 2);
    const lower: Item[] = [];
    const upper: Item[] = [];
    const ordered = items.map(item => ({ item, id: getId(item), hash: murmurhash.v3(getId(item), 2 * level) }))
        .sort((left, right) => left.hash - right.hash || (left.id < right.id ? -1 : 1));
    for (const { item, id } of ordered) {
        const isUpperPreferred = (murmurhash.v3(id, 2 * level + 1) & 1) === 1;
        const [preferred, other] = isUpperPreferred ? [upper, lower] : [lower, upper];
        (preferred.length < maxSize ? preferred : other).push(item);
    }
    return [lower, upper];
}
