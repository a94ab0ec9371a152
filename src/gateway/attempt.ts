import { Verdict } from "../base/verdict.js";
import { ExchangeResult } from "../membership/endpointHealth.js";
import { AnswerHead } from "../ports/exchange.js";
import { AttemptPace } from "../scheduling/answerPace.js";
import { AcceptedRequest } from "./acceptedRequest.js";
import { AnswerEnding } from "./answerEnding.js";
import { AnswerOutcome, AnswerOutcomeKind, AnswerRelay } from "./answerRelay.js";
import { AttemptEnd, LossEvidence } from "./crashDetector.js";
import { CustomerAnswer } from "./customerAnswer.js";
import { createDispatchWatch } from "./dispatchWatch.js";
import { Exchange, SendFailureKind } from "./endpointConnections.js";
import { Place } from "./place.js";
import { AttemptQuarantineWatch, QuarantineWatch } from "./quarantineWatch.js";
import { sendDispatch } from "./requestDispatch.js";
import { RequestServices } from "./requestServices.js";
import { ReservationSet } from "./reservations.js";
import { StreamProgress } from "./streamProgress.js";

/** Why an attempt has ended without an answer for the customer. */
export interface AttemptFailure {
    readonly verdict: Verdict;
    readonly reason: string;
    /** Whether the request must not be sent to this endpoint again. */
    readonly isEndpointAvoided: boolean;
    /** Whether the endpoint's error answer is complete and can be delivered with `AnswerRelay.deliverFailure`. */
    readonly hasErrorAnswer: boolean;
}

/** Receives what becomes of an attempt. Not called any more once the attempt has been released. */
export interface AttemptListener {
    /** Called after data of this attempt was processed while the customer's answer has started. */
    onDelivered(attempt: Attempt): void;
    /** Called when the first event of the attempt was delivered. */
    onFirstEvent(attempt: Attempt): void;
    onComplete(attempt: Attempt, status: number): void;
    onFailure(attempt: Attempt, failure: AttemptFailure): void;
    /** Called when the endpoint has sent nothing for longer than a healthy one would need. */
    onStalled(attempt: Attempt): void;
    /** Called when the endpoint no longer accepts connections. */
    onUnreachable(attempt: Attempt): void;
}

/** One dispatch of a request to an endpoint, from the assignment of the place to its release. */
export interface Attempt {
    readonly place: Place;
    /** Number of this dispatch, from 1. */
    readonly number: number;
    readonly relay: AnswerRelay;
    readonly progress: StreamProgress;
    send(): void;
    /** When the attempt was sent, on the monotonic clock. */
    getSentAtMs(): number;
    /** Returns the status of the endpoint's answer, or `undefined` before its head has arrived. */
    getStatus(): number | undefined;
    /** Whether the request may have reached the endpoint. */
    hasStarted(): boolean;
    /** Extends the time after which a stall is reported by a short time. */
    delayStall(): void;
    /** Ends the attempt because its endpoint is silent. Reports a failure to the listener. */
    dropSilent(): void;
    /** Like `dropSilent` if the endpoint accepts no connections, and like `delayStall` otherwise. */
    dropIfUnreachable(): Promise<void>;
    /** Ends the attempt because its endpoint accepts no connections. Reports a failure to the listener. */
    dropUnreachable(): void;
    /** Closes the connection of an attempt whose answer is not needed, which makes the endpoint cancel the request. */
    abandon(): void;
    /** Releases the place and the reserved memory. What arrives later for the attempt is ignored. */
    release(): void;
}

export interface AttemptOptions {
    readonly request: AcceptedRequest;
    readonly services: RequestServices;
    readonly answer: CustomerAnswer;
    readonly place: Place;
    readonly number: number;
    /** Memory reserved at the helpers. The attempt releases it. */
    readonly reservationSet: ReservationSet | undefined;
    readonly relay: AnswerRelay;
    readonly progress: StreamProgress;
    readonly quarantineWatch: QuarantineWatch;
    readonly deadlineAtMs: number;
    /** Whether the request may run more than once. */
    readonly isRepeatable: boolean;
    readonly listener: AttemptListener;
}

/**
 * Creates an attempt. A request has at most two at a time, and only until one of them has delivered its first event or
 * its complete answer.
 *
 * @example
 * const attempt = createAttempt({ request, services, answer, place, number: 1, ...options });
 * attempt.send();
 */
