import * as net from "node:net";
import { Disposable, DisposableStore } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { ErrorCode } from "../base/requestError.js";
import { hasStalled } from "../base/stall.js";
import { TimerService, waitFor } from "../base/timerService.js";
import { createLinkConnection, LinkConnection } from "../link/connection.js";
import { LinkRole, makeNonce, signHandshake, verifyHandshake } from "../link/handshake.js";
import {
    EntryMessage,
    HelloMessage,
    LinkMessage,
    LinkMessageType,
    linkProtocolVersion,
    SidecarMessage,
    WelcomeMessage,
} from "../link/messages.js";
import { createPauseDetector } from "../membership/pauseDetector.js";

/** Settings of a link server. */
export interface LinkServerSettings {
    readonly linkKey: string;
    readonly heartbeatIntervalMs: number;
    readonly maxFrameBytes: number;
    /** Time without a connection after which an entry's session ends and its requests are cancelled. */
    readonly sessionGraceMs: number;
}

/** Heartbeat intervals without a message after which a connection counts as unresponsive. */
export const missedHeartbeatLimit = 3;

/** Longest time in which the queued messages are sent when the connections are closed, in milliseconds. */
const endTimeoutMs = 1_000;
const endCheckIntervalMs = 10;
const pauseCheckIntervalMs = 250;
/** Longer than any garbage collection pause, and shorter than an entry's time-out for an unresponsive link. */
const pauseThresholdMs = 2_000;

/** Provides messages to a link server and receives its events. */
export interface LinkServerListener {
    makeWelcome(): Omit<WelcomeMessage, "type" | "proof">;
    makeHeartbeat(): SidecarMessage;
    handleMessage(session: string, message: EntryMessage): void;
    handleOpened(session: string): void;
    /** Called when an entry has had no connection for the whole grace period. */
    handleSessionLost(session: string): void;
}

/** Accepts connections from entries. Each entry process has one session, which survives reconnects. */
export interface LinkServer extends Disposable {
    accept(socket: net.Socket): void;
    send(session: string, message: SidecarMessage): void;
    broadcast(message: SidecarMessage): void;
    listSessions(): readonly string[];
    /** Sends what is queued, then closes the connections. Resolves when all are closed, or after a time limit. */
    end(): Promise<void>;
}

interface Session {
    readonly key: string;
    connection: LinkConnection | undefined;
    lastSentMs: number;
    lastReceivedMs: number;
    graceTimer: Disposable | undefined;
}

/**
 * Creates the link server of a sidecar.
 *
 * @example
 * const links = createLinkServer(settings, timers, log, listener, store);
 * net.createServer(socket => links.accept(socket)).listen(port);
 */
