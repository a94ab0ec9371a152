import { Disposable } from "../base/disposable.js";
import { ErrorCode } from "../base/requestError.js";
import { TimerService } from "../base/timerService.js";
import { Verdict } from "../base/verdict.js";
import { EndMessage, LinkMessageType } from "../link/messages.js";
import { EngineEvent, EngineEventKind, EngineFinish, ModelEngine } from "../ports/modelEngine.js";
import { stoppingStatus } from "./monitoredEngine.js";
import { Work, WorkListener, WorkRun, WorkRunner } from "./work.js";

/** Settings of a model runner. */
export interface ModelRunnerSettings {
    /** Time without a token after which the stream is resumed on a new connection, in milliseconds. */
    readonly progressTimeoutMs: number;
    /** Maximum number of resumes of one stream before the request fails. */
    readonly maxResumes: number;
}

/** Default settings of a model runner. */
export const defaultModelRunnerSettings: ModelRunnerSettings = { progressTimeoutMs: 5_000, maxResumes: 2 };

type Outcome = Pick<EndMessage, "verdict" | "finish" | "usage" | "code" | "message">;

/**
 * Creates the runner that executes requests on a model engine.
 *
 * @param getPriority returns the priority of a request at the engine; lower numbers run first
 *
 * @example
 * const run = createModelRunner(engine, timers, () => 0, defaultModelRunnerSettings);
 */
export function createModelRunner(
    engine: ModelEngine,
    timers: TimerService,
    getPriority: (work: Work) => number,
    settings: ModelRunnerSettings,
): WorkRunner {
    return (work, listener) => startGeneration(work, listener, { engine, timers, getPriority, settings });
}

interface GenerationContext {
    readonly engine: ModelEngine;
    readonly timers: TimerService;
    readonly getPriority: (work: Work) => number;
    readonly settings: ModelRunnerSettings;
}

function startGeneration(work: Work, listener: WorkListener, context: GenerationContext): WorkRun {
    const { engine, timers, settings } = context;
    const request = work.dispatch.request;
    const model = work.dispatch.model;
    let nextSequence = 0;
    let resumes = 0;
    let checkedSequence = -1;
    let ended = false;
    let stream: Disposable | undefined;
    let progressTimer: Disposable | undefined;

    const remainingMs = work.item.deadlineMs - timers.now();
    const deadlineTimer = timers.schedule(remainingMs, () =>
        stopAtEngine({
            verdict: Verdict.MayHaveRun,
            code: ErrorCode.TimedOut,
            message: "the time limit passed while the request ran",
        }));

    function end(outcome: Outcome) {
        if (ended) {
            return;
        }
        ended = true;
        stream?.dispose();
        progressTimer?.dispose();
        deadlineTimer.dispose();
        listener.handleEnd([{ type: LinkMessageType.End, request, tokens: nextSequence, ...outcome }], nextSequence);
    }

    function stopAtEngine(outcome: Outcome) {
        if (!ended) {
            // Cancelling frees the request's memory on the engine. The memory audit repeats a cancel that fails here.
            engine.cancel(request).catch(() => undefined);
            end(outcome);
        }
    }

    function fail(message: string) {
        stopAtEngine({ verdict: Verdict.MayHaveRun, code: ErrorCode.EndpointFailed, message });
    }

    function resume(reason: string) {
        stream?.dispose();
        if (resumes >= settings.maxResumes) {
            fail(reason);
            return;
        }
        resumes++;
        watchProgress();
        stream = engine.resume(request, nextSequence, handleEvent);
    }

    function watchProgress() {
        progressTimer?.dispose();
        // Before the first token, queueing and prefill on the engine may take long. Only the time limit bounds them.
        if (nextSequence > 0 || resumes > 0) {
            progressTimer = timers.schedule(
                settings.progressTimeoutMs,
                () => resume("the engine stopped sending tokens"),
            );
        }
    }

    function handleToken(sequence: number, text: string) {
        if (sequence < nextSequence) {
            return;
        }
        if (sequence > nextSequence) {
            resume(`token ${nextSequence} is missing from the engine's stream`);
            return;
        }
        nextSequence++;
        watchProgress();
        listener.handleItems([text]);
    }

    function handleEvent(event: EngineEvent) {
        if (ended) {
            return;
        }
        switch (event.kind) {
            case EngineEventKind.Token:
                handleToken(event.sequence, event.text);
                return;
            case EngineEventKind.End:
                handleFinish(event.tokens, event);
                return;
            case EngineEventKind.Broken:
                resume(event.message);
                return;
            case EngineEventKind.Refused:
                end({
                    verdict: resumes === 0 && !work.inherited ? Verdict.NotRun : Verdict.MayHaveRun,
                    code: event.status === stoppingStatus ? ErrorCode.Leaving : ErrorCode.EndpointFailed,
                    message: `the engine refused the request with status ${event.status}: ${event.message}`,
                });
        }
    }

    function handleFinish(tokens: number, event: Extract<EngineEvent, { kind: EngineEventKind.End }>) {
        if (tokens !== nextSequence) {
            resume(`the engine ended the stream after ${tokens} tokens, but ${nextSequence} were received`);
            return;
        }
        const { finish, usage } = event;
        // The engine keeps an ended stream for a resume until the request is cancelled.
        engine.cancel(request).catch(() => undefined);
        if (finish === EngineFinish.Stop || finish === EngineFinish.Length) {
            end({ verdict: Verdict.Ran, finish, usage });
            return;
        }
        const code = finish === EngineFinish.TimedOut ? ErrorCode.TimedOut : ErrorCode.Cancelled;
        end({ verdict: Verdict.MayHaveRun, finish, usage, code, message: `the engine ended the request: ${finish}` });
    }

    stream = work.inherited || !model ? engine.resume(request, 0, handleEvent) : engine.generate({
        id: request,
        model: model.model,
        adapter: model.adapter,
        priority: context.getPriority(work),
        maxOutputTokens: model.maxOutputTokens,
        prompt: model.prompt,
        timeLimitMs: remainingMs,
    }, handleEvent);

    return {
        cancel: () =>
            stopAtEngine({
                verdict: Verdict.MayHaveRun,
                code: ErrorCode.Cancelled,
                message: "cancelled while running",
            }),
        checkProgress(producedTokens, isEnded) {
            const isBehind = isEnded || producedTokens > nextSequence;
            if (!ended && isBehind && nextSequence === checkedSequence) {
                resume("the connection to the engine stopped delivering tokens");
            }
            checkedSequence = isBehind ? nextSequence : -1;
        },
    };
}