export function createAttempt(options: AttemptOptions): Attempt {
    const { request, services, place, relay, progress, listener } = options;
    const { timers, health, connections, crashDetector } = services;
    const endpointId = place.endpoint.id;
    const watch = createDispatchWatch({
        timers,
        connections,
        isRepeatable: options.isRepeatable,
        gapTargetMs: request.route.gapTargetMs ?? 0,
        onStalled: handleStall,
        onUnreachable: () => listener.onUnreachable(attempt),
    });
    let quarantine: AttemptQuarantineWatch | undefined;
    let observedPace: AttemptPace | undefined;
    let observedEvents = 0;
    let exchange: Exchange | undefined;
    let answerHead: AnswerHead | undefined;
    let sentAtMs = 0;
    let isReleased = false;
    /** Whether no more is received until the customer has read some of the answer. */
    let isPaused = false;

    function handleStall(): void {
        if (isPaused) {
            watch.delay();
        }
        else {
            listener.onStalled(attempt);
        }
    }

    /** Stops receiving while the customer is too far behind. */
    function waitForRoom(): void {
        if (!isReleased && options.answer.account?.waitForRoom(resume) === false) {
            isPaused = true;
            observedPace?.pause();
            exchange?.pause();
        }
    }

    function resume(): void {
        isPaused = false;
        progress.skipPause();
        observedPace?.resume(timers.now());
        if (!isReleased) {
            watch.recordEvent(place);
            exchange?.resume();
        }
    }

    function recordEnd(end: AttemptEnd): void {
        quarantine?.recordEnd(end, relay.countEvents());
    }

    /** Records the failure in the endpoint's health and reports it. */
    function fail(result: ExchangeResult, verdict: Verdict, reason: string, hasErrorAnswer = false): void {
        health.record(endpointId, result, timers.now());
        listener.onFailure(attempt, { verdict, reason, isEndpointAvoided: true, hasErrorAnswer });
    }

    /** Reports that the request did not run, where its endpoint may be asked again. */
    function failNotRun(reason: string, isEndpointAvoided: boolean): void {
        listener.onFailure(attempt, { verdict: Verdict.NotRun, reason, isEndpointAvoided, hasErrorAnswer: false });
    }

    /** Records whether requests like this one are answered, as far as the end of the answer shows it. */
    function recordCompletion({ status }: AnswerHead): void {
        if (!relay.isEndMarked()) {
            // The endpoint may have crashed: that ends an answer without a length like a whole one.
            recordEnd(AttemptEnd.Broken);
        }
        else if (status < 500) {
            recordEnd(AttemptEnd.Answered);
        }
    }

    /** Ends the answer, unless it has no length and its endpoint may have ended within it. */
    async function endAnswer(): Promise<void> {
        if (answerHead && answerHead.status < 500 && !relay.isEndMarked() && relay.isEndPlausible()) {
            watch.dispose();
            const ending = await services.answerEndings.check(request.id, place.endpoint);
            if (isReleased) {
                return;
            }
            if (ending === AnswerEnding.ProcessGone) {
                handleSendFailure(SendFailureKind.Broken, "the endpoint's process has ended with its answer");
                return;
            }
        }
        handleOutcome(relay.acceptEnd());
    }

    function handleOutcome(outcome: AnswerOutcome): void {
        if (isReleased) {
            return;
        }
        if (options.answer.isStarted()) {
            listener.onDelivered(attempt);
        }
        switch (outcome.kind) {
            case AnswerOutcomeKind.Progress:
                handleEvent();
                break;
            case AnswerOutcomeKind.Complete:
                health.record(endpointId, ExchangeResult.Answered, timers.now());
                observedPace?.end(true, timers.now());
                recordCompletion(answerHead!);
                listener.onComplete(attempt, answerHead!.status);
                break;
            case AnswerOutcomeKind.NotRun:
                handleNotRun(answerHead!);
                break;
            case AnswerOutcomeKind.Invalid:
                exchange?.abort();
                fail(ExchangeResult.Failed, Verdict.MayHaveRun, outcome.reason);
                break;
            case AnswerOutcomeKind.Failed:
                fail(ExchangeResult.Failed, Verdict.MayHaveRun, `status ${answerHead!.status}`, true);
                break;
            case AnswerOutcomeKind.Pending:
                break;
        }
    }

    function handleEvent(): void {
        if (progress.recordEvent(timers.now())) {
            listener.onFirstEvent(attempt);
            place.startDecode();
        }
        observedPace?.recordEvents(relay.countEvents() - observedEvents, timers.now());
        observedEvents = relay.countEvents();
        quarantine?.recordEvents(observedEvents);
        watch.recordEvent(place);
    }

    function handleNotRun({ status, isMisdirected, answeredBy, faultyEndpoint }: AnswerHead): void {
        const nowMs = timers.now();
        if (isMisdirected) {
            services.onMisdirected(endpointId, answeredBy);
            services.hedging.recordEndpointLoss(request.service.name);
        }
        else if (faultyEndpoint !== undefined) {
            const faulty = place.helpers.find(helper =>
                faultyEndpoint.includes(helper.address) || faultyEndpoint.includes(helper.id)
            );
            health.record(faulty?.id ?? endpointId, faulty ? ExchangeResult.Silent : ExchangeResult.Full, nowMs);
        }
        else {
            health.record(endpointId, ExchangeResult.Full, nowMs);
        }
        failNotRun(`endpoint did not run the request, status ${status}`, isMisdirected);
    }

    function handleSendFailure(kind: SendFailureKind, reason: string): void {
        if (kind === SendFailureKind.NotSent) {
            health.record(endpointId, ExchangeResult.Unreachable, timers.now());
            crashDetector.recordEndpointLoss(endpointId, LossEvidence.NoConnection);
            services.hedging.recordEndpointLoss(request.service.name);
            failNotRun(reason, false);
            return;
        }
        recordEnd(AttemptEnd.Broken);
        connections.replace(place.endpoint.address);
        fail(ExchangeResult.Broken, Verdict.MayHaveRun, reason);
    }

    /**
     * Aborts the exchange and replaces the connection pool of its endpoint, whose other connections may have stalled
     * too.
     */
    function dropConnections(): void {
        recordEnd(AttemptEnd.Silent);
        exchange?.abort();
        connections.replace(place.endpoint.address);
    }

    function dropSilent(): void {
        const silentMs = timers.now() - (progress.getLastEventMs() ?? sentAtMs);
        const verdict = exchange?.hasStarted() ? Verdict.MayHaveRun : Verdict.NotRun;
        dropConnections();
        fail(ExchangeResult.Silent, verdict, `silent for ${Math.round(silentMs)} ms`);
    }

    const attempt: Attempt = {
        place,
        number: options.number,
        relay,
        progress,
        send() {
            sentAtMs = timers.now();
            quarantine = options.quarantineWatch.startAttempt(place, relay.countEvents());
            relay.startAttempt();
            progress.startAttempt(place);
            observedEvents = relay.countEvents();
            observedPace = services.answerPace.startAttempt(
                {
                    service: request.service.name,
                    endpoint: endpointId,
                    ...(request.service.engine && request.head.prompt && {
                        firstEventMs: place.firstByteMs,
                        predictGapMs: nowMs => progress.predictPassMs(nowMs),
                    }),
                },
                sentAtMs,
            );
            exchange = sendDispatch(
                {
                    request,
                    place,
                    reservations: options.reservationSet?.reservations ?? [],
                    remainingMs: options.deadlineAtMs - sentAtMs,
                    lastEventId: relay.getLastEventId(),
                    isRepeatable: options.isRepeatable,
                },
                services,
                {
                    isCurrent: () => !isReleased,
                    onHead(decoded) {
                        answerHead = decoded;
                        services.endpointQuota.recordAnswer(endpointId, decoded);
                        handleOutcome(relay.acceptHead(decoded, request.id));
                    },
                    onData(bytes) {
                        handleOutcome(relay.acceptData(bytes));
                        waitForRoom();
                    },
                    onEnd: () => void endAnswer(),
                    onFailure: handleSendFailure,
                },
            );
            if (!isReleased) {
                watch.start(place);
            }
        },
        getSentAtMs: () => sentAtMs,
        getStatus: () => answerHead?.status,
        hasStarted: () => exchange?.hasStarted() ?? false,
        delayStall: () => watch.delay(),
        dropSilent,
        async dropIfUnreachable() {
            const lastEventMs = progress.getLastEventMs();
            const isReachable = await connections.checkConnection(place.endpoint.address);
            if (isReleased) {
                return;
            }
            if (isReachable || progress.getLastEventMs() !== lastEventMs) {
                watch.delay();
            }
            else {
                dropSilent();
            }
        },
        dropUnreachable() {
            dropConnections();
            services.hedging.recordEndpointLoss(request.service.name);
            fail(ExchangeResult.Unreachable, Verdict.MayHaveRun, "endpoint accepts no connections");
        },
        abandon() {
            if (exchange?.hasStarted()) {
                recordEnd(AttemptEnd.Abandoned);
            }
            exchange?.abort();
        },
        release() {
            if (isReleased) {
                return;
            }
            isReleased = true;
            observedPace?.end(false, timers.now());
            watch.dispose();
            options.reservationSet?.dispose();
            place.release();
        },
    };
    return attempt;
}
