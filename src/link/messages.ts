import { ErrorCode } from "../base/requestError.js";
import { Verdict } from "../base/verdict.js";
import { LogRecord } from "../ports/logService.js";
import { EngineFinish, EngineUsage } from "../ports/modelEngine.js";
import { LoadReport } from "../routing/loadReport.js";

/** Version of the link protocol. Both ends refuse a connection with a different version. */
export const linkProtocolVersion = 1;

/** Type numbers of the messages on a link between an entry and a sidecar. */
export enum LinkMessageType {
    Challenge = 1,
    Hello = 2,
    Welcome = 3,
    Refusal = 4,
    Heartbeat = 5,
    Dispatch = 10,
    Cancel = 11,
    Resume = 12,
    Acknowledge = 13,
    Queued = 20,
    Rejected = 21,
    Chunk = 22,
    End = 23,
    CancelResult = 24,
    ServiceAnswer = 25,
    ResumeState = 26,
    Leaving = 30,
    Drain = 31,
    Configuration = 32,
    ConfigurationChange = 33,
    ConfigurationRequest = 34,
    Quarantine = 35,
    CrashReport = 36,
}

/** Sidecar → entry: the first message of a connection. */
export interface ChallengeMessage {
    readonly type: LinkMessageType.Challenge;
    readonly version: number;
    readonly nonce: Uint8Array;
}

/** Entry → sidecar: response to the challenge. */
export interface HelloMessage {
    readonly type: LinkMessageType.Hello;
    readonly version: number;
    readonly entry: string;
    readonly incarnation: string;
    readonly dataCentre: string;
    readonly nonce: Uint8Array;
    /** HMAC-SHA-256 over both nonces and the role. */
    readonly proof: Uint8Array;
}

/** Sidecar → entry: the handshake succeeded and the link is open. */
export interface WelcomeMessage {
    readonly type: LinkMessageType.Welcome;
    readonly proof: Uint8Array;
    readonly endpoint: string;
    readonly incarnation: string;
    readonly dataCentre: string;
    readonly leaving: boolean;
    /** Generation of the configuration in force at the sidecar; -1 for none. */
    readonly generation: number;
}

/** Either direction: the reason why the sender is about to close a connection that it does not accept. */
export interface RefusalMessage {
    readonly type: LinkMessageType.Refusal;
    readonly code: ErrorCode;
    readonly message: string;
}

/** Either direction: shows that the sender is alive. A sidecar adds its load. */
export interface HeartbeatMessage {
    readonly type: LinkMessageType.Heartbeat;
    readonly generation: number;
    readonly load?: LoadReport;
}

/** Work for a model engine. */
export interface ModelWork {
    readonly model: string;
    readonly adapter?: string;
    readonly promptTokens: number;
    readonly maxOutputTokens: number;
    /** Digest of the prompt's prefix, for prefix cache affinity. */
    readonly prefixDigest: string;
    readonly prompt: string;
}

/** Work for a plain service. */
export interface ServiceWork {
    readonly service: string;
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
    readonly idempotencyKey?: string;
    /** Whether the call may be repeated. */
    readonly repeatable: boolean;
}

/** Entry → sidecar: run a request. */
export interface DispatchMessage {
    readonly type: LinkMessageType.Dispatch;
    readonly request: string;
    /** Incarnation of the sidecar that the request is meant for; any other incarnation refuses it with `NotRun`. */
    readonly incarnation: string;
    readonly customer: string;
    readonly rank: string;
    readonly kind: string;
    readonly remainingMs: number;
    /** Time that the customer has waited already, in milliseconds, including the wait that its ticket proves. */
    readonly waitedMs: number;
    /** Digest of customer and body, for the isolation of requests that crash endpoints. */
    readonly fingerprint: string;
    /** What other requests to the model may share with this one, then what identifies it. */
    readonly traits?: readonly string[];
    readonly attempt: number;
    readonly model?: ModelWork;
    readonly service?: ServiceWork;
}

/** Entry → sidecar: stop a request, or refuse it if its dispatch arrives later. */
export interface CancelMessage {
    readonly type: LinkMessageType.Cancel;
    readonly request: string;
}

/** Entry → sidecar on a new connection: send the items from `fromSequence` on. */
export interface ResumeMessage {
    readonly type: LinkMessageType.Resume;
    readonly request: string;
    readonly fromSequence: number;
}

/** Entry → sidecar: items before `sequence` have arrived and need not be kept. */
export interface AcknowledgeMessage {
    readonly type: LinkMessageType.Acknowledge;
    readonly request: string;
    readonly sequence: number;
}

/** Sidecar → entry: the request waits in the queue. */
export interface QueuedMessage {
    readonly type: LinkMessageType.Queued;
    readonly request: string;
    readonly position: number;
}

/** Sidecar → entry: the request did not run here (`NotRun`). */
export interface RejectedMessage {
    readonly type: LinkMessageType.Rejected;
    readonly request: string;
    readonly code: ErrorCode;
    readonly message: string;
    readonly retryAfterMs?: number;
    readonly largestPromptTokens?: number;
}

