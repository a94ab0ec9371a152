import { computeDigest } from "../base/ids.js";
import { buildRequestError, ErrorCode, RequestError } from "../base/requestError.js";
import { TimerService } from "../base/timerService.js";
import { mergeVerdicts, Verdict } from "../base/verdict.js";
import {
    formatBeginning,
    formatMerge,
    formatPart,
    maxPromptParts,
    partFrameBytes,
    splitPrompt,
} from "../scheduling/splitPrompt.js";
import { AttemptEventKind } from "./attempt.js";
import { buildPromptTooLargeError } from "./lengthCheck.js";
import { RequestListener, RequestPlan, RequestTask } from "./requestTask.js";

/** What a split request needs of the entry. */
export interface SplitContext {
    readonly timers: TimerService;
    /** Bytes of a prompt that one token takes, by the entry's estimate. */
    readonly bytesPerToken: number;
    /** Largest prompt and output of one request, in tokens. */
    readonly largestReservation: number;
    start(plan: RequestPlan, listener: RequestListener): RequestTask;
}

/** Parts of one request that run at a time, so that it leaves the endpoints to others. */
const maxConcurrentParts = 4;
/** Room for the estimate's error: the engine may count more tokens than the estimate. */
const maxFillShare = 0.9;

/** How a prompt is cut. */
export interface SplitPlan {
    readonly prompts: readonly string[];
    /** Output of each part, in tokens, so that the answers fit into the merge request. */
    readonly partOutputTokens: number;
    readonly beginning: string;
}

/**
 * Plans the parts of a prompt that no endpoint can hold, or returns the refusal if even the parts are too many.
 */
export function buildSplitPlan(plan: RequestPlan, context: SplitContext): SplitPlan | RequestError {
    const { prompt, maxOutputTokens } = plan.model!;
    const availableTokens = context.largestReservation * maxFillShare - maxOutputTokens;
    const partBytes = Math.floor(availableTokens * context.bytesPerToken) - partFrameBytes;
    const parts = partBytes > 0 ? splitPrompt(prompt, partBytes) : [];
    if (parts.length === 0 || parts.length > maxPromptParts) {
        return buildPromptTooLargeError(Math.max(0, Math.floor(availableTokens)) * maxPromptParts);
    }
    const beginning = formatBeginning(prompt);
    return {
        prompts: parts.map((part, index) => formatPart(part, index, parts.length, beginning)),
        partOutputTokens: Math.max(1, Math.min(maxOutputTokens, Math.floor(availableTokens / (parts.length + 1)))),
        beginning,
    };
}

/**
 * Runs a prompt in parts, each an ordinary request of the customer, and then a request that merges the answers. All of them
 * share the one time limit. When a part fails the others are cancelled and the request fails.
 */
export function startSplitRequest(
    plan: RequestPlan,
    split: SplitPlan,
    context: SplitContext,
    listener: RequestListener,
): RequestTask {
    const { timers } = context;
    const startedMs = timers.now();
    const tasks = new Set<RequestTask>();
    const answers: string[] = split.prompts.map(() => "");
    const verdicts: Verdict[] = [];
    let nextPart = 0;
    let finishedParts = 0;
    let ended = false;
    const timer = timers.schedule(
        plan.limitMs,
        () => fail(buildRequestError(ErrorCode.TimedOut, "the time limit passed", Verdict.MayHaveRun)),
    );

    function fail(error: RequestError) {
        if (ended) {
            return;
        }
        ended = true;
        timer.dispose();
        tasks.forEach(task => task.cancel());
        // Parts that ran are no whole run of the request.
        const merged = mergeVerdicts([...verdicts, error.verdict]);
        const verdict = merged === Verdict.NotRun && tasks.size === 0 ? merged : Verdict.MayHaveRun;
        listener({ kind: AttemptEventKind.Failed, error: { ...error, verdict } });
    }

    function makePlan(suffix: string, prompt: string, maxOutputTokens: number, streamed: boolean): RequestPlan {
        const elapsedMs = timers.now() - startedMs;
        return {
            ...plan,
            id: `${plan.id}.${suffix}`,
            limitMs: Math.max(1, Math.floor(plan.limitMs - elapsedMs)),
            waitedMs: plan.waitedMs + elapsedMs,
            fingerprint: computeDigest(`${plan.customer}\n${prompt}`),
            streamed,
            model: {
                ...plan.model!,
                prompt,
                promptTokens: Math.ceil(Buffer.byteLength(prompt) / context.bytesPerToken),
                maxOutputTokens,
                prefixDigest: computeDigest(prompt.slice(0, partFrameBytes)),
            },
        };
    }

    function startPart(index: number) {
        const partPlan = makePlan(`part-${index + 1}`, split.prompts[index]!, split.partOutputTokens, false);
        run(partPlan, event => {
            if (event.kind === AttemptEventKind.Items) {
                answers[index] += event.items.join("");
            }
            else if (event.kind === AttemptEventKind.Completed) {
                finishedParts++;
                startNext();
            }
        });
    }

    function run(subPlan: RequestPlan, handle: RequestListener) {
        let hasEnded = false;
        const task = context.start(subPlan, event => {
            if (event.kind === AttemptEventKind.Completed || event.kind === AttemptEventKind.Failed) {
                hasEnded = true;
                // The request may end before start returns.
                queueMicrotask(() => tasks.delete(task));
                verdicts.push(event.kind === AttemptEventKind.Failed ? event.error.verdict : Verdict.Ran);
            }
            if (ended) {
                return;
            }
            if (event.kind === AttemptEventKind.Failed) {
                queueMicrotask(() => fail(event.error));
                return;
            }
            handle(event);
        });
        if (!hasEnded) {
            tasks.add(task);
        }
    }

    function startNext() {
        if (finishedParts === split.prompts.length) {
            startMerge();
        }
        while (!ended && nextPart < split.prompts.length && nextPart - finishedParts < maxConcurrentParts) {
            startPart(nextPart++);
        }
    }

    function startMerge() {
        const prompt = formatMerge(answers, split.beginning);
        run(makePlan("merge", prompt, plan.model!.maxOutputTokens, plan.streamed), event => {
            if (event.kind === AttemptEventKind.Completed) {
                ended = true;
                timer.dispose();
            }
            listener(event);
        });
    }

    startNext();
    return {
        cancel: () =>
            fail(buildRequestError(ErrorCode.Cancelled, "the customer closed its connection", Verdict.MayHaveRun)),
    };
}
