import { EngineCommandKind, EngineCommandResultKind } from "../ports/modelEngine.js";
import { BackoffSettings, computeBackoff } from "./backoff.js";
import { buildFenceStep, findNextStep, isInForce, isSameTarget, RolloutStep } from "./endpointTarget.js";
import {
    RolloutContext,
    RolloutEffect,
    RolloutEffectKind,
    RolloutEvent,
    RolloutEventKind,
    RolloutPhase,
    RolloutState,
    RolloutTransition,
} from "./rolloutState.js";

/** Backoff between failed attempts at the engine or the weight store. */
export const rolloutBackoff: BackoffSettings = { baseMs: 200, maxMs: 10_000 };

/** Time in which a loaded adapter must appear in the report, which does not list adapters that are still loading. */
const adapterLoadTimeoutMs = 5_000;
/** Time after which a missing answer counts as lost; longer than the time-outs of engine and weight store clients. */
const answerTimeoutMs = 15_000;
/** Failures after which the slot is released, so that an endpoint that cannot load does not block others. */
const maxFailuresWithSlot = 2;

/**
 * Advances the reconciliation of one endpoint by one event. The engine's report is compared with the target until both
 * match, and again with each later report. A rollback follows the same rules as a roll-forward.
 *
 * @example
 * const { state, effects } = advanceRollout(previous, { kind: RolloutEventKind.Tick }, { nowMs, random });
 */
export function advanceRollout(state: RolloutState, event: RolloutEvent, context: RolloutContext): RolloutTransition {
    switch (event.kind) {
        case RolloutEventKind.Target:
            return handleTarget(state, event, context);
        case RolloutEventKind.Report:
            return handleReport(state, event, context);
        case RolloutEventKind.SlotGranted:
            return handleSlotGranted(state, event, context);
        case RolloutEventKind.SlotLost:
            return handleSlotLost(state, context);
        case RolloutEventKind.WeightsGranted:
            return handleWeightsGranted(state, event, context);
        case RolloutEventKind.WeightsRefused:
            return isCurrentAttempt(state, RolloutPhase.Weights, event.attempt)
                ? startBackoff(state, "the weight store did not grant the read", event.retryAfterMs, context)
                : makeTransition(state);
        case RolloutEventKind.CommandAnswered:
            return handleCommandAnswered(state, event, context);
        case RolloutEventKind.CommandFailed:
            return isCurrentAttempt(state, RolloutPhase.Command, event.attempt)
                ? startBackoff(state, event.message, 0, context)
                : makeTransition(state);
        case RolloutEventKind.Tick:
            return handleTick(state, context);
    }
}

function makeTransition(state: RolloutState, effects: readonly RolloutEffect[] = []): RolloutTransition {
    return { state, effects };
}

function updatePhase(state: RolloutState, phase: RolloutPhase, context: RolloutContext, untilMs = 0): RolloutState {
    return { ...state, phase, sinceMs: context.nowMs, untilMs };
}

function isCurrentAttempt(state: RolloutState, phase: RolloutPhase, attempt: number): boolean {
    return state.phase === phase && state.attempt === attempt;
}

function handleTarget(
    state: RolloutState,
    event: Extract<RolloutEvent, { kind: RolloutEventKind.Target }>,
    context: RolloutContext,
): RolloutTransition {
    const { target } = event;
    if (state.target && target.generation <= state.target.generation) {
        return makeTransition(state);
    }
    if (state.target && isSameTarget(state.target, target)) {
        const isReconciled = state.phase === RolloutPhase.Settled
            && state.reconciledGeneration === state.target.generation;
        const reconciledGeneration = isReconciled ? target.generation : state.reconciledGeneration;
        return makeTransition({ ...state, target, reconciledGeneration });
    }
    // Answers to calls made for the previous target must not advance this one.
    const next = { ...state, target, changedGeneration: target.generation, attempt: state.attempt + 1, failures: 0 };
    return makeTransition(updatePhase(next, RolloutPhase.ReadBack, context), [{ kind: RolloutEffectKind.ReadBack }]);
}

