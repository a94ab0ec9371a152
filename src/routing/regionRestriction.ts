/** Regions that a request may run in. */
export type AllowedRegions = ReadonlySet<string>;

/**
 * Combines the lists of a route and a customer. Returns `undefined` if none of them imposes a restriction; an absent or
 * empty list imposes none.
 *
 * @example
 * mergeAllowedRegions(["north", "south"], ["south"]); // the set of "south"
 */
export function mergeAllowedRegions(
    ...lists: readonly (readonly string[] | undefined)[]
): AllowedRegions | undefined {
    const [first, ...others] = lists.filter(list => list !== undefined && list.length > 0);
    return first && new Set(first.filter(region => others.every(list => list!.includes(region))));
}

/**
 * Returns whether a request may run in a data centre. One without a known region is in no list.
 *
 * @param regions regions of the data centres, by name
 *
 * @example
 * isRegionAllowed(new Set(["south"]), "larissa", new Map([["larissa", "south"]])); // true
 */
export function isRegionAllowed(
    allowed: AllowedRegions | undefined,
    dataCentre: string,
    regions: ReadonlyMap<string, string> | undefined,
): boolean {
    const region = regions?.get(dataCentre);
    return allowed === undefined || (region !== undefined && allowed.has(region));
}
