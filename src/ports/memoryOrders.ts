/** What became of an order to an endpoint. */
export enum OrderOutcome {
    Done = "done",
    /** The endpoint refused it and nothing changed. */
    Refused = "refused",
    /** No answer came; the order may take effect, also seconds later. */
    Unknown = "unknown",
}

/** Reserves memory of engines for parts of prompts. */
export interface MemoryOrders {
    /** Reserves or renews; the reservation ends `holdMs` after the order arrives. */
    reserve(address: string, id: string, tokens: number, holdMs: number): Promise<OrderOutcome>;
    release(address: string, id: string): Promise<OrderOutcome>;
}
