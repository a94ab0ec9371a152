import { connect, Socket } from "node:net";
import { host, key } from "./configuration.js";

/** How a channel has ended, as its consumer sees it. */
export enum ChannelEnd {
    Open = "open",
    /** The other side has closed it in order. */
    Closed = "closed",
    /** It was reset. */
    Reset = "reset",
}

/** A consumer's channel that shows the bytes as they arrive. */
export interface Channel {
    readonly socket: Socket;
    /** Sends a request and forgets what was received before. */
    send(request: string): void;
    getHead(): string;
    getBodyBytes(): number;
    getBody(): string;
    getEnd(): ChannelEnd;
    close(): void;
}

/** Renders the head of a request with a key. */
export function renderHead(method: string, path: string, id: string, headers: Readonly<Record<string, string>>): string {
    const all = { Host: host, "X-Request-Id": id, "Api-Key": key, ...headers };
    return `${method} ${path} HTTP/1.1\r\n${Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`).join("")}\r\n`;
}

/** Opens a channel. Bodies are kept up to a size, their length is counted. */
export function openChannel(port: number): Channel {
    const socket = connect(port, "127.0.0.1");
    const maxKeptBytes = 1_000_000;
    const headEnd = "\r\n\r\n";
    let text = "";
    let bytes = 0;
    let end = ChannelEnd.Open;
    socket.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
        text += text.length < maxKeptBytes ? chunk.toString("latin1") : "";
    });
    socket.on("end", () => {
        end = ChannelEnd.Closed;
    });
    socket.on("error", () => {
        end = ChannelEnd.Reset;
    });
    const getHeadLength = () => text.includes(headEnd) ? text.indexOf(headEnd) + headEnd.length : 0;
    return {
        socket,
        send(request) {
            text = "";
            bytes = 0;
            socket.write(request);
        },
        getHead: () => text.slice(0, getHeadLength()),
        getBodyBytes: () => getHeadLength() === 0 ? 0 : bytes - getHeadLength(),
        getBody: () => text.slice(getHeadLength()),
        getEnd: () => end,
        close: () => void socket.destroy(),
    };
}
