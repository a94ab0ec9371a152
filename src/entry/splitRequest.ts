import { computeDigest } from "../base/ids.js";
import { buildRequestError, ErrorCode, RequestError } from "../base/requestError.js";
import { TimerService } from "../base/timerService.js";
import { mergeVerdicts, Verdict } from "../base/verdict.js";
import {
    formatBeginning,
    formatMerge,
    formatPart,
    maxPartOverheadBytes,
    maxPromptParts,
    splitPrompt,
} from "../scheduling/splitPrompt.js";
import { AttemptEventKind } from "./attempt.js";
import { buildPromptTooLargeError } from "./lengthCheck.js";
import { RequestListener, RequestPlan, RequestTask } from "./requestTask.js";

/** What a split request needs from the entry. */
export interface SplitContext {
    readonly timers: TimerService;
    /** Estimated bytes of a prompt per token. */
    readonly bytesPerToken: number;
    /** Maximum sum of prompt and output of one request, in tokens. */
    readonly largestReservation: number;
    start(plan: RequestPlan, listener: RequestListener): RequestTask;
}

/** Maximum number of parts of a request that run concurrently, so that it does not occupy all endpoints. */
const maxConcurrentParts = 4;
/** Share of the capacity that a part may fill by estimate; the engine may count more tokens than estimated. */
const maxFillShare = 0.9;

/** How a prompt is split. */
export interface SplitPlan {
    readonly prompts: readonly string[];
    /** Maximum output of each part, in tokens, which makes the answers of all parts fit into the merge request. */
    readonly partOutputTokens: number;
    /** Beginning of the prompt, which the later parts and the merge request repeat. */
    readonly beginning: string;
}

/**
 * Splits a prompt that no endpoint can hold into parts, or returns an error if that takes too many parts.
 */
export function buildSplitPlan(plan: RequestPlan, context: SplitContext): SplitPlan | RequestError {
    const { prompt, maxOutputTokens } = plan.model!;
    const availableTokens = context.largestReservation * maxFillShare - maxOutputTokens;
    const partBytes = Math.floor(availableTokens * context.bytesPerToken) - maxPartOverheadBytes;
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
 * Runs the parts of a prompt, each as an ordinary request of the customer, and then a request that merges their
 * answers. All of them share one time limit. If a part fails, the others are cancelled and the whole request fails.
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
        // The request as a whole has not completed even if some of its parts have, so its verdict is never `Ran`.
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
            // A part of a prompt holds only some of the messages.
            traits: [],
            streamed,
            model: {
                ...plan.model!,
                prompt,
                promptTokens: Math.ceil(Buffer.byteLength(prompt) / context.bytesPerToken),
                maxOutputTokens,
                prefixDigest: computeDigest(prompt.slice(0, maxPartOverheadBytes)),
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
