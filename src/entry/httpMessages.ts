import * as http from "node:http";
import { Readable } from "node:stream";
import { buildRequestError, ErrorCode, getHttpStatus, RequestError } from "../base/requestError.js";
import { makeFailure, makeSuccess, Result } from "../base/result.js";
import { Verdict } from "../base/verdict.js";
import { formatError } from "./completionFormat.js";

/** HTTP headers that jujubelane defines or interprets. */
export enum HeaderName {
    RequestId = "jujubelane-request-id",
    Verdict = "jujubelane-verdict",
    Rank = "jujubelane-rank",
    Kind = "jujubelane-kind",
    TimeLimit = "jujubelane-time-limit-ms",
    Ticket = "jujubelane-ticket",
    /** Model of the request; allows a request to be refused by its content length before the body is read. */
    Model = "jujubelane-model",
    Split = "jujubelane-split",
    Parts = "jujubelane-parts",
    Replayed = "jujubelane-replayed",
    IdempotencyKey = "idempotency-key",
}

const millisecondsPerSecond = 1000;

/** Returns the value of a request header, or the first one of several. */
export function getHeader(headers: http.IncomingHttpHeaders, name: HeaderName): string | undefined {
    const value = headers[name];
    return Array.isArray(value) ? value[0] : value;
}

/** Sends an error in the JSON format of the OpenAI API, unless the request has been answered. */
export function sendError(response: http.ServerResponse, error: RequestError): void {
    if (response.headersSent) {
        return;
    }
    const body = JSON.stringify(formatError(error));
    response.setHeader("content-type", "application/json");
    response.setHeader("content-length", Buffer.byteLength(body));
    response.setHeader(HeaderName.Verdict, error.verdict);
    if (error.retryAfterMs !== undefined) {
        response.setHeader("retry-after", Math.max(1, Math.ceil(error.retryAfterMs / millisecondsPerSecond)));
    }
    if (error.ticket !== undefined) {
        response.setHeader(HeaderName.Ticket, error.ticket);
    }
    response.writeHead(getHttpStatus(error.code));
    response.end(body);
}

/** Sends a complete answer with the given content type. */
export function sendText(response: http.ServerResponse, status: number, contentType: string, body: string): void {
    response.writeHead(status, { "content-type": contentType, "content-length": Buffer.byteLength(body) });
    response.end(body);
}

const bodyPartBytes = 64 * 1024;

/** Sends the body of an answer in parts, so that it can be seen whether the customer reads on. */
export function sendBody(response: http.ServerResponse, body: Uint8Array): void {
    const parts = Array.from(
        { length: Math.ceil(body.length / bodyPartBytes) },
        (unused, index) => body.subarray(index * bodyPartBytes, (index + 1) * bodyPartBytes),
    );
    Readable.from(parts).pipe(response);
}

/**
 * Reads a request body of at most `maxBytes`. A longer body is refused as soon as its length exceeds the limit.
 */
export async function readBoundedBody(
    request: http.IncomingMessage,
    maxBytes: number,
): Promise<Result<Buffer, RequestError>> {
    const tooLarge = makeFailure(buildRequestError(
        ErrorCode.BodyTooLarge,
        `the body exceeds the limit of ${maxBytes} bytes`,
        Verdict.NotRun,
    ));
    if (Number(request.headers["content-length"] ?? 0) > maxBytes) {
        request.resume();
        return tooLarge;
    }
    const parts: Buffer[] = [];
    let length = 0;
    for await (const part of request) {
        length += (part as Buffer).length;
        if (length > maxBytes) {
            request.resume();
            return tooLarge;
        }
        parts.push(part as Buffer);
    }
    return makeSuccess(Buffer.concat(parts));
}
