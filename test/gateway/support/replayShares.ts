import { computeValueShare, ReplayLoad, runReplay } from "../../../bench/replay/replay.js";
import { chooseClaim, ClaimPolicy } from "../../../src/routing/engineClaim.js";
import { PlacementPolicy, placeOnEngines } from "../../../src/routing/enginePlacement.js";

/** The value of a run of ten seconds depends on a few huge prompts, so the mean of several seeds is compared. */
const seeds = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];
/** Baselines serve so much less value that a few seeds are enough. */
export const baselineSeeds: readonly number[] = seeds.slice(0, 3);

/** Claim policy that never claims engines. */
export function claimNothing(): undefined {
    return undefined;
}

/** Computes the share of the value that is served within targets, as the mean over some seeds. */
export function computeShare(
    load: ReplayLoad,
    createPolicy: () => PlacementPolicy,
    claimPolicy: ClaimPolicy,
    someSeeds: readonly number[] = seeds,
): number {
    const shares = someSeeds.map(seed => computeValueShare(load, runReplay(load, createPolicy(), seed, claimPolicy)));
    return shares.reduce((sum, share) => sum + share, 0) / shares.length;
}

const cachedShares = new Map<ReplayLoad, number>();

/** Computes the share with all rules. The result is cached, because several tests of a file compare with it. */
export function computeFullShare(load: ReplayLoad): number {
    const share = cachedShares.get(load) ?? computeShare(load, () => placeOnEngines, chooseClaim);
    cachedShares.set(load, share);
    return share;
}
