import * as http from "node:http";
import { Disposable } from "../base/disposable.js";
import { buildRequestError, ErrorCode, RequestError } from "../base/requestError.js";
import { makeFailure, Result, ResultKind } from "../base/result.js";
import { Verdict } from "../base/verdict.js";
import { LimitedRequest } from "../scheduling/requestLimits.js";
import { readBoundedBody } from "./httpMessages.js";
import { TicketIssuer, TicketSubject } from "./ticketIssuer.js";

/** What reading a body needs from the entry. */
export interface BodyContext {
    readonly maxBodyBytes: number;
    readonly tickets: TicketIssuer;
    /** Reserves capacity for a request. Disposing the result releases it. */
    reserveCapacity(request: LimitedRequest): Result<Disposable, RequestError>;
}

/**
 * Reserves capacity for a request, then reads its body. The reservation is made before the first byte is read, for the
 * content length or, if a body has none, for the largest body allowed. It is released when the response closes.
 */
export async function receiveBody(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    subject: TicketSubject,
    context: BodyContext,
): Promise<Result<Buffer, RequestError>> {
    const contentLength = request.headers["content-length"];
    const bytes = contentLength === undefined && request.headers["transfer-encoding"] !== undefined
        ? context.maxBodyBytes
        : Math.min(Number(contentLength ?? 0), context.maxBodyBytes);
    const reservation = context.reserveCapacity({ ...subject, bytes });
    if (reservation.kind === ResultKind.Failure) {
        request.resume();
        const waitedMs = context.tickets.readWaitedMs(request.headers, subject);
        return { kind: ResultKind.Failure, error: context.tickets.appendTicket(reservation.error, subject, waitedMs) };
    }
    response.on("close", () => reservation.value.dispose());
    const body = await readBoundedBody(request, context.maxBodyBytes);
    if (response.headersSent) {
        const message = "the request was refused while its body arrived";
        return makeFailure(buildRequestError(ErrorCode.Leaving, message, Verdict.NotRun));
    }
    return body;
}
