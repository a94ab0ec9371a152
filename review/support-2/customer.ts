/* eslint-disable no-restricted-syntax -- runs on the real clock */
import { randomBytes } from "node:crypto";
import { Agent, ClientRequest, IncomingMessage, request as sendHttp } from "node:http";
import { customerKey, hostName } from "./configuration.js";

/** A request of a customer, with an id of its own. */
export interface CustomerRequest {
    readonly method: string;
    readonly path: string;
    readonly deadlineMs: number;
    readonly body?: Buffer;
    readonly headers?: Readonly<Record<string, string>>;
    /** Holds the connection that is used; absent for one of its own. */
    readonly agent?: Agent;
    /** Bytes a second that the customer reads of the answer; absent: as fast as they come. */
    readonly readBytesPerSecond?: number;
}

/** What the customer got. */
export interface CustomerResult {
    readonly id: string;
    /** Status, or 0 if the connection ended without one. */
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: Buffer;
    /** Whether the answer ended as HTTP says: with its length or its last chunk. */
    readonly isComplete: boolean;
    readonly error?: string;
    readonly tookMs: number;
    /** Time at the end in which nothing arrived. */
    readonly silentMs: number;
}

const readIntervalMs = 50;

/** Reads an answer at a limited rate. */
function readSlowly(answer: IncomingMessage, bytesPerSecond: number, onBytes: (bytes: Buffer) => void): void {
    const stepBytes = bytesPerSecond * readIntervalMs / 1_000;
    let allowance = stepBytes;
    const timer = setInterval(() => {
        allowance = Math.min(allowance + stepBytes, stepBytes);
        if (allowance > 0) {
            answer.resume();
        }
    }, readIntervalMs);
    answer.on("data", (bytes: Buffer) => {
        allowance -= bytes.length;
        if (allowance <= 0) {
            answer.pause();
        }
        onBytes(bytes);
    });
    answer.once("close", () => clearInterval(timer));
}

/** Sends a request to a gateway. */
export function sendRequest(port: number, sent: CustomerRequest, id = makeRequestId()): Promise<CustomerResult> {
    const startedAtMs = performance.now();
    const chunks: Buffer[] = [];
    let lastByteAtMs = startedAtMs;
    return new Promise(resolve => {
        const finish = (answer: IncomingMessage | undefined, error?: string) =>
            resolve({
                id,
                status: answer?.statusCode ?? 0,
                headers: answer?.headers ?? {},
                body: Buffer.concat(chunks),
                isComplete: answer?.complete ?? false,
                error,
                tookMs: Math.round(performance.now() - startedAtMs),
                silentMs: Math.round(performance.now() - lastByteAtMs),
            });
        const outgoing: ClientRequest = sendHttp({
            host: "127.0.0.1",
            port,
            method: sent.method,
            path: sent.path,
            agent: sent.agent ?? false,
            headers: {
                "Host": hostName,
                "X-Request-Id": id,
                "X-Deadline-Ms": String(sent.deadlineMs),
                "Api-Key": customerKey,
                ...sent.headers,
                ...(sent.body && { "Content-Length": String(sent.body.length) }),
            },
        }, answer => {
            const onBytes = (bytes: Buffer) => {
                chunks.push(bytes);
                lastByteAtMs = performance.now();
            };
            if (sent.readBytesPerSecond === undefined) {
                answer.on("data", onBytes);
            }
            else {
                readSlowly(answer, sent.readBytesPerSecond, onBytes);
            }
            answer.once("error", error => finish(answer, error.message));
            answer.once("end", () => finish(answer));
            answer.once("close", () => finish(answer));
        });
        outgoing.once("error", error => finish(undefined, error.message));
        outgoing.end(sent.body);
    });
}

export function makeRequestId(): string {
    return randomBytes(8).toString("hex");
}
