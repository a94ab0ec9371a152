import { IncomingMessage, ServerResponse } from "node:http";
import { Socket } from "node:net";
import { Disposable } from "../base/disposable.js";
import { TimerService } from "../base/timerService.js";

/** Called with a request as soon as its head was received and the answers before it on its connection have ended. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse, arrivedAtMs: number) => void;

/**
 * A connection of a customer. It hands on one request at a time, and closes only after the answers to all requests that
 * were handed on. A request that is not handed on when the connection closes never runs.
 */
export interface CustomerConnection {
    /** Takes in a request whose head was received. */
    accept(request: IncomingMessage, response: ServerResponse): void;
    /** Asks the customer to close, in the last answer whose head is not sent yet. */
    startClosing(): void;
    /** Counts the requests whose answers have not ended, including those that are not handed on yet. */
    countRequests(): number;
    /**
     * Closes the connection at once if it is idle, otherwise after the last answer. It is not idle before its first
     * request and while a request is arriving.
     */
    close(): void;
    /** Whether an answer has not ended, or has ended the connection and may still be on its way to the customer. */
    isDelivering(): boolean;
    /** Closes the connection now, so that the customer can tell that an answer in progress is incomplete. */
    destroy(): void;
    /** Closes the connection if it has no request in progress. */
    handleIdleTimeout(): void;
    /** Ends the connection after the answers that are due, because what was received is no request, or comes too late. */
    handleError(error: NodeJS.ErrnoException): void;
}

export interface CustomerConnectionOptions {
    readonly socket: Socket;
    readonly timers: TimerService;
    readonly handle: RequestHandler;
    /** Returns how long customers are told that they may use an idle connection, in milliseconds. */
    readonly getIdleMs: () => number;
}

/** A request with its answer. */
interface Exchange {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly arrivedAtMs: number;
    /** Whether the customer lets the connection stay open after the answer. */
    readonly canStay: boolean;
    /** Time that the answer tells the customer, which later limits don't change. */
    readonly idleMs: number;
}

/**
 * Requests that are read while one is in progress. Reading goes on up to this number, because it is how the departure of
 * the customer is noticed.
 */
const maxWaitingRequests = 16;
/**
 * Time that a customer has to close its side of a connection, in milliseconds. What arrives meanwhile is read and
 * discarded, because unread bytes would reset the connection and so might destroy answers on their way (RFC 9112,
 * section 9.6).
 */
const maxLingerMs = 2_000;
/**
 * Time for which idle connections stay open beyond the time that customers are told, so that the server does not close a
 * connection on which a request is arriving.
 */
const idleMarginMs = 2_000;

/**
 * Creates the connection of an accepted socket.
 *
 * @example
 * const connection = createCustomerConnection({ socket, timers, handle, getIdleMs: () => 5_000 });
 * server.on("request", (request, response) => connection.accept(request, response));
 */
