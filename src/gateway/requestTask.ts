import { Verdict } from "../base/verdict.js";
import { AnswerHead } from "../ports/exchange.js";
import { RouteKind } from "../ports/servingConfiguration.js";
import { Treatment } from "../quarantine/quarantine.js";
import { isIdempotent, isRedispatchAllowed } from "../retries/dispatchDecision.js";
import { DrainStep } from "../scheduling/drainAdmission.js";
import { computeRetryAfterMs } from "../scheduling/retryAfter.js";
import { AcceptedRequest, computeEngineNeeds, computeTimes, makePlacementTerms } from "./acceptedRequest.js";
import { createAnswerRelay } from "./answerRelay.js";
import { Attempt, AttemptFailure, AttemptListener, createAttempt } from "./attempt.js";
import { CustomerAnswer } from "./customerAnswer.js";
import { DrainEnding } from "./drainControl.js";
import { createFinalAnswerSender } from "./finalAnswer.js";
import { createHeldAnswer, maxHeldBytes } from "./heldAnswer.js";
import { Place, PlacementRefusal } from "./place.js";
import { createQuarantineWatch } from "./quarantineWatch.js";
import { createRequestDrain } from "./requestDrain.js";
import { createRequestHedge, findPlaceNow } from "./requestHedge.js";
import { createRequestPlacement } from "./requestPlacement.js";
import { createRequestReport, EndKind } from "./requestReport.js";
import { RequestServices } from "./requestServices.js";
import { ReservationSet } from "./reservations.js";
import { createStreamProgress } from "./streamProgress.js";

/**
 * Starts the processing of one request. The request is queued for a place and dispatched, and its answer is relayed. A
 * failed dispatch is retried if that is allowed. Ends with exactly one final answer, or when the customer disconnects.
 *
 * @example
 * startRequestTask(request, answer, services);
 */
