import * as http from "node:http";
import { Socket } from "node:net";

/** The requests of customers at an entry, from their heads to the last byte of their answers. */
export interface CustomerAnswers {
    /**
     * Follows a request until its response closes. Returns false for a request that follows an answer with which its
     * connection closes; it must not be served, because its answer could not be sent.
     */
    add(request: http.IncomingMessage, response: http.ServerResponse): boolean;
    count(): number;
    /** Bytes that customers have sent and read on the connections of the requests that are followed. */
    countBytes(): number;
    /** Lets each answer whose request has been read whole close its connection, so that no customer sends another one on it. */
    closeConnections(): void;
    /** Calls `refuse` for each request whose body has not arrived whole and that has not been answered. */
    refuseUnread(refuse: (response: http.ServerResponse) => void): void;
}

/**
 * Creates an empty set of answers.
 *
 * @example
 * const answers = createCustomerAnswers();
 * http.createServer((request, response) => {
 *     answers.add(request, response);
 *     handle(request, response);
 * });
 */
export function createCustomerAnswers(): CustomerAnswers {
    const open = new Map<http.ServerResponse, http.IncomingMessage>();
    const openBySocket = new Map<Socket, number>();
    const closingSockets = new WeakSet<Socket>();
    let isClosing = false;

    function closeAfterAnswer(request: http.IncomingMessage, response: http.ServerResponse) {
        // While pipelined requests wait, only the last answer may close the connection.
        if (!response.headersSent && openBySocket.get(request.socket) === 1) {
            response.shouldKeepAlive = false;
            closingSockets.add(request.socket);
        }
    }

    /** An answer that closes the connection before the body was read could be lost with the rest of the body. */
    function closeAfterBody(request: http.IncomingMessage, response: http.ServerResponse) {
        if (request.complete) {
            closeAfterAnswer(request, response);
        }
        else {
            request.once("end", () => closeAfterAnswer(request, response));
        }
    }

    return {
        add(request, response) {
            const { socket } = request;
            if (closingSockets.has(socket)) {
                return false;
            }
            open.set(response, request);
            openBySocket.set(socket, (openBySocket.get(socket) ?? 0) + 1);
            response.once("close", () => {
                open.delete(response);
                const left = openBySocket.get(socket)! - 1;
                if (left > 0) {
                    openBySocket.set(socket, left);
                }
                else {
                    openBySocket.delete(socket);
                }
            });
            if (isClosing) {
                closeAfterBody(request, response);
            }
            return true;
        },
        closeConnections() {
            isClosing = true;
            open.forEach((request, response) => closeAfterBody(request, response));
        },
        count: () => open.size,
        countBytes: () =>
            [...openBySocket.keys()].reduce(
                (sum, socket) => sum + socket.bytesRead + socket.bytesWritten - socket.writableLength,
                0,
            ),
        refuseUnread(refuse) {
            for (const [response, request] of [...open]) {
                if (!request.complete && !response.headersSent) {
                    refuse(response);
                }
            }
        },
    };
}
