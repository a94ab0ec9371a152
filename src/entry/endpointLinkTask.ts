import * as net from "node:net";
import { createDisposableStore, Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { RandomSource } from "../base/randomSource.js";
import { buildRequestError, ErrorCode } from "../base/requestError.js";
import { hasStalled } from "../base/stall.js";
import { TimerService } from "../base/timerService.js";
import { Verdict } from "../base/verdict.js";
import { LinkConnection } from "../link/connection.js";
import {
    ChunkMessage,
    EndMessage,
    EntryMessage,
    LinkMessageType,
    SidecarMessage,
    WelcomeMessage,
} from "../link/messages.js";
import { LoadReport } from "../routing/loadReport.js";
import { DispatchedPrompt } from "../routing/routing.js";
import { watchAcknowledgement } from "./acknowledgementWatch.js";
import { AttemptEventKind, AttemptListener } from "./attempt.js";
import { EndpointLink, EndpointLinkListener, EndpointLinkSettings, LinkState } from "./endpointLink.js";
import { openConnection } from "./linkOpening.js";

interface Attempt {
    readonly request: string;
    /** Incarnation of the sidecar that the dispatch names. */
    readonly incarnation: string;
    readonly listener: AttemptListener;
    readonly isRestartable: () => boolean;
    readonly promptTokens: number;
    nextSequence: number;
    cancelled: boolean;
    graceTimer: Disposable | undefined;
    /** Active until the sidecar's first message about the attempt. */
    acknowledgementWatch: Disposable | undefined;
}

const reconnectDelayMs = 50;
const maxReconnectDelayMs = 2_000;
const missedHeartbeatLimit = 3;
/** Grace period of a request that can be restarted at another endpoint; allows several attempts to reconnect. */
const restartGraceMs = 500;
/** One-way trips of connecting and the handshake, which take two round trips. */
const handshakeOneWayTrips = 4;

/**
 * Creates the link to one endpoint and keeps it open until disposed.
 *
 * @param connect opens a socket to the sidecar
 *
 * @example
 * const link = createEndpointLink("engine-1", () => net.connect(7001, "127.0.0.1"), settings, timers, random, log, listener);
 */
export function createEndpointLink(
    endpoint: string,
    connect: () => net.Socket,
    settings: EndpointLinkSettings,
    timers: TimerService,
    random: RandomSource,
    log: EventLog,
    listener: EndpointLinkListener,
): EndpointLink {
    const store = createDisposableStore();
    const attempts = new Map<string, Attempt>();
    let state = LinkState.Connecting;
    let connection: LinkConnection | undefined;
    let sidecarIncarnation = "";
    let leaving = false;
    let generation = -1;
    let load: LoadReport | undefined;
    let loadTimeMs = 0;
    let latencyMs = 0;
    let lastSentMs = 0;
    let lastReceivedMs = 0;
    let connectFailures = 0;
    let dispatched: DispatchedPrompt[] = [];
    let sentBytes = 0;
    let receivedBytes = 0;

    function send(message: EntryMessage) {
        if (state === LinkState.Open) {
            lastSentMs = timers.now();
            connection?.send(message);
        }
    }

    function startAcknowledgementWatch(attempt: Attempt) {
        const watchedConnection = connection;
        const dispatchedMs = timers.now();
        attempt.acknowledgementWatch = watchAcknowledgement(timers, {
            isAnswered: () => connection !== watchedConnection || lastReceivedMs > dispatchedMs,
            hasUnsentBytes: () => watchedConnection !== undefined && watchedConnection.getUnsentBytes() > 0,
            handleUnresponsive() {
                log(LogEvent.LinkUnresponsive, { endpoint, request: attempt.request });
                watchedConnection?.dispose();
            },
        });
    }

    function recordLoad(report: LoadReport) {
        load = report;
        loadTimeMs = timers.now();
        dispatched = [];
    }

    function finish(attempt: Attempt) {
        attempt.graceTimer?.dispose();
        attempt.acknowledgementWatch?.dispose();
        attempts.delete(attempt.request);
    }

    function fail(attempt: Attempt, code: ErrorCode, message: string, verdict: Verdict, details = {}) {
        finish(attempt);
        attempt.listener({ kind: AttemptEventKind.Failed, error: buildRequestError(code, message, verdict, details) });
    }

    function handleChunk(attempt: Attempt, message: ChunkMessage) {
        if (message.sequence > attempt.nextSequence) {
            send({ type: LinkMessageType.Resume, request: attempt.request, fromSequence: attempt.nextSequence });
            return;
        }
        const items = message.items.slice(attempt.nextSequence - message.sequence);
        if (items.length > 0) {
            attempt.nextSequence += items.length;
            attempt.listener({ kind: AttemptEventKind.Items, items });
        }
    }

    function handleEnd(attempt: Attempt, message: EndMessage) {
        if (message.load) {
            recordLoad(message.load);
        }
        if (message.tokens !== attempt.nextSequence) {
            send({ type: LinkMessageType.Resume, request: attempt.request, fromSequence: attempt.nextSequence });
            return;
        }
        send({ type: LinkMessageType.Acknowledge, request: attempt.request, sequence: message.tokens });
        if (message.code) {
            fail(attempt, message.code, message.message ?? "the endpoint failed", message.verdict);
            return;
        }
        finish(attempt);
        attempt.listener({ kind: AttemptEventKind.Completed, finish: message.finish, usage: message.usage });
    }

    function handleAttemptMessage(message: SidecarMessage) {
        const attempt = "request" in message ? attempts.get(message.request) : undefined;
        if (!attempt) {
            return;
        }
        attempt.acknowledgementWatch?.dispose();
        switch (message.type) {
            case LinkMessageType.Rejected:
                fail(attempt, message.code, message.message, Verdict.NotRun, {
                    retryAfterMs: message.retryAfterMs,
                    largestPromptTokens: message.largestPromptTokens,
                });
                return;
            case LinkMessageType.Chunk:
                handleChunk(attempt, message);
                return;
            case LinkMessageType.ServiceAnswer: {
                const { status, headers, body, replayed } = message;
                attempt.listener({ kind: AttemptEventKind.ServiceAnswer, status, headers, body, replayed });
                return;
            }
            case LinkMessageType.End:
                handleEnd(attempt, message);
                return;
            case LinkMessageType.CancelResult:
                if (message.verdict === Verdict.NotRun) {
                    fail(attempt, ErrorCode.Cancelled, "cancelled before it ran", Verdict.NotRun);
                }
                return;
            case LinkMessageType.ResumeState:
                if (!message.known) {
                    // A different incarnation does not know whether the one that received the dispatch ran the request.
                    const isSameIncarnation = attempt.incarnation === sidecarIncarnation;
                    const verdict = isSameIncarnation ? message.verdict : Verdict.MayHaveRun;
                    fail(attempt, ErrorCode.EndpointFailed, "the sidecar does not hold the request", verdict);
                }
                return;
            default:
                return;
        }
    }

    function handleMessage(message: SidecarMessage) {
        switch (message.type) {
            case LinkMessageType.Heartbeat:
                generation = message.generation;
                if (message.load) {
                    recordLoad(message.load);
                }
                return;
            case LinkMessageType.Leaving:
                leaving = true;
                log(LogEvent.EndpointLeaving, { endpoint });
                return;
            case LinkMessageType.Configuration:
                listener.handleConfiguration(message);
                return;
            case LinkMessageType.CrashReport:
                listener.handleCrashReport(link, message);
                return;
            default:
                handleAttemptMessage(message);
        }
    }

    function handleConnectionOpened(welcome: WelcomeMessage, openedConnection: LinkConnection) {
        connection = openedConnection;
        state = LinkState.Open;
        connectFailures = 0;
        lastReceivedMs = timers.now();
        sidecarIncarnation = welcome.incarnation;
        leaving = welcome.leaving;
        generation = welcome.generation;
        log(LogEvent.LinkOpened, { endpoint, incarnation: welcome.incarnation });
        for (const attempt of [...attempts.values()]) {
            attempt.graceTimer?.dispose();
            attempt.graceTimer = undefined;
            send({ type: LinkMessageType.Resume, request: attempt.request, fromSequence: attempt.nextSequence });
            if (attempt.cancelled) {
                send({ type: LinkMessageType.Cancel, request: attempt.request });
            }
        }
        listener.handleOpened(link);
    }

    function handleConnectionClosed(closedConnection: LinkConnection, reason: string) {
        if (connection === closedConnection) {
            const traffic = closedConnection.getTraffic();
            sentBytes += traffic.sentBytes;
            receivedBytes += traffic.receivedBytes;
            connection = undefined;
            log(LogEvent.LinkClosed, { endpoint, reason });
            for (const attempt of attempts.values()) {
                attempt.graceTimer = timers.schedule(
                    attempt.isRestartable() ? restartGraceMs : settings.resumeGraceMs,
                    () =>
                        fail(
                            attempt,
                            ErrorCode.EndpointFailed,
                            "the link to the endpoint was lost",
                            Verdict.MayHaveRun,
                        ),
                );
            }
        }
        if (state !== LinkState.Closed) {
            state = LinkState.Connecting;
            const delayMs = Math.min(maxReconnectDelayMs, reconnectDelayMs * 2 ** connectFailures) * (0.5 + random());
            connectFailures++;
            store.register(timers.schedule(delayMs, open));
        }
    }

    function open() {
        if (state === LinkState.Closed) {
            return;
        }
        const startedMs = timers.now();
        const opening = openConnection(connect(), endpoint, settings, timers, log, {
            handleOpened(welcome) {
                latencyMs = (timers.now() - startedMs) / handshakeOneWayTrips;
                handleConnectionOpened(welcome, opening);
            },
            handleMessage(message) {
                lastReceivedMs = timers.now();
                handleMessage(message);
            },
            handleClosed: reason => handleConnectionClosed(opening, reason),
        });
    }

    const link: EndpointLink = {
        endpoint,
        getState: () => state,
        isLeaving: () => leaving,
        getGeneration: () => generation,
        getLoad: () => load,
        getLoadAgeMs: () => timers.now() - loadTimeMs,
        getLatencyMs: () => latencyMs,
        getOutstanding: () => ({ requests: attempts.size, dispatched }),
        getTraffic() {
            const traffic = connection?.getTraffic() ?? { sentBytes: 0, receivedBytes: 0 };
            return {
                sentBytes: sentBytes + traffic.sentBytes,
                receivedBytes: receivedBytes + traffic.receivedBytes,
            };
        },
        dispatch(dispatch, attemptListener, isRestartable = () => false) {
            const promptTokens = dispatch.model?.promptTokens ?? 0;
            const attempt: Attempt = {
                request: dispatch.request,
                incarnation: sidecarIncarnation,
                listener: attemptListener,
                isRestartable,
                promptTokens,
                nextSequence: 0,
                cancelled: false,
                graceTimer: undefined,
                acknowledgementWatch: undefined,
            };
            if (state !== LinkState.Open) {
                const error = buildRequestError(ErrorCode.NoEndpoint, "the link is not open", Verdict.NotRun);
                attemptListener({ kind: AttemptEventKind.Failed, error });
                return;
            }
            attempts.set(dispatch.request, attempt);
            dispatched.push({ rank: dispatch.rank, promptTokens });
            send({ type: LinkMessageType.Dispatch, incarnation: sidecarIncarnation, ...dispatch });
            startAcknowledgementWatch(attempt);
        },
        cancel(request) {
            const attempt = attempts.get(request);
            if (attempt) {
                attempt.cancelled = true;
                send({ type: LinkMessageType.Cancel, request });
            }
        },
        send,
        dispose() {
            state = LinkState.Closed;
            store.dispose();
            connection?.dispose();
            for (const attempt of [...attempts.values()]) {
                fail(attempt, ErrorCode.EndpointFailed, "the link was closed", Verdict.MayHaveRun);
            }
        },
    };

    let heartbeatDueMs = timers.now() + settings.heartbeatIntervalMs;
    store.register(timers.subscribe(settings.heartbeatIntervalMs, () => {
        const nowMs = timers.now();
        const isLate = hasStalled(heartbeatDueMs, nowMs);
        heartbeatDueMs = nowMs + settings.heartbeatIntervalMs;
        if (state !== LinkState.Open) {
            return;
        }
        if (isLate) {
            // What the sidecar has sent meanwhile has not been read.
            lastReceivedMs = nowMs;
        }
        if (nowMs - lastReceivedMs > missedHeartbeatLimit * settings.heartbeatIntervalMs) {
            // The connection is open but delivers nothing. Closing it makes the link reconnect.
            log(LogEvent.LinkUnresponsive, { endpoint });
            connection?.dispose();
        }
        else if (nowMs - lastSentMs >= settings.heartbeatIntervalMs) {
            send({ type: LinkMessageType.Heartbeat, generation: -1 });
        }
    }));
    open();
    return link;
}
