import * as net from "node:net";
import { Disposable } from "../base/disposable.js";
import { ResultKind } from "../base/result.js";
import { createFrameDecoder, encodeFrame, FrameError } from "./frame.js";
import { LinkMessage } from "./messages.js";

/** One TCP or TLS connection that carries link messages. */
export interface LinkConnection extends Disposable {
    send(message: LinkMessage): void;
    /** Bytes that are buffered in this process because the other end reads too slowly. */
    getUnsentBytes(): number;
    /** Bytes sent and received so far. */
    getTraffic(): { readonly sentBytes: number; readonly receivedBytes: number };
    /** Sends what is queued, then closes. */
    end(): void;
}

/** Receives the events of a connection. */
export interface LinkConnectionListener {
    handleMessages(messages: readonly LinkMessage[]): void;
    /** Called once, when the connection has ended for any reason. */
    handleClosed(reason: string): void;
    handleFrameError(error: FrameError): void;
}

/**
 * Wraps a connected socket. Frames sent in one turn of the event loop are combined into one write.
 *
 * @example
 * const connection = createLinkConnection(socket, defaultMaxFrameBytes, listener);
 */
export function createLinkConnection(
    socket: net.Socket,
    maxFrameBytes: number,
    listener: LinkConnectionListener,
): LinkConnection {
    const frameDecoder = createFrameDecoder(maxFrameBytes);
    let closed = false;
    let corked = false;
    let reason = "closed by the other end";
    socket.setNoDelay(true);

    function close(closeReason: string) {
        if (!closed) {
            reason = closeReason;
            socket.destroy();
        }
    }

    socket.on("data", (bytes: Buffer) => {
        const result = frameDecoder.decode(bytes);
        if (result.kind === ResultKind.Failure) {
            listener.handleFrameError(result.error);
            close(result.error.message);
        }
        else if (result.value.length > 0) {
            listener.handleMessages(result.value);
        }
    });
    socket.on("error", error => {
        reason = error.message;
    });
    socket.on("close", () => {
        if (!closed) {
            closed = true;
            listener.handleClosed(reason);
        }
    });

    return {
        send(message) {
            if (closed || socket.destroyed || !socket.writable) {
                return;
            }
            if (!corked) {
                corked = true;
                socket.cork();
                setImmediate(() => {
                    corked = false;
                    socket.uncork();
                });
            }
            socket.write(encodeFrame(message));
        },
        getUnsentBytes: () => socket.writableLength,
        getTraffic: () => ({ sentBytes: socket.bytesWritten, receivedBytes: socket.bytesRead }),
        end: () => socket.end(),
        dispose: () => close("closed by this end"),
    };
}
