import { EngineCommand, EngineCommandResult, EngineReport } from "../ports/modelEngine.js";
import { EndpointTarget, RolloutStep } from "./endpointTarget.js";

/** What the reconciliation of an endpoint waits for. */
export enum RolloutPhase {
    /** Nothing: the engine's report agrees, or there is no target. */
    Settled = "settled",
    /** The engine's report. */
    ReadBack = "read-back",
    /** A load slot. */
    Slot = "slot",
    /** The weight store's answer. */
    Weights = "weights",
    /** The engine's answer to a command. */
    Command = "command",
    /** An accepted command's effect in the engine's report. */
    Applying = "applying",
    /** The time of the next attempt. */
    Backoff = "backoff",
}

/** A load slot that is held. */
export interface HeldSlot {
    /** Offset of the record that acquired it. */
    readonly token: number;
    /** Monotonic time up to which the lease is certainly in force, in milliseconds. */
    readonly validUntilMs: number;
}

/** State of the reconciliation of one endpoint. */
export interface RolloutState {
    readonly target: EndpointTarget | undefined;
    /** Generation in which the target last changed in content. */
    readonly changedGeneration: number;
    readonly report: EngineReport | undefined;
    readonly phase: RolloutPhase;
    /** When the phase began, in monotonic milliseconds. */
    readonly sinceMs: number;
    /** End of the phase `Backoff` or of the patience in `Applying`. */
    readonly untilMs: number;
    /** The step in progress. */
    readonly step: RolloutStep | undefined;
    /** Number of the last question to the weight store or the engine; answers to earlier ones are ignored. */
    readonly attempt: number;
    readonly slot: HeldSlot | undefined;
    /** Whether a slot has been asked for and neither granted nor given back. */
    readonly slotRequested: boolean;
    /** Attempts that failed since the engine last agreed. */
    readonly failures: number;
    /** Newest fencing token that this start of the engine has accepted. */
    readonly fence: { readonly incarnation: string; readonly token: number };
    /** Newest generation that the engine's report agreed with while it was in force; -1 for none. */
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

/** What happens to the reconciliation of an endpoint. */
export type RolloutEvent =
    | { readonly kind: RolloutEventKind.Target; readonly target: EndpointTarget }
    /** `readMs` is when the read began; an older read says nothing about a command that was answered since. */
    | { readonly kind: RolloutEventKind.Report; readonly report: EngineReport; readonly readMs: number }
    /** A slot was granted or renewed. */
    | { readonly kind: RolloutEventKind.SlotGranted; readonly slot: HeldSlot }
    | { readonly kind: RolloutEventKind.SlotLost }
    | { readonly kind: RolloutEventKind.WeightsGranted; readonly attempt: number; readonly token: string }
    /** The store refused or was not reached. */
    | { readonly kind: RolloutEventKind.WeightsRefused; readonly attempt: number; readonly retryAfterMs: number }
    | {
        readonly kind: RolloutEventKind.CommandAnswered;
        readonly attempt: number;
        readonly result: EngineCommandResult;
    }
    /** The command may have taken effect. */
    | { readonly kind: RolloutEventKind.CommandFailed; readonly attempt: number; readonly message: string }
    | { readonly kind: RolloutEventKind.Tick };

/** Tag of a {@link RolloutEffect}. */
export enum RolloutEffectKind {
    AcquireSlot = "acquire-slot",
    ReleaseSlot = "release-slot",
    RequestWeights = "request-weights",
    SendCommand = "send-command",
    ReadBack = "read-back",
    /** The engine's report agrees with a generation. */
    ReportReconciled = "report-reconciled",
    /** An attempt failed and is repeated after a delay. */
    ReportDelay = "report-delay",
}

/** What the reconciliation of an endpoint asks its driver to do. */
export type RolloutEffect =
    | { readonly kind: RolloutEffectKind.AcquireSlot; readonly model: string; readonly loadSlots: number }
    | { readonly kind: RolloutEffectKind.ReleaseSlot }
    | { readonly kind: RolloutEffectKind.RequestWeights; readonly attempt: number; readonly weights: string }
    | { readonly kind: RolloutEffectKind.SendCommand; readonly attempt: number; readonly command: EngineCommand }
    | { readonly kind: RolloutEffectKind.ReadBack }
    | { readonly kind: RolloutEffectKind.ReportReconciled; readonly generation: number }
    | { readonly kind: RolloutEffectKind.ReportDelay; readonly reason: string; readonly delayMs: number };

/** A new state with the effects of the event. */
export interface RolloutTransition {
    readonly state: RolloutState;
    readonly effects: readonly RolloutEffect[];
}

/** Time and randomness of one event. */
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
