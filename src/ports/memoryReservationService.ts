import { RawHeaders } from "./exchange.js";

/** Outcome of a call that reserves or releases memory at an endpoint. */
export enum ReservationOutcome {
    Done = "done",
    /** The endpoint refused the call; nothing changed. */
    Refused = "refused",
    /** No answer was received. The call may still take effect, even seconds later. */
    Unknown = "unknown",
}

/** Receives the status and headers of the answer to a call. */
export type CallAnswerListener = (status: number, headers: RawHeaders) => void;

/** Reserves engine memory for the parts of split prompts. */
export interface MemoryReservationService {
    /** Creates or renews a reservation, which expires `holdMs` after the call arrives at the endpoint. */
    reserve(
        address: string,
        id: string,
        tokens: number,
        holdMs: number,
        onAnswer?: CallAnswerListener,
    ): Promise<ReservationOutcome>;
    release(address: string, id: string, onAnswer?: CallAnswerListener): Promise<ReservationOutcome>;
}
