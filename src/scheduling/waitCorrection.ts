/**
 * Learns by which factor predicted waits are too short, so that admitted work meets its time limit even if later
 * arrivals delay it.
 */
export interface WaitCorrection {
    /** Factor for a predicted wait. */
    getFactor(): number;
    record(predictedMs: number, waitedMs: number): void;
}

/**
 * Share of the waits that the corrected prediction covers. The target is that 99% of admitted urgent work is in time.
 */
const targetQuantile = 0.9995;
const step = 0.05;
/** Margin for the prompt that the engine is computing and for the sidecar's tick, even if predictions are accurate. */
const minFactor = 1.15;
const maxFactor = 4;
/** Shorter predictions are ignored, since rounding and ticks dominate them. */
const minPredictedMs = 250;

/**
 * Creates the correction. The factor tracks a high quantile of the ratio of actual to predicted waits: it rises quickly
 * with each wait that it did not cover and falls slowly with the others.
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
