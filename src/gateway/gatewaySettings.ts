import { ColdBound } from "../scheduling/coldBudget.js";
import { HostCapacity } from "../scheduling/hostPressure.js";
import { HedgeShares } from "./hedging.js";

/** An address to listen on. */
export interface ListenAddress {
    readonly ip: string;
    readonly port: number;
}

/** Settings of one gateway process. */
export interface GatewaySettings {
    readonly host: string;
    readonly dataCentre: string;
    /** Regions of the data centres, by name. */
    readonly regions?: ReadonlyMap<string, string>;
    readonly ip: string;
    readonly customerAddress: ListenAddress;
    /** Address of the readiness check, by which the load balancer learns whether this gateway accepts connections. */
    readonly readyAddress: ListenAddress;
    /** UDP port on which gateways exchange load reports. */
    readonly exchangePort: number;
    readonly metricsPort: number;
    /** Memory above which the process is killed. */
    readonly memoryBytes: number;
    readonly maxDescriptors: number;
    /** What the host provides. If it is absent, the gateway sheds no load because of its host. */
    readonly hostCapacity?: HostCapacity;
    readonly storeAddress: string;
    /** Time between SIGTERM and SIGKILL, in milliseconds. */
    readonly graceMs: number;
    /** Time within which a leaving endpoint must stop receiving requests, in milliseconds. */
    readonly leavingNoticeMs: number;
    /** Time within which a new configuration must be in force, in milliseconds. */
    readonly configurationNoticeMs: number;
    /**
     * Time within which an evacuated data centre must stop receiving requests, in milliseconds. Absent if the time for a
     * new configuration suffices.
     */
    readonly evacuationNoticeMs?: number;
    /** Bound of the requests that a cold endpoint may get; absent for the usual one. */
    readonly coldBound?: ColdBound;
    /** Retries allowed per request on average, across all gateways. */
    readonly retryRatio: number;
    /** Retries allowed in a window of seconds in addition to the ratio, across all gateways. */
    readonly retrySlack: number;
    /** Longest lease of a memory reservation, in milliseconds. */
    readonly maxHoldMs: number;
    /** Absent if hedging is off. */
    readonly hedgeShares?: HedgeShares;
}
