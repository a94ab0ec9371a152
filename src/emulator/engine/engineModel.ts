import { EngineFinish, EngineUsage } from "../../ports/modelEngine.js";
import { computePromptHash, countTokens, makeOutputToken } from "./tokens.js";

/** Speed and size of an emulated engine. */
export interface EngineModelSettings {
    readonly memoryTokens: number;
    readonly prefillTokensPerSecond: number;
    /** Output tokens per second of one sequence. */
    readonly decodeTokensPerSecond: number;
    readonly maxBatch: number;
}

/** A generation as submitted. */
export interface Generation {
    readonly id: string;
    readonly prompt: string;
    readonly priority: number;
    readonly maxOutputTokens: number;
    readonly deadlineMs: number;
}

/** A generation inside the engine. */
export interface Sequence {
    readonly generation: Generation;
    readonly order: number;
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly promptHash: number;
    readonly output: string[];
    prefilledTokens: number;
    decodeCredit: number;
    admitted: boolean;
    finish: EngineFinish | undefined;
}

/** The continuous batching of an emulated engine: pure state, advanced by elapsed time. */
export interface EngineModel {
    submit(generation: Generation): Sequence;
    cancel(id: string): boolean;
    get(id: string): Sequence | undefined;
    list(): readonly Sequence[];
    /** Forgets an ended generation. */
    release(id: string): void;
    /** Runs the batch for `elapsedMs` and reports sequences that produced tokens or ended. */
    advance(nowMs: number, elapsedMs: number): readonly Sequence[];
    getUsedTokens(): number;
    getUsage(sequence: Sequence): EngineUsage;
}

const millisecondsPerSecond = 1000;

/**
 * Creates the batch of an emulated engine. Prefill capacity is spent in order of priority, then of arrival; decoding
 * advances every prefilled sequence together.
 *
 * @example
 * const model = createEngineModel({ memoryTokens: 400_000, prefillTokensPerSecond: 20_000, decodeTokensPerSecond: 40, maxBatch: 64 });
 */
export function createEngineModel(settings: EngineModelSettings): EngineModel {
    const sequences = new Map<string, Sequence>();
    let nextOrder = 0;
    let usedTokens = 0;

    function getMemory(sequence: Sequence) {
        return sequence.promptTokens + sequence.generation.maxOutputTokens;
    }

    function finish(sequence: Sequence, reason: EngineFinish) {
        if (sequence.finish === undefined) {
            sequence.finish = reason;
            if (sequence.admitted) {
                usedTokens -= getMemory(sequence);
            }
        }
    }

    function listActive(): Sequence[] {
        return [...sequences.values()]
            .filter(sequence => sequence.finish === undefined)
            .sort((left, right) => left.generation.priority - right.generation.priority || left.order - right.order);
    }

    function admitWaiting(active: readonly Sequence[]) {
        let batch = active.filter(sequence => sequence.admitted).length;
        for (const sequence of active) {
            const fits = usedTokens + getMemory(sequence) <= settings.memoryTokens;
            if (!sequence.admitted && batch < settings.maxBatch && fits) {
                sequence.admitted = true;
                usedTokens += getMemory(sequence);
                batch++;
            }
        }
    }

    function prefill(active: readonly Sequence[], elapsedMs: number) {
        let budget = settings.prefillTokensPerSecond * elapsedMs / millisecondsPerSecond;
        for (const sequence of active) {
            const missing = sequence.promptTokens - sequence.cachedTokens - sequence.prefilledTokens;
            if (sequence.admitted && missing > 0 && budget > 0) {
                const step = Math.min(missing, budget);
                sequence.prefilledTokens += step;
                budget -= step;
                if (step === missing) {
                    // The prefill yields the first token.
                    sequence.decodeCredit = 1;
                }
            }
        }
    }

    function decode(sequence: Sequence, elapsedMs: number): boolean {
        const done = sequence.prefilledTokens >= sequence.promptTokens - sequence.cachedTokens;
        if (!sequence.admitted || !done) {
            return false;
        }
        if (sequence.output.length > 0 || sequence.decodeCredit < 1) {
            sequence.decodeCredit += settings.decodeTokensPerSecond * elapsedMs / millisecondsPerSecond;
        }
        let produced = false;
        while (sequence.decodeCredit >= 1 && sequence.output.length < sequence.generation.maxOutputTokens) {
            sequence.output.push(makeOutputToken(sequence.promptHash, sequence.output.length));
            sequence.decodeCredit -= 1;
            produced = true;
        }
        if (sequence.output.length >= sequence.generation.maxOutputTokens) {
            finish(sequence, EngineFinish.Length);
        }
        return produced;
    }

    return {
        submit(generation) {
            const sequence: Sequence = {
                generation,
                order: nextOrder++,
                promptTokens: countTokens(generation.prompt),
                cachedTokens: 0,
                promptHash: computePromptHash(generation.prompt),
                output: [],
                prefilledTokens: 0,
                decodeCredit: 0,
                admitted: false,
                finish: undefined,
            };
            sequences.set(generation.id, sequence);
            return sequence;
        },
        cancel(id) {
            const sequence = sequences.get(id);
            if (!sequence) {
                return false;
            }
            finish(sequence, EngineFinish.Cancelled);
            return true;
        },
        get: id => sequences.get(id),
        list: () => [...sequences.values()],
        release: id => void sequences.delete(id),
        advance(nowMs, elapsedMs) {
            const active = listActive();
            const changed: Sequence[] = [];
            for (const sequence of active) {
                if (sequence.generation.deadlineMs <= nowMs) {
                    finish(sequence, EngineFinish.TimedOut);
                    changed.push(sequence);
                }
            }
            admitWaiting(active.filter(sequence => sequence.finish === undefined));
            prefill(active, elapsedMs);
            for (const sequence of active) {
                if (sequence.finish === undefined && decode(sequence, elapsedMs)) {
                    changed.push(sequence);
                }
            }
            return changed;
        },
        getUsedTokens: () => usedTokens,
        getUsage: sequence => ({
            promptTokens: sequence.promptTokens,
            cachedTokens: sequence.cachedTokens,
            outputTokens: sequence.output.length,
        }),
    };
}
