import { isShortPrompt } from "./predictFirstToken.js";
import { pickByRendezvous } from "./rendezvous.js";

/** Sizes the set of endpoints that take no long prompts by the demand of short ones. */
export interface ShortDemand {
    record(promptTokens: number): void;
    /** Number of `total` endpoints that are kept for short prompts. */
    computeCount(total: number): number;
}

/** Weight of one request in the measured demand: an average over some hundreds of requests. */
const learningRate = 0.005;
/** Smallest fleet that keeps an endpoint for short prompts whatever their demand; of fewer, one is too much to lose. */
const minFleet = 8;

/** Creates the measure for one model. */
export function createShortDemand(): ShortDemand {
    let shortTokens = 0;
    let longTokens = 0;
    return {
        record(promptTokens) {
            const isShort = isShortPrompt(promptTokens);
            shortTokens += ((isShort ? promptTokens : 0) - shortTokens) * learningRate;
            longTokens += ((isShort ? 0 : promptTokens) - longTokens) * learningRate;
        },
        computeCount(total) {
            if (shortTokens === 0 || longTokens === 0) {
                return 0;
            }
            const byDemand = Math.floor(total * shortTokens / (shortTokens + longTokens));
            const least = total >= minFleet ? 1 : 0;
            return Math.min(total - 1, Math.max(least, byDemand));
        },
    };
}

/**
 * Picks the endpoints that are kept for short prompts. All entries order the endpoints alike, so that their sets differ only
 * as their measured demand and their apertures do.
 */
export function pickShortEndpoints(names: readonly string[], count: number): ReadonlySet<string> {
    return new Set(count === 0 ? [] : pickByRendezvous("short prompts", names, name => name, count));
}
