import { isShortPrompt } from "./predictFirstToken.js";
import { pickByRendezvous } from "./rendezvous.js";

/** Computes how many endpoints to reserve for short prompts from the measured demand. */
export interface ShortDemand {
    record(promptTokens: number): void;
    /** Returns how many of `total` endpoints are reserved for short prompts. */
    computeCount(total: number): number;
}

/** Weight of one request in the moving average of the demand, which covers some hundreds of requests. */
const learningRate = 0.005;
/**
 * Minimum endpoints for which at least one is reserved for short prompts regardless of demand. In a smaller fleet, one
 * endpoint is too large a share.
 */
const minEndpoints = 8;

/** Creates the demand estimate of one model. */
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
            const least = total >= minEndpoints ? 1 : 0;
            return Math.min(total - 1, Math.max(least, byDemand));
        },
    };
}

/**
 * Picks the endpoints that are reserved for short prompts. All entries rank the endpoints in the same way, so that
 * their sets differ only by measured demand and by aperture.
 */
export function pickShortEndpoints(names: readonly string[], count: number): ReadonlySet<string> {
    return new Set(count === 0 ? [] : pickByRendezvous("short prompts", names, name => name, count));
}
