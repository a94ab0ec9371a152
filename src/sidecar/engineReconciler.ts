import { createDisposableStore, Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { createMailbox, runTask } from "../base/mailbox.js";
import { RandomSource } from "../base/randomSource.js";
import { TimerService } from "../base/timerService.js";
import { Configuration } from "../config/objects.js";
import { EngineCommand, EngineReport, ModelEngine } from "../ports/modelEngine.js";
import { WeightStore, WeightTicketKind } from "../ports/weightStore.js";
import { findTarget } from "../rollout/endpointTarget.js";
import { advanceRollout } from "../rollout/reconcile.js";
import {
    createRolloutState,
    RolloutEffect,
    RolloutEffectKind,
    RolloutEvent,
    RolloutEventKind,
} from "../rollout/rolloutState.js";
import { LoadSlots, LoadSlotsListener } from "./loadSlots.js";

/** Dependencies of a reconciler. */
export interface EngineReconcilerParts {
    readonly endpoint: string;
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly log: EventLog;
    readonly engine: ModelEngine;
    /** Limits reads of weights. If absent, every read is allowed. */
    readonly weightStore?: WeightStore;
    /** Creates the client of load slots. If absent, because no log is configured, every load is allowed. */
    readonly createSlots?: (listener: LoadSlotsListener) => LoadSlots;
    /** Requests a new report, which is passed to `handleReport`. */
    readReport(): void;
    /** Called when the reconciled generation has changed. */
    handleReconciled(): void;
}

/** Task that reconciles an engine with the configuration in force. */
export interface EngineReconciler extends Disposable {
    handleConfiguration(configuration: Configuration): void;
    handleReport(report: EngineReport, readMs: number): void;
    /** Returns the newest generation that matched the engine's report, or -1 if there is none. */
    getReconciledGeneration(): number;
}

const tickMs = 100;

/**
 * Creates the reconciler of one engine.
 *
 * @example
 * const reconciler = createEngineReconciler(parts);
 * reconciler.handleConfiguration(configuration);
 */
export function createEngineReconciler(parts: EngineReconcilerParts): EngineReconciler {
    const { endpoint, timers, log, engine } = parts;
    const store = createDisposableStore();
    const mailbox = createMailbox<RolloutEvent>();
    const slots = parts.createSlots?.({
        handleGranted: slot => post({ kind: RolloutEventKind.SlotGranted, slot }),
        handleLost: () => post({ kind: RolloutEventKind.SlotLost }),
    });
    let state = createRolloutState();

    function post(event: RolloutEvent) {
        mailbox.post(event);
    }

    async function acquireWeightTicket(attempt: number, weights: string) {
        try {
            const ticket = await parts.weightStore?.request(weights) ?? { kind: WeightTicketKind.Granted, token: "" };
            post(
                ticket.kind === WeightTicketKind.Granted
                    ? { kind: RolloutEventKind.WeightsGranted, attempt, token: ticket.token }
                    : { kind: RolloutEventKind.WeightsRefused, attempt, retryAfterMs: ticket.retryAfterMs },
            );
        }
        catch {
            post({ kind: RolloutEventKind.WeightsRefused, attempt, retryAfterMs: 0 });
        }
    }

    async function sendCommand(attempt: number, command: EngineCommand) {
        const { kind, fencingToken, version, adapter, role } = command;
        log(LogEvent.EngineCommandSent, { endpoint, kind, fencingToken, version, adapter, role });
        try {
            const result = await engine.command(command);
            post({ kind: RolloutEventKind.CommandAnswered, attempt, result });
        }
        catch (error) {
            post({ kind: RolloutEventKind.CommandFailed, attempt, message: String(error) });
        }
    }

    function applyEffect(effect: RolloutEffect) {
        switch (effect.kind) {
            case RolloutEffectKind.AcquireSlot:
                if (slots) {
                    slots.acquire(effect.model, effect.loadSlots);
                }
                else {
                    post({ kind: RolloutEventKind.SlotGranted, slot: { token: -1, validUntilMs: Infinity } });
                }
                return;
            case RolloutEffectKind.ReleaseSlot:
                slots?.release();
                return;
            case RolloutEffectKind.RequestWeights:
                void acquireWeightTicket(effect.attempt, effect.weights);
                return;
            case RolloutEffectKind.SendCommand:
                void sendCommand(effect.attempt, effect.command);
                return;
            case RolloutEffectKind.ReadBack:
                parts.readReport();
                return;
            case RolloutEffectKind.ReportReconciled:
                log(LogEvent.EngineReconciled, { endpoint, generation: effect.generation });
                parts.handleReconciled();
                return;
            case RolloutEffectKind.ReportDelay:
                log(LogEvent.EngineReconcileDelayed, { endpoint, reason: effect.reason, delayMs: effect.delayMs });
                return;
        }
    }

    store.register(runTask(mailbox, event => {
        const transition = advanceRollout(state, event, { nowMs: timers.now(), random: parts.random });
        const before = state.reconciledGeneration;
        state = transition.state;
        transition.effects.forEach(applyEffect);
        if (state.reconciledGeneration !== before) {
            parts.handleReconciled();
        }
    }, error => log(LogEvent.TaskFailed, { task: "reconciler", error: String(error) })));
    store.register(timers.subscribe(tickMs, () => post({ kind: RolloutEventKind.Tick })));
    if (slots) {
        store.register(slots);
    }

    return {
        handleConfiguration(configuration) {
            const target = findTarget(configuration, endpoint);
            if (target) {
                post({ kind: RolloutEventKind.Target, target });
            }
        },
        handleReport: (report, readMs) => post({ kind: RolloutEventKind.Report, report, readMs }),
        getReconciledGeneration: () => state.reconciledGeneration,
        dispose: () => store.dispose(),
    };
}
