import * as net from "node:net";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { TimerService } from "../base/timerService.js";
import { createLinkConnection, LinkConnection } from "../link/connection.js";
import { LinkRole, makeNonce, signHandshake, verifyHandshake } from "../link/handshake.js";
import { LinkMessageType, linkProtocolVersion, SidecarMessage, WelcomeMessage } from "../link/messages.js";

/** Settings of the entry's end of a handshake. */
export interface LinkOpeningSettings {
    readonly entry: string;
    readonly incarnation: string;
    readonly dataCentre: string;
    readonly linkKey: string;
    readonly maxFrameBytes: number;
}

/** Receives the events of a connection. */
export interface LinkOpeningListener {
    handleOpened(welcome: WelcomeMessage): void;
    /** Called for each message after the handshake. */
    handleMessage(message: SidecarMessage): void;
    /** Called once, when the connection has ended, even if the handshake never completed. */
    handleClosed(reason: string): void;
}

const connectTimeoutMs = 2_000;

/**
 * Performs the entry's side of the handshake on a new socket. The connection is closed if the handshake does not
 * complete in time.
 *
 * @param endpoint endpoint that the sidecar must serve; if omitted, any sidecar with the same link key is accepted
 *
 * @example
 * const connection = openConnection(net.connect(7001, "127.0.0.1"), "engine-1", settings, timers, log, listener);
 */
export function openConnection(
    socket: net.Socket,
    endpoint: string | undefined,
    settings: LinkOpeningSettings,
    timers: TimerService,
    log: EventLog,
    listener: LinkOpeningListener,
): LinkConnection {
    const nonce = makeNonce();
    let sidecarNonce: Uint8Array | undefined;
    let isOpen = false;

    const connection = createLinkConnection(socket, settings.maxFrameBytes, {
        handleMessages(messages) {
            for (const message of messages as readonly SidecarMessage[]) {
                if (isOpen) {
                    listener.handleMessage(message);
                }
                else {
                    handleHandshake(message);
                }
            }
        },
        handleClosed(reason) {
            timeout.dispose();
            listener.handleClosed(reason);
        },
        handleFrameError: error => log(LogEvent.LinkRefused, { endpoint, code: error.kind, message: error.message }),
    });
    const timeout = timers.schedule(connectTimeoutMs, () => {
        if (!isOpen) {
            connection.dispose();
        }
    });

    function refuse(message: string) {
        log(LogEvent.LinkRefused, { endpoint, message });
        connection.dispose();
    }

    function answerChallenge(challenge: Uint8Array) {
        sidecarNonce = challenge;
        const { entry, incarnation, dataCentre } = settings;
        const proof = signHandshake(settings.linkKey, LinkRole.Entry, challenge, nonce);
        const version = linkProtocolVersion;
        connection.send({ type: LinkMessageType.Hello, version, entry, incarnation, dataCentre, nonce, proof });
    }

    function handleHandshake(message: SidecarMessage) {
        if (message.type === LinkMessageType.Challenge && message.version === linkProtocolVersion) {
            answerChallenge(message.nonce);
        }
        else if (message.type !== LinkMessageType.Welcome || !sidecarNonce) {
            refuse(message.type === LinkMessageType.Refusal ? message.message : "unexpected handshake message");
        }
        else if (!verifyHandshake(settings.linkKey, LinkRole.Sidecar, sidecarNonce, nonce, message.proof)) {
            refuse("the sidecar's link key is wrong");
        }
        else if (endpoint !== undefined && message.endpoint !== endpoint) {
            refuse(`the sidecar serves endpoint ${message.endpoint}`);
        }
        else {
            isOpen = true;
            listener.handleOpened(message);
        }
    }

    return connection;
}