export function createCustomerConnection(options: CustomerConnectionOptions): CustomerConnection {
    const { socket, timers, handle } = options;
    /** The request in progress, and those that wait behind it. */
    let exchanges: readonly Exchange[] = [];
    let isClosing = false;
    let mustClose = false;
    /** Whether nothing that arrives is handed on any more. */
    let hasFailed = false;
    /** Bytes that had been received when the last answer ended; absent before it. */
    let bytesReadBefore: number | undefined;
    let linger: Disposable | undefined;
    /** Whether the connection has ended with an answer. */
    let hasEndedWithAnswer = false;

    socket.once("close", () => {
        exchanges = [];
        linger?.dispose();
    });
    // Node.js calls it after an answer that announced the close.
    socket.destroySoon = endWithAnswer;

    // Node.js resumes reading when a request is complete.
    socket.on("resume", stopReading);

    function stopReading(): void {
        if (exchanges.length > maxWaitingRequests) {
            socket.pause();
        }
    }

    /** Ends the server's side, and destroys the connection unless the customer ends the other side in time. */
    function endInStages(): void {
        if (!linger && !socket.destroyed) {
            exchanges.forEach(({ request }) => request.resume());
            linger = timers.schedule(maxLingerMs, () => socket.destroy());
            socket.end();
        }
    }

    function endWithAnswer(): void {
        hasEndedWithAnswer = true;
        endInStages();
    }

    /** Announces the close in the answer to the last request that was read, and in no answer before it. */
    function updateAnnouncements(): void {
        exchanges.forEach(({ response, canStay }, index) => {
            if (!response.headersSent) {
                response.shouldKeepAlive = canStay && !(isClosing && index === exchanges.length - 1);
            }
        });
    }

    function isCloseAnnounced(): boolean {
        const response = exchanges[0]?.response;
        return response !== undefined && response.headersSent && !response.shouldKeepAlive;
    }

    /** Refuses the request that is being received. No other answer is due. */
    function refuse(error: NodeJS.ErrnoException): void {
        const status = error.code === "HPE_HEADER_OVERFLOW"
            ? "431 Request Header Fields Too Large"
            : error.code === "ERR_HTTP_REQUEST_TIMEOUT"
            ? "408 Request Timeout"
            : "400 Bad Request";
        // The rest of its body may still arrive, but the request must not run any more.
        exchanges.forEach(({ request }) => request.removeAllListeners("data").removeAllListeners("end"));
        socket.write(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
        endWithAnswer();
    }

    function startNext(): void {
        const { request, response, arrivedAtMs, idleMs } = exchanges[0]!;
        if (!response.socket) {
            // Node.js has refused a request before this one, and closes the connection.
            exchanges = [];
            return;
        }
        response.once("close", () => handleAnswered(idleMs));
        handle(request, response, arrivedAtMs);
    }

    function handleAnswered(idleMs: number): void {
        bytesReadBefore = socket.bytesRead;
        exchanges = exchanges.slice(1);
        if (socket.destroyed || socket.writableEnded) {
            exchanges = [];
        }
        else if (exchanges.length > 0) {
            socket.resume();
            startNext();
        }
        else if (mustClose) {
            endWithAnswer();
        }
        else {
            socket.setTimeout(idleMs + idleMarginMs);
        }
    }

    return {
        accept(request, response) {
            if (socket.writableEnded || hasFailed || isCloseAnnounced()) {
                // The request crossed the close of its connection. It must not run, since its answer would reach nobody.
                request.resume();
                return;
            }
            const canStay = response.shouldKeepAlive;
            const exchange = { request, response, arrivedAtMs: timers.now(), canStay, idleMs: options.getIdleMs() };
            exchanges = [...exchanges, exchange];
            updateAnnouncements();
            if (exchanges.length === 1) {
                startNext();
            }
            else {
                stopReading();
            }
        },
        startClosing() {
            isClosing = true;
            updateAnnouncements();
        },
        countRequests: () => exchanges.length,
        close() {
            mustClose = true;
            if (exchanges.length === 0 && socket.bytesRead === bytesReadBefore) {
                endInStages();
            }
        },
        isDelivering: () => exchanges.length > 0 || hasEndedWithAnswer,
        destroy() {
            const response = exchanges[0]?.response;
            if (response?.headersSent && !response.useChunkedEncodingByDefault && !response.writableFinished) {
                // The regular end of the connection would complete an answer of HTTP/1.0, which has no chunks.
                socket.resetAndDestroy();
            }
            else {
                socket.destroy();
            }
        },
        handleIdleTimeout() {
            if (exchanges.length === 0) {
                endInStages();
            }
        },
        handleError(error) {
            const isReset = error.code === "ECONNRESET";
            if (linger && !isReset) {
                // What arrives after the end is discarded.
                return;
            }
            if (isReset || !socket.writable) {
                socket.destroy();
                return;
            }
            hasFailed = true;
            mustClose = true;
            isClosing = true;
            if (exchanges.length > 1 && !exchanges.at(-1)!.request.complete) {
                exchanges = exchanges.slice(0, -1);
            }
            const current = exchanges[0];
            if (!current || (!current.request.complete && !current.response.headersSent)) {
                refuse(error);
            }
            else if (socket.readableEnded) {
                // The customer has left within the next request.
                socket.destroy();
            }
            else {
                updateAnnouncements();
            }
        },
    };
}
