/** An address to listen on. */
export interface ListenAddress {
    readonly ip: string;
    readonly port: number;
}

/** Settings of one gateway process. */
export interface GatewaySettings {
    readonly host: string;
    readonly dataCentre: string;
    readonly ip: string;
    readonly customerAddress: ListenAddress;
    /** Where the balancer asks whether this gateway takes new connections. */
    readonly readyAddress: ListenAddress;
    /** UDP port on which gateways tell each other their load. */
    readonly exchangePort: number;
    readonly metricsPort: number;
    /** Memory above which the process is killed. */
    readonly memoryBytes: number;
    readonly maxDescriptors: number;
    readonly storeAddress: string;
    /** Time between SIGTERM and SIGKILL, in milliseconds. */
    readonly graceMs: number;
    /** Time after which a leaving endpoint gets no more requests, in milliseconds. */
    readonly leavingNoticeMs: number;
    /** Time after which a new configuration is in force, in milliseconds. */
    readonly configurationNoticeMs: number;
    /** Extra dispatches allowed for each request, for all gateways together. */
    readonly retryRatio: number;
    /** Extra dispatches allowed in a window of seconds beside the ratio, for all gateways together. */
    readonly retrySlack: number;
    /** Longest lease of a memory reservation, in milliseconds. */
    readonly maxHoldMs: number;
}
