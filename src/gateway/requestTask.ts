import { Disposable } from "../base/disposable.js";
import { mergeVerdicts, Verdict } from "../base/verdict.js";
import { ExchangeResult } from "../membership/endpointHealth.js";
import { AnswerHead } from "../ports/exchange.js";
import { RouteKind } from "../ports/servingConfiguration.js";
import { Treatment } from "../quarantine/quarantine.js";
import { isIdempotent, isRedispatchAllowed } from "../retries/dispatchDecision.js";
import { computeRetryAfterMs, renderRetryAfter } from "../scheduling/retryAfter.js";
import { AcceptedRequest, computeEngineNeeds, computeTimes } from "./acceptedRequest.js";
import { AnswerOutcome, AnswerOutcomeKind, createAnswerRelay } from "./answerRelay.js";
import { AttemptEnd, LossEvidence } from "./crashDetector.js";
import { CustomerAnswer } from "./customerAnswer.js";
import { createDispatchWatch } from "./dispatchWatch.js";
import { Exchange, SendFailureKind } from "./endpointConnections.js";
import { Place, PlacementRefusal } from "./place.js";
import { createQuarantineWatch } from "./quarantineWatch.js";
import { sendDispatch } from "./requestDispatch.js";
import { createRequestReport, EndKind } from "./requestReport.js";
import { RequestServices } from "./requestServices.js";
import { reservationRetryMs, ReservationSet } from "./reservations.js";
import { createStreamProgress } from "./streamProgress.js";

/**
 * Starts the processing of one request. The request is queued for a place and dispatched, and its answer is relayed. A
 * failed dispatch is retried if that is allowed. Ends with exactly one final answer, or when the customer disconnects.
 *
 * @example
 * startRequestTask(request, answer, services);
 */