export function startRequestTask(request: AcceptedRequest, answer: CustomerAnswer, services: RequestServices): void {
    const { timers, codec, placementQueue } = services;
    const { route, head } = request;
    const { deadlineAtMs } = computeTimes(request);
    const isRepeatable = isIdempotent(route.kind, route.isResumable);
    const needs = computeEngineNeeds(request);
    const avoid = new Set<string>();
    const heldAnswer = createHeldAnswer(answer, {
        mustHold: () => services.drainControl.mustHold(request),
        onTooLong: () => finishUnanswered(EndKind.Stopped, `the answer is longer than ${maxHeldBytes} bytes`),
    });
    const finalAnswer = createFinalAnswerSender({ answer: heldAnswer, head, codec, isRepeatable });
    const relayOptions = {
        isStream: route.kind === RouteKind.Stream,
        answer: heldAnswer,
        deliver: (received: AnswerHead, body: Buffer) => finalAnswer.deliver(received, body),
        method: request.method,
        resumeAfterEventId: head.lastEventId,
    };
    let relay = createAnswerRelay(relayOptions);
    let progress = createStreamProgress(services.slowdownEstimate);
    const quarantineWatch = createQuarantineWatch({
        ...services,
        traits: request.traits,
        onQuarantined: handleQuarantined,
    });
    const report = createRequestReport(request, services);
    const drain = createRequestDrain({
        request,
        services,
        countEvents: () => relay.countEvents(),
        hasBegun: () => answer.isStarted(),
        getPlace: () => attempts[0]?.place,
        findOtherPlace,
        refuse: reason => finishWithError(EndKind.Stopped, reason),
        end: endByDrain,
    });
    const placement = createRequestPlacement({
        services,
        drain,
        report,
        makeJob: () => makeJob(avoid),
        onReady: (place, reservationSet) => send(place, reservationSet),
        onExpired: refusal => finishWithError(EndKind.NoCapacity, undefined, refusal),
        onLost: submit,
    });
    const hedging = services.hedging.startRequest({
        route: route.name,
        service: request.service,
        needs,
        bodyBytes: request.body?.length ?? 0,
        isRepeatable,
    });
    const hedge = hedging && createRequestHedge({
        hedging,
        report,
        now: () => timers.now(),
        getState: () => ({
            endpointsRun,
            maxEndpoints: route.maxEndpoints,
            dispatches,
            remainingMs: deadlineAtMs - timers.now(),
            isSuspect: quarantineWatch.decideTreatment() !== Treatment.Free,
        }),
        findPlace: findOtherPlace,
        isAllowed: place => drain.isStepAllowed(DrainStep.Hedge, place),
        send: sendHedge,
    });
    let dispatches = 0;
    let endpointsRun = 0;
    let hasEnded = false;
    let hasDelivered = false;
    let attempts: readonly Attempt[] = [];

    const listener: AttemptListener = {
        onDelivered: handleDelivered,
        onFirstEvent: () => heldAnswer.wasHeld() ? undefined : report.recordFirstEvent(),
        onComplete: (unused, status) => endAnswered(status),
        onFailure: handleFailure,
        onStalled: handleStall,
        onUnreachable: handleUnreachable,
    };
    const deadline = timers.schedule(deadlineAtMs - timers.now(), () => finishUnanswered(EndKind.Deadline));
    answer.onCustomerLeft(() => end(EndKind.CustomerLeft));
    answer.onDropped(reason => finishUnanswered(EndKind.SlowReader, reason));
    services.retryBudget.recordRequest();
    if (drain.admitStep(DrainStep.Arrival)) {
        submit();
    }

    function submit(): void {
        const treatment = quarantineWatch.decideTreatment();
        if (treatment === Treatment.Quarantined) {
            finishWithError(EndKind.Quarantined, quarantineWatch.describe());
            return;
        }
        placement.submit(treatment === Treatment.Isolated, dispatches + 1);
    }

    function makeJob(avoided: ReadonlySet<string>) {
        return {
            ...makePlacementTerms(request, avoided),
            ...(answer.isStarted() ? { customerTimeoutAtMs: deadlineAtMs } : {}),
        };
    }

    function findOtherPlace(endpoint: string): Place | undefined {
        return findPlaceNow(placementQueue, makeJob(new Set([...avoid, endpoint])));
    }

    /** Sends the request to a second endpoint while the first has it. Nothing has been delivered to the customer yet. */
    function sendHedge(place: Place): void {
        send(place, undefined, createAnswerRelay(relayOptions), createStreamProgress(services.slowdownEstimate));
    }

    /**
     * Ends the request because requests like it crash endpoints. Its endpoint cancels it when the connection closes, which
     * prevents the crash if the answer has not begun.
     */
    function handleQuarantined(): void {
        finishUnanswered(EndKind.Quarantined, quarantineWatch.describe());
    }

    function send(
        place: Place,
        reservationSet: ReservationSet | undefined,
        attemptRelay = relay,
        attemptProgress = progress,
    ): void {
        dispatches += 1;
        report.recordDispatch(place, dispatches);
        const attempt = createAttempt({
            request,
            services,
            answer: heldAnswer,
            place,
            number: dispatches,
            reservationSet,
            relay: attemptRelay,
            progress: attemptProgress,
            quarantineWatch,
            deadlineAtMs,
            isRepeatable,
            listener,
        });
        attempts = [...attempts, attempt];
        if (!heldAnswer.isStarted()) {
            hedge?.startAttempt(attempt);
        }
        attempt.send();
    }

    /** Cancels the other attempt once one has begun to answer the customer. */
    function handleDelivered(winner: Attempt): void {
        if (attempts.length > 1) {
            attempts.filter(attempt => attempt !== winner).forEach(loser => {
                loser.abandon();
                removeAttempt(loser);
            });
        }
        if (!hasDelivered) {
            hasDelivered = true;
            hedge?.recordDelivery(winner);
        }
    }

    /** Releases one of two attempts. The other one continues the request. */
    function removeAttempt(removed: Attempt): void {
        attempts = attempts.filter(attempt => attempt !== removed);
        removed.release();
        removed.relay.dropHeld();
        ({ relay, progress } = attempts[0]!);
    }

    function handleUnreachable(attempt: Attempt): void {
        // The endpoint may only have lost its network link and still answer. If no retry is allowed, the task waits for
        // that, unless helpers keep memory for the request.
        const isRetryPossible = isFurtherRunAllowed() && drain.isRetryReady(attempt.place);
        if (attempts.length > 1 || isRetryPossible || attempt.place.reservedTokens > 0) {
            attempt.dropUnreachable();
        }
    }

    /**
     * Handles a stall. While the retry budget is used up, if no other endpoint is left to run the request, or if another
     * attempt would outlast this process, an endpoint that still accepts connections may only be slow, so its answer is awaited. Otherwise the customer is told, and may
     * resume the stream with another request. With another attempt in flight, nothing is spent.
     */
    function handleStall(attempt: Attempt): void {
        if (attempts.length > 1) {
            attempt.dropSilent();
            return;
        }
        if (!isFurtherRunAllowed()) {
            return;
        }
        const avoided = new Set([...avoid, attempt.place.endpoint.id]);
        if (
            services.retryBudget.getBalance() < 1 || !placementQueue.hasEndpointLeft(makeJob(avoided))
            || !drain.isRetryReady(attempt.place)
        ) {
            void attempt.dropIfUnreachable();
            return;
        }
        attempt.dropSilent();
    }

    /** Returns whether a retry is allowed if the request has run on the current endpoint. */
    function isFurtherRunAllowed(): boolean {
        return isRetryAllowed(Verdict.MayHaveRun, endpointsRun + 1);
    }

    function isRetryAllowed(verdict: Verdict, ranOn: number): boolean {
        return isRedispatchAllowed({
            kind: route.kind,
            isResumable: route.isResumable,
            verdict,
            endpointsRun: ranOn,
            maxEndpoints: route.maxEndpoints,
            dispatches,
            remainingMs: deadlineAtMs - timers.now(),
            hasCustomerLeft: hasEnded,
        }) && relay.canContinue();
    }

    /**
     * Handles the failure of an attempt. While another one is in flight, that one decides. Retries the request on another endpoint if it may run again. An error answer of
     * the endpoint is relayed otherwise.
     */
    function handleFailure(attempt: Attempt, failure: AttemptFailure): void {
        const { verdict, reason } = failure;
        if (failure.isEndpointAvoided) {
            avoid.add(attempt.place.endpoint.id);
            endpointsRun += verdict === Verdict.MayHaveRun ? 1 : 0;
        }
        hedge?.recordFailure(attempt);
        if (attempts.length > 1) {
            finalAnswer.recordVerdict(verdict);
            removeAttempt(attempt);
            return;
        }
        if (retry(attempt, failure)) {
            return;
        }
        if (failure.hasErrorAnswer) {
            attempt.relay.deliverFailure();
            endAnswered(attempt.getStatus()!);
            return;
        }
        finalAnswer.recordVerdict(verdict);
        finishWithError(EndKind.Failed, reason);
    }

    /** Ends the request after the answer of an endpoint was delivered or replaced. */
    function endAnswered(endpointStatus: number): void {
        const replacement = finalAnswer.getReplacement();
        end(replacement === undefined ? EndKind.Answered : EndKind.Replaced, replacement ?? endpointStatus);
    }

    /**
     * Submits the request again if the retry rules, the retry budget and a planned stop allow it. Returns whether it did.
     */
    function retry(attempt: Attempt, { verdict, reason }: AttemptFailure): boolean {
        if (
            !isRetryAllowed(verdict, endpointsRun) || !drain.isStepAllowed(DrainStep.Retry)
            || !services.retryBudget.acquire()
        ) {
            return false;
        }
        finalAnswer.recordVerdict(verdict);
        report.recordRetry({
            endpoint: attempt.place.endpoint.id,
            reason,
            verdict,
            sentAtMs: attempt.getSentAtMs(),
            attempt: attempt.number,
            events: attempt.relay.countEvents(),
        });
        releaseAttempts();
        submit();
        return true;
    }

    function releaseAttempts(): void {
        const released = attempts;
        attempts = [];
        released.forEach(attempt => attempt.release());
    }

    /** Records that the request may have run, if an attempt has reached an endpoint. */
    function recordUnanswered(): void {
        if (attempts.some(attempt => attempt.hasStarted())) {
            finalAnswer.recordVerdict(Verdict.MayHaveRun);
        }
    }

    function finishUnanswered(kind: EndKind, reason?: string): void {
        recordUnanswered();
        finishWithError(kind, reason);
    }

    function endByDrain(): DrainEnding {
        const isStarted = answer.isStarted();
        recordUnanswered();
        const isRefused = (finalAnswer.getVerdict() ?? Verdict.NotRun) === Verdict.NotRun;
        finishWithError(EndKind.Stopped, "the process ends");
        return isStarted ? DrainEnding.BrokenOff : isRefused ? DrainEnding.Refused : DrainEnding.Failed;
    }

    /**
     * Ends the request with an error of this gateway, or by closing the connection if an answer has already started.
     */
    function finishWithError(kind: EndKind, reason?: string, refusal?: PlacementRefusal): void {
        if (hasEnded) {
            return;
        }
        if (answer.isStarted()) {
            answer.abort();
            end(kind, undefined, reason);
            return;
        }
        const status = finalAnswer.sendError(
            kind === EndKind.Deadline,
            () => quarantineWatch.computeRetryAfterMs() ?? predictRetryAfterMs(refusal),
        );
        end(kind, status, reason, refusal);
    }

    function predictRetryAfterMs(refusal: PlacementRefusal | undefined): number {
        const waitMs = refusal?.startMs ?? placementQueue.predictWaitMs(request.service, needs);
        const returnMs = services.drainControl.getReturnMs() ?? 0;
        return computeRetryAfterMs(Math.max(waitMs, returnMs), deadlineAtMs - timers.now(), services.random());
    }

    function end(kind: EndKind, status?: number, reason?: string, refusal?: PlacementRefusal): void {
        if (hasEnded) {
            return;
        }
        hasEnded = true;
        deadline.dispose();
        quarantineWatch.dispose();
        drain.dispose();
        if (kind !== EndKind.Answered && kind !== EndKind.Replaced) {
            attempts.forEach(attempt => attempt.abandon());
        }
        hedge?.dispose();
        const endpointStatus = attempts[0]?.getStatus();
        const endpoint = (attempts[0]?.place ?? placement.getReservingPlace())?.endpoint.id;
        placement.dispose();
        releaseAttempts();
        report.recordEnd({
            kind,
            reason,
            status,
            ...(endpointStatus !== status && { endpointStatus }),
            endpoint,
            verdict: finalAnswer.getVerdict(),
            attempts: dispatches,
            refusal,
            events: relay.countEvents(),
            firstEventAtMs: heldAnswer.wasHeld() ? undefined : progress.getFirstEventMs(),
            longestPauseMs: progress.getLongestPauseMs(),
            readMs: needs?.prefillMs,
            ...(heldAnswer.wasHeld() && { wasHeld: true }),
            ...(hedge?.getResult() && { hedge: hedge.getResult() }),
        });
    }
}
