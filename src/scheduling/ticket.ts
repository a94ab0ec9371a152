import { createHmac, timingSafeEqual } from "node:crypto";
import { makeFailure, makeSuccess, Result, ResultKind } from "../base/result.js";

/** Content of a ticket. Times are wall-clock milliseconds since the Unix epoch. */
export interface Ticket {
    /** Arrival of the customer's first attempt. */
    readonly firstArrivalMs: number;
    readonly customer: string;
    readonly rank: string;
    readonly expiresMs: number;
}

/** Why a ticket is ignored. */
export enum TicketFault {
    Malformed = "malformed",
    Forged = "forged",
    Expired = "expired",
    OtherCustomer = "other-customer",
    OtherRank = "other-rank",
    /** The first arrival lies in the future. */
    Early = "early",
}

/** Issues and verifies the signed tickets by which a refused customer keeps its position in the queue. */
export interface TicketSigner {
    sign(ticket: Omit<Ticket, "expiresMs">, nowMs: number): string;
    /** Returns how long the customer has waited already, in milliseconds. */
    verify(
        text: string,
        request: { readonly customer: string; readonly rank: string },
        nowMs: number,
    ): Result<{ readonly firstArrivalMs: number; readonly waitedMs: number }, TicketFault>;
}

/** Time for which a ticket is accepted after its issue, in milliseconds. */
export const ticketLifetimeMs = 60 * 60 * 1000;
/** Clock skew that is tolerated between entries, in milliseconds. */
const clockToleranceMs = 1_000;
const maxTicketLength = 2_048;

/**
 * Creates a ticket signer. Entries that share the key accept each other's tickets.
 *
 * @example
 * const signer = createTicketSigner("key");
 * const text = signer.sign({ firstArrivalMs: 0, customer: "planner", rank: "bulk" }, 0);
 */
export function createTicketSigner(key: string): TicketSigner {
    function computeProof(payload: string): Buffer {
        return createHmac("sha256", key).update(`jujubelane ticket\n${payload}`).digest();
    }

    function decode(text: string): Result<Ticket, TicketFault> {
        const [payload, proof, ...rest] = text.length <= maxTicketLength ? text.split(".") : [];
        if (!payload || !proof || rest.length > 0) {
            return makeFailure(TicketFault.Malformed);
        }
        const expected = computeProof(payload);
        const found = Buffer.from(proof, "base64url");
        if (found.length !== expected.length || !timingSafeEqual(found, expected)) {
            return makeFailure(TicketFault.Forged);
        }
        // The signature proves that an entry wrote the payload, so it is not validated any further.
        return makeSuccess(JSON.parse(Buffer.from(payload, "base64url").toString("utf8")) as Ticket);
    }

    function check(ticket: Ticket, request: { readonly customer: string; readonly rank: string }, nowMs: number) {
        if (ticket.customer !== request.customer) {
            return TicketFault.OtherCustomer;
        }
        if (ticket.rank !== request.rank) {
            return TicketFault.OtherRank;
        }
        if (ticket.expiresMs <= nowMs) {
            return TicketFault.Expired;
        }
        return ticket.firstArrivalMs > nowMs + clockToleranceMs ? TicketFault.Early : undefined;
    }

    return {
        sign(ticket, nowMs) {
            const content: Ticket = { ...ticket, expiresMs: nowMs + ticketLifetimeMs };
            const payload = Buffer.from(JSON.stringify(content)).toString("base64url");
            return `${payload}.${computeProof(payload).toString("base64url")}`;
        },
        verify(text, request, nowMs) {
            const decoded = decode(text);
            if (decoded.kind === ResultKind.Failure) {
                return decoded;
            }
            const fault = check(decoded.value, request, nowMs);
            if (fault !== undefined) {
                return makeFailure(fault);
            }
            const { firstArrivalMs } = decoded.value;
            return makeSuccess({ firstArrivalMs, waitedMs: Math.max(0, nowMs - firstArrivalMs) });
        },
    };
}
