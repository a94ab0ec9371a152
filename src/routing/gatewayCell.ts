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
    let index = 0;
    let members: readonly string[] = known;
    for (let level = 0; 1 << level < count; level++) {
        const [lower, upper] = splitEvenly(members, address => address, level);
        const isUpper = upper.includes(ownAddress);
        members = isUpper ? upper : lower;
        index += isUpper ? 1 << level : 0;
    }
    const memberSet = new Set(members);
    return {
        cell: { index, count },
        members: members.filter(address => address !== ownAddress),
        others: known.filter(address => !memberSet.has(address)),
    };
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
    const count = Math.min(cell.count, computePowerOfTwo(endpoints.length / minEndpoints));
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
    return Math.ceil(gateways / Math.min(cell.count, computePowerOfTwo(endpoints / minEndpoints)));
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
