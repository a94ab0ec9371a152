import { ServerResponse } from "node:http";
import { hasAnswerBody } from "../base/answerBody.js";
import { RawHeaders } from "../ports/exchange.js";
import { AnswerAccount } from "./answerBuffers.js";
import { createByteQueue } from "./byteQueue.js";

/** HTTP response to one customer request. */
export interface CustomerAnswer {
    /** Whether the head has been sent, so that the status can no longer change. */
    isStarted(): boolean;
    sendComplete(status: number, headers: RawHeaders, body: Buffer): void;
    /**
     * Sends the status and headers of an answer whose length is not known. It is sent in chunks, so that only `end` makes
     * it look whole, whatever happens to this process. Customers of HTTP/1.0 know no chunks: the end of their connection
     * ends the body, and only a reset tells them that it is incomplete.
     */
    start(status: number, headers: RawHeaders): void;
    /** Sends bytes, or holds them until the customer has read those before. */
    write(bytes: Buffer): void;
    end(): void;
    /** Closes the connection, which tells the customer that the answer is incomplete. */
    abort(): void;
    /** Calls `callback` if the customer closes the connection before the answer is complete. */
    onCustomerLeft(callback: () => void): void;
    /** Calls `callback` if an incomplete answer must end because of the memory that it needs. */
    onDropped(callback: (reason: string) => void): void;
    /** Bytes that are held of this answer. */
    readonly account?: AnswerAccount;
}

/** How an answer is sent. */
export interface CustomerAnswerOptions {
    /** Whether the answer asks the customer to close the connection, whatever its server decides. */
    readonly mustClose?: () => boolean;
    /** Opens the count of what the customer has not read; absent for answers without a body. */
    readonly openAccount?: (onDropped: (reason: string) => void) => AnswerAccount;
    /** Called once when nothing more can be sent, at the latest when the connection has closed. */
    readonly onEnded?: () => void;
}

/** Largest piece that is written at once, which is the step in which a slow customer's reading is seen. */
const pieceBytes = 64 * 1024;

/**
 * Wraps a response of the HTTP server.
 *
 * @example
 * createCustomerAnswer(response, { mustClose: () => !request.complete }).sendComplete(503, [], Buffer.alloc(0));
 */
export function createCustomerAnswer(
    response: ServerResponse,
    { mustClose, openAccount, onEnded }: CustomerAnswerOptions,
): CustomerAnswer {
    const account = openAccount?.(handleDropped);
    const queue = createByteQueue();
    let isEndedByClose = false;
    let isEnding = false;
    /** Whether the connection has not taken what was written, and how many bytes of it are counted. */
    let isBlocked = false;
    let blockedBytes = 0;
    let onLeft: (() => void) | undefined;
    let onDropped: ((reason: string) => void) | undefined;
    let hasSettled = false;

    response.once("close", () => {
        account?.close();
        if (!response.writableFinished) {
            onLeft?.();
        }
        settle();
    });

    response.on("drain", () => {
        isBlocked = false;
        account?.recordRead(blockedBytes);
        blockedBytes = 0;
        writeQueued();
    });

    /** Ends what depends on the rest of the answer. The customer may still have to read much of it. */
    function settle(): void {
        onLeft = undefined;
        onDropped = undefined;
        if (!hasSettled) {
            hasSettled = true;
            onEnded?.();
        }
    }

    function handleDropped(reason: string): void {
        if (onDropped) {
            onDropped(reason);
        }
        else {
            closeIncomplete();
        }
    }

    function writeHead(status: number, headers: RawHeaders): void {
        if (mustClose?.()) {
            response.shouldKeepAlive = false;
        }
        response.writeHead(status, [...headers]);
    }

    function isWritable(): boolean {
        return !isBlocked && !response.destroyed && !response.writableEnded;
    }

    /** Writes a piece that the account knows of. */
    function writePiece(piece: Buffer): void {
        if (isEnding && queue.countBytes() === 0) {
            response.end(piece, () => account?.recordRead(piece.length));
        }
        else if (response.write(piece)) {
            account?.recordRead(piece.length);
        }
        else {
            isBlocked = true;
            blockedBytes = piece.length;
        }
    }

    function writeQueued(): void {
        while (isWritable() && (isEnding || queue.countBytes() > 0)) {
            writePiece(queue.take(pieceBytes));
        }
    }

    function hold(bytes: Buffer): void {
        account?.addUnread(bytes.length);
        queue.add(bytes);
        writeQueued();
    }

    /** Writes bytes, and counts them only if the connection does not take them at once, as it does for most customers. */
    function write(bytes: Buffer): void {
        if (queue.countBytes() > 0 || bytes.length > pieceBytes || !isWritable()) {
            hold(bytes);
        }
        else if (!response.write(bytes)) {
            isBlocked = true;
            blockedBytes = response.writableLength;
            account?.addUnread(blockedBytes);
        }
    }

    function end(): void {
        if (!isEnding && !response.destroyed) {
            isEnding = true;
            account?.complete();
            writeQueued();
            settle();
        }
    }

    function closeIncomplete(): void {
        account?.close();
        if (isEndedByClose) {
            // The regular end of the connection would complete the answer.
            response.socket?.resetAndDestroy();
        }
        response.destroy();
    }

    return {
        isStarted: () => response.headersSent,
        sendComplete(status, headers, body) {
            // A length where there is no body would be that of another answer.
            const length = hasAnswerBody(response.req?.method, status) ? ["Content-Length", String(body.length)] : [];
            writeHead(status, [...headers, ...length]);
            isEnding = true;
            account?.complete();
            hold(body);
            settle();
        },
        start(status, headers) {
            isEndedByClose = !response.useChunkedEncodingByDefault;
            if (isEndedByClose) {
                response.shouldKeepAlive = false;
            }
            writeHead(status, headers);
        },
        write,
        end,
        abort: closeIncomplete,
        onCustomerLeft(callback) {
            onLeft = callback;
        },
        onDropped(callback) {
            onDropped = callback;
        },
        account,
    };
}
