import murmurhash from "murmurhash";

/**
 * Computes the rendezvous score of a member for a key. The members with the highest scores are chosen. The two hashes
 * are mixed with a full finalizer: a hash of the concatenated names is so correlated for similar names that some
 * members get twice the mean load.
 */
function computeScore(keyHash: number, member: string): number {
    let mixed = keyHash ^ Math.imul(murmurhash.v3(member), 0x9e3779b1);
    mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** Maximum members of one choice. A 32-bit score and an index below this fit exactly into the integers of a double. */
const maxMembers = 2 ** 20;

/**
 * Picks the members with the highest scores for a key. When members join or leave, only choices that involve them
 * change.
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
    // Score and index are packed into one number and sorted in a typed array for speed: an aperture sorts thousands of
    // endpoints.
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
