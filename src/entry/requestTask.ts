import { Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { RandomSource } from "../base/randomSource.js";
import { buildRequestError, ErrorCode, RequestError } from "../base/requestError.js";
import { TimerService } from "../base/timerService.js";
import { mergeVerdicts, Verdict } from "../base/verdict.js";
import { computePartition, defaultClaimPartitions, formatClaimStream } from "../idempotency/index.js";
import { ModelWork, ServiceWork } from "../link/messages.js";
import { RetryBudget } from "../retries/retryBudget.js";
import { decideRetry, RetryDecision } from "../retries/retryPolicy.js";
import { chooseByAffinity } from "../routing/affinityPolicy.js";
import { RoutingPolicy } from "../routing/routing.js";
import { AttemptEvent, AttemptEventKind } from "./attempt.js";
import { EndpointLink } from "./endpointLink.js";
import { LinkDirectory } from "./linkDirectory.js";

/** A request that the entry has admitted. */
export interface RequestPlan {
    readonly id: string;
    readonly customer: string;
    readonly rank: string;
    readonly kind: string;
    readonly limitMs: number;
    readonly waitedMs: number;
    readonly fingerprint: string;
    /** What other requests to the model may share with this one, then what identifies it; empty if it shares nothing. */
    readonly traits: readonly string[];
    readonly model?: ModelWork;
    readonly service?: ServiceWork;
    /** Whether the answer is delivered to the customer while it is generated. */
    readonly streamed: boolean;
}

/** Receives the events of a request; `Completed` or `Failed` comes exactly once and last. */
export type RequestListener = (event: AttemptEvent) => void;

/** A request in progress. */
export interface RequestTask {
    /** Stops the request because the customer has disconnected, whether it waits or runs. */
    cancel(): void;
}

/** A request in progress that the entry can end itself. */
export interface InterruptibleTask extends RequestTask {
    /** Stops the request because the entry ends. The customer gets an error with the verdict. */
    interrupt(): void;
}

/** Dependencies that all requests of an entry share. */
export interface RequestContext {
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly log: EventLog;
    readonly directory: LinkDirectory;
    readonly policy: RoutingPolicy;
    readonly dataCentre: string;
    readonly retryBudget: RetryBudget;
    /** Returns the error for a quarantined request, or `undefined` if the request may run. */
    checkQuarantine(plan: RequestPlan): RequestError | undefined;
    /** Returns the sequence number of a routing decision, for round-robin policies. */
    countDecision(): number;
}

/** Time that a stopped request waits for the sidecar's verdict, in milliseconds. */
const verdictTimeoutMs = 400;
/** Interval at which a request checks again for an available endpoint, in milliseconds. */
const endpointPollIntervalMs = 50;
/**
 * Time that a request waits for an available endpoint, in milliseconds. A link reopens in less, and a configuration
 * that a sidecar could not apply is sent again after one second.
 */
const endpointWaitTimeoutMs = 2_500;

/**
 * Starts a request: selects an endpoint, dispatches the request, and retries failed attempts as the retry policy
 * allows. The request ends within its time limit plus the wait for a verdict.
 *
 * @example
 * const task = startRequest(plan, context, event => sink(event));
 */
export function startRequest(plan: RequestPlan, context: RequestContext, listener: RequestListener): InterruptibleTask {
    const { timers, log } = context;
    const startedMs = timers.now();
    const deadlineMs = startedMs + plan.limitMs;
    const isRepeatable = plan.service?.repeatable ?? true;
    const excluded = new Set<string>();
    const verdicts: Verdict[] = [];
    let attempts = 0;
    let delivered = false;
    let ended = false;
    let stopCode: ErrorCode | undefined;
    let currentAttempt: { readonly link: EndpointLink; readonly id: string } | undefined;
    let timer: Disposable | undefined;
    let retryTimer: Disposable | undefined;
    let bufferedItems: string[] = [];
    let bufferedAnswer: AttemptEvent | undefined;

    function end(event: AttemptEvent) {
        if (ended) {
            return;
        }
        ended = true;
        timer?.dispose();
        retryTimer?.dispose();
        log(LogEvent.RequestEnded, {
            request: plan.id,
            customer: plan.customer,
            rank: plan.rank,
            attempts,
            elapsedMs: timers.now() - startedMs,
            result: event.kind,
            code: event.kind === AttemptEventKind.Failed ? event.error.code : undefined,
            verdict: event.kind === AttemptEventKind.Failed ? event.error.verdict : Verdict.Ran,
        });
        listener(event);
    }

    function fail(error: RequestError) {
        const verdict = mergeVerdicts([...verdicts, error.verdict]);
        end({ kind: AttemptEventKind.Failed, error: { ...error, verdict } });
    }

    function stop(code: ErrorCode, message: string) {
        if (ended || stopCode) {
            return;
        }
        stopCode = code;
        retryTimer?.dispose();
        if (!currentAttempt) {
            fail(buildRequestError(code, message, Verdict.NotRun));
            return;
        }
        currentAttempt.link.cancel(currentAttempt.id);
        timer?.dispose();
        timer = timers.schedule(verdictTimeoutMs, () => fail(buildRequestError(code, message, Verdict.MayHaveRun)));
    }

    function deliver(items: readonly string[]) {
        if (plan.streamed) {
            delivered = true;
            listener({ kind: AttemptEventKind.Items, items });
        }
        else {
            bufferedItems.push(...items);
        }
    }

    function complete(event: AttemptEvent) {
        verdicts.push(Verdict.Ran);
        if (bufferedItems.length > 0) {
            listener({ kind: AttemptEventKind.Items, items: bufferedItems });
        }
        if (bufferedAnswer) {
            listener(bufferedAnswer);
        }
        end(event);
    }

    function handleFailure(endpoint: string, error: RequestError) {
        currentAttempt = undefined;
        verdicts.push(error.verdict);
        bufferedItems = [];
        bufferedAnswer = undefined;
        if (stopCode) {
            fail({ ...error, code: stopCode });
            return;
        }
        excluded.add(endpoint);
        const decision = decideRetry({
            code: error.code,
            verdict: error.verdict,
            repeatable: isRepeatable,
            delivered,
            remainingMs: deadlineMs - timers.now(),
            attempts,
        });
        const isAllowed = decision === RetryDecision.Reroute
            || (decision === RetryDecision.Retry && context.retryBudget.acquire());
        if (!isAllowed) {
            fail(error);
            return;
        }
        log(LogEvent.RequestRetried, {
            request: plan.id,
            endpoint,
            code: error.code,
            verdict: error.verdict,
            decision,
        });
        attempt(error);
    }

    function handleEvent(endpoint: string, event: AttemptEvent) {
        if (ended) {
            return;
        }
        switch (event.kind) {
            case AttemptEventKind.Items:
                return deliver(event.items);
            case AttemptEventKind.ServiceAnswer:
                bufferedAnswer = event;
                return;
            case AttemptEventKind.Completed:
                return complete(event);
            case AttemptEventKind.Failed:
                return handleFailure(endpoint, event.error);
        }
    }

    function waitForEndpoint(lastError: RequestError | undefined) {
        const canWait = timers.now() - startedMs < endpointWaitTimeoutMs;
        if (canWait && lastError?.code === ErrorCode.EndpointFailed && lastError.verdict === Verdict.NotRun) {
            // The attempt failed with its link, which does not mean that the endpoint is faulty. If all others are
            // leaving, it is the only endpoint that can serve the request.
            excluded.clear();
            retryTimer = timers.schedule(endpointPollIntervalMs, () => attempt(undefined));
            return;
        }
        if (lastError || !canWait) {
            fail(lastError ?? buildRequestError(ErrorCode.NoEndpoint, "no endpoint is available", Verdict.NotRun));
            return;
        }
        retryTimer = timers.schedule(endpointPollIntervalMs, () => attempt(undefined));
    }

    function attempt(lastError: RequestError | undefined) {
        const refusal = context.checkQuarantine(plan);
        if (refusal) {
            fail(refusal);
            return;
        }
        const candidates = context.directory.listViews({ model: plan.model?.model, service: plan.service?.service });
        const remainingMs = deadlineMs - timers.now();
        const affinityKey = computeAffinityKey(plan);
        const policy = affinityKey === undefined ? context.policy : chooseByAffinity;
        const choice = policy(
            {
                id: plan.id,
                customer: plan.customer,
                rank: plan.rank,
                model: plan.model?.model,
                promptTokens: plan.model?.promptTokens ?? 0,
                maxOutputTokens: plan.model?.maxOutputTokens ?? 0,
                prefixDigest: plan.model?.prefixDigest ?? "",
                remainingMs,
                excluded,
                affinityKey,
            },
            candidates,
            { dataCentre: context.dataCentre, random: context.random, decision: context.countDecision() },
        );
        const link = choice && context.directory.get(choice.endpoint);
        if (!choice || !link) {
            waitForEndpoint(lastError);
            return;
        }
        attempts++;
        const id = `${plan.id}.${attempts}`;
        log(LogEvent.EndpointChosen, {
            request: plan.id,
            attempt: attempts,
            endpoint: choice.endpoint,
            reason: choice.reason,
            predictedMs: choice.predictedMs,
            candidates: candidates.length,
        });
        currentAttempt = { link, id };
        link.dispatch(
            {
                request: id,
                customer: plan.customer,
                rank: plan.rank,
                kind: plan.kind,
                remainingMs,
                waitedMs: plan.waitedMs + (timers.now() - startedMs),
                fingerprint: plan.fingerprint,
                traits: plan.traits,
                attempt: attempts,
                model: plan.model,
                service: plan.service,
            },
            event => handleEvent(choice.endpoint, event),
            () => isRepeatable && !delivered,
        );
    }

    timer = timers.schedule(plan.limitMs, () => stop(ErrorCode.TimedOut, "the time limit passed"));
    context.retryBudget.recordRequest();
    attempt(undefined);
    return {
        cancel: () => stop(ErrorCode.Cancelled, "the customer closed its connection"),
        interrupt: () => stop(ErrorCode.Leaving, "the entry ended before the request did"),
    };
}

/**
 * Returns the affinity key of a call with an idempotency key. A repeated call goes to the same sidecar, which has
 * probably folded the claim partition of the key already.
 */
function computeAffinityKey(plan: RequestPlan): string | undefined {
    const key = plan.service?.idempotencyKey;
    return key === undefined
        ? undefined
        : formatClaimStream(computePartition(plan.customer, key, defaultClaimPartitions));
}
