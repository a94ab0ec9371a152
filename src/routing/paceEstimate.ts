/** Learns how much slower than its model an endpoint works. */
export interface PaceEstimate {
    /** Records the pause between two events and what the model predicts for a pass without reads. */
    record(endpoint: string, pauseMs: number, predictedMs: number, nowMs: number): void;
    /** Returns the factor on predicted times, 1 or more. */
    getPace(endpoint: string, nowMs: number): number;
    forget(endpoint: string): void;
}

/** Pauses that count; reads lengthen some of them, so that the shortest of a few shows the endpoint's own speed. */
const sampleCount = 5;
/** Time after which an estimate no longer holds, so that an endpoint that was slow is tried again. */
const sampleLifetimeMs = 4_000;
/** Differences below this are within the model's own error. */
const tolerance = 1.25;
const maxSlowdown = 20;

interface Sample {
    readonly ratio: number;
    readonly atMs: number;
}

/**
 * Creates an estimate that takes every endpoint for as fast as its model.
 *
 * @example
 * pace.record("engine-1", 210, 50, timers.now());
 * pace.getPace("engine-1", timers.now()); // 4.2
 */
export function createPaceEstimate(): PaceEstimate {
    const samples = new Map<string, Sample[]>();
    return {
        record(endpoint, pauseMs, predictedMs, nowMs) {
            const recent = samples.get(endpoint) ?? [];
            recent.push({ ratio: pauseMs / Math.max(1, predictedMs), atMs: nowMs });
            samples.set(endpoint, recent.slice(-sampleCount));
        },
        getPace(endpoint, nowMs) {
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
