import { createSeededRandomSource, RandomSource } from "../base/randomSource.js";
import { LoadPlan, LoadStream } from "./loadPlan.js";

/** One request of a load run, generated before the run starts. */
export interface Arrival {
    readonly index: number;
    /** Time from the start of the run, in milliseconds. */
    readonly atMs: number;
    readonly phase: string;
    readonly stream: string;
    readonly customer: string;
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly streamed: boolean;
    /** Random number from 0 to 1 that selects the entry. */
    readonly targetDraw: number;
}

type ArrivalDraft = Omit<Arrival, "index">;

const millisecondsPerSecond = 1000;

/**
 * Builds the arrivals of a plan, in order of time. The same plan and seed always give the same arrivals.
 *
 * @example
 * const arrivals = buildArrivals(plan, 42);
 */
export function buildArrivals(plan: LoadPlan, seed: number): readonly Arrival[] {
    const drafts: ArrivalDraft[] = [];
    let startMs = 0;
    plan.phases.forEach((phase, phaseIndex) => {
        const endMs = startMs + phase.seconds * millisecondsPerSecond;
        Object.entries(plan.streams).forEach(([name, stream], streamIndex) => {
            // Each stream of each phase has its own random source, so that a change to one does not affect the others.
            const random = createSeededRandomSource(seed * 7919 + phaseIndex * 101 + streamIndex);
            const times = [
                ...buildPoissonTimes(phase.rates[name] ?? 0, startMs, endMs, random),
                ...phase.surges.filter(surge => surge.stream === name).flatMap(surge =>
                    buildSurgeTimes(startMs + surge.atSeconds * millisecondsPerSecond, surge.count, surge.overSeconds)
                ),
            ];
            for (const atMs of times) {
                drafts.push({ atMs, phase: phase.name, stream: name, ...pickRequest(stream, random) });
            }
        });
        startMs = endMs;
    });
    return drafts
        .sort((left, right) => left.atMs - right.atMs)
        .slice(0, plan.maxRequests)
        .map((draft, index) => ({ index, ...draft }));
}

function buildPoissonTimes(ratePerSecond: number, startMs: number, endMs: number, random: RandomSource): number[] {
    const times: number[] = [];
    if (ratePerSecond <= 0) {
        return times;
    }
    const meanGapMs = millisecondsPerSecond / ratePerSecond;
    for (let atMs = startMs - meanGapMs * Math.log(1 - random()); atMs < endMs;) {
        times.push(atMs);
        atMs -= meanGapMs * Math.log(1 - random());
    }
    return times;
}

function buildSurgeTimes(atMs: number, count: number, overSeconds: number): number[] {
    const gapMs = overSeconds * millisecondsPerSecond / count;
    return [...Array(count).keys()].map(index => atMs + index * gapMs);
}

function pickRequest(stream: LoadStream, random: RandomSource) {
    const customer = pickWeighted(Object.entries(stream.customers), ([, weight]) => weight, random)[0];
    const band = pickWeighted(stream.prompt, ({ weight }) => weight, random);
    const promptTokens = Math.round(band.minTokens * (band.maxTokens / band.minTokens) ** random());
    const outputRange = stream.maxOutputTokens - stream.minOutputTokens + 1;
    return {
        customer,
        promptTokens,
        outputTokens: stream.minOutputTokens + Math.floor(random() * Math.max(1, outputRange)),
        streamed: random() < stream.streamedShare,
        targetDraw: random(),
    };
}

function pickWeighted<Item>(items: readonly Item[], getWeight: (item: Item) => number, random: RandomSource): Item {
    let draw = random() * items.reduce((sum, item) => sum + getWeight(item), 0);
    for (const item of items) {
        draw -= getWeight(item);
        if (draw < 0) {
            return item;
        }
    }
    return items[items.length - 1]!;
}
