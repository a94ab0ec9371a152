import { pickByRendezvous } from "./rendezvous.js";

/** Attributes of an endpoint that the choice of an aperture uses. */
export interface ApertureEndpoint {
    readonly dataCentre: string;
    readonly model?: string;
    readonly service?: string;
}

/** Maximum endpoints of each model or service that an entry connects to. */
export interface ApertureSettings {
    readonly ownDataCentre: number;
    readonly otherDataCentres: number;
}

/**
 * Default aperture. With 610 entries and 7,700 endpoints of 7 models in 6 data centres, an entry keeps 336 links and an
 * endpoint has links from 26 entries on average.
 */
export const defaultApertureSettings: ApertureSettings = { ownDataCentre: 32, otherDataCentres: 16 };

/**
 * Chooses the endpoints that an entry connects to: a bounded subset for each model or service, by rendezvous hash with
 * the entry's name. If the entry's own data centre has fewer endpoints than its quota, other data centres supply the
 * rest.
 *
 * @example
 * selectAperture({ entry: "entry-1", dataCentre: "larissa" }, Object.entries(endpoints), defaultApertureSettings);
 */
export function selectAperture<Endpoint extends ApertureEndpoint>(
    entry: { readonly entry: string; readonly dataCentre: string },
    endpoints: readonly (readonly [string, Endpoint])[],
    settings: ApertureSettings,
): readonly (readonly [string, Endpoint])[] {
    const groups = new Map<string, (readonly [string, Endpoint])[]>();
    for (const endpoint of endpoints) {
        const key = endpoint[1].model === undefined ? `service ${endpoint[1].service}` : `model ${endpoint[1].model}`;
        const group = groups.get(key);
        if (group) {
            group.push(endpoint);
        }
        else {
            groups.set(key, [endpoint]);
        }
    }
    return [...groups.values()].flatMap(group => {
        if (group.length <= settings.ownDataCentre + settings.otherDataCentres) {
            return group;
        }
        const near = group.filter(([, { dataCentre }]) => dataCentre === entry.dataCentre);
        const far = group.filter(([, { dataCentre }]) => dataCentre !== entry.dataCentre);
        const ownCount = Math.min(near.length, settings.ownDataCentre);
        const otherCount = settings.ownDataCentre + settings.otherDataCentres - ownCount;
        const getName = ([name]: readonly [string, Endpoint]) => name;
        return [
            ...pickByRendezvous(entry.entry, near, getName, ownCount),
            ...pickByRendezvous(entry.entry, far, getName, otherCount),
        ];
    });
}

/** Distribution of the number of entries that connect to an endpoint. */
export interface ApertureCoverage {
    readonly minEntries: number;
    readonly meanEntries: number;
    readonly maxEntries: number;
    /** Largest number of links of one entry. */
    readonly maxLinks: number;
}

/** Computes how evenly the entries cover the endpoints with given aperture sizes. */
export function computeApertureCoverage(
    entries: readonly { readonly entry: string; readonly dataCentre: string }[],
    endpoints: readonly (readonly [string, ApertureEndpoint])[],
    settings: ApertureSettings,
): ApertureCoverage {
    const counts = new Map(endpoints.map(([name]) => [name, 0]));
    let maxLinks = 0;
    for (const entry of entries) {
        const chosen = selectAperture(entry, endpoints, settings);
        maxLinks = Math.max(maxLinks, chosen.length);
        for (const [name] of chosen) {
            counts.set(name, counts.get(name)! + 1);
        }
    }
    let minEntries = Number.MAX_SAFE_INTEGER;
    let maxEntries = 0;
    let sum = 0;
    for (const count of counts.values()) {
        minEntries = Math.min(minEntries, count);
        maxEntries = Math.max(maxEntries, count);
        sum += count;
    }
    return { minEntries, meanEntries: sum / Math.max(1, counts.size), maxEntries, maxLinks };
}
