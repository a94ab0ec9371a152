import { connect, Socket } from "node:net";

/** How an address answers an attempt to connect. */
export enum ConnectResult {
    Accepted = "accepted",
    /** The host answers, and nothing listens there. */
    Refused = "refused",
    /** The host does not answer: it has no power, or the network does not reach it. */
    NoAnswer = "no-answer",
}

/**
 * Tries to connect. The connection is closed at once.
 *
 * @param timeoutMs time after which the address counts as not answering, in milliseconds
 *
 * @example
 * await tryConnect("127.0.0.1", 9100, 400); // ConnectResult.Refused if nothing listens there
 */
export function tryConnect(host: string, port: number, timeoutMs: number): Promise<ConnectResult> {
    return new Promise(resolve => {
        const socket = connect({ host, port, timeout: timeoutMs });
        const end = (result: ConnectResult) => {
            socket.destroy();
            resolve(result);
        };
        socket.once("connect", () => end(ConnectResult.Accepted));
        socket.once("timeout", () => end(ConnectResult.NoAnswer));
        // Every error means that the address cannot be reached now.
        socket.once(
            "error",
            (error: NodeJS.ErrnoException) =>
                end(error.code === "ECONNREFUSED" ? ConnectResult.Refused : ConnectResult.NoAnswer),
        );
    });
}

/**
 * Watches a connection for a failure. Returns a function that tells whether it has failed, in contrast to a connection that
 * the other side has closed in order. Called before other listeners are added, so that these can rely on the result.
 *
 * @example
 * const hasFailed = watchFailure(socket);
 * socket.once("end", () => report(hasFailed() ? "reset" : "closed in order"));
 */
export function watchFailure(socket: Socket): () => boolean {
    let hasFailed = false;
    let hasEnded = false;
    socket.once("end", () => {
        hasEnded = true;
        // Node.js reports the reset of a connection that was not being read like a regular end. Only after a reset, the
        // system knows no peer of the connection any more.
        hasFailed ||= socket.remoteAddress === undefined;
    });
    socket.on("error", () => {
        // A client destroys the connection with an error of its own after the end.
        hasFailed ||= !hasEnded;
    });
    return () => hasFailed;
}
