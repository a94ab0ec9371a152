import { TimerService } from "../../src/base/timerService.js";
import { EngineModel } from "../../src/ports/servingConfiguration.js";
import { computePassMs } from "../../src/routing/engineTiming.js";

/** A prompt that an engine answers, possibly with parts that others read. */
export interface VirtualJob {
    readonly events: number;
    readonly promptTokens: number;
    /** Parts that are not read yet, at any engine. */
    pendingParts: number;
    /** Wakes the engine that answers; called when the last part has been read. */
    onPrefilled(): void;
    onEvent(): void;
    onEnd(): void;
}

/** An engine in virtual time that follows the timing model of the platform's page. */
export interface VirtualEngine {
    /** Reads one part; a helper's parts are read before the engine's own prompts. */
    prefill(job: VirtualJob, partMs: number, isHelper: boolean): void;
    /** Answers a job whose parts have been read. */
    answer(job: VirtualJob): void;
    /** Goes on after a part has been read elsewhere. */
    wake(): void;
}

/** Reads in a pass with answers are bounded by its steps, as a time at the prefill rate without pairs. */
function computePrefillLimitMs(engine: EngineModel): number {
    return (engine.stepsPerPass * engine.chunkTokens * 1_000) / engine.prefillTokensPerSecond;
}

interface Part {
    readonly job: VirtualJob;
    readonly isHelper: boolean;
    leftMs: number;
}

/**
 * Creates an idle engine.
 *
 * @example
 * engine.answer(job);
 * engine.read(job, 30, false);
 */
export function createVirtualEngine(model: EngineModel, timers: TimerService): VirtualEngine {
    const prefillLimitMs = computePrefillLimitMs(model);
    const chunkMs = (model.chunkTokens * 1_000) / model.prefillTokensPerSecond;
    const jobs = new Map<VirtualJob, number>();
    let parts: Part[] = [];
    let isRunning = false;

    function listDecodingJobs(): VirtualJob[] {
        return [...jobs.keys()].filter(job => job.pendingParts === 0);
    }

    /** Reads what fits into a pass; returns the parts that it ends and its time. */
    function prefillParts(limitMs: number): { readonly ended: Part[]; readonly readMs: number } {
        let remainingMs = limitMs;
        const ordered = [...parts.filter(part => part.isHelper), ...parts.filter(part => !part.isHelper)];
        for (const part of ordered) {
            const takenMs = Math.min(part.leftMs, remainingMs);
            part.leftMs -= takenMs;
            remainingMs -= takenMs;
        }
        const ended = parts.filter(part => part.leftMs <= 0);
        parts = parts.filter(part => part.leftMs > 0);
        return { ended, readMs: limitMs - remainingMs };
    }

    function runPass(): void {
        const decodingJobs = listDecodingJobs();
        if (decodingJobs.length === 0 && parts.length === 0) {
            isRunning = false;
            return;
        }
        isRunning = true;
        const contextTokens = decodingJobs.reduce((sum, job) => sum + job.promptTokens, 0);
        const hasAnswers = decodingJobs.length > 0 || jobs.size > 0;
        const stepMs = hasAnswers ? computePassMs(model, decodingJobs.length, contextTokens) : model.stepMs;
        const { ended, readMs } = prefillParts(hasAnswers ? prefillLimitMs : chunkMs);
        timers.schedule(stepMs + readMs, () => {
            ended.forEach(part => {
                part.job.pendingParts -= 1;
            });
            ended.filter(part => part.job.pendingParts === 0).forEach(part => part.job.onPrefilled());
            // A prompt whose last part was read in this pass has written in the rest of its steps.
            const started = ended.map(part => part.job).filter(job => jobs.has(job) && job.pendingParts === 0);
            [...decodingJobs, ...started].forEach(emitEvent);
            runPass();
        });
    }

    function emitEvent(job: VirtualJob): void {
        const left = (jobs.get(job) ?? 0) - 1;
        jobs.set(job, left);
        job.onEvent();
        if (left <= 0) {
            jobs.delete(job);
            job.onEnd();
        }
    }

    function wake(): void {
        if (!isRunning) {
            isRunning = true;
            timers.schedule(0, runPass);
        }
    }

    return {
        wake,
        prefill(job, partMs, isHelper) {
            parts.push({ job, isHelper, leftMs: partMs });
            wake();
        },
        answer(job) {
            jobs.set(job, job.events);
            wake();
        },
    };
}
