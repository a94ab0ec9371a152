import { EngineFinish, EngineUsage } from "../../ports/modelEngine.js";
import { PrefixCache, PrefixCacheChange } from "./prefixCache.js";
import { computePromptHash, countTokens, makeOutputToken } from "./tokens.js";

/** Speed and size of an emulated engine. */
export interface EngineModelSettings {
    readonly memoryTokens: number;
    readonly prefillTokensPerSecond: number;
    /** Output tokens per second of one sequence. */
    readonly decodeTokensPerSecond: number;
    readonly maxBatch: number;
    /** Time that an ended generation stays readable unless it is released, in milliseconds. */
    readonly retentionMs: number;
}

/** A generation as submitted. */
export interface Generation {
    readonly id: string;
    readonly prompt: string;
    /** Lower numbers run first. */
    readonly priority: number;
    readonly maxOutputTokens: number;
    readonly deadlineMs: number;
}

/** State of a generation in the engine. */
export interface Sequence {
    readonly generation: Generation;
    readonly order: number;
    readonly promptTokens: number;
    readonly promptHash: number;
    readonly output: string[];
    cachedTokens: number;
    prefilledTokens: number;
    decodeCredit: number;
    admitted: boolean;
    finish: EngineFinish | undefined;
    endedMs: number;
}

/** The continuous batching of an emulated engine. It uses no timers: the caller passes the elapsed time. */
export interface EngineModel {
    submit(generation: Generation): Sequence;
    cancel(id: string, nowMs: number): void;
    get(id: string): Sequence | undefined;
    /** Generations that run, wait, or have ended and are still readable. */
    list(): readonly Sequence[];
    countActive(): { readonly running: number; readonly waiting: number };
    /** Removes an ended generation. */
    release(id: string): void;
    /** Runs the batch for `elapsedMs` and returns the sequences that produced tokens or timed out. */
    advance(nowMs: number, elapsedMs: number): readonly Sequence[];
    /** Reserves memory for exported attention state until it is released. Returns false if it does not fit. */
    addExport(exportId: string, tokens: number): boolean;
    listExports(): readonly { readonly exportId: string; readonly tokens: number }[];
    releaseExport(exportId: string): void;
    /** Memory of admitted generations and of exports, in tokens. Ended generations use none. */
    getUsedTokens(): number;
    getUsage(sequence: Sequence): EngineUsage;
}

const millisecondsPerSecond = 1000;

/** Returns the memory that a generation reserves in the engine, in tokens. */
export function computeReservedTokens(generation: Pick<Generation, "maxOutputTokens">, promptTokens: number): number {
    return promptTokens + generation.maxOutputTokens;
}

/**
 * Creates the batch of an emulated engine. Prefill capacity goes to sequences in order of priority, then of arrival;
 * all prefilled sequences decode at the same time.
 *
 * @param recordCacheChanges receives changes of the prefix cache
 *
 * @example
 * const model = createEngineModel(settings, createPrefixCache(100_000), changes => events.append(changes, timers.now()));
 */
