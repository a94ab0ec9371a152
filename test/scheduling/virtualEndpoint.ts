import { createSeededRandomSource, RandomSource } from "../../src/base/randomSource.js";
import { AdmitKind, RankPolicy, Scheduler, SchedulerPolicy, WorkItem } from "../../src/scheduling/scheduler.js";

/** One stream of requests with exponentially distributed gaps (Poisson arrivals). */
export interface Stream {
    readonly name: string;
    readonly rank: string;
    readonly customer: string;
    readonly requestsPerSecond: number;
    readonly promptTokens: (random: RandomSource) => number;
    readonly outputTokens: number;
    readonly limitMs: number;
    readonly fromMs?: number;
}

/** Results of one stream. */
export interface StreamResult {
    offered: number;
    refused: number;
    /** Admitted requests that did not get their complete answer in time. */
    failed: number;
    completed: number;
    /** Tokens of completed requests, prompt and output. */
    tokens: number;
    /** Prompt tokens that the engine computed for the stream after the warm-up. */
    prefilled: number;
    readonly firstTokenMs: number[];
    longestWaitMs: number;
}

export interface RunResult {
    readonly streams: ReadonlyMap<string, StreamResult>;
    /** Share of the time in which the engine computed prompts. */
    readonly prefillBusy: number;
    readonly peakReservedTokens: number;
}

interface Running {
    readonly item: WorkItem;
    readonly stream: Stream;
    readonly priority: number;
    readonly order: number;
    prefillLeft: number;
    produced: number;
}

export const engineCapacity = {
    memoryTokens: 400_000,
    prefillTokensPerSecond: 20_000,
    decodeTokensPerSecond: 40,
    maxRunning: 64,
};

export const threeRanks: readonly RankPolicy[] = [
    { name: "urgent", urgency: 0, share: 0.05 },
    { name: "normal", urgency: 1, share: 0.05 },
    { name: "bulk", urgency: 2, share: 0.05 },
];

export function makePolicy(changes: Partial<SchedulerPolicy> = {}): SchedulerPolicy {
    return {
        ranks: threeRanks,
        capacity: engineCapacity,
        cost: item => item.promptTokens + item.maxOutputTokens,
        maxQueuedRequests: 1_000,
        maxQueuedBytes: 32 * 1024 * 1024,
        ...changes,
    };
}

const stepMs = 5;
const tickMs = 50;
const bytesPerToken = 4;

/**
 * Runs a scheduler with a simulated engine in virtual time. Like the emulated engine, it computes prompts by priority,
 * then by order of start, and decodes all sequences whose prefill is complete together.
 */
