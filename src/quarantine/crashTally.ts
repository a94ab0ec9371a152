/** What speaks against a trait. */
export interface Tally {
    readonly trait: string;
    readonly isRequest: boolean;
    readonly hasParts: boolean;
    readonly requests: Set<string>;
    readonly crashTimesMs: Set<number>;
    /** When the last request with the trait was sent to each crashed endpoint, by the time of the crash. */
    readonly sentAtMs: Map<number, number>;
    /** Position among the traits of a request; later ones are shared by fewer requests. */
    readonly depth: number;
}

/** Points in time that follow the first of them closely. */
export interface TimeGroup {
    readonly startMs: number;
    count: number;
}

/**
 * Groups points in time that follow the first one of their group within the spacing.
 *
 * @example
 * collectGroups([0, 100, 900], 250); // [{ startMs: 0, count: 2 }, { startMs: 900, count: 1 }]
 */
export function collectGroups(timesMs: readonly number[], spacingMs: number): TimeGroup[] {
    const groups: TimeGroup[] = [];
    for (const atMs of [...timesMs].sort((left, right) => left - right)) {
        const last = groups.at(-1);
        if (last && atMs - last.startMs < spacingMs) {
            last.count += 1;
        }
        else {
            groups.push({ startMs: atMs, count: 1 });
        }
    }
    return groups;
}

/**
 * Returns whether the requests of a trait include those of another one that is more specific.
 *
 * @example
 * isCovered(tallyOfFirstPart, tallyOfRequest); // true
 */
export function isCovered(tally: Tally, other: Tally): boolean {
    return other !== tally && isSubset(other.requests, tally.requests)
        && (other.requests.size < tally.requests.size || other.depth > tally.depth);
}

/**
 * Selects the traits whose requests do not include all requests of a more specific trait.
 *
 * @example
 * selectMostSpecific([tallyOfFirstPart, tallyOfRequest]); // [tallyOfRequest]
 */
export function selectMostSpecific(tallies: readonly Tally[]): Tally[] {
    return tallies.filter(tally => !tallies.some(other => isCovered(tally, other)));
}

/**
 * Returns whether all items of a set are in another one.
 *
 * @example
 * isSubset(new Set([1]), new Set([1, 2])); // true
 */
export function isSubset<Item>(smaller: ReadonlySet<Item>, larger: ReadonlySet<Item>): boolean {
    return [...smaller].every(item => larger.has(item));
}

/**
 * Counts the first crash of each group and those of its other crashes for which the request was sent after the first: what
 * was sent to the endpoints of a rack was mostly sent before the rack failed.
 *
 * @example
 * countSuccessiveCrashes(tally, 250) >= 3;
 */
export function countSuccessiveCrashes({ crashTimesMs, sentAtMs }: Tally, spacingMs: number): number {
    const times = [...crashTimesMs];
    const isSentAfter = (crashedAtMs: number, startMs: number) =>
        crashedAtMs > startMs && crashedAtMs - startMs < spacingMs
        && (sentAtMs.get(crashedAtMs) ?? -Infinity) >= startMs;
    return collectGroups(times, spacingMs).reduce(
        (sum, { startMs }) => sum + 1 + times.filter(atMs => isSentAfter(atMs, startMs)).length,
        0,
    );
}
