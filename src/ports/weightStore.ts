/** Tag of a {@link WeightTicket}. */
export enum WeightTicketKind {
    Granted = "granted",
    Refused = "refused",
}

/** Answer of the weight store to a request for permission to read weights. */
export type WeightTicket =
    | { readonly kind: WeightTicketKind.Granted; readonly token: string }
    | { readonly kind: WeightTicketKind.Refused; readonly retryAfterMs: number };

/** The platform's rate-limited store of model weights. */
export interface WeightStore {
    /** Requests permission to read the weights of a version or adapter. Throws if the store cannot be reached. */
    request(weights: string): Promise<WeightTicket>;
}
