/** Whether requests of a route may be repeated, and how they are answered. */
export enum RouteKind {
    /** May run more than once. */
    Safe = "safe",
    /** Runs at most once for each request id. */
    Unsafe = "unsafe",
    /** Answered with a stream of numbered events. Runs at most once unless the route is resumable. */
    Stream = "stream",
}

/** Share of a route's traffic that is sent to one service. */
export interface ServiceShare {
    readonly service: string;
    /** Relative weight, greater than zero. */
    readonly weight: number;
}

/** How requests to one host and path prefix are handled. */
export interface Route {
    readonly name: string;
    /** Lower-case host name without a port. */
    readonly host: string;
    /** Starts and ends with a slash. */
    readonly prefix: string;
    readonly kind: RouteKind;
    /** Longest time that a request may wait for its answer, in milliseconds. */
    readonly timeoutMs?: number;
    /** Target for the time to the first byte of an answer, in milliseconds. */
    readonly firstByteTargetMs?: number;
    /** Target for the longest gap between two events of a stream, in milliseconds. */
    readonly gapTargetMs?: number;
    /** 0 is the most urgent. */
    readonly rank: number;
    readonly shares: readonly ServiceShare[];
    /** Regions that requests may run in. There is no restriction if it is absent or empty. */
    readonly allowedRegions?: readonly string[];
    /** Largest number of endpoints on which one request may run. */
    readonly maxEndpoints: number;
    /** Whether requests are accepted without an API key. */
    readonly isPublic: boolean;
    /** Whether a broken stream may be resumed at another endpoint after the last delivered event. */
    readonly isResumable: boolean;
}

/** Performance and capacity parameters of the model engines of a service. */
export interface EngineProfile {
    /** Largest number of requests that an engine runs at the same time. */
    readonly slots: number;
    /** Capacity of an engine's KV cache, in tokens. */
    readonly memoryTokens: number;
    /** Decode steps in each pass of the engine while any sequence is decoding. A stream gets one event per pass. */
    readonly stepsPerPass: number;
    /** Base duration of a decode step, without any sequences, in milliseconds. */
    readonly stepMs: number;
    /** Time that each decoding sequence adds to a step, in milliseconds. */
    readonly stepMsPerSequence: number;
    /** Time that each 1,000 tokens of context add to a step, in milliseconds. */
    readonly stepMsPerThousandTokens: number;
    readonly prefillTokensPerSecond: number;
    /** Time that attention adds to prefill for each million pairs of prompt tokens, in milliseconds. */
    readonly attentionMsPerMillionPairs: number;
    /** Largest number of prompt tokens that one step prefills. */
    readonly prefillChunkTokens: number;
    /** Mean output length over all kinds of requests, in tokens. */
    readonly meanOutputTokens: number;
}

/** A group of interchangeable endpoints. */
export interface Service {
    readonly name: string;
    /** Absent for a plain service. */
    readonly engine?: EngineProfile;
    /** Time for which an endpoint is cold after a start, in milliseconds. */
    readonly coldStartMs?: number;
    /** Requests a second that a cold endpoint can sustain. There is no limit if it is absent or 0. */
    readonly coldPerSecond?: number;
}

/** Limits for the requests and connections of customers. */
export interface CustomerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    /** Time after which an idle customer connection may be closed, in milliseconds. */
    readonly idleTimeoutMs: number;
}

/** An organisation or person that sends requests with API keys. */
export interface Customer {
    readonly name: string;
    readonly keys: readonly string[];
    /** Regions that requests may run in, in addition to the restriction of the route. */
    readonly allowedRegions?: readonly string[];
    /** Overrides the rank of the route. */
    readonly rank?: number;
}

/** A complete, validated version of the operators' configuration. */
export interface ServingConfiguration {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: ReadonlyMap<string, Service>;
    readonly limits: CustomerLimits;
    /** Absent if no route requires an API key. */
    readonly customers?: readonly Customer[];
}
