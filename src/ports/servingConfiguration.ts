/** What may be repeated of a route's requests. */
export enum RouteKind {
    /** May run more than once. */
    Safe = "safe",
    /** Runs at most once for each request id. */
    Unsafe = "unsafe",
    /** Answers with a series of numbered events; runs at most once unless the route is resumable. */
    Stream = "stream",
}

/** Part of a route's traffic that goes to one service. */
export interface ServiceShare {
    readonly service: string;
    /** Relative weight, above zero. */
    readonly weight: number;
}

/** How requests to one host and path prefix are handled. */
export interface Route {
    readonly name: string;
    /** Lower-case host name without a port. */
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly prefix: string;
    readonly kind: RouteKind;
    /** Longest time that a request may wait for its answer, in milliseconds. */
    readonly timeoutMs?: number;
    /** Time until the first byte of an answer within which a customer is fully served, in milliseconds. */
    readonly firstByteAimMs?: number;
    /** Longest pause between two events of a stream that is still on time, in milliseconds. */
    readonly pauseAimMs?: number;
    /** 0 is the most urgent. */
    readonly rank: number;
    readonly shares: readonly ServiceShare[];
    /** Endpoints on which one request may run. */
    readonly maxEndpoints: number;
    /** Whether requests need no API key. */
    readonly isPublic: boolean;
    /** Whether a broken stream may go on at another endpoint after the last event that was delivered. */
    readonly isResumable: boolean;
}

/** Timing and memory of the model engine behind a service. */
export interface EngineModel {
    /** Requests that an engine runs at once. */
    readonly slots: number;
    /** Tokens that fit into an engine's memory. */
    readonly memoryTokens: number;
    /** Decode steps of one pass while anything is being decoded. */
    readonly stepsPerPass: number;
    /** Duration of a decode step without sequences, in milliseconds. */
    readonly stepMs: number;
    /** Added to a step by each decoding sequence, in milliseconds. */
    readonly sequenceStepMs: number;
    /** Added to a step by each 1,000 tokens of context, in milliseconds. */
    readonly contextStepMs: number;
    readonly prefillTokensPerSecond: number;
    /** Attention cost of a prompt for each million pairs of tokens, in milliseconds. */
    readonly pairsMs: number;
    /** Prompt tokens that one step reads at most. */
    readonly chunkTokens: number;
    /** Mean output length over all kinds of request, in tokens. */
    readonly usualOutputTokens: number;
}

/** A group of interchangeable endpoints. */
export interface Service {
    readonly name: string;
    /** Absent for a plain service. */
    readonly engine?: EngineModel;
}

/** Bounds on what customers send. */
export interface CustomerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    /** Time after which an idle connection of a customer may be closed, in milliseconds. */
    readonly idleTimeoutMs: number;
}

/** An organisation or person that sends requests with API keys. */
export interface Customer {
    readonly name: string;
    readonly keys: readonly string[];
    /** Goes before the rank of the route. */
    readonly rank?: number;
}

/** One whole, valid version of what the operators have configured. */
export interface ServingConfiguration {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: ReadonlyMap<string, Service>;
    readonly limits: CustomerLimits;
    /** Absent where requests need no key. */
    readonly customers?: readonly Customer[];
}