export function createLinkServer(
    settings: LinkServerSettings,
    timers: TimerService,
    log: EventLog,
    listener: LinkServerListener,
    store: DisposableStore,
): LinkServer {
    const sessions = new Map<string, Session>();
    const pendingConnections = new Set<LinkConnection>();
    const pauseDetector = createPauseDetector(pauseThresholdMs, timers.now());

    function openSession(hello: HelloMessage, connection: LinkConnection): Session {
        const key = `${hello.entry}/${hello.incarnation}`;
        const session: Session = sessions.get(key)
            ?? { key, connection: undefined, lastSentMs: 0, lastReceivedMs: 0, graceTimer: undefined };
        sessions.set(key, session);
        // An entry opens a second connection only after it has abandoned the first. Messages that still arrive on the
        // first one must not be handled.
        session.connection?.dispose();
        session.connection = connection;
        session.lastReceivedMs = timers.now();
        session.graceTimer?.dispose();
        session.graceTimer = undefined;
        log(LogEvent.LinkOpened, { entry: hello.entry, dataCentre: hello.dataCentre });
        return session;
    }

    function handleConnectionClosed(session: Session, connection: LinkConnection, reason: string) {
        if (session.connection !== connection) {
            return;
        }
        session.connection = undefined;
        log(LogEvent.LinkClosed, { session: session.key, reason });
        session.graceTimer = timers.schedule(settings.sessionGraceMs, () => {
            sessions.delete(session.key);
            listener.handleSessionLost(session.key);
        });
    }

    function sendTo(session: Session, message: SidecarMessage) {
        session.lastSentMs = timers.now();
        session.connection?.send(message);
    }

    function accept(socket: net.Socket) {
        const nonce = makeNonce();
        let session: Session | undefined;

        function refuse(code: ErrorCode, message: string) {
            log(LogEvent.LinkRefused, { code, message, address: socket.remoteAddress });
            connection.send({ type: LinkMessageType.Refusal, code, message });
            setImmediate(() => connection.end());
        }

        function handleHello(message: LinkMessage) {
            if (message.type !== LinkMessageType.Hello) {
                refuse(ErrorCode.ProtocolViolation, "expected Hello as the first message");
                return;
            }
            if (message.version !== linkProtocolVersion) {
                refuse(ErrorCode.ProtocolViolation, `protocol version ${message.version} is not supported`);
                return;
            }
            if (!verifyHandshake(settings.linkKey, LinkRole.Entry, nonce, message.nonce, message.proof)) {
                refuse(ErrorCode.Unauthorized, "the link key is wrong");
                return;
            }
            pendingConnections.delete(connection);
            session = openSession(message, connection);
            const proof = signHandshake(settings.linkKey, LinkRole.Sidecar, nonce, message.nonce);
            sendTo(session, { type: LinkMessageType.Welcome, proof, ...listener.makeWelcome() });
            sendTo(session, listener.makeHeartbeat());
            listener.handleOpened(session.key);
        }

        const connection: LinkConnection = createLinkConnection(socket, settings.maxFrameBytes, {
            handleMessages(messages) {
                if (pauseDetector.isSuspect(timers.now())) {
                    // Messages that arrive just after a pause may have waited in this host's buffers beyond their time
                    // limits, so the connection is dropped.
                    connection.dispose();
                    return;
                }
                for (const message of messages) {
                    if (!session) {
                        handleHello(message);
                    }
                    else if (session.connection === connection) {
                        session.lastReceivedMs = timers.now();
                        listener.handleMessage(session.key, message as EntryMessage);
                    }
                }
            },
            handleClosed(reason) {
                pendingConnections.delete(connection);
                if (session) {
                    handleConnectionClosed(session, connection, reason);
                }
            },
            handleFrameError: error => log(LogEvent.LinkRefused, { code: error.kind, message: error.message }),
        });
        pendingConnections.add(connection);
        connection.send({ type: LinkMessageType.Challenge, version: linkProtocolVersion, nonce });
    }

    store.register(timers.subscribe(pauseCheckIntervalMs, () => {
        const pausedMs = pauseDetector.observe(timers.now());
        if (pausedMs > 0) {
            log(LogEvent.ProcessPaused, { pausedMs });
            sessions.forEach(session => session.connection?.dispose());
        }
    }));
    let heartbeatDueMs = timers.now() + settings.heartbeatIntervalMs;
    store.register(timers.subscribe(settings.heartbeatIntervalMs, () => {
        const nowMs = timers.now();
        const isLate = hasStalled(heartbeatDueMs, nowMs);
        heartbeatDueMs = nowMs + settings.heartbeatIntervalMs;
        for (const session of sessions.values()) {
            if (!session.connection) {
                continue;
            }
            if (isLate) {
                // What the entry has sent meanwhile has not been read.
                session.lastReceivedMs = nowMs;
            }
            if (nowMs - session.lastReceivedMs > missedHeartbeatLimit * settings.heartbeatIntervalMs) {
                session.connection.dispose();
                continue;
            }
            sendTo(session, listener.makeHeartbeat());
        }
    }));

    return {
        accept,
        send(key, message) {
            const session = sessions.get(key);
            if (session) {
                sendTo(session, message);
            }
        },
        broadcast(message) {
            for (const session of sessions.values()) {
                sendTo(session, message);
            }
        },
        listSessions: () => [...sessions.keys()],
        async end() {
            const endMs = timers.now() + endTimeoutMs;
            const ending = [...sessions.values()].map(session => ({ session, connection: session.connection }));
            ending.forEach(({ connection }) => connection?.end());
            const isOpen = ({ session, connection }: (typeof ending)[number]) =>
                connection !== undefined && session.connection === connection;
            while (ending.some(isOpen) && timers.now() < endMs) {
                await waitFor(timers, endCheckIntervalMs);
            }
        },
        dispose() {
            for (const connection of pendingConnections) {
                connection.dispose();
            }
            for (const session of sessions.values()) {
                session.graceTimer?.dispose();
                session.connection?.dispose();
            }
        },
    };
}
