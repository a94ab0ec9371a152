/** State of a host on the platform's host list. */
export enum HostState {
    Live = "live",
    Leaving = "leaving",
}

/** A host that runs an endpoint, with the address of its sidecar. */
export interface HostRecord {
    /** Name of the host, as referenced by the configuration of endpoints. */
    readonly name: string;
    readonly dataCentre: string;
    /** IP address of the sidecar's link listener. */
    readonly address: string;
    readonly port: number;
    readonly state: HostState;
}

/** The platform's list of endpoint hosts. It lags behind the actual hosts. */
export interface HostList {
    /**
     * Reads the current list. Throws if the platform cannot be reached; the caller then keeps using its last list.
     */
    read(): Promise<readonly HostRecord[]>;
}
