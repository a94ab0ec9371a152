/** Where a reading of the pace comes from. */
export enum PaceSource {
    /** Nothing was seen lately: endpoints are assumed to be as fast as their profile. */
    Profile = "profile",
    /** The endpoint of the service that is least behind, because too few answers were seen at the one in question. */
    Service = "service",
    Endpoint = "endpoint",
}

/** How long answers took lately, against what was predicted. */
export interface PaceReading {
    /** Factor on predicted durations, 1 or more. */
    readonly factor: number;
    readonly source: PaceSource;
    /** Number of observations that the reading rests on. */
    readonly samples: number;
    /** Age of the newest observation, in milliseconds; absent if there is none. */
    readonly ageMs?: number;
}

/** How long plain answers took lately. */
export interface DurationReading extends Omit<PaceReading, "factor"> {
    /** Duration that few answers exceed, in milliseconds. */
    readonly durationMs: number;
}

/** Endpoint and predictions of an attempt. Durations are in milliseconds. */
export interface ObservedAttempt {
    readonly service: string;
    readonly endpoint: string;
    /** Predicted time until the first event; absent for a plain service. */
    readonly firstEventMs?: number;
    /** Predicts the time between two events with the work that is known at a time; absent for a plain service. */
    readonly predictGapMs?: (nowMs: number) => number;
}

/** Observes one attempt from its dispatch to its end. */
export interface AttemptPace {
    /** Records that events were received together. */
    recordEvents(count: number, nowMs: number): void;
    /** Pauses the observation, while nothing is read on purpose. */
    pause(): void;
    /** Goes on with a new gap. */
    resume(nowMs: number): void;
    /** Ends the observation. `isComplete` tells whether the answer was received whole. */
    end(isComplete: boolean, nowMs: number): void;
}

/**
 * Pace of the answers of endpoints, from the attempts of the last seconds. Attempts that are still running count with
 * the time for which their next event is overdue, so that a sudden slowdown shows before it has lengthened an answer.
 */
export interface AnswerPace {
    /** Starts the observation of an attempt. */
    startAttempt(attempt: ObservedAttempt, nowMs: number): AttemptPace;
    /**
     * Reads the pace of events after the first one, at an endpoint or, without one, at the endpoint of a service that is
     * least behind. One that is slow or silent says nothing of the others.
     */
    readGaps(service: string, endpoint: string | undefined, nowMs: number): PaceReading;
    /** Reads the pace of first events in the same way. */
    readFirstEvents(service: string, endpoint: string | undefined, nowMs: number): PaceReading;
    /** Reads the duration of plain answers of a service; `undefined` if nothing was seen lately. */
    readPlainAnswers(service: string, nowMs: number): DurationReading | undefined;
    /** Drops the observations of an endpoint that has left. */
    forgetEndpoint(endpoint: string): void;
}

/** Age up to which observations count, in milliseconds. */
const maxAgeMs = 30_000;
/** Number of the newest observations, and their time in milliseconds, that are enough for a reading. */
const sufficientSamples = 20;
const sufficientSpanMs = 1_000;
/**
 * Time by which an open gap must exceed its prediction to count, in milliseconds. The events of shorter ones may have
 * arrived already, and wait for this process.
 */
const overdueMarginMs = 250;
/** Time for which the reading of a service is reused, in milliseconds. */
const readingLifetimeMs = 50;
/** Number of plain answers that are kept for each service. */
const maxPlainAnswers = 64;
/** Share of plain answers that take no longer than the reading. */
const plainQuantile = 0.95;
/** Interval in which observations are added up, in milliseconds. */
const bucketMs = 250;
/** Shortest predicted time until a first event that is compared, in milliseconds: transfers take longer. */
const minFirstEventMs = 50;

interface Bucket {
    readonly startMs: number;
    spentMs: number;
    predictedMs: number;
    samples: number;
}

/** Observations of one kind at one endpoint, oldest first. */
interface History {
    buckets: Bucket[];
    newestAtMs?: number;
}

interface EndpointHistory {
    readonly service: string;
    readonly gaps: History;
    readonly firstEvents: History;
}

interface RunningAttempt {
    readonly attempt: ObservedAttempt;
    sinceMs: number;
    hasBegun: boolean;
    isPaused: boolean;
}

/** What is observed at endpoints. */
interface Observation {
    readonly select: (history: EndpointHistory) => History;
    /** Number of observations below which an endpoint has no reading of its own. */
    readonly minSamples: number;
    /** Predicts the duration of what a running attempt waits for; `undefined` if that is something else. */
    readonly predict: (item: RunningAttempt, nowMs: number) => number | undefined;
}

