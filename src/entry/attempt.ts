import { RequestError } from "../base/requestError.js";
import { EngineFinish, EngineUsage } from "../ports/modelEngine.js";

/** Tag of an {@link AttemptEvent}. */
export enum AttemptEventKind {
    Items = "items",
    ServiceAnswer = "service-answer",
    Completed = "completed",
    Failed = "failed",
}

/**
 * An event that an endpoint link reports for one attempt. Items arrive in order, without gaps or duplicates.
 * `Completed` or `Failed` is the last event.
 */
export type AttemptEvent =
    | { readonly kind: AttemptEventKind.Items; readonly items: readonly string[] }
    | {
        readonly kind: AttemptEventKind.ServiceAnswer;
        readonly status: number;
        readonly headers: Readonly<Record<string, string>>;
        readonly body: Uint8Array;
        readonly replayed: boolean;
    }
    | {
        readonly kind: AttemptEventKind.Completed;
        readonly finish: EngineFinish | undefined;
        readonly usage: EngineUsage | undefined;
    }
    | { readonly kind: AttemptEventKind.Failed; readonly error: RequestError };

/** Receives the events of one attempt. */
export type AttemptListener = (event: AttemptEvent) => void;
