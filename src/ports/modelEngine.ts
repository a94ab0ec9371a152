import { Disposable } from "../base/disposable.js";

/** A generation request that a sidecar sends to its engine. */
export interface EngineRequest {
    /** Derived from the id of the customer's request, so that a restarted sidecar can find the generation. */
    readonly id: string;
    readonly model: string;
    readonly adapter?: string;
    /** Lower numbers run first. */
    readonly priority: number;
    readonly maxOutputTokens: number;
    readonly prompt: string;
    /** Remaining time in milliseconds. The engine ends the generation with `TimedOut` when it has elapsed. */
    readonly timeLimitMs: number;
}

/** Why a generation ended. */
export enum EngineFinish {
    Stop = "stop",
    Length = "length",
    Cancelled = "cancelled",
    TimedOut = "timed-out",
}

/** Token counts of a finished generation. */
export interface EngineUsage {
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly outputTokens: number;
}

/** Tag of an {@link EngineEvent}. */
export enum EngineEventKind {
    Token = "token",
    End = "end",
    /** The connection closed or failed before the `End` event. */
    Broken = "broken",
    /** The engine refused the request and did not run it. */
    Refused = "refused",
}

/** An event of one generation stream. The engine numbers tokens from 0 without gaps. */
export type EngineEvent =
    | { readonly kind: EngineEventKind.Token; readonly sequence: number; readonly text: string }
    | {
        readonly kind: EngineEventKind.End;
        readonly finish: EngineFinish;
        readonly tokens: number;
        readonly usage: EngineUsage;
    }
    | { readonly kind: EngineEventKind.Broken; readonly message: string }
    | { readonly kind: EngineEventKind.Refused; readonly status: number; readonly message: string };

/** A request that is running on the engine, or that has ended and still uses engine memory. */
export interface EngineRequestState {
    readonly id: string;
    readonly tokens: number;
    readonly memoryTokens: number;
    readonly ended: boolean;
}

/** Identity and load of an engine. The identity is current; the load may be out of date. */
export interface EngineReport {
    readonly model: string | undefined;
    readonly version: string | undefined;
    readonly adapters: readonly string[];
    readonly role: string;
    /** Unique for each start of the engine process. */
    readonly incarnation: string;
    /** Version that is being loaded, if any. */
    readonly loading: string | undefined;
    readonly memoryTokens: number;
    readonly usedTokens: number;
    readonly running: number;
    readonly waiting: number;
    readonly prefillTokensPerSecond: number;
    readonly decodeTokensPerSecond: number;
}

/** Tag of an {@link EngineCommand}. */
export enum EngineCommandKind {
    LoadVersion = "load-version",
    LoadAdapter = "load-adapter",
    UnloadAdapter = "unload-adapter",
    ChangeRole = "change-role",
}

/** A command to an engine. An engine that checks fencing refuses a token lower than the highest that it has seen. */
export interface EngineCommand {
    readonly kind: EngineCommandKind;
    readonly fencingToken: number;
    readonly model?: string;
    readonly version?: string;
    readonly adapter?: string;
    readonly role?: string;
    /** Token granted by the weight store; required by commands that load weights. */
    readonly weightToken?: string;
}

/** Tag of an {@link EngineCommandResult}. */
export enum EngineCommandResultKind {
    Accepted = "accepted",
    /** The fencing token is older than one that the engine has seen. */
    Stale = "stale",
    Refused = "refused",
}

/** Answer to a command. `Accepted` does not mean completed: the {@link EngineReport} shows what is in force. */
export type EngineCommandResult =
    | { readonly kind: EngineCommandResultKind.Accepted }
    | { readonly kind: EngineCommandResultKind.Stale; readonly newest: number }
    | { readonly kind: EngineCommandResultKind.Refused; readonly message: string };

/** A change of the engine's prefix cache. Events are delayed, and missing events leave gaps in the sequence numbers. */
export interface EngineCacheEvent {
    readonly sequence: number;
    readonly prefixDigest: string;
    readonly tokens: number;
    readonly stored: boolean;
}

/** The interface through which a sidecar uses its model engine. */
export interface ModelEngine {
    /**
     * Starts a generation and reports its events up to `End`, `Broken` or `Refused`. Disposing closes the connection
     * but does not cancel the generation.
     */
    generate(request: EngineRequest, listen: (event: EngineEvent) => void): Disposable;
    /** Reads a generation on a new connection, starting at a token sequence number. */
    resume(id: string, fromSequence: number, listen: (event: EngineEvent) => void): Disposable;
    /** Cancels a generation and frees its memory. Throws if the engine cannot be reached. */
    cancel(id: string): Promise<void>;
    /** Lists the requests that are running or still use engine memory. */
    list(): Promise<readonly EngineRequestState[]>;
    report(): Promise<EngineReport>;
    command(command: EngineCommand): Promise<EngineCommandResult>;
    /** Reads cache events, starting at a sequence number. */
    readCacheEvents(fromSequence: number): Promise<readonly EngineCacheEvent[]>;
    /** Exports the attention state (KV cache) of a request. The export uses engine memory until it is released. */
    exportState(id: string): Promise<{ readonly exportId: string; readonly tokens: number }>;
    importState(exportId: string, tokens: number): Promise<void>;
    listExports(): Promise<readonly { readonly exportId: string; readonly tokens: number }[]>;
    releaseExport(exportId: string): Promise<void>;
}
