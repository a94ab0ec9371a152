import { ServerResponse } from "node:http";
import { RawHeaders } from "../ports/exchange.js";

/** The answer to one customer. */
export interface CustomerAnswer {
    /** Whether the head has been sent, so that the status can no longer change. */
    isStarted(): boolean;
    isClosed(): boolean;
    sendWhole(status: number, headers: RawHeaders, body: Buffer): void;
    /** Sends the head. Without framing the body ends with the connection, which leaves open whether it is whole. */
    start(status: number, headers: RawHeaders, isFramed: boolean): void;
    /** Returns whether more may be written now; otherwise `onDrained` follows. */
    write(bytes: Buffer, onDrained: () => void): boolean;
    end(): void;
    /** Closes the connection, which tells the customer that the answer is not whole. */
    abort(): void;
    /** Calls `callback` when the customer closes the connection before the answer is whole. */
    onCustomerLeft(callback: () => void): void;
}

/**
 * Wraps the response of the HTTP server.
 *
 * @example
 * createCustomerAnswer(response, () => isDraining).sendWhole(503, [], Buffer.alloc(0));
 */
export function createCustomerAnswer(response: ServerResponse, mustClose: () => boolean): CustomerAnswer {
    function writeHead(status: number, headers: string[]): void {
        const closing = mustClose() ? ["Connection", "close"] : [];
        response.writeHead(status, [...headers, ...closing]);
    }

    return {
        isStarted: () => response.headersSent,
        isClosed: () => response.destroyed || response.writableEnded,
        sendWhole(status, headers, body) {
            writeHead(status, [...headers, "Content-Length", String(body.length)]);
            response.end(body);
        },
        start(status, headers, isFramed) {
            if (!isFramed) {
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
        abort: () => void response.destroy(),
        onCustomerLeft(callback) {
            response.once("close", () => {
                if (!response.writableFinished) {
                    callback();
                }
            });
        },
    };
}
