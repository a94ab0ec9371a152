import { Socket } from "node:net";
import { EndpointFault } from "./endpointFault.js";

/** An answer that has neither a length nor chunks and ends with its connection. */
export interface UnframedAnswer {
    readonly headers: Readonly<Record<string, string>>;
    readonly type: string;
    /** Events of a stream, or parts of a plain body. */
    readonly pieces: readonly string[];
}

/** The process of the endpoint that sends an answer. */
export interface EndpointProcess {
    stopAccepting(): void;
    crash(): Promise<void>;
}

/** Time from the first piece of an answer to the crash or the reset that cuts it off, in milliseconds. */
export const crashDelayMs = 20;
/** Time from the request to an answer that comes after the endpoint has stopped accepting connections, in milliseconds. */
const lastAnswerDelayMs = 300;
/** Bytes of the piece within which an answer is cut off. */
const cutPieceBytes = 5;

/** Returns whether the answers of a fault have neither a length nor chunks. */
export function isUnframed(fault: EndpointFault): boolean {
    return fault === EndpointFault.Unframed || fault === EndpointFault.UnframedReset
        || fault === EndpointFault.UnframedWithinAnswer || fault === EndpointFault.UnframedCrash
        || fault === EndpointFault.UnframedLast;
}

function renderHead({ headers, type }: UnframedAnswer): string {
    const lines = Object.entries({ ...headers, "content-type": type, connection: "close" })
        .map(([name, value]) => `${name}: ${value}\r\n`).join("");
    return `HTTP/1.1 200 OK\r\n${lines}\r\n`;
}

/** Sends an answer without a length, whole or cut off, as the fault says. */
export async function sendUnframed(
    socket: Socket,
    answer: UnframedAnswer,
    fault: EndpointFault,
    process: EndpointProcess,
): Promise<void> {
    const { pieces } = answer;
    const head = renderHead(answer);
    switch (fault) {
        case EndpointFault.UnframedLast:
            process.stopAccepting();
            await wait(lastAnswerDelayMs);
            socket.end(head + pieces.join(""));
            return;
        case EndpointFault.UnframedWithinAnswer:
            socket.end(head + pieces.slice(0, 2).join("") + (pieces[2] ?? "").slice(0, cutPieceBytes));
            return;
        case EndpointFault.UnframedReset:
            socket.write(head + (pieces[0] ?? ""));
            await wait(crashDelayMs);
            socket.resetAndDestroy();
            return;
        case EndpointFault.UnframedCrash:
            socket.write(head + (pieces[0] ?? ""));
            await wait(crashDelayMs);
            await process.crash();
            return;
        default:
            socket.end(head + pieces.join(""));
    }
}

function wait(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}
