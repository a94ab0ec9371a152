import * as http from "node:http";
import { Disposable } from "../base/disposable.js";
import { RequestError } from "../base/requestError.js";
import { Result, ResultKind } from "../base/result.js";
import { HeldRequest } from "../scheduling/requestLimits.js";
import { readBoundedBody } from "./httpAnswer.js";
import { TicketDesk, TicketHolder } from "./ticketDesk.js";

/** What reading a body needs from the entry. */
export interface BodyContext {
    readonly maxBodyBytes: number;
    readonly tickets: TicketDesk;
    /** Takes room for a request until the result is disposed. */
    acquireRoom(request: HeldRequest): Result<Disposable, RequestError>;
}

/**
 * Takes room for a request, then reads its body. The room is taken before the first byte is read, by the announced
 * length or, without one, by the largest allowed; it is given back when the response has closed.
 */
export async function receiveBody(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    holder: TicketHolder,
    context: BodyContext,
): Promise<Result<Buffer, RequestError>> {
    const announced = request.headers["content-length"];
    const bytes = announced === undefined && request.headers["transfer-encoding"] !== undefined
        ? context.maxBodyBytes
        : Math.min(Number(announced ?? 0), context.maxBodyBytes);
    const room = context.acquireRoom({ ...holder, bytes });
    if (room.kind === ResultKind.Failure) {
        request.resume();
        const waitedMs = context.tickets.readWaitedMs(request.headers, holder);
        return { kind: ResultKind.Failure, error: context.tickets.appendTicket(room.error, holder, waitedMs) };
    }
    response.on("close", () => room.value.dispose());
    return readBoundedBody(request, context.maxBodyBytes);
}
