import { Disposable } from "../base/disposable.js";
import { DispatchMessage, SidecarMessage } from "../link/messages.js";
import { WorkItem } from "../scheduling/scheduler.js";

/** Where a request stands in a sidecar. */
export enum WorkState {
    Queued = "queued",
    Running = "running",
    Ended = "ended",
}

/** One request that a sidecar holds. */
export interface Work {
    readonly dispatch: DispatchMessage;
    readonly item: WorkItem;
    /** Key of the session that owns the request. */
    readonly session: string;
    state: WorkState;
    /** Priority at the engine, set at the start; lower numbers run first. */
    priority: number;
    /** Output so far, kept for a resume on another connection until the entry acknowledges the end. */
    readonly output: string[];
    /** Messages that ended the request, for a resume. */
    readonly endMessages: SidecarMessage[];
    run: WorkRun | undefined;
    /** Whether an earlier sidecar process started it; the scheduler does not know it. */
    readonly inherited: boolean;
    retentionTimer: Disposable | undefined;
}

/** A request that runs on the endpoint. */
export interface WorkRun {
    /** Stops the request; the runner reports its end as usual. */
    cancel(): void;
    /** Compares what has arrived with the tokens that the endpoint says it has produced. */
    checkProgress?(producedTokens: number, ended: boolean): void;
}

/** What a runner reports of one request. */
export interface WorkListener {
    handleItems(items: readonly string[]): void;
    /** Called once; `messages` are sent to the entry in order. */
    handleEnd(messages: readonly SidecarMessage[], outputTokens: number): void;
}

/** Runs requests on the endpoint. */
export type WorkRunner = (work: Work, listener: WorkListener) => WorkRun;
