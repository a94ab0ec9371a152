import * as http from "node:http";
import { Disposable } from "../base/disposable.js";
import { RequestError } from "../base/requestError.js";
import { Result, ResultKind } from "../base/result.js";
import { HeldRequest } from "../scheduling/requestLimits.js";
import { readBoundedBody } from "./httpAnswer.js";
import { TicketIssuer, TicketSubject } from "./ticketDesk.js";

/** What reading a body needs from the entry. */
export interface BodyContext {
    readonly maxBodyBytes: number;
    readonly tickets: TicketIssuer;
    /** Takes room for a request until the result is disposed. */
    reserveCapacity(request: HeldRequest): Result<Disposable, RequestError>;
}

/**
 * Takes room for a request, then reads its body. The room is taken before the first byte is read, by the announced
 * length or, without one, by the largest allowed; it is given back when the response has closed.
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
    return readBoundedBody(request, context.maxBodyBytes);
}