export function runEndpoint(
    scheduler: Scheduler,
    streams: readonly Stream[],
    { durationMs, warmUpMs = 0, seed, capacity = engineCapacity }: {
        readonly durationMs: number;
        readonly warmUpMs?: number;
        readonly seed: number;
        readonly capacity?: typeof engineCapacity;
    },
): RunResult {
    // Each stream has its own random source, so that its requests do not depend on the other streams.
    const seeds = createSeededRandomSource(seed);
    const sources = new Map(streams.map(stream => [stream, createSeededRandomSource(Math.floor(seeds() * 2 ** 30))]));
    const results = new Map<string, StreamResult>();
    const queued = new Map<string, { readonly item: WorkItem; readonly stream: Stream }>();
    let running: Running[] = [];
    const nextArrival = streams.map(stream => (stream.fromMs ?? 0) + makeGap(stream));
    let nextId = 0;
    let busyMs = 0;
    let peakReservedTokens = 0;

    for (const stream of streams) {
        results.set(stream.name, {
            offered: 0,
            refused: 0,
            failed: 0,
            completed: 0,
            tokens: 0,
            prefilled: 0,
            firstTokenMs: [],
            longestWaitMs: 0,
        });
    }

    function makeGap(stream: Stream) {
        return -Math.log(1 - sources.get(stream)!()) * 1000 / stream.requestsPerSecond;
    }

    function getResult(stream: Stream, item: WorkItem): StreamResult | undefined {
        return item.arrivedMs >= warmUpMs ? results.get(stream.name) : undefined;
    }

    function start(nowMs: number) {
        const started = scheduler.takeNext(nowMs);
        if (started.length === 0) {
            return;
        }
        for (const item of started) {
            const found = queued.get(item.id);
            if (!found) {
                throw new Error(`${item.id} was started twice or after it left the queue`);
            }
            queued.delete(item.id);
            running.push({
                ...found,
                priority: scheduler.getPriority(item),
                order: nextId++,
                prefillLeft: item.promptTokens,
                produced: 0,
            });
        }
        peakReservedTokens = Math.max(peakReservedTokens, scheduler.report().reservedTokens);
        running.sort((left, right) => left.priority - right.priority || left.order - right.order);
    }

    function arrive(stream: Stream, nowMs: number) {
        const promptTokens = Math.round(stream.promptTokens(sources.get(stream)!));
        const item: WorkItem = {
            id: `${stream.name}-${nextId++}`,
            rank: stream.rank,
            customer: stream.customer,
            kind: "question",
            promptTokens,
            cachedTokens: 0,
            maxOutputTokens: stream.outputTokens,
            arrivedMs: nowMs,
            deadlineMs: nowMs + stream.limitMs,
            bodyBytes: promptTokens * bytesPerToken,
            fingerprint: String(nextId),
        };
        const result = getResult(stream, item);
        if (result) {
            result.offered++;
        }
        const decision = scheduler.admit(item, nowMs);
        if (decision.kind === AdmitKind.Refused) {
            if (result) {
                result.refused++;
            }
            return;
        }
        queued.set(item.id, { item, stream });
        for (const dropped of decision.dropped) {
            const found = queued.get(dropped.id)!;
            queued.delete(dropped.id);
            const droppedResult = getResult(found.stream, dropped);
            if (droppedResult) {
                droppedResult.refused++;
            }
        }
        start(nowMs);
    }

    function prefill(nowMs: number) {
        let budget = capacity.prefillTokensPerSecond * stepMs / 1000;
        const stepBudget = budget;
        const firstTokens: Running[] = [];
        for (const sequence of running) {
            if (sequence.prefillLeft > 0 && budget > 0) {
                const step = Math.min(sequence.prefillLeft, budget);
                sequence.prefillLeft -= step;
                budget -= step;
                if (nowMs >= warmUpMs) {
                    results.get(sequence.stream.name)!.prefilled += step;
                }
                if (sequence.prefillLeft === 0) {
                    sequence.produced = 1;
                    firstTokens.push(sequence);
                }
            }
        }
        if (nowMs >= warmUpMs) {
            busyMs += stepMs * (1 - budget / stepBudget);
        }
        for (const { item, stream } of firstTokens) {
            const waitedMs = nowMs - item.arrivedMs;
            const result = getResult(stream, item);
            result?.firstTokenMs.push(waitedMs);
            if (result) {
                result.longestWaitMs = Math.max(result.longestWaitMs, waitedMs);
            }
            scheduler.markFirstToken(item.id, nowMs);
            start(nowMs);
        }
    }

    function end(sequence: Running, nowMs: number, isWhole: boolean) {
        const { item, stream } = sequence;
        if (nowMs >= warmUpMs) {
            const result = results.get(stream.name)!;
            result.completed += isWhole ? 1 : 0;
            result.failed += isWhole ? 0 : 1;
            result.tokens += isWhole ? item.promptTokens + item.maxOutputTokens : 0;
        }
        scheduler.complete(item.id, Math.min(item.maxOutputTokens, Math.floor(sequence.produced)), nowMs);
    }

    function decode(nowMs: number) {
        const ended = new Set<Running>();
        for (const sequence of running) {
            if (sequence.prefillLeft === 0) {
                sequence.produced += capacity.decodeTokensPerSecond * stepMs / 1000;
            }
            const isWhole = sequence.produced >= sequence.item.maxOutputTokens;
            if (isWhole || sequence.item.deadlineMs <= nowMs) {
                ended.add(sequence);
            }
        }
        if (ended.size > 0) {
            running = running.filter(sequence => !ended.has(sequence));
            ended.forEach(sequence => end(sequence, nowMs, sequence.produced >= sequence.item.maxOutputTokens));
            start(nowMs);
        }
    }

    for (let nowMs = 0; nowMs < durationMs; nowMs += stepMs) {
        streams.forEach((stream, index) => {
            while (nextArrival[index]! <= nowMs) {
                nextArrival[index]! += makeGap(stream);
                arrive(stream, nowMs);
            }
        });
        prefill(nowMs);
        decode(nowMs);
        if (nowMs % tickMs === 0) {
            for (const item of scheduler.expire(nowMs)) {
                const found = queued.get(item.id)!;
                queued.delete(item.id);
                const result = getResult(found.stream, item);
                if (result) {
                    result.failed++;
                }
            }
            start(nowMs);
        }
    }
    return { streams: results, prefillBusy: busyMs / (durationMs - warmUpMs), peakReservedTokens };
}

/** Value below which the given share of the values lies. */
export function computePercentile(values: readonly number[], part: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? NaN;
}

/** Jain's fairness index: 1 when all values are equal. */
export function computeJainIndex(values: readonly number[]): number {
    const sum = values.reduce((total, value) => total + value, 0);
    const squares = values.reduce((total, value) => total + value * value, 0);
    return sum * sum / (values.length * squares);
}

/** Formats the figures of a run, one line per stream. */
export function formatResult(name: string, result: RunResult): string {
    const lines = [...result.streams].map((
        [stream, { offered, refused, failed, completed, firstTokenMs, prefilled }],
    ) => `${name} ${stream}: offered ${offered} refused ${refused} failed ${failed} completed ${completed}`
        + ` prefilled ${Math.round(prefilled)} first token p50 ${computePercentile(firstTokenMs, 0.5)} p95 ${
            computePercentile(firstTokenMs, 0.95)
        } ms`
    );
    return [...lines, `${name} prefill busy ${result.prefillBusy.toFixed(3)} peak ${result.peakReservedTokens}`].join(
        "\n",
    );
}
