import murmurhash from "murmurhash";

/**
 * Returns the rendezvous score of a member for a key; the members with the highest scores are chosen. Both hashes go
 * through a whole mixing step: a hash of the joined names keeps enough of their likeness to load some members at twice the
 * mean.
 */
function computeScore(keyHash: number, member: string): number {
    let mixed = keyHash ^ Math.imul(murmurhash.v3(member), 0x9e3779b1);
    mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** Bound of the members of one choice: score and index together must stay exact in a number. */
const maxMembers = 2 ** 20;

/**
 * Picks the members with the highest scores for a key. When members come or go, only choices that involve them change.
 *
 * @example
 * pickByRendezvous("prefix", ["engine-1", "engine-2"], name => name, 1);
 */
export function pickByRendezvous<Member>(
    key: string,
    members: readonly Member[],
    getName: (member: Member) => string,
    count: number,
): readonly Member[] {
    if (count === 1) {
        return pickFirst(key, members, getName);
    }
    const keyHash = murmurhash.v3(key);
    // Score and index share one number, so that a typed array sorts them: an aperture orders thousands of endpoints.
    const ordered = new Float64Array(members.length);
    for (let index = 0; index < members.length; index++) {
        ordered[index] = computeScore(keyHash, getName(members[index]!)) * maxMembers + index;
    }
    return [...ordered.sort().subarray(Math.max(0, members.length - count))].reverse()
        .map(value => members[value % maxMembers]!);
}

function pickFirst<Member>(
    key: string,
    members: readonly Member[],
    getName: (member: Member) => string,
): readonly Member[] {
    let best: Member | undefined;
    let bestScore = -1;
    const keyHash = murmurhash.v3(key);
    for (const member of members) {
        const score = computeScore(keyHash, getName(member));
        if (score > bestScore) {
            best = member;
            bestScore = score;
        }
    }
    return best === undefined ? [] : [best];
}
