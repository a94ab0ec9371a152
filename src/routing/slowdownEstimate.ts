/** Estimates how much slower than predicted by its model each endpoint runs. */
export interface SlowdownEstimate {
    /** Records a gap between two events and the model's prediction for a pass without prefill, both in milliseconds. */
    record(endpoint: string, gapMs: number, predictedMs: number, nowMs: number): void;
    /** Returns the factor to apply to predicted times, 1 or more. */
    getSlowdown(endpoint: string, nowMs: number): number;
    forget(endpoint: string): void;
}

/**
 * Number of recent gaps that the estimate uses. Prefill lengthens some gaps, so the shortest shows the decoding speed.
 */
const sampleCount = 5;
/** Age at which a sample expires, in milliseconds, so that a formerly slow endpoint is used again. */
const sampleLifetimeMs = 4_000;
/** Ratios below this are within the error of the model. */
const tolerance = 1.25;
const maxSlowdown = 20;

interface Sample {
    readonly ratio: number;
    readonly atMs: number;
}

/**
 * Creates an estimate without samples, which assumes that every endpoint is as fast as its model.
 *
 * @example
 * slowdown.record("engine-1", 210, 50, timers.now());
 * slowdown.getSlowdown("engine-1", timers.now()); // 4.2
 */
export function createSlowdownEstimate(): SlowdownEstimate {
    const samples = new Map<string, Sample[]>();
    return {
        record(endpoint, gapMs, predictedMs, nowMs) {
            const recent = samples.get(endpoint) ?? [];
            recent.push({ ratio: gapMs / Math.max(1, predictedMs), atMs: nowMs });
            samples.set(endpoint, recent.slice(-sampleCount));
        },
        getSlowdown(endpoint, nowMs) {
            const recent = (samples.get(endpoint) ?? []).filter(sample => nowMs - sample.atMs < sampleLifetimeMs);
            if (recent.length < sampleCount) {
                return 1;
            }
            const ratio = Math.min(...recent.map(sample => sample.ratio));
            return ratio < tolerance ? 1 : Math.min(maxSlowdown, ratio);
        },
        forget: endpoint => void samples.delete(endpoint),
    };
}
