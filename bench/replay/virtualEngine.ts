import { TimerService } from "../../src/base/timerService.js";
import { EngineProfile } from "../../src/ports/servingConfiguration.js";
import { computePassMs } from "../../src/routing/engineTiming.js";

/** A request that an engine answers. Helper engines may prefill parts of its prompt. */
export interface VirtualJob {
    readonly events: number;
    readonly promptTokens: number;
    /** Parts on all engines that are not prefilled yet. */
    pendingParts: number;
    /** Called when the last part has been prefilled. Wakes the engine that answers. */
    onPrefilled(): void;
    onEvent(): void;
    onEnd(): void;
}

/** An engine in virtual time that follows the documented timing model of the platform. */
export interface VirtualEngine {
    /** Queues one part for prefill. Parts for other engines are prefilled before the engine's own prompts. */
    prefill(job: VirtualJob, partMs: number, isHelper: boolean): void;
    /** Registers a job, which is decoded once all its parts have been prefilled. */
    answer(job: VirtualJob): void;
    /** Resumes passes after another engine has prefilled a part. */
    wake(): void;
}

/** Computes the prefill limit of a pass that also decodes: one chunk per step, as time at the linear prefill rate. */
function computePrefillLimitMs(engine: EngineProfile): number {
    return (engine.stepsPerPass * engine.prefillChunkTokens * 1_000) / engine.prefillTokensPerSecond;
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
 * engine.prefill(job, 30, false);
 */
export function createVirtualEngine(model: EngineProfile, timers: TimerService): VirtualEngine {
    const prefillLimitMs = computePrefillLimitMs(model);
    const chunkMs = (model.prefillChunkTokens * 1_000) / model.prefillTokensPerSecond;
    const jobs = new Map<VirtualJob, number>();
    let parts: Part[] = [];
    let isRunning = false;

    function listDecodingJobs(): VirtualJob[] {
        return [...jobs.keys()].filter(job => job.pendingParts === 0);
    }

    /** Prefills as much as fits into one pass. Returns the completed parts and the time used. */
    function prefillParts(limitMs: number): { readonly ended: Part[]; readonly prefillMs: number } {
        let remainingMs = limitMs;
        const ordered = [...parts.filter(part => part.isHelper), ...parts.filter(part => !part.isHelper)];
        for (const part of ordered) {
            const takenMs = Math.min(part.leftMs, remainingMs);
            part.leftMs -= takenMs;
            remainingMs -= takenMs;
        }
        const ended = parts.filter(part => part.leftMs <= 0);
        parts = parts.filter(part => part.leftMs > 0);
        return { ended, prefillMs: limitMs - remainingMs };
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
        const { ended, prefillMs } = prefillParts(hasAnswers ? prefillLimitMs : chunkMs);
        timers.schedule(stepMs + prefillMs, () => {
            ended.forEach(part => {
                part.job.pendingParts -= 1;
            });
            ended.filter(part => part.job.pendingParts === 0).forEach(part => part.job.onPrefilled());
            // A prompt whose last part was prefilled in this pass decodes in the remaining steps and emits an event as
            // well.
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