export function createEngineModel(
    settings: EngineModelSettings,
    cache: PrefixCache,
    recordCacheChanges: (changes: readonly PrefixCacheChange[]) => void,
): EngineModel {
    const sequences = new Map<string, Sequence>();
    const ended = new Set<Sequence>();
    const exports = new Map<string, number>();
    // Sorted by priority, then by arrival. Ended sequences are removed at the next step.
    let active: Sequence[] = [];
    let nextOrder = 0;
    let usedTokens = 0;

    function getReservedTokens(sequence: Sequence) {
        return computeReservedTokens(sequence.generation, sequence.promptTokens);
    }

    function finish(sequence: Sequence, reason: EngineFinish, nowMs: number) {
        if (sequence.finish === undefined) {
            sequence.finish = reason;
            sequence.endedMs = nowMs;
            ended.add(sequence);
            if (sequence.admitted) {
                usedTokens -= getReservedTokens(sequence);
            }
        }
    }

    function enqueue(sequence: Sequence) {
        const { priority } = sequence.generation;
        let index = active.length;
        while (index > 0 && active[index - 1]!.generation.priority > priority) {
            index--;
        }
        active.splice(index, 0, sequence);
    }

    function admitWaiting() {
        let admittedCount = active.reduce((sum, sequence) => sum + (sequence.admitted ? 1 : 0), 0);
        for (const sequence of active) {
            if (admittedCount >= settings.maxBatch) {
                return;
            }
            if (!sequence.admitted && usedTokens + getReservedTokens(sequence) <= settings.memoryTokens) {
                sequence.admitted = true;
                // The last token of a prompt is always computed, because it yields the first output token.
                sequence.cachedTokens = Math.min(cache.find(sequence.generation.prompt), sequence.promptTokens - 1);
                usedTokens += getReservedTokens(sequence);
                admittedCount++;
            }
        }
    }

    function prefill(elapsedMs: number) {
        let budget = settings.prefillTokensPerSecond * elapsedMs / millisecondsPerSecond;
        for (const sequence of active) {
            const remaining = sequence.promptTokens - sequence.cachedTokens - sequence.prefilledTokens;
            if (sequence.admitted && remaining > 0 && budget > 0) {
                const step = Math.min(remaining, budget);
                sequence.prefilledTokens += step;
                budget -= step;
                if (step === remaining) {
                    // The prefill yields the first token.
                    sequence.decodeCredit = 1;
                    recordCacheChanges(cache.add(sequence.generation.prompt));
                }
            }
        }
    }

    function decode(sequence: Sequence, nowMs: number, elapsedMs: number): boolean {
        const { output, generation } = sequence;
        if (!sequence.admitted || sequence.prefilledTokens < sequence.promptTokens - sequence.cachedTokens) {
            return false;
        }
        if (output.length > 0 || sequence.decodeCredit < 1) {
            sequence.decodeCredit += settings.decodeTokensPerSecond * elapsedMs / millisecondsPerSecond;
        }
        let produced = false;
        while (sequence.decodeCredit >= 1 && output.length < generation.maxOutputTokens) {
            output.push(makeOutputToken(sequence.promptHash, output.length));
            sequence.decodeCredit -= 1;
            produced = true;
        }
        if (output.length >= generation.maxOutputTokens) {
            finish(sequence, EngineFinish.Length, nowMs);
        }
        return produced;
    }

    function expire(nowMs: number): Sequence[] {
        for (const sequence of ended) {
            if (nowMs - sequence.endedMs < settings.retentionMs) {
                break;
            }
            ended.delete(sequence);
            sequences.delete(sequence.generation.id);
        }
        const timedOut = active.filter(sequence => sequence.generation.deadlineMs <= nowMs);
        timedOut.forEach(sequence => finish(sequence, EngineFinish.TimedOut, nowMs));
        return timedOut;
    }

    return {
        submit(generation) {
            const sequence: Sequence = {
                generation,
                order: nextOrder++,
                promptTokens: countTokens(generation.prompt),
                promptHash: computePromptHash(generation.prompt),
                output: [],
                cachedTokens: 0,
                prefilledTokens: 0,
                decodeCredit: 0,
                admitted: false,
                finish: undefined,
                endedMs: 0,
            };
            sequences.set(generation.id, sequence);
            enqueue(sequence);
            return sequence;
        },
        cancel(id, nowMs) {
            const sequence = sequences.get(id);
            if (sequence) {
                finish(sequence, EngineFinish.Cancelled, nowMs);
            }
        },
        get: id => sequences.get(id),
        list: () => [...sequences.values()],
        countActive() {
            const current = active.filter(sequence => sequence.finish === undefined);
            const running = current.filter(sequence => sequence.admitted).length;
            return { running, waiting: current.length - running };
        },
        release(id) {
            const sequence = sequences.get(id);
            if (sequence?.finish !== undefined) {
                sequences.delete(id);
                ended.delete(sequence);
            }
        },
        advance(nowMs, elapsedMs) {
            active = active.filter(sequence => sequence.finish === undefined);
            const changed = expire(nowMs);
            active = active.filter(sequence => sequence.finish === undefined);
            admitWaiting();
            prefill(elapsedMs);
            for (const sequence of active) {
                if (decode(sequence, nowMs, elapsedMs)) {
                    changed.push(sequence);
                }
            }
            return changed;
        },
        addExport(exportId, tokens) {
            const added = tokens - (exports.get(exportId) ?? 0);
            if (usedTokens + added > settings.memoryTokens) {
                return false;
            }
            exports.set(exportId, tokens);
            usedTokens += added;
            return true;
        },
        listExports: () => [...exports].map(([exportId, tokens]) => ({ exportId, tokens })),
        releaseExport(exportId) {
            usedTokens -= exports.get(exportId) ?? 0;
            exports.delete(exportId);
        },
        getUsedTokens: () => usedTokens,
        getUsage: sequence => ({
            promptTokens: sequence.promptTokens,
            cachedTokens: sequence.cachedTokens,
            outputTokens: sequence.output.length,
        }),
    };
}