/** Sidecar → entry: consecutive tokens of an answer. */
export interface ChunkMessage {
    readonly type: LinkMessageType.Chunk;
    readonly request: string;
    /** Sequence of the first item, from 0. */
    readonly sequence: number;
    readonly items: readonly string[];
}

/** Sidecar → entry: the result of a request that was started. */
export interface EndMessage {
    readonly type: LinkMessageType.End;
    readonly request: string;
    readonly verdict: Verdict;
    readonly tokens: number;
    readonly finish?: EngineFinish;
    readonly usage?: EngineUsage;
    readonly code?: ErrorCode;
    readonly message?: string;
    readonly load?: LoadReport;
}

/** Sidecar → entry: response to a cancel message. */
export interface CancelResultMessage {
    readonly type: LinkMessageType.CancelResult;
    readonly request: string;
    readonly verdict: Verdict;
}

/** Sidecar → entry: the complete answer of a plain service. */
export interface ServiceAnswerMessage {
    readonly type: LinkMessageType.ServiceAnswer;
    readonly request: string;
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
    /** Whether the answer is the recorded outcome of an earlier call. */
    readonly replayed: boolean;
}

/**
 * Sidecar → entry: response to a resume message. `known: false` means that this incarnation does not have the
 * request; `verdict` then says whether the request may have run there.
 */
export interface ResumeStateMessage {
    readonly type: LinkMessageType.ResumeState;
    readonly request: string;
    readonly known: boolean;
    readonly verdict: Verdict;
}

/** Sidecar → entry: the sidecar accepts no new requests and finishes those in progress. */
export interface LeavingMessage {
    readonly type: LinkMessageType.Leaving;
}

/** Entry → sidecar: an operator drains the endpoint. */
export interface DrainMessage {
    readonly type: LinkMessageType.Drain;
}

/** Either direction: a complete configuration with its digest. */
export interface ConfigurationMessage {
    readonly type: LinkMessageType.Configuration;
    readonly generation: number;
    readonly digest: string;
    readonly objects: unknown;
    /** Log offset up to which the sender has folded records. */
    readonly foldedOffset: number;
    /**
     * State that folding later records needs, with a digest over all of it. A sidecar keeps it for entries that start
     * while the log is unavailable.
     */
    readonly fold?: ConfigurationFold;
}

/** The part of a checkpoint that is not the objects themselves. */
export interface ConfigurationFold {
    readonly shift: number;
    readonly changed: unknown;
    readonly deleted: unknown;
    readonly ids: unknown;
    readonly digest: string;
}

/**
 * Entry → sidecar: the records between two generations. If folding them does not produce the digest, the sidecar
 * ignores them and then receives the complete configuration.
 */
export interface ConfigurationChangeMessage {
    readonly type: LinkMessageType.ConfigurationChange;
    /** Generation that the sidecar must have for the records to apply. */
    readonly base: number;
    readonly generation: number;
    /** Digest of the resulting objects. */
    readonly digest: string;
    readonly records: readonly LogRecord[];
}

/** Entry → sidecar: requests the sidecar's configuration. */
export interface ConfigurationRequestMessage {
    readonly type: LinkMessageType.ConfigurationRequest;
}

/** Entry → sidecar: requests with this fingerprint must not run, or only in isolation. */
export interface QuarantineMessage {
    readonly type: LinkMessageType.Quarantine;
    readonly fingerprint: string;
    /** Wall-clock time at which the quarantine ends, in milliseconds since the Unix epoch. */
    readonly untilMs: number;
    /** Whether such a request may run while nothing else runs on the endpoint. */
    readonly isolated?: boolean;
}

/** Sidecar → entry: the endpoint crashed while requests with these fingerprints ran. */
export interface CrashReportMessage {
    readonly type: LinkMessageType.CrashReport;
    /** Identifies the crash. Every entry receives the same identifier. */
    readonly crash: string;
    readonly fingerprints: readonly string[];
    /** Traits of those requests whose answers were beginning. */
    readonly suspects?: readonly (readonly string[])[];
    /** Time for which each suspect had been running, in milliseconds; absent if that is not known. */
    readonly runningMs?: readonly number[];
}

/** Messages from an entry to a sidecar. */
export type EntryMessage =
    | HelloMessage
    | HeartbeatMessage
    | DispatchMessage
    | CancelMessage
    | ResumeMessage
    | AcknowledgeMessage
    | DrainMessage
    | ConfigurationMessage
    | ConfigurationChangeMessage
    | ConfigurationRequestMessage
    | QuarantineMessage
    | RefusalMessage;

/** Messages from a sidecar to an entry. */
export type SidecarMessage =
    | ChallengeMessage
    | WelcomeMessage
    | RefusalMessage
    | HeartbeatMessage
    | QueuedMessage
    | RejectedMessage
    | ChunkMessage
    | EndMessage
    | CancelResultMessage
    | ServiceAnswerMessage
    | ResumeStateMessage
    | LeavingMessage
    | ConfigurationMessage
    | CrashReportMessage;

/** Any message on a link. */
export type LinkMessage = EntryMessage | SidecarMessage;
