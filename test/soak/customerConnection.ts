import { once } from "node:events";
import { connect } from "node:net";

/** A complete answer. */
export interface SoakAnswer {
    readonly status: number;
    readonly headers: ReadonlyMap<string, string>;
    readonly body: string;
}

/** How a request ended at its customer. Times are in milliseconds since the process started. */
export interface RequestEnd {
    readonly sentAtMs: number;
    readonly endedAtMs: number;
    /** Absent if the connection closed before the answer was complete. */
    readonly answer?: SoakAnswer;
    /** Whether any byte of the answer arrived. */
    readonly hasBegun: boolean;
}

/** A connection that a customer keeps open. Requests may be sent before the answers to earlier ones have arrived. */
export interface CustomerConnection {
    send(request: string): Promise<RequestEnd>;
    /** Whether the server has neither closed the connection nor announced that it will. */
    isUsable(): boolean;
    close(): void;
}

const headEnd = "\r\n\r\n";
const lineEnd = "\r\n";

/**
 * Parses the first answer in `text`. Returns `undefined` while it is incomplete.
 *
 * @param hasEnded whether the connection was closed in order, which completes an answer without a length
 */
export function parseAnswer(text: string, hasEnded = false): { answer: SoakAnswer; length: number } | undefined {
    const bodyStart = text.indexOf(headEnd) + headEnd.length;
    if (bodyStart < headEnd.length) {
        return undefined;
    }
    const [statusLine, ...lines] = text.slice(0, bodyStart - headEnd.length).split(lineEnd);
    const headers = new Map(lines.map(line => {
        const colon = line.indexOf(":");
        return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }));
    const status = Number(statusLine!.split(" ")[1]);
    if (headers.get("transfer-encoding") !== "chunked") {
        const rest = hasEnded ? text.length - bodyStart : Number.POSITIVE_INFINITY;
        const length = bodyStart + Number(headers.get("content-length") ?? rest);
        return length <= text.length
            ? { answer: { status, headers, body: text.slice(bodyStart, length) }, length }
            : undefined;
    }
    let body = "";
    for (let position = bodyStart;;) {
        const sizeEnd = text.indexOf(lineEnd, position);
        const size = parseInt(text.slice(position, sizeEnd), 16);
        const chunkStart = sizeEnd + lineEnd.length;
        const next = chunkStart + size + lineEnd.length;
        if (sizeEnd < 0 || next > text.length) {
            return undefined;
        }
        if (size === 0) {
            return { answer: { status, headers, body }, length: next };
        }
        body += text.slice(chunkStart, chunkStart + size);
        position = next;
    }
}

/** Opens a connection to a root URL. Rejects if the server does not accept it. */
export async function openCustomerConnection(url: string): Promise<CustomerConnection> {
    const { hostname, port } = new URL(url);
    const socket = connect(Number(port), hostname);
    const pending: { readonly sentAtMs: number; readonly resolve: (end: RequestEnd) => void }[] = [];
    let received = "";
    let isUsable = true;
    await once(socket, "connect");

    function settle(answer: SoakAnswer | undefined, hasBegun: boolean): void {
        const { sentAtMs, resolve } = pending.shift()!;
        resolve({ sentAtMs, endedAtMs: performance.now(), answer, hasBegun });
    }

    socket.setNoDelay(true);
    socket.setEncoding("latin1");
    function settleReceived(hasEnded: boolean): void {
        const parse = () => parseAnswer(received, hasEnded);
        for (let parsed = parse(); parsed && pending.length > 0; parsed = parse()) {
            received = received.slice(parsed.length);
            isUsable &&= parsed.answer.headers.get("connection")?.toLowerCase() !== "close";
            settle(parsed.answer, true);
        }
    }

    socket.on("data", (text: string) => {
        received += text;
        settleReceived(false);
    });
    socket.on("error", () => undefined);
    socket.on("end", () => {
        isUsable = false;
        settleReceived(true);
    });
    socket.on("close", () => {
        isUsable = false;
        for (let hasBegun = received.length > 0; pending.length > 0; hasBegun = false) {
            settle(undefined, hasBegun);
        }
    });
    return {
        send: request =>
            new Promise(resolve => {
                pending.push({ sentAtMs: performance.now(), resolve });
                socket.write(request, "latin1");
            }),
        isUsable: () => isUsable,
        close: () => socket.destroy(),
    };
}
