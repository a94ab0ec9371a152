/** What an endpoint says of its own availability. */
export enum EndpointState {
    Ready = "ready",
    /** Finishes what it has and takes nothing new. */
    Draining = "draining",
}

/** The registration of one endpoint, as the endpoint itself wrote it. */
export interface EndpointRecord {
    readonly id: string;
    /** Start of this life of the endpoint, in milliseconds since the Unix epoch; absent if it does not say. */
    readonly bornMs?: number;
    readonly service: string;
    /** IP address and port. */
    readonly address: string;
    readonly dataCentre: string;
    readonly slots: number;
    readonly state: EndpointState;
}
