/** Learns how far predicted waits fall short, so that admitted work meets its limit although later arrivals delay it. */
export interface WaitCorrection {
    /** Factor for a predicted wait. */
    getFactor(): number;
    record(predictedMs: number, waitedMs: number): void;
}

/** Part of the waits that the corrected prediction covers; the target is 99% of admitted urgent work in time. */
const targetQuantile = 0.9995;
const step = 0.05;
/** Even a right prediction needs room for the prompt that the engine is at and for the sidecar's tick. */
const minFactor = 1.15;
const maxFactor = 4;
/** Shorter predictions say nothing about the factor: rounding and ticks dominate them. */
const minPredictedMs = 250;

/**
 * Creates the correction. The factor follows a quantile of actual to predicted waits: it grows quickly with each wait
 * that it did not cover and falls slowly with the others.
 */
export function createWaitCorrection(): WaitCorrection {
    let factor = minFactor;
    return {
        getFactor: () => factor,
        record(predictedMs, waitedMs) {
            if (predictedMs >= minPredictedMs) {
                const change = waitedMs > predictedMs * factor ? step * targetQuantile : -step * (1 - targetQuantile);
                factor = Math.min(maxFactor, Math.max(minFactor, factor + change));
            }
        },
    };
}
