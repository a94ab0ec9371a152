import { Disposable } from "../base/disposable.js";
import { LogFields } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { mergeVerdicts, Verdict } from "../base/verdict.js";
import { ExchangeResult } from "../membership/endpointHealth.js";
import { AnswerHead } from "../ports/exchange.js";
import { RouteKind } from "../ports/servingConfiguration.js";
import { isIdempotent, isRedispatchAllowed } from "../retries/dispatchDecision.js";
import { computeReturnMs } from "../scheduling/returnTime.js";
import { AcceptedRequest, computeNeeds, computeTimes } from "./acceptedRequest.js";
import { AnswerOutcome, AnswerOutcomeKind, createAnswerRelay } from "./answerRelay.js";
import { CustomerAnswer } from "./customerAnswer.js";
import { createDispatchWatch } from "./dispatchWatch.js";
import { Exchange, SendFailureKind } from "./endpointConnections.js";
import { Place } from "./place.js";
import { EndKind, recordRequestEnd } from "./requestReport.js";
import { RequestServices } from "./requestServices.js";
import { ReservationSet } from "./reservations.js";
import { createStreamProgress } from "./streamProgress.js";

/** Refused reservations are tried again after this time; other gateways free theirs meanwhile. */
const reservationRetryMs = 150;

/**
 * Starts the life of one request: it waits for a place, is sent, and its answer is relayed; failed dispatches are
 * repeated where that is allowed. It ends with exactly one final answer, or with the customer's leaving.
 *
 * @example
 * startRequestTask(request, answer, services);
 */