const gapObservation: Observation = {
    select: history => history.gaps,
    minSamples: 5,
    predict: ({ attempt, hasBegun }, nowMs) => hasBegun ? attempt.predictGapMs?.(nowMs) : undefined,
};

const firstEventObservation: Observation = {
    select: history => history.firstEvents,
    minSamples: 2,
    predict: ({ attempt: { firstEventMs }, hasBegun }) =>
        hasBegun || firstEventMs === undefined ? undefined : Math.max(minFirstEventMs, firstEventMs),
};

/** Time that was spent and predicted, and the number of observations. */
interface Sum {
    readonly spentMs: number;
    readonly predictedMs: number;
    readonly samples: number;
}

/**
 * Creates a pace without observations.
 *
 * @example
 * const observed = pace.startAttempt({ service, endpoint, firstEventMs: 90, predictGapMs: () => 50 }, timers.now());
 * observed.recordEvents(1, timers.now());
 * pace.readGaps(service, endpoint, timers.now()).factor; // 3 if events took three times as long as predicted
 */
export function createAnswerPace(): AnswerPace {
    const endpoints = new Map<string, EndpointHistory>();
    const plainAnswers = new Map<string, { atMs: number; durationMs: number }[]>();
    const running = new Set<RunningAttempt>();

    function getHistory({ endpoint, service }: ObservedAttempt): EndpointHistory {
        const known = endpoints.get(endpoint);
        if (known) {
            return known;
        }
        const created = { service, gaps: { buckets: [] }, firstEvents: { buckets: [] } };
        endpoints.set(endpoint, created);
        return created;
    }

    function record(history: History, sum: Sum, nowMs: number): void {
        history.newestAtMs = nowMs;
        const last = history.buckets.at(-1);
        if (last && nowMs - last.startMs < bucketMs) {
            last.spentMs += sum.spentMs;
            last.predictedMs += sum.predictedMs;
            last.samples += sum.samples;
            return;
        }
        history.buckets = history.buckets.filter(bucket => nowMs - bucket.startMs <= maxAgeMs);
        history.buckets.push({ startMs: nowMs, ...sum });
    }

    function recordPlainAnswer(service: string, durationMs: number, nowMs: number): void {
        const recent = plainAnswers.get(service) ?? [];
        recent.push({ atMs: nowMs, durationMs });
        plainAnswers.set(service, recent.slice(-maxPlainAnswers));
    }

    /** Adds up the newest observations until there are enough. */
    function collectNewest({ buckets }: History, nowMs: number): Sum {
        const sum = { spentMs: 0, predictedMs: 0, samples: 0 };
        for (const bucket of [...buckets].reverse()) {
            const ageMs = nowMs - bucket.startMs;
            const isSufficient = sum.samples >= sufficientSamples && ageMs > sufficientSpanMs;
            if (isSufficient || ageMs > maxAgeMs) {
                break;
            }
            sum.spentMs += bucket.spentMs;
            sum.predictedMs += bucket.predictedMs;
            sum.samples += bucket.samples;
        }
        return sum;
    }

    /** Adds up, by endpoint, the gaps of running attempts that have lasted much longer than predicted. */
    function collectOverdue(
        service: string,
        predict: Observation["predict"],
        nowMs: number,
    ): ReadonlyMap<string, Sum> {
        const sums = new Map<string, Sum>();
        for (const item of running) {
            const { attempt } = item;
            const expectedMs = item.isPaused || attempt.service !== service ? undefined : predict(item, nowMs);
            const openMs = nowMs - item.sinceMs;
            if (expectedMs !== undefined && openMs > expectedMs + overdueMarginMs) {
                const sum = { spentMs: openMs, predictedMs: expectedMs, samples: 1 };
                sums.set(attempt.endpoint, addSums(sums.get(attempt.endpoint), sum));
            }
        }
        return sums;
    }

    function makeReading({ spentMs, predictedMs, samples }: Sum, history: History, nowMs: number): PaceReading {
        return {
            factor: Math.max(1, spentMs / Math.max(1, predictedMs)),
            source: PaceSource.Endpoint,
            samples,
            ageMs: history.newestAtMs === undefined ? 0 : nowMs - history.newestAtMs,
        };
    }

    /** Creates the reading at an endpoint, or at the one of a service that is least behind. */
    function createReader({ select, minSamples, predict }: Observation): AnswerPace["readGaps"] {
        const serviceReadings = new Map<string, { readonly reading: PaceReading; readonly atMs: number }>();

        function readEndpoint(id: string, overdue: ReadonlyMap<string, Sum>, nowMs: number): PaceReading | undefined {
            const known = endpoints.get(id);
            const history = known ? select(known) : { buckets: [] };
            const sum = addSums(overdue.get(id), collectNewest(history, nowMs));
            return sum.samples < minSamples ? undefined : makeReading(sum, history, nowMs);
        }

        function readService(service: string, overdue: ReadonlyMap<string, Sum>, nowMs: number): PaceReading {
            const readings = [...endpoints].filter(([, history]) => history.service === service)
                .flatMap(([id]) => readEndpoint(id, overdue, nowMs) ?? []);
            const [best] = readings.sort((left, right) => left.factor - right.factor);
            return best
                ? { ...best, source: PaceSource.Service }
                : { factor: 1, source: PaceSource.Profile, samples: 0 };
        }

        return (service, endpoint, nowMs) => {
            const cached = endpoint === undefined ? serviceReadings.get(service) : undefined;
            if (cached && nowMs - cached.atMs <= readingLifetimeMs) {
                return cached.reading;
            }
            const overdue = collectOverdue(service, predict, nowMs);
            const own = endpoint === undefined ? undefined : readEndpoint(endpoint, overdue, nowMs);
            if (own) {
                return own;
            }
            const reading = readService(service, overdue, nowMs);
            serviceReadings.set(service, { reading, atMs: nowMs });
            return reading;
        };
    }

    return {
        startAttempt(attempt, startedAtMs) {
            const item: RunningAttempt = { attempt, sinceMs: startedAtMs, hasBegun: false, isPaused: false };
            running.add(item);
            return {
                recordEvents(count, nowMs) {
                    const spentMs = nowMs - item.sinceMs;
                    // An attempt at an endpoint that has been forgotten is no longer observed.
                    const history = running.has(item) ? getHistory(attempt) : undefined;
                    if (history && !item.hasBegun && attempt.firstEventMs !== undefined) {
                        const predictedMs = Math.max(minFirstEventMs, attempt.firstEventMs);
                        record(history.firstEvents, { spentMs, predictedMs, samples: 1 }, nowMs);
                    }
                    else if (history && item.hasBegun && attempt.predictGapMs && count > 0) {
                        const predictedMs = count * attempt.predictGapMs(nowMs);
                        record(history.gaps, { spentMs, predictedMs, samples: count }, nowMs);
                    }
                    item.sinceMs = nowMs;
                    item.hasBegun = true;
                },
                pause() {
                    item.isPaused = true;
                },
                resume(nowMs) {
                    item.isPaused = false;
                    item.sinceMs = nowMs;
                },
                end(isComplete, nowMs) {
                    const wasRunning = running.delete(item);
                    if (wasRunning && isComplete && !attempt.predictGapMs) {
                        recordPlainAnswer(attempt.service, nowMs - startedAtMs, nowMs);
                    }
                },
            };
        },
        readGaps: createReader(gapObservation),
        readFirstEvents: createReader(firstEventObservation),
        readPlainAnswers(service, nowMs) {
            const recent = (plainAnswers.get(service) ?? []).filter(answer => nowMs - answer.atMs <= maxAgeMs);
            const openMs = [...running]
                .filter(({ attempt }) => attempt.service === service && !attempt.predictGapMs)
                .map(({ sinceMs }) => nowMs - sinceMs);
            const durations = recent.map(answer => answer.durationMs);
            if (durations.length === 0) {
                return undefined;
            }
            // Running attempts count once they have lasted longer than usual.
            const usualMs = findQuantile(durations, plainQuantile);
            const all = [...durations, ...openMs.filter(ms => ms > usualMs)];
            return {
                durationMs: findQuantile(all, plainQuantile),
                source: PaceSource.Service,
                samples: all.length,
                ageMs: nowMs - recent.at(-1)!.atMs,
            };
        },
        forgetEndpoint(endpoint) {
            endpoints.delete(endpoint);
            [...running].filter(item => item.attempt.endpoint === endpoint).forEach(item => running.delete(item));
        },
    };
}

function findQuantile(values: readonly number[], quantile: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))]!;
}

function addSums(left: Sum = { spentMs: 0, predictedMs: 0, samples: 0 }, right: Sum): Sum {
    return {
        spentMs: left.spentMs + right.spentMs,
        predictedMs: left.predictedMs + right.predictedMs,
        samples: left.samples + right.samples,
    };
}
