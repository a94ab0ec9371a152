import { Socket } from "node:net";
import { SocketUse } from "../scheduling/hostPressure.js";

/** Measures what the sockets of this process send and what waits at them. */
export interface SocketMeter {
    /** Adds an open socket. It is removed when it closes. */
    add(socket: Socket): void;
    count(): number;
    /** Measures what was sent since the previous measurement, and what waits now. */
    sample(nowMs: number): SocketUse;
}

/**
 * Creates a meter without sockets.
 *
 * @example
 * server.on("connection", socket => meter.add(socket));
 * meter.sample(timers.now()).unsentBytes;
 */
export function createSocketMeter(startMs: number): SocketMeter {
    /** Bytes that were sent up to the previous measurement. */
    const sentBefore = new Map<Socket, number>();
    let sentByClosed = 0;
    let lastSampleMs = startMs;

    /** `bytesWritten` includes what waits in this process. */
    function countSent(socket: Socket): number {
        return Math.max(0, socket.bytesWritten - socket.writableLength);
    }

    return {
        add(socket) {
            sentBefore.set(socket, countSent(socket));
            socket.once("close", () => {
                sentByClosed += Math.max(0, countSent(socket) - (sentBefore.get(socket) ?? 0));
                sentBefore.delete(socket);
            });
        },
        count: () => sentBefore.size,
        sample(nowMs) {
            let sentBytes = sentByClosed;
            let unsentBytes = 0;
            for (const [socket, before] of sentBefore) {
                const sent = countSent(socket);
                sentBytes += sent - before;
                unsentBytes += socket.writableLength;
                sentBefore.set(socket, sent);
            }
            const elapsedMs = nowMs - lastSampleMs;
            sentByClosed = 0;
            lastSampleMs = nowMs;
            return { unsentBytes, sentBytes, elapsedMs };
        },
    };
}