function handleReport(
    state: RolloutState,
    event: Extract<RolloutEvent, { kind: RolloutEventKind.Report }>,
    context: RolloutContext,
): RolloutTransition {
    if (event.readMs < state.sinceMs && state.phase === RolloutPhase.Applying) {
        return makeTransition(state);
    }
    const { report } = event;
    const isSameIncarnation = state.fence.incarnation === report.incarnation;
    const fence = isSameIncarnation ? state.fence : { incarnation: report.incarnation, token: -1 };
    const next = { ...state, report, fence };
    switch (state.phase) {
        case RolloutPhase.Weights:
        case RolloutPhase.Command:
            return makeTransition(next);
        case RolloutPhase.Slot:
            return findStep(next)?.needsSlot ? makeTransition(next) : planNextStep(next, context);
        case RolloutPhase.Backoff:
            return next.target && isInForce(next.target, report) ? planNextStep(next, context) : makeTransition(next);
        case RolloutPhase.Applying:
            return checkApplied(next, isSameIncarnation, context);
        default:
            return planNextStep(next, context);
    }
}

function checkApplied(state: RolloutState, isSameIncarnation: boolean, context: RolloutContext): RolloutTransition {
    const step = findStep(state);
    const isRepeated = step !== undefined && isSameStep(step, state.step);
    if (isRepeated && isSameIncarnation && context.nowMs < state.untilMs) {
        return makeTransition(state);
    }
    return isRepeated
        ? startBackoff(state, "the engine's report does not show the effect of an accepted command", 0, context)
        : planNextStep(state, context);
}

function isSameStep(left: RolloutStep, right: RolloutStep | undefined): boolean {
    return left.command.kind === right?.command.kind
        && left.command.version === right.command.version
        && left.command.adapter === right.command.adapter
        && left.command.role === right.command.role;
}

/**
 * Returns the next step. If none is needed but the engine may still accept commands sent for earlier targets, returns a
 * step that makes it refuse them.
 */
function findStep(state: RolloutState): RolloutStep | undefined {
    const { target, report } = state;
    if (!target || !report) {
        return undefined;
    }
    const step = findNextStep(target, report);
    const isUnfenced = target.checksFencing && state.fence.token < state.changedGeneration;
    return step ?? (isUnfenced && isInForce(target, report) ? buildFenceStep(target) : undefined);
}

function planNextStep(state: RolloutState, context: RolloutContext): RolloutTransition {
    const { target, report } = state;
    if (!target || !report) {
        return makeTransition(updatePhase(state, target ? RolloutPhase.ReadBack : RolloutPhase.Settled, context));
    }
    const step = findStep(state);
    if (!step) {
        return isInForce(target, report)
            ? settle(state, context)
            : makeTransition(updatePhase(state, RolloutPhase.Applying, context));
    }
    if (!step.needsSlot) {
        const released = releaseSlot(state);
        return startStep(released.state, step, released.effects, context);
    }
    if (!state.slot || context.nowMs >= state.slot.validUntilMs) {
        return waitForSlot({ ...state, slot: undefined }, context);
    }
    return startStep(state, step, [], context);
}

function settle(state: RolloutState, context: RolloutContext): RolloutTransition {
    const generation = state.target!.generation;
    const released = releaseSlot(state);
    const next = { ...updatePhase(released.state, RolloutPhase.Settled, context), step: undefined, failures: 0 };
    return state.reconciledGeneration === generation
        ? makeTransition(next, released.effects)
        : makeTransition({ ...next, reconciledGeneration: generation }, [
            ...released.effects,
            { kind: RolloutEffectKind.ReportReconciled, generation },
        ]);
}

function releaseSlot(state: RolloutState): RolloutTransition {
    return state.slotRequested
        ? makeTransition({ ...state, slot: undefined, slotRequested: false }, [{ kind: RolloutEffectKind.ReleaseSlot }])
        : makeTransition(state);
}

function waitForSlot(state: RolloutState, context: RolloutContext): RolloutTransition {
    const { model, loadSlots } = state.target!;
    const next = { ...updatePhase(state, RolloutPhase.Slot, context), slotRequested: true };
    return makeTransition(next, state.slotRequested ? [] : [{ kind: RolloutEffectKind.AcquireSlot, model, loadSlots }]);
}

function startStep(
    state: RolloutState,
    step: RolloutStep,
    effects: readonly RolloutEffect[],
    context: RolloutContext,
): RolloutTransition {
    const attempt = state.attempt + 1;
    if (step.weights !== undefined) {
        const next = { ...updatePhase(state, RolloutPhase.Weights, context), step, attempt };
        const request = { kind: RolloutEffectKind.RequestWeights, attempt, weights: step.weights } as const;
        return makeTransition(next, [...effects, request]);
    }
    return sendCommand({ ...state, step, attempt }, undefined, effects, context);
}

