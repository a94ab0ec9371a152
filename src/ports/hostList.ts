/** State of a host on the platform's list. */
export enum HostState {
    Live = "live",
    Leaving = "leaving",
}

/** One endpoint host with the address of its sidecar. */
export interface HostRecord {
    /** Name of the host; an endpoint's configuration refers to it. */
    readonly name: string;
    readonly dataCentre: string;
    /** IP address of the sidecar's link listener. */
    readonly address: string;
    readonly port: number;
    readonly state: HostState;
}

/** The platform's lagging list of endpoint hosts. */
export interface HostList {
    /**
     * Reads the current list. Throws when the platform is not reached; the customer keeps its last list.
     */
    read(): Promise<readonly HostRecord[]>;
}
