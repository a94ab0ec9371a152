import { createServer, Socket } from "node:net";

/** An endpoint that answers each request with the bytes that its script writes, whatever they are. */
export interface RawEndpoint {
    readonly id: string;
    readonly address: string;
    /** Ids of the requests that arrived. */
    readonly requestIds: string[];
    /** Returns the number of connections on which the script still writes. */
    countWriting(): number;
    /** Returns the number of bytes that callers have taken. */
    countWrittenBytes(): number;
    close(): Promise<void>;
}

/** What a raw endpoint sends in answer to a request. */
export interface RawScript {
    /** Bytes that begin the answer. */
    readonly start: string;
    /** Bytes that are repeated until the caller closes the connection, or what makes them for each repetition. */
    readonly repeated?: string | ((index: number) => string);
    /** Whether the connection is closed in order after the bytes that begin the answer. */
    readonly isEnded?: boolean;
    /** Pause between two repetitions, in milliseconds. Without it, the caller is sent as much as it takes. */
    readonly pauseMs?: number;
}

/** Size to which the repeated bytes are multiplied for one write without a pause. */
const writeBytes = 64 * 1024;

/**
 * Starts an endpoint on a free loopback port.
 *
 * @param makeScript makes the script for the request with the given id
 */
export async function startRawEndpoint(id: string, makeScript: (requestId: string) => RawScript): Promise<RawEndpoint> {
    const requestIds: string[] = [];
    const sockets = new Set<Socket>();
    let writing = 0;
    let writtenBytes = 0;

    function run(socket: Socket, { start, repeated = "", isEnded, pauseMs }: RawScript): void {
        if (isEnded) {
            socket.end(start);
            return;
        }
        writing += 1;
        socket.once("close", () => {
            writing -= 1;
            writtenBytes += socket.bytesWritten - socket.writableLength;
        });
        socket.write(start);
        let index = 0;
        const makeText = () => typeof repeated === "string" ? repeated : repeated(index++);
        const text = pauseMs === undefined ? makeText() : "";
        const block = text.repeat(Math.ceil(writeBytes / Math.max(1, text.length)));
        const writeMore = () => {
            if (socket.destroyed) {
                return;
            }
            if (pauseMs !== undefined) {
                socket.write(makeText());
                setTimeout(writeMore, pauseMs);
            }
            else if (socket.write(block)) {
                setImmediate(writeMore);
            }
            else {
                socket.once("drain", writeMore);
            }
        };
        if (pauseMs === undefined) {
            writeMore();
        }
        else {
            setTimeout(writeMore, pauseMs);
        }
    }

    const server = createServer(socket => {
        sockets.add(socket);
        socket.once("close", () => sockets.delete(socket));
        // Callers are expected to reset the connection.
        socket.on("error", () => undefined);
        socket.once("data", bytes => {
            const requestId = /x-request-id: (\S+)/iu.exec(bytes.toString("latin1"))?.[1] ?? "";
            requestIds.push(requestId);
            run(socket, makeScript(requestId));
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = server.address() as { port: number };
    return {
        id,
        address: `127.0.0.1:${address.port}`,
        requestIds,
        countWriting: () => writing,
        countWrittenBytes: () => writtenBytes + [...sockets].reduce((sum, socket) => sum + socket.bytesWritten, 0),
        close: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                sockets.forEach(socket => socket.destroy());
            }),
    };
}