function sendCommand(
    state: RolloutState,
    weightToken: string | undefined,
    effects: readonly RolloutEffect[],
    context: RolloutContext,
): RolloutTransition {
    // A newer generation with the same target content may have arrived since the step was planned.
    const command = { ...state.step!.command, fencingToken: state.target!.generation, weightToken };
    return makeTransition(updatePhase(state, RolloutPhase.Command, context), [
        ...effects,
        { kind: RolloutEffectKind.SendCommand, attempt: state.attempt, command },
    ]);
}

function handleSlotGranted(
    state: RolloutState,
    event: Extract<RolloutEvent, { kind: RolloutEventKind.SlotGranted }>,
    context: RolloutContext,
): RolloutTransition {
    if (!state.slotRequested) {
        return makeTransition(state, [{ kind: RolloutEffectKind.ReleaseSlot }]);
    }
    const next = { ...state, slot: event.slot };
    return state.phase === RolloutPhase.Slot ? planNextStep(next, context) : makeTransition(next);
}

function handleSlotLost(state: RolloutState, context: RolloutContext): RolloutTransition {
    const next = { ...state, slot: undefined, slotRequested: false };
    const isWaiting = state.phase === RolloutPhase.Slot
        || (state.phase === RolloutPhase.Weights && state.step?.needsSlot === true);
    return isWaiting ? startBackoff(next, "the load slot was lost", 0, context) : makeTransition(next);
}

function handleWeightsGranted(
    state: RolloutState,
    event: Extract<RolloutEvent, { kind: RolloutEventKind.WeightsGranted }>,
    context: RolloutContext,
): RolloutTransition {
    if (!isCurrentAttempt(state, RolloutPhase.Weights, event.attempt)) {
        return makeTransition(state);
    }
    const isSlotLost = state.step?.needsSlot && (!state.slot || context.nowMs >= state.slot.validUntilMs);
    return isSlotLost ? handleSlotLost(state, context) : sendCommand(state, event.token, [], context);
}

function handleCommandAnswered(
    state: RolloutState,
    event: Extract<RolloutEvent, { kind: RolloutEventKind.CommandAnswered }>,
    context: RolloutContext,
): RolloutTransition {
    if (!isCurrentAttempt(state, RolloutPhase.Command, event.attempt)) {
        return makeTransition(state);
    }
    switch (event.result.kind) {
        case EngineCommandResultKind.Accepted: {
            const isAdapter = state.step?.command.kind === EngineCommandKind.LoadAdapter;
            const untilMs = context.nowMs + (isAdapter ? adapterLoadTimeoutMs : 0);
            const fence = { ...state.fence, token: Math.max(state.fence.token, state.target!.generation) };
            const next = { ...updatePhase(state, RolloutPhase.Applying, context, untilMs), fence };
            return makeTransition(next, [{ kind: RolloutEffectKind.ReadBack }]);
        }
        case EngineCommandResultKind.Stale:
            return startBackoff(
                state,
                `the engine has already accepted fencing token ${event.result.newest}`,
                0,
                context,
            );
        case EngineCommandResultKind.Refused:
            return startBackoff(state, `the engine refused a command: ${event.result.message}`, 0, context);
    }
}

function startBackoff(state: RolloutState, reason: string, minMs: number, context: RolloutContext): RolloutTransition {
    const failures = state.failures + 1;
    // Many endpoints may receive the same retry delay at once, so it gets jitter as well.
    const delayMs = Math.max(
        computeBackoff(rolloutBackoff, failures, context.random),
        minMs * (1 + context.random() / 2),
    );
    const released = failures > maxFailuresWithSlot ? releaseSlot(state) : makeTransition(state);
    const next = updatePhase({ ...released.state, failures }, RolloutPhase.Backoff, context, context.nowMs + delayMs);
    return makeTransition(next, [...released.effects, { kind: RolloutEffectKind.ReportDelay, reason, delayMs }]);
}

function handleTick(state: RolloutState, context: RolloutContext): RolloutTransition {
    // After a pause, the process detects an expired lease here before it does anything else.
    if (state.slot && context.nowMs >= state.slot.validUntilMs) {
        return handleSlotLost(state, context);
    }
    if (state.phase === RolloutPhase.Backoff && context.nowMs >= state.untilMs) {
        return makeTransition(updatePhase(state, RolloutPhase.ReadBack, context), [{
            kind: RolloutEffectKind.ReadBack,
        }]);
    }
    const isAwaitingAnswer = state.phase === RolloutPhase.Weights || state.phase === RolloutPhase.Command;
    return isAwaitingAnswer && context.nowMs - state.sinceMs > answerTimeoutMs
        ? startBackoff(state, "the weight store or the engine did not answer in time", 0, context)
        : makeTransition(state);
}
