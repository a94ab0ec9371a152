import { build, Histogram } from "hdr-histogram-js";

/** Durations that a kind of request has taken lately, in milliseconds. */
export interface ObservedTimes {
    readonly count: number;
    readonly medianMs: number;
    readonly p95Ms: number;
}

/** Durations by kind of request, bounded in size. Old durations lose their effect. Times are in milliseconds. */
export interface LatencyHistograms {
    record(kind: string, durationMs: number, nowMs: number): void;
    /** Returns the times of a kind, or `undefined` if none was recorded lately. */
    summarize(kind: string, nowMs: number): ObservedTimes | undefined;
    countKinds(): number;
}

/** Limits of the histograms. */
export interface LatencyHistogramSettings {
    /** A duration has an effect for at least this time and at most twice as long. */
    readonly generationMs: number;
    /** Kinds that are kept. Of more, the one that was not recorded for the longest time is forgotten. */
    readonly maxKinds: number;
}

/**
 * Default limits. Half a minute holds 20 durations of a kind that is requested once in 1.5 s. A kind takes about 18 kB.
 */
export const defaultLatencyHistogramSettings: LatencyHistogramSettings = { generationMs: 30_000, maxKinds: 64 };

/** Histograms count in steps of a tenth of a millisecond, up to ten minutes. */
const stepsPerMillisecond = 10;
const highestSteps = 10 * 60 * 1_000 * stepsPerMillisecond;
/** Time for which a summary is reused, in milliseconds. Merging two generations takes some ten microseconds. */
const maxSummaryAgeMs = 250;
/** Up to this number of durations, each one changes the percentiles, so that no summary is reused. */
const minReusedCount = 100;

interface KindState {
    current: Histogram;
    previous: Histogram;
    generationStartMs: number;
    summary: ObservedTimes | undefined;
    summarizedAtMs: number;
}

function buildHistogram(): Histogram {
    return build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: highestSteps,
        numberOfSignificantValueDigits: 2,
    });
}

/**
 * Creates empty histograms. Each kind has two generations: durations are recorded in the current one, which replaces
 * the previous one when its time is over.
 *
 * @example
 * const times = createLatencyHistograms(defaultLatencyHistogramSettings);
 * times.record("look/0", 21.5, timers.now());
 * times.summarize("look/0", timers.now())?.p95Ms;
 */
export function createLatencyHistograms(settings: LatencyHistogramSettings): LatencyHistograms {
    /** In the order in which the kinds were recorded last. */
    const kinds = new Map<string, KindState>();
    const merged = buildHistogram();

    function makeKind(nowMs: number): KindState {
        return {
            current: buildHistogram(),
            previous: buildHistogram(),
            generationStartMs: nowMs,
            summary: undefined,
            summarizedAtMs: Number.NEGATIVE_INFINITY,
        };
    }

    function expireGenerations(state: KindState, nowMs: number): void {
        const ageMs = nowMs - state.generationStartMs;
        if (ageMs < settings.generationMs) {
            return;
        }
        const { previous } = state;
        previous.reset();
        state.previous = state.current;
        state.current = previous;
        if (ageMs >= 2 * settings.generationMs) {
            state.previous.reset();
        }
        state.generationStartMs = nowMs;
        state.summary = undefined;
    }

    function computeSummary({ current, previous }: KindState): ObservedTimes | undefined {
        merged.reset();
        merged.add(current);
        merged.add(previous);
        const getMs = (percentile: number) => merged.getValueAtPercentile(percentile) / stepsPerMillisecond;
        return merged.totalCount === 0
            ? undefined
            : { count: merged.totalCount, medianMs: getMs(50), p95Ms: getMs(95) };
    }

    return {
        record(kind, durationMs, nowMs) {
            const state = kinds.get(kind) ?? makeKind(nowMs);
            kinds.delete(kind);
            kinds.set(kind, state);
            const [oldest] = kinds.keys();
            if (kinds.size > settings.maxKinds) {
                kinds.delete(oldest!);
            }
            expireGenerations(state, nowMs);
            const steps = Math.round(durationMs * stepsPerMillisecond);
            state.current.recordValue(Math.min(highestSteps, Math.max(1, steps)));
        },
        summarize(kind, nowMs) {
            const state = kinds.get(kind);
            if (!state) {
                return undefined;
            }
            expireGenerations(state, nowMs);
            const isReusable = (state.summary?.count ?? 0) >= minReusedCount;
            if (!isReusable || nowMs - state.summarizedAtMs > maxSummaryAgeMs) {
                state.summary = computeSummary(state);
                state.summarizedAtMs = nowMs;
            }
            return state.summary;
        },
        countKinds: () => kinds.size,
    };
}
