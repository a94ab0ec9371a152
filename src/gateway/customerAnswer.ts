import { ServerResponse } from "node:http";
import { RawHeaders } from "../ports/exchange.js";

/** HTTP response to one customer request. */
export interface CustomerAnswer {
    /** Whether the head has been sent, so that the status can no longer change. */
    isStarted(): boolean;
    isClosed(): boolean;
    sendComplete(status: number, headers: RawHeaders, body: Buffer): void;
    /**
     * Sends the status and headers. Without framing, the end of the connection marks the end of the body, so that the
     * customer cannot tell whether the body is complete.
     */
    start(status: number, headers: RawHeaders, isFramed: boolean): void;
    /** Returns whether more may be written now. If not, `onDrained` is called as soon as it may. */
    write(bytes: Buffer, onDrained: () => void): boolean;
    end(): void;
    /** Closes the connection, which tells the customer that the answer is incomplete. */
    abort(): void;
    /** Calls `callback` if the customer closes the connection before the answer is complete. */
    onCustomerLeft(callback: () => void): void;
}

/**
 * Wraps a response of the HTTP server. While `mustClose` returns true, answers ask the customer to close the
 * connection.
 *
 * @example
 * createCustomerAnswer(response, () => isDraining).sendComplete(503, [], Buffer.alloc(0));
 */
export function createCustomerAnswer(response: ServerResponse, mustClose: () => boolean): CustomerAnswer {
    let isUnframed = false;

    function writeHead(status: number, headers: string[]): void {
        const closing = mustClose() ? ["Connection", "close"] : [];
        response.writeHead(status, [...headers, ...closing]);
    }

    return {
        isStarted: () => response.headersSent,
        isClosed: () => response.destroyed || response.writableEnded,
        sendComplete(status, headers, body) {
            writeHead(status, [...headers, "Content-Length", String(body.length)]);
            response.end(body);
        },
        start(status, headers, isFramed) {
            if (!isFramed) {
                isUnframed = true;
                response.useChunkedEncodingByDefault = false;
                response.shouldKeepAlive = false;
            }
            writeHead(status, [...headers]);
        },
        write(bytes, onDrained) {
            const isReady = response.write(bytes);
            if (!isReady) {
                response.once("drain", onDrained);
            }
            return isReady;
        },
        end: () => void response.end(),
        abort() {
            if (isUnframed) {
                // The regular end of the connection would complete the answer.
                response.socket?.resetAndDestroy();
            }
            response.destroy();
        },
        onCustomerLeft(callback) {
            response.once("close", () => {
                if (!response.writableFinished) {
                    callback();
                }
            });
        },
    };
}
