import { ErrorCode } from "../base/requestError.js";
import { Verdict } from "../base/verdict.js";
import { LogRecord } from "../ports/logService.js";
import { EngineFinish, EngineUsage } from "../ports/modelEngine.js";
import { LoadReport } from "../routing/loadReport.js";

/** Version of the link protocol. Both ends refuse another version. */
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

/** Sidecar → entry, first message of a connection. */
export interface ChallengeMessage {
    readonly type: LinkMessageType.Challenge;
    readonly version: number;
    readonly nonce: Uint8Array;
}

/** Entry → sidecar, answer to the challenge. */
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

/** Sidecar → entry, the link is open. */
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

/** Either end, just before it closes a connection that it does not accept. */
export interface RefusalMessage {
    readonly type: LinkMessageType.Refusal;
    readonly code: ErrorCode;
    readonly message: string;
}

/** Either direction. A sidecar adds its load. */
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
    /** Digest of the prompt's beginning, for prefix cache affinity. */
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
    /** Incarnation of the sidecar that the entry means; another incarnation refuses with `NotRun`. */
    readonly incarnation: string;
    readonly customer: string;
    readonly rank: string;
    readonly kind: string;
    readonly remainingMs: number;
    /** How long the customer has waited in line already, from its ticket, in milliseconds. */
    readonly waitedMs: number;
    /** Digest of customer and body, for the isolation of requests that crash endpoints. */
    readonly fingerprint: string;
    readonly attempt: number;
    readonly model?: ModelWork;
    readonly service?: ServiceWork;
}

/** Entry → sidecar: stop a request, or refuse it if it arrives later. */
export interface CancelMessage {
    readonly type: LinkMessageType.Cancel;
    readonly request: string;
}

/** Entry → sidecar on a new connection: send the chunks from `fromSequence` on. */
export interface ResumeMessage {
    readonly type: LinkMessageType.Resume;
    readonly request: string;
    readonly fromSequence: number;
}

/** Entry → sidecar: chunks below `sequence` have arrived and need not be kept. */
export interface AcknowledgeMessage {
    readonly type: LinkMessageType.Acknowledge;
    readonly request: string;
    readonly sequence: number;
}

/** Sidecar → entry: the request waits. */
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

/** Sidecar → entry: a run of consecutive tokens. */
export interface ChunkMessage {
    readonly type: LinkMessageType.Chunk;
    readonly request: string;
    /** Sequence of the first item, from 0. */
    readonly sequence: number;
    readonly items: readonly string[];
}

/** Sidecar → entry: the one final record of a request that was started. */
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

/** Sidecar → entry: the answer to a cancel. */
export interface CancelResultMessage {
    readonly type: LinkMessageType.CancelResult;
    readonly request: string;
    readonly verdict: Verdict;
}

/** Sidecar → entry: the whole answer of a plain service. */
export interface ServiceAnswerMessage {
    readonly type: LinkMessageType.ServiceAnswer;
    readonly request: string;
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
    /** Set when the answer is a recorded outcome of an earlier send. */
    readonly replayed: boolean;
}

/**
 * Sidecar → entry: answer to a resume. `known: false` means that this incarnation does not hold the request; `verdict`
 * then says whether the request may have run there.
 */
export interface ResumeStateMessage {
    readonly type: LinkMessageType.ResumeState;
    readonly request: string;
    readonly known: boolean;
    readonly verdict: Verdict;
}

/** Sidecar → entry: no new work, what runs is finished. */
export interface LeavingMessage {
    readonly type: LinkMessageType.Leaving;
}

/** Entry → sidecar: an operator drains the endpoint. */
export interface DrainMessage {
    readonly type: LinkMessageType.Drain;
}

/** Either direction: a whole configuration with its digest. */
export interface ConfigurationMessage {
    readonly type: LinkMessageType.Configuration;
    readonly generation: number;
    readonly digest: string;
    readonly objects: unknown;
    /** Offset of the log up to which the sender had folded. */
    readonly foldedOffset: number;
    /** What later folds need, with a digest over the whole; a sidecar keeps it for entries that start without a log. */
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
 * Entry → sidecar: the records between two generations. A sidecar that cannot fold them to the digest ignores them and
 * then receives the whole configuration.
 */
export interface ConfigurationChangeMessage {
    readonly type: LinkMessageType.ConfigurationChange;
    /** Generation at the sidecar to which the records apply. */
    readonly base: number;
    readonly generation: number;
    /** Digest of the objects that result. */
    readonly digest: string;
    readonly records: readonly LogRecord[];
}

/** Entry → sidecar: asks for the configuration that the sidecar holds. */
export interface ConfigurationRequestMessage {
    readonly type: LinkMessageType.ConfigurationRequest;
}

/** Entry → sidecar: a fingerprint that must not run, or only alone. */
export interface QuarantineMessage {
    readonly type: LinkMessageType.Quarantine;
    readonly fingerprint: string;
    /** Wall-clock time at which this ends, in milliseconds since the Unix epoch. */
    readonly untilMs: number;
    /** Whether it may run while nothing else runs on the endpoint. */
    readonly isolated?: boolean;
}

/** Sidecar → entry: the endpoint died while these fingerprints ran. */
export interface CrashReportMessage {
    readonly type: LinkMessageType.CrashReport;
    /** Names the crash; every entry receives the same name. */
    readonly crash: string;
    readonly fingerprints: readonly string[];
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
