import { Disposable } from "../base/disposable.js";
import { DispatchMessage, SidecarMessage } from "../link/messages.js";
import { WorkItem } from "../scheduling/scheduler.js";

/** State of a request in a sidecar. */
export enum WorkState {
    Queued = "queued",
    Running = "running",
    Ended = "ended",
}

/** One request that a sidecar holds. */
export interface Work {
    readonly dispatch: DispatchMessage;
    readonly item: WorkItem;
    /** Key of the entry's session that owns the request. */
    readonly session: string;
    state: WorkState;
    /** Priority at the engine, set at the start; lower numbers run first. */
    priority: number;
    /** Output so far. It is kept until the entry acknowledges the end, for a resume on another connection. */
    readonly output: string[];
    /** Messages that ended the request. They are sent again on a resume. */
    readonly endMessages: SidecarMessage[];
    run: WorkRun | undefined;
    /** Whether an earlier sidecar process started the request. Such a request is not known to the scheduler. */
    readonly inherited: boolean;
    /** Removes an ended request that the entry has not acknowledged. */
    retentionTimer: Disposable | undefined;
}

/** Handle of a request that runs on the endpoint. */
export interface WorkRun {
    /** Stops the request. The runner still reports its end. */
    cancel(): void;
    /** Compares the number of tokens received with the number that the engine has produced. */
    checkProgress?(producedTokens: number, ended: boolean): void;
}

/** Receives the output and the end of one request. */
export interface WorkListener {
    handleItems(items: readonly string[]): void;
    /** Called exactly once. `messages` are sent to the entry in order. */
    handleEnd(messages: readonly SidecarMessage[], outputTokens: number): void;
}

/** Starts a request on the endpoint. */
export type WorkRunner = (work: Work, listener: WorkListener) => WorkRun;
