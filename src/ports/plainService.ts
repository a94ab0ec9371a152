/** A call to a plain service. */
export interface ServiceCall {
    readonly id: string;
    readonly method: string;
    /** Path and query relative to the service's root URL, starting with "/". */
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
    readonly timeLimitMs: number;
}

/** Tag of a {@link ServiceResult}. */
export enum ServiceResultKind {
    Answered = "answered",
    /** The connection was refused before anything was sent. */
    NotSent = "not-sent",
    /** The call may have been sent, but no complete answer was received. */
    Unknown = "unknown",
}

/** Outcome of a call. */
export type ServiceResult =
    | {
        readonly kind: ServiceResultKind.Answered;
        readonly status: number;
        readonly headers: Readonly<Record<string, string>>;
        readonly body: Uint8Array;
    }
    | { readonly kind: ServiceResultKind.NotSent; readonly message: string }
    | { readonly kind: ServiceResultKind.Unknown; readonly message: string };

/** The interface through which a sidecar calls its plain service. */
export interface PlainService {
    call(call: ServiceCall): Promise<ServiceResult>;
}