export function startRequestTask(request: AcceptedRequest, answer: CustomerAnswer, services: RequestServices): void {
    const { timers, log, metrics, codec, desk, health } = services;
    const { route, head } = request;
    const { deadlineAtMs, dueAtMs, giveUpAtMs } = computeTimes(request);
    const isRepeatable = isIdempotent(route.kind, route.isResumable);
    const needs = computeNeeds(request);
    const watch = createDispatchWatch({
        timers,
        connections: services.connections,
        isRepeatable,
        pauseAimMs: route.pauseAimMs ?? 0,
        onSilence: handleSilence,
        onUnreachable: handleUnreachable,
    });
    const avoid = new Set<string>();
    const verdicts: Verdict[] = [];
    const relay = createAnswerRelay({
        isStream: route.kind === RouteKind.Stream,
        answer,
        hasBody: request.method !== "HEAD",
        resumeAfter: head.lastEventId,
    });
    const progress = createStreamProgress(services.pace);
    let dispatches = 0;
    let endpointsRun = 0;
    let hasEnded = false;
    let waiting: Disposable | undefined;
    let place: Place | undefined;
    let exchange: Exchange | undefined;
    let reserved: ReservationSet | undefined;
    let sentAtMs = 0;

    const deadline = timers.schedule(deadlineAtMs - timers.now(), handleDeadline);
    answer.onLeft(() => end(EndKind.CustomerLeft));
    services.budget.recordRequest();
    submit();

    function describe(fields: LogFields): LogFields {
        return { request: request.id, route: route.name, config: request.configurationVersion, ...fields };
    }

    function submit(): void {
        // A place that is free at once is given before `submit` returns.
        const submitted = desk.submit({
            service: request.service,
            rank: request.rank,
            arrivedAtMs: request.arrivedAtMs,
            dueAtMs,
            giveUpAtMs: answer.isStarted() ? deadlineAtMs : giveUpAtMs,
            needs,
            isUnsafe: !isRepeatable,
            avoid,
            isSuspect: request.isSuspect,
            onPlaced: handlePlaced,
            onWaiting: inputs => log(LogEvent.RequestWaiting, describe({ inputs, attempt: dispatches + 1 })),
            onClaimed: ({ engineIds, ...inputs }) => {
                log(LogEvent.EnginesClaimed, describe({ endpoints: engineIds.join(","), ...inputs }));
                metrics.count("jujubelane_claims_total", "Times that engines were freed for a long prompt.");
            },
            onHopeless: inputs => finishFailed(EndKind.NoRoom, undefined, inputs),
        });
        waiting = place || hasEnded ? undefined : submitted;
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
                log(LogEvent.TaskFailed, describe({ task: "reservations", error: String(error) }));
                handleReserved(found, undefined);
            },
        );
    }

    function handleReserved(found: Place, set: ReservationSet | undefined): void {
        if (hasEnded) {
            set?.dispose();
            return;
        }
        reserved = set;
        if (set) {
            send(found);
            return;
        }
        dropDispatch();
        waiting = timers.schedule(reservationRetryMs, submit);
    }

    function send(found: Place): void {
        const nowMs = timers.now();
        dispatches += 1;
        sentAtMs = nowMs;
        log(
            LogEvent.EndpointChosen,
            describe({
                endpoint: found.endpoint.id,
                address: found.endpoint.address,
                helpers: found.helpers.map(helper => helper.id).join(",") || undefined,
                partMs: Math.round(found.partMs),
                waitedMs: Math.round(nowMs - request.arrivedAtMs),
                predictedMs: Math.round(found.firstByteMs),
                attempt: dispatches,
                inputs: found.reason,
            }),
        );
        const headers = codec.encodeDispatch(head, {
            endpointId: found.endpoint.id,
            address: found.endpoint.address,
            remainingMs: deadlineAtMs - nowMs,
            customer: request.customer,
            rank: request.rank,
            lastEventId: relay.getLastEventId(),
            helpers: found.helpers.map((helper, index) => ({
                address: helper.address,
                reservation: reserved?.reservations[index]?.id,
            })),
            host: request.host,
        });
        relay.startAttempt();
        progress.startAttempt(found);
        let answerHead: AnswerHead | undefined;
        // What still arrives of a dispatch that was given up concerns nobody.
        const isCurrent = () => place === found && !hasEnded;
        exchange = services.connections.send(found.endpoint.address, {
            method: request.method,
            path: request.path,
            headers,
            body: request.body,
            isSingleUse: !isRepeatable,
        }, {
            onHead(status, rawHeaders) {
                if (isCurrent()) {
                    answerHead = codec.decodeAnswer(status, rawHeaders);
                    handleOutcome(relay.acceptHead(answerHead, request.id), answerHead);
                }
            },
            onData(bytes) {
                if (isCurrent()) {
                    handleOutcome(relay.acceptData(bytes, () => exchange?.resume()), answerHead);
                }
            },
            onEnd() {
                if (isCurrent()) {
                    handleOutcome(relay.acceptEnd(), answerHead);
                }
            },
            onFailure(kind, reason) {
                if (isCurrent()) {
                    handleSendFailure(kind, reason);
                }
            },
        });
        watch.start(found);
    }

    function handleUnreachable(): void {
        const mayRunAgain = isRetryAllowed(Verdict.MayHaveRun, endpointsRun + 1);
        // Where no memory is kept for it, the answer of an endpoint behind a broken link may still come.
        if (place && (mayRunAgain || place.reservedTokens > 0)) {
            exchange?.abort();
            services.connections.replace(place.endpoint.address);
            handleBroken(ExchangeResult.Unreachable, "accepts no connection");
        }
    }

    function handleOutcome(outcome: AnswerOutcome, answerHead: AnswerHead | undefined): void {
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
                end(EndKind.Answered, answerHead?.status);
                break;
            case AnswerOutcomeKind.NotRun:
                handleNotRun(place, answerHead!);
                break;
            case AnswerOutcomeKind.Invalid:
                exchange?.abort();
                handleBroken(ExchangeResult.Failed, outcome.reason);
                break;
            case AnswerOutcomeKind.Failed:
                handleFailedAnswer(place, answerHead!);
                break;
            case AnswerOutcomeKind.Pending:
                break;
        }
    }

    function handleEvent(current: Place): void {
        const nowMs = timers.now();
        if (progress.recordEvent(nowMs)) {
            const waitedMs = nowMs - request.arrivedAtMs;
            const labels = { rank: String(request.rank) };
            metrics.recordDuration(
                "jujubelane_first_event_seconds",
                "Time to the first event by rank.",
                waitedMs,
                labels,
            );
            current.startWriting();
        }
        watch.recordEvent(current);
    }

    function handleNotRun(current: Place, answerHead: AnswerHead): void {
        const { id } = current.endpoint;
        const nowMs = timers.now();
        if (answerHead.isMisdirected) {
            avoid.add(id);
            services.onMisdirected(id);
        }
        else if (answerHead.faultyEndpoint !== undefined) {
            const faulty = current.helpers.find(helper =>
                answerHead.faultyEndpoint!.includes(helper.address)
                || answerHead.faultyEndpoint!.includes(helper.id)
            );
            health.record(faulty?.id ?? id, faulty ? ExchangeResult.Silent : ExchangeResult.Full, nowMs);
        }
        else {
            health.record(id, ExchangeResult.Full, nowMs);
        }
        handleFailure(Verdict.NotRun, `not run, status ${answerHead.status}`);
    }

    /** The endpoint ran the request and failed; another may do better where the request may run again. */
    function handleFailedAnswer(current: Place, answerHead: AnswerHead): void {
        health.record(current.endpoint.id, ExchangeResult.Failed, timers.now());
        if (isRetryAllowed(Verdict.MayHaveRun, endpointsRun + 1) && services.budget.acquire()) {
            endpointsRun += 1;
            avoid.add(current.endpoint.id);
            retry(`status ${answerHead.status}`, Verdict.MayHaveRun);
            return;
        }
        relay.deliverFailure();
        end(EndKind.Answered, answerHead.status);
    }

    function handleSendFailure(kind: SendFailureKind, reason: string): void {
        if (hasEnded || !place) {
            return;
        }
        if (kind === SendFailureKind.NotSent) {
            health.record(place.endpoint.id, ExchangeResult.Unreachable, timers.now());
            services.crashes.recordLoss(place.endpoint.id);
            handleFailure(Verdict.NotRun, reason);
            return;
        }
        if (request.fingerprint !== undefined) {
            services.crashes.recordBreak(place.endpoint.id, request.fingerprint);
        }
        services.connections.replace(place.endpoint.address);
        handleBroken(ExchangeResult.Broken, reason);
    }

    function handleBroken(result: ExchangeResult, reason: string): void {
        const { id } = place!.endpoint;
        health.record(id, result, timers.now());
        avoid.add(id);
        endpointsRun += 1;
        handleFailure(Verdict.MayHaveRun, reason);
    }

    function handleSilence(): void {
        if (!place || !isRetryAllowed(Verdict.MayHaveRun, endpointsRun + 1)) {
            return;
        }
        const silentMs = timers.now() - (progress.getLastEventMs() ?? sentAtMs);
        const verdict = exchange?.hasStarted() ? Verdict.MayHaveRun : Verdict.NotRun;
        health.record(place.endpoint.id, ExchangeResult.Silent, timers.now());
        exchange?.abort();
        services.connections.replace(place.endpoint.address);
        avoid.add(place.endpoint.id);
        endpointsRun += verdict === Verdict.MayHaveRun ? 1 : 0;
        handleFailure(verdict, `silent for ${Math.round(silentMs)} ms`);
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
        });
    }

    function handleFailure(verdict: Verdict, reason: string): void {
        if (isRetryAllowed(verdict, endpointsRun) && services.budget.acquire()) {
            retry(reason, verdict);
            return;
        }
        verdicts.push(verdict);
        finishFailed(EndKind.Failed, reason);
    }

    function retry(reason: string, verdict: Verdict): void {
        verdicts.push(verdict);
        log(
            LogEvent.RequestRetried,
            describe({
                endpoint: place?.endpoint.id,
                reason,
                verdict,
                afterMs: Math.round(timers.now() - sentAtMs),
                attempt: dispatches,
            }),
        );
        metrics.count("jujubelane_redispatches_total", "Further dispatches by verdict.", { verdict });
        dropDispatch();
        submit();
    }

    function dropDispatch(): void {
        watch.dispose();
        exchange = undefined;
        reserved?.dispose();
        reserved = undefined;
        const released = place;
        place = undefined;
        released?.release();
    }

    function handleDeadline(): void {
        if (exchange?.hasStarted()) {
            verdicts.push(Verdict.MayHaveRun);
        }
        finishFailed(EndKind.Deadline);
    }

    /** Ends the request without an endpoint's answer. */
    function finishFailed(kind: EndKind, reason?: string, inputs?: string): void {
        if (hasEnded) {
            return;
        }
        const verdict = mergeVerdicts(verdicts);
        if (answer.isStarted()) {
            answer.breakOff();
            end(kind, undefined, reason);
            return;
        }
        const isNotRun = verdict === Verdict.NotRun;
        const status = isNotRun ? 503 : kind === EndKind.Deadline ? 504 : 502;
        const retryAfter = isNotRun ? ["Retry-After", formatSeconds(predictReturnMs())] : [];
        answer.sendWhole(status, [...codec.encodeOwnAnswer(head), ...retryAfter], Buffer.alloc(0));
        end(kind, status, reason, inputs);
    }

    function predictReturnMs(): number {
        const roomMs = desk.predictRoomMs(request.service, needs);
        return computeReturnMs(roomMs, deadlineAtMs - timers.now(), services.random());
    }

    function end(kind: EndKind, status?: number, reason?: string, inputs?: string): void {
        if (hasEnded) {
            return;
        }
        hasEnded = true;
        deadline.dispose();
        waiting?.dispose();
        if (kind !== EndKind.Answered) {
            exchange?.abort();
        }
        const endpoint = place?.endpoint.id;
        dropDispatch();
        recordRequestEnd(request, {
            kind,
            reason,
            status,
            endpoint,
            verdict: verdicts.length > 0 ? mergeVerdicts(verdicts) : undefined,
            attempts: dispatches,
            inputs,
            events: relay.countEvents(),
            firstEventAtMs: progress.getFirstEventMs(),
            longestPauseMs: progress.getLongestPauseMs(),
            readMs: needs?.readMs,
        }, services);
    }
}

function formatSeconds(durationMs: number): string {
    return (durationMs / 1000).toFixed(2);
}
