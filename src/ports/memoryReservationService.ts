/** Outcome of a call that reserves or releases memory at an endpoint. */
export enum ReservationOutcome {
    Done = "done",
    /** The endpoint refused the call; nothing changed. */
    Refused = "refused",
    /** No answer was received. The call may still take effect, even seconds later. */
    Unknown = "unknown",
}

/** Reserves engine memory for the parts of split prompts. */
export interface MemoryReservationService {
    /** Creates or renews a reservation, which expires `holdMs` after the call arrives at the endpoint. */
    reserve(address: string, id: string, tokens: number, holdMs: number): Promise<ReservationOutcome>;
    release(address: string, id: string): Promise<ReservationOutcome>;
}
