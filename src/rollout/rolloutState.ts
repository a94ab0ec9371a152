import { EngineCommand, EngineCommandResult, EngineReport } from "../ports/modelEngine.js";
import { EndpointTarget, RolloutStep } from "./endpointTarget.js";

/** Phase of the reconciliation of an endpoint: what it waits for. */
export enum RolloutPhase {
    /** Nothing, because the engine's report matches the target or there is no target. */
    Settled = "settled",
    /** The engine's report. */
    ReadBack = "read-back",
    /** A load slot. */
    Slot = "slot",
    /** The weight store's answer. */
    Weights = "weights",
    /** The engine's answer to a command. */
    Command = "command",
    /** The effect of an accepted command in the engine's report. */
    Applying = "applying",
    /** The time of the next attempt. */
    Backoff = "backoff",
}

/** A load slot that this endpoint holds. */
export interface HeldSlot {
    /** Offset of the record that acquired it. */
    readonly token: number;
    /** Monotonic time until which the lease is guaranteed to be in force, in milliseconds. */
    readonly validUntilMs: number;
}

/** State of the reconciliation of one endpoint. */
export interface RolloutState {
    readonly target: EndpointTarget | undefined;
    /** Generation in which the target's content last changed. */
    readonly changedGeneration: number;
    readonly report: EngineReport | undefined;
    readonly phase: RolloutPhase;
    /** When the phase began, in monotonic milliseconds. */
    readonly sinceMs: number;
    /** End of the phase `Backoff`, or time until which `Applying` waits for the effect of a command. */
    readonly untilMs: number;
    /** The step in progress. */
    readonly step: RolloutStep | undefined;
    /** Number of the last call to the weight store or the engine. Answers to earlier calls are ignored. */
    readonly attempt: number;
    readonly slot: HeldSlot | undefined;
    /** Whether a slot has been requested, and has been neither released nor lost since. */
    readonly slotRequested: boolean;
    /** Failed attempts since the engine's report last matched the target or the target changed. */
    readonly failures: number;
    /** Newest fencing token that this incarnation of the engine has accepted. */
    readonly fence: { readonly incarnation: string; readonly token: number };
    /** Newest generation that matched the engine's report while it was in force, or -1 if there is none. */
    readonly reconciledGeneration: number;
}

/** Tag of a {@link RolloutEvent}. */
export enum RolloutEventKind {
    Target = "target",
    Report = "report",
    SlotGranted = "slot-granted",
    SlotLost = "slot-lost",
    WeightsGranted = "weights-granted",
    WeightsRefused = "weights-refused",
    CommandAnswered = "command-answered",
    CommandFailed = "command-failed",
    Tick = "tick",
}

/** An input event of the reconciliation of an endpoint. */
export type RolloutEvent =
    | { readonly kind: RolloutEventKind.Target; readonly target: EndpointTarget }
    /** `readMs` is when the read began. A read that began before a command was answered does not show its effect. */
    | { readonly kind: RolloutEventKind.Report; readonly report: EngineReport; readonly readMs: number }
    /** A slot was granted or renewed. */
    | { readonly kind: RolloutEventKind.SlotGranted; readonly slot: HeldSlot }
    | { readonly kind: RolloutEventKind.SlotLost }
    | { readonly kind: RolloutEventKind.WeightsGranted; readonly attempt: number; readonly token: string }
    /** The weight store refused the read or could not be reached. */
    | { readonly kind: RolloutEventKind.WeightsRefused; readonly attempt: number; readonly retryAfterMs: number }
    | {
        readonly kind: RolloutEventKind.CommandAnswered;
        readonly attempt: number;
        readonly result: EngineCommandResult;
    }
    /** The command failed without an answer, so it may have taken effect. */
    | { readonly kind: RolloutEventKind.CommandFailed; readonly attempt: number; readonly message: string }
    | { readonly kind: RolloutEventKind.Tick };

/** Tag of a {@link RolloutEffect}. */
export enum RolloutEffectKind {
    AcquireSlot = "acquire-slot",
    ReleaseSlot = "release-slot",
    RequestWeights = "request-weights",
    SendCommand = "send-command",
    ReadBack = "read-back",
    /** The engine's report matches a generation. */
    ReportReconciled = "report-reconciled",
    /** An attempt failed and will be retried after a delay. */
    ReportDelay = "report-delay",
}

/** An action that the reconciliation of an endpoint requests from its caller. */
export type RolloutEffect =
    | { readonly kind: RolloutEffectKind.AcquireSlot; readonly model: string; readonly loadSlots: number }
    | { readonly kind: RolloutEffectKind.ReleaseSlot }
    | { readonly kind: RolloutEffectKind.RequestWeights; readonly attempt: number; readonly weights: string }
    | { readonly kind: RolloutEffectKind.SendCommand; readonly attempt: number; readonly command: EngineCommand }
    | { readonly kind: RolloutEffectKind.ReadBack }
    | { readonly kind: RolloutEffectKind.ReportReconciled; readonly generation: number }
    | { readonly kind: RolloutEffectKind.ReportDelay; readonly reason: string; readonly delayMs: number };

/** Result of an event: the new state and the effects to run. */
export interface RolloutTransition {
    readonly state: RolloutState;
    readonly effects: readonly RolloutEffect[];
}

/** Time and random source for one event. */
export interface RolloutContext {
    readonly nowMs: number;
    readonly random: () => number;
}

/** Returns the state before the first configuration. */
export function createRolloutState(): RolloutState {
    return {
        target: undefined,
        changedGeneration: -1,
        report: undefined,
        phase: RolloutPhase.Settled,
        sinceMs: 0,
        untilMs: 0,
        step: undefined,
        attempt: 0,
        slot: undefined,
        slotRequested: false,
        failures: 0,
        fence: { incarnation: "", token: -1 },
        reconciledGeneration: -1,
    };
}
