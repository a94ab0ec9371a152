import { Disposable } from "../base/disposable.js";

/** A generation request as the sidecar gives it to its engine. */
export interface EngineRequest {
    /** Derived from the request id of the customer's request, so that a restarted sidecar finds it again. */
    readonly id: string;
    readonly model: string;
    readonly adapter?: string;
    /** Lower numbers run first. */
    readonly priority: number;
    readonly maxOutputTokens: number;
    readonly prompt: string;
    /** Remaining time in milliseconds; the engine gives up afterwards. */
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
    /** The connection ended or failed before the end of the stream. */
    Broken = "broken",
    /** The engine refused the request; it did not run. */
    Refused = "refused",
}

/** An event of one generation stream. Token sequences start at 0 and have no gaps on the engine's side. */
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

/** A request that the engine holds, running or not yet released. */
export interface EngineRequestState {
    readonly id: string;
    readonly tokens: number;
    readonly memoryTokens: number;
    readonly ended: boolean;
}

/** Load and identity of an engine. The load figures lag; the identity is current. */
export interface EngineReport {
    readonly model: string | undefined;
    readonly version: string | undefined;
    readonly adapters: readonly string[];
    readonly role: string;
    /** Changes with each start of the engine process. */
    readonly incarnation: string;
    /** Version being loaded, if any. */
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

/** A command to an engine. An engine that checks fencing refuses a token below the largest it has seen. */
export interface EngineCommand {
    readonly kind: EngineCommandKind;
    readonly fencingToken: number;
    readonly model?: string;
    readonly version?: string;
    readonly adapter?: string;
    readonly role?: string;
    /** Token from the weight store for commands that load weights. */
    readonly weightToken?: string;
}

/** Tag of an {@link EngineCommandResult}. */
export enum EngineCommandResultKind {
    Accepted = "accepted",
    /** The fencing token is older than one that the engine has seen. */
    Stale = "stale",
    Refused = "refused",
}

/** Answer to a command. `Accepted` does not mean done: the report shows what is in force. */
export type EngineCommandResult =
    | { readonly kind: EngineCommandResultKind.Accepted }
    | { readonly kind: EngineCommandResultKind.Stale; readonly newest: number }
    | { readonly kind: EngineCommandResultKind.Refused; readonly message: string };

/** A change of the engine's prefix cache. Events are late and sequence numbers have gaps. */
export interface EngineCacheEvent {
    readonly sequence: number;
    readonly prefixDigest: string;
    readonly tokens: number;
    readonly stored: boolean;
}

/** A model engine as its sidecar sees it. */
export interface ModelEngine {
    /** Starts a generation and reports its events until `End`, `Broken` or `Refused`. Disposing closes the connection only. */
    generate(request: EngineRequest, listen: (event: EngineEvent) => void): Disposable;
    /** Reads a generation again from a token sequence on a new connection. */
    resume(id: string, fromSequence: number, listen: (event: EngineEvent) => void): Disposable;
    /** Cancels a generation and frees its memory. Throws when the engine is not reached. */
    cancel(id: string): Promise<void>;
    /** Lists the requests that the engine holds. */
    list(): Promise<readonly EngineRequestState[]>;
    report(): Promise<EngineReport>;
    command(command: EngineCommand): Promise<EngineCommandResult>;
    /** Reads cache events from a sequence on. */
    readCacheEvents(fromSequence: number): Promise<readonly EngineCacheEvent[]>;
    /** Exports the attention state of a request; the export uses engine memory until released. */
    exportState(id: string): Promise<{ readonly exportId: string; readonly tokens: number }>;
    importState(exportId: string, tokens: number): Promise<void>;
    listExports(): Promise<readonly { readonly exportId: string; readonly tokens: number }[]>;
    releaseExport(exportId: string): Promise<void>;
}
