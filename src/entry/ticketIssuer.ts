import * as http from "node:http";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { ErrorCode, RequestError } from "../base/requestError.js";
import { ResultKind } from "../base/result.js";
import { TimerService } from "../base/timerService.js";
import { createTicketSigner } from "../scheduling/ticket.js";
import { getHeader, HeaderName } from "./httpMessages.js";

/** The customer and rank for which a ticket is valid. */
export interface TicketSubject {
    readonly customer: string;
    readonly rank: string;
}

/** Issues tickets to refused customers and verifies the tickets that they send when they retry. */
export interface TicketIssuer {
    /** Returns how long the customer has waited according to its ticket, in milliseconds; 0 without a valid one. */
    readWaitedMs(headers: http.IncomingHttpHeaders, subject: TicketSubject): number;
    /** Adds a ticket to a refusal for overload. `waitedMs` is the time that the customer has waited so far. */
    appendTicket(error: RequestError, subject: TicketSubject, waitedMs: number): RequestError;
}

/**
 * Creates the ticket issuer of an entry.
 *
 * @example
 * const issuer = createTicketIssuer("key", timers, log);
 */
export function createTicketIssuer(key: string, timers: TimerService, log: EventLog): TicketIssuer {
    const signer = createTicketSigner(key);
    return {
        readWaitedMs(headers, subject) {
            const text = getHeader(headers, HeaderName.Ticket);
            if (text === undefined) {
                return 0;
            }
            const verified = signer.verify(text, subject, timers.wallNow());
            if (verified.kind === ResultKind.Failure) {
                log(LogEvent.TicketIgnored, { customer: subject.customer, rank: subject.rank, reason: verified.error });
                return 0;
            }
            return verified.value.waitedMs;
        },
        appendTicket(error, { customer, rank }, waitedMs) {
            if (error.code !== ErrorCode.Overloaded) {
                return error;
            }
            const nowMs = timers.wallNow();
            return { ...error, ticket: signer.sign({ firstArrivalMs: nowMs - waitedMs, customer, rank }, nowMs) };
        },
    };
}
