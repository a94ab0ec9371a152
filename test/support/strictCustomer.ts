import { IncomingHttpHeaders, request as sendHttp } from "node:http";

/** An answer as a customer judges it that follows HTTP/1.1 (RFC 9112, sections 6.3 and 8). */
export interface JudgedAnswer {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: string;
    /**
     * Whether the answer looks whole: its length or its last chunk has arrived, or it has neither and its connection was
     * closed in order.
     */
    readonly isComplete: boolean;
}

/** A request that was sent. */
export interface JudgedExchange {
    countBodyBytes(): number;
    /** Resolves when the answer has ended. Rejects if not even its head arrived. */
    readonly answer: Promise<JudgedAnswer>;
}

/** A request to send. */
export interface StrictRequest {
    readonly method?: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body?: string;
}

/**
 * Sends a request on a new connection and judges its answer by the framing alone.
 *
 * @param url root URL of the server
 */
export function sendStrictly(url: string, { method = "GET", path, headers, body }: StrictRequest): JudgedExchange {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const answer = new Promise<JudgedAnswer>((resolve, reject) => {
        const sent = sendHttp(url + path, { method, headers, agent: false }, received => {
            const settle = (isComplete: boolean) =>
                resolve({
                    status: received.statusCode ?? 0,
                    headers: received.headers,
                    body: Buffer.concat(chunks).toString("latin1"),
                    isComplete,
                });
            received.on("data", (chunk: Buffer) => {
                chunks.push(chunk);
                bytes += chunk.length;
            });
            received.on("error", () => settle(false));
            received.on("end", () => settle(true));
        });
        sent.on("error", reject);
        sent.end(body);
    });
    return { countBodyBytes: () => bytes, answer };
}