export function startRequestTask(request: AcceptedRequest, answer: CustomerAnswer, services: RequestServices): void {
    const { timers, codec, placementQueue, health } = services;
    const { route, head } = request;
    const { deadlineAtMs, dueAtMs, customerTimeoutAtMs } = computeTimes(request);
    const isRepeatable = isIdempotent(route.kind, route.isResumable);
    const needs = computeEngineNeeds(request);
    const watch = createDispatchWatch({
        timers,
        connections: services.connections,
        isRepeatable,
        gapTargetMs: route.gapTargetMs ?? 0,
        onStalled: handleStall,
        onUnreachable: handleUnreachable,
    });
    const avoid = new Set<string>();
    const verdicts: Verdict[] = [];
    const relay = createAnswerRelay({
        isStream: route.kind === RouteKind.Stream,
        answer,
        hasBody: request.method !== "HEAD",
        resumeAfterEventId: head.lastEventId,
    });
    const progress = createStreamProgress(services.slowdownEstimate);
    const quarantineWatch = createQuarantineWatch({
        ...services,
        traits: request.traits,
        onQuarantined: handleQuarantined,
    });
    const report = createRequestReport(request, services);
    let dispatches = 0;
    let endpointsRun = 0;
    let hasEnded = false;
    let waiting: Disposable | undefined;
    let place: Place | undefined;
    let exchange: Exchange | undefined;
    let answerHead: AnswerHead | undefined;
    let reservationSet: ReservationSet | undefined;
    let sentAtMs = 0;

    const deadline = timers.schedule(deadlineAtMs - timers.now(), handleDeadline);
    answer.onCustomerLeft(() => end(EndKind.CustomerLeft));
    services.retryBudget.recordRequest();
    submit();

    function submit(): void {
        const treatment = quarantineWatch.decideTreatment();
        if (treatment === Treatment.Quarantined) {
            finishWithError(EndKind.Quarantined, quarantineWatch.describe());
            return;
        }
        // If an endpoint has capacity, `onPlaced` is called before `submit` returns.
        const submitted = placementQueue.submit({
            service: request.service,
            rank: request.rank,
            arrivedAtMs: request.arrivedAtMs,
            dueAtMs,
            customerTimeoutAtMs: answer.isStarted() ? deadlineAtMs : customerTimeoutAtMs,
            needs,
            isUnsafe: !isRepeatable,
            avoid,
            isSuspect: treatment === Treatment.Isolated,
            share: request.share,
            onPlaced: handlePlaced,
            onWaiting: inputs => report.recordWaiting(inputs, dispatches + 1),
            onClaimed: claim => report.recordClaim(claim),
            onExpired: refusal => finishWithError(EndKind.NoCapacity, undefined, refusal),
        });
        waiting = place || hasEnded ? undefined : submitted;
    }

    /**
     * Ends the request because requests like it crash endpoints. Its endpoint cancels it when the connection closes, which
     * prevents the crash if the answer has not begun.
     */
    function handleQuarantined(): void {
        if (exchange?.hasStarted()) {
            verdicts.push(Verdict.MayHaveRun);
        }
        finishWithError(EndKind.Quarantined, quarantineWatch.describe());
    }

    function handlePlaced(found: Place): void {
        waiting = undefined;
        if (hasEnded) {
            found.release();
            return;
        }
        place = found;
        if (found.reservedTokens === 0) {
            send(found);
            return;
        }
        const addresses = found.helpers.map(helper => helper.address);
        services.reservations.reserveAll(addresses, found.reservedTokens).then(
            set => handleReserved(found, set),
            (error: unknown) => {
                report.recordTaskFailure("reservations", error);
                handleReserved(found, undefined);
            },
        );
    }

    function handleReserved(found: Place, set: ReservationSet | undefined): void {
        if (hasEnded) {
            set?.dispose();
            return;
        }
        reservationSet = set;
        if (set) {
            send(found);
            return;
        }
        releaseDispatch();
        waiting = timers.schedule(reservationRetryMs, submit);
    }

    function send(found: Place): void {
        dispatches += 1;
        sentAtMs = timers.now();
        quarantineWatch.startAttempt(found, relay.countEvents());
        report.recordDispatch(found, dispatches);
        relay.startAttempt();
        progress.startAttempt(found);
        answerHead = undefined;
        exchange = sendDispatch(
            {
                request,
                place: found,
                reservations: reservationSet?.reservations ?? [],
                remainingMs: deadlineAtMs - sentAtMs,
                lastEventId: relay.getLastEventId(),
                isRepeatable,
            },
            services,
            {
                isCurrent: () => place === found && !hasEnded,
                onHead(decoded) {
                    answerHead = decoded;
                    services.endpointQuota.recordAnswer(found.endpoint.id, decoded);
                    handleOutcome(relay.acceptHead(decoded, request.id));
                },
                onData: bytes => handleOutcome(relay.acceptData(bytes, () => exchange?.resume())),
                onEnd: () => handleOutcome(relay.acceptEnd()),
                onFailure: handleSendFailure,
            },
        );
        watch.start(found);
    }

    /** Records whether requests like this one are answered, as far as the end of the answer shows it. */
    function recordCompletion({ status, isFramed }: AnswerHead): void {
        if (!isFramed) {
            // The endpoint may have crashed: that ends an answer without a length like a whole one.
            quarantineWatch.recordEnd(AttemptEnd.Broken, relay.countEvents());
        }
        else if (status < 500) {
            quarantineWatch.recordEnd(AttemptEnd.Answered, relay.countEvents());
        }
    }

    function handleUnreachable(): void {
        // The endpoint may only have lost its network link and still answer. If no retry is allowed, the task waits for
        // that, unless helpers keep memory for the request.
        if (place && (isFurtherRunAllowed() || place.reservedTokens > 0)) {
            quarantineWatch.recordEnd(AttemptEnd.Silent, relay.countEvents());
            dropConnections(place);
            recordEndpointFailure(place, ExchangeResult.Unreachable, Verdict.MayHaveRun);
            handleFailure(Verdict.MayHaveRun, "endpoint accepts no connections");
        }
    }

    function handleOutcome(outcome: AnswerOutcome): void {
        if (hasEnded || !place) {
            return;
        }
        switch (outcome.kind) {
            case AnswerOutcomeKind.Progress:
                handleEvent(place);
                break;
            case AnswerOutcomeKind.Blocked:
                exchange?.pause();
                handleEvent(place);
                break;
            case AnswerOutcomeKind.Complete:
                health.record(place.endpoint.id, ExchangeResult.Answered, timers.now());
                recordCompletion(answerHead!);
                end(EndKind.Answered, answerHead?.status);
                break;
            case AnswerOutcomeKind.NotRun:
                handleNotRun(place, answerHead!);
                break;
            case AnswerOutcomeKind.Invalid:
                exchange?.abort();
                recordEndpointFailure(place, ExchangeResult.Failed, Verdict.MayHaveRun);
                handleFailure(Verdict.MayHaveRun, outcome.reason);
                break;
            case AnswerOutcomeKind.Failed:
                handleFailedAnswer(place, answerHead!);
                break;
            case AnswerOutcomeKind.Pending:
                break;
        }
    }

    function handleEvent(current: Place): void {
        if (progress.recordEvent(timers.now())) {
            report.recordFirstEvent();
            current.startDecode();
        }
        quarantineWatch.recordEvents(relay.countEvents());
        watch.recordEvent(current);
    }

    function handleNotRun(current: Place, { status, isMisdirected, faultyEndpoint }: AnswerHead): void {
        const { id } = current.endpoint;
        const nowMs = timers.now();
        if (isMisdirected) {
            avoid.add(id);
            services.onMisdirected(id);
        }
        else if (faultyEndpoint !== undefined) {
            const faulty = current.helpers.find(helper =>
                faultyEndpoint.includes(helper.address) || faultyEndpoint.includes(helper.id)
            );
            health.record(faulty?.id ?? id, faulty ? ExchangeResult.Silent : ExchangeResult.Full, nowMs);
        }
        else {
            health.record(id, ExchangeResult.Full, nowMs);
        }
        handleFailure(Verdict.NotRun, `endpoint did not run the request, status ${status}`);
    }

    /**
     * Handles an error answer. Retries the request on another endpoint if it may run again, and relays the error
     * otherwise.
     */
    function handleFailedAnswer(current: Place, { status }: AnswerHead): void {
        recordEndpointFailure(current, ExchangeResult.Failed, Verdict.MayHaveRun);
        if (!retry(Verdict.MayHaveRun, `status ${status}`)) {
            relay.deliverFailure();
            end(EndKind.Answered, status);
        }
    }

    function handleSendFailure(kind: SendFailureKind, reason: string): void {
        if (hasEnded || !place) {
            return;
        }
        if (kind === SendFailureKind.NotSent) {
            health.record(place.endpoint.id, ExchangeResult.Unreachable, timers.now());
            services.crashDetector.recordEndpointLoss(place.endpoint.id, LossEvidence.NoConnection);
            handleFailure(Verdict.NotRun, reason);
            return;
        }
        quarantineWatch.recordEnd(AttemptEnd.Broken, relay.countEvents());
        services.connections.replace(place.endpoint.address);
        recordEndpointFailure(place, ExchangeResult.Broken, Verdict.MayHaveRun);
        handleFailure(Verdict.MayHaveRun, reason);
    }

    function handleStall(): void {
        if (!place || !isFurtherRunAllowed()) {
            return;
        }
        if (services.retryBudget.getBalance() < 1) {
            void dropIfUnreachable(place);
            return;
        }
        dropSilentDispatch(place);
    }

    /**
     * Handles a stall while the retry budget is used up. An endpoint that still accepts connections may only be slow, so
     * its answer is awaited. Otherwise the customer is told, and may resume the stream with another request.
     */
    async function dropIfUnreachable(stalled: Place): Promise<void> {
        const lastEventMs = progress.getLastEventMs();
        const isReachable = await services.connections.checkConnection(stalled.endpoint.address);
        if (hasEnded || place !== stalled) {
            return;
        }
        if (isReachable || progress.getLastEventMs() !== lastEventMs) {
            watch.delay();
        }
        else {
            dropSilentDispatch(stalled);
        }
    }

    function dropSilentDispatch(stalled: Place): void {
        const silentMs = timers.now() - (progress.getLastEventMs() ?? sentAtMs);
        const verdict = exchange?.hasStarted() ? Verdict.MayHaveRun : Verdict.NotRun;
        quarantineWatch.recordEnd(AttemptEnd.Silent, relay.countEvents());
        dropConnections(stalled);
        recordEndpointFailure(stalled, ExchangeResult.Silent, verdict);
        handleFailure(verdict, `silent for ${Math.round(silentMs)} ms`);
    }

    /**
     * Aborts the exchange and replaces the connection pool of its endpoint, whose other connections may have stalled
     * too.
     */
    function dropConnections(current: Place): void {
        exchange?.abort();
        services.connections.replace(current.endpoint.address);
    }

    /** Records the failure in the endpoint's health, and excludes the endpoint from retries of this request. */
    function recordEndpointFailure({ endpoint }: Place, result: ExchangeResult, verdict: Verdict): void {
        health.record(endpoint.id, result, timers.now());
        avoid.add(endpoint.id);
        endpointsRun += verdict === Verdict.MayHaveRun ? 1 : 0;
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

    function handleFailure(verdict: Verdict, reason: string): void {
        if (!retry(verdict, reason)) {
            verdicts.push(verdict);
            finishWithError(EndKind.Failed, reason);
        }
    }

    /** Submits the request again if the retry rules and the retry budget allow it. Returns whether it did. */
    function retry(verdict: Verdict, reason: string): boolean {
        if (!isRetryAllowed(verdict, endpointsRun) || !services.retryBudget.acquire()) {
            return false;
        }
        verdicts.push(verdict);
        report.recordRetry({
            endpoint: place?.endpoint.id,
            reason,
            verdict,
            sentAtMs,
            attempt: dispatches,
            events: relay.countEvents(),
        });
        releaseDispatch();
        submit();
        return true;
    }

    function releaseDispatch(): void {
        watch.dispose();
        exchange = undefined;
        reservationSet?.dispose();
        reservationSet = undefined;
        const released = place;
        place = undefined;
        released?.release();
    }

    function handleDeadline(): void {
        if (exchange?.hasStarted()) {
            verdicts.push(Verdict.MayHaveRun);
        }
        finishWithError(EndKind.Deadline);
    }

    /**
     * Ends the request with an error of this gateway, or by closing the connection if an answer has already started.
     */
    function finishWithError(kind: EndKind, reason?: string, refusal?: PlacementRefusal): void {
        if (hasEnded) {
            return;
        }
        const verdict = mergeVerdicts(verdicts);
        if (answer.isStarted()) {
            answer.abort();
            end(kind, undefined, reason);
            return;
        }
        const isNotRun = verdict === Verdict.NotRun;
        const status = isNotRun ? 503 : kind === EndKind.Deadline ? 504 : 502;
        const retryAfter = isNotRun
            ? renderRetryAfter(quarantineWatch.computeRetryAfterMs() ?? predictRetryAfterMs(refusal))
            : [];
        answer.sendComplete(status, [...codec.encodeGatewayAnswer(head), ...retryAfter], Buffer.alloc(0));
        end(kind, status, reason, refusal);
    }

    function predictRetryAfterMs(refusal: PlacementRefusal | undefined): number {
        const waitMs = refusal?.startMs ?? placementQueue.predictWaitMs(request.service, needs);
        return computeRetryAfterMs(waitMs, deadlineAtMs - timers.now(), services.random());
    }

    function end(kind: EndKind, status?: number, reason?: string, refusal?: PlacementRefusal): void {
        if (hasEnded) {
            return;
        }
        hasEnded = true;
        deadline.dispose();
        quarantineWatch.dispose();
        waiting?.dispose();
        if (kind !== EndKind.Answered) {
            if (exchange?.hasStarted()) {
                quarantineWatch.recordEnd(AttemptEnd.Abandoned, relay.countEvents());
            }
            exchange?.abort();
        }
        const endpoint = place?.endpoint.id;
        releaseDispatch();
        report.recordEnd({
            kind,
            reason,
            status,
            endpoint,
            verdict: verdicts.length > 0 ? mergeVerdicts(verdicts) : undefined,
            attempts: dispatches,
            refusal,
            events: relay.countEvents(),
            firstEventAtMs: progress.getFirstEventMs(),
            longestPauseMs: progress.getLongestPauseMs(),
            readMs: needs?.prefillMs,
        });
    }
}
