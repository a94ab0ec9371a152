/** Availability that an endpoint reports for itself. */
export enum EndpointState {
    Ready = "ready",
    /** Completes the requests that it has and accepts no new ones. */
    Draining = "draining",
}

/** Registration record of one endpoint, written by the endpoint itself. */
export interface EndpointRecord {
    readonly id: string;
    /** Start time of the endpoint, in milliseconds since the Unix epoch; absent if the endpoint does not report it. */
    readonly startedAtMs?: number;
    /** Rises with each renewal of the registration within one incarnation; absent if the endpoint does not count them. */
    readonly renewal?: number;
    /** Time that the endpoint stays cold after it wrote this, in milliseconds; absent if it does not report it. */
    readonly coldLeftMs?: number;
    readonly service: string;
    /** IP address and port. */
    readonly address: string;
    readonly dataCentre: string;
    readonly slots: number;
    readonly state: EndpointState;
}
