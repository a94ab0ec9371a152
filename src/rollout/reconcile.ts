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

/** Delays between attempts at an engine or the weight store. */
export const rolloutBackoff: BackoffSettings = { baseMs: 200, maxMs: 10_000 };

/** Time that an adapter may take to show in the report, which says nothing of adapters being loaded, in milliseconds. */
const adapterLoadTimeoutMs = 5_000;
/** Time after which an answer that did not come counts as lost, in milliseconds; longer than the adapters' timeouts. */
const answerTimeoutMs = 15_000;
/** Failures after which a slot is given back, so that an endpoint that cannot load does not keep others from it. */
const maxFailuresWithSlot = 2;

/**
 * Advances the reconciliation of one endpoint by one event. The same rules apply in both directions: the engine's
 * report is compared with the target until both agree, and afterwards again with each report.
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
                ? startBackoff(state, "the weight store gave no permission", event.retryAfterMs, context)
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
        const isAgreed = state.phase === RolloutPhase.Settled && state.reconciledGeneration === state.target.generation;
        const reconciledGeneration = isAgreed ? target.generation : state.reconciledGeneration;
        return makeTransition({ ...state, target, reconciledGeneration });
    }
    // Answers to what was asked for the previous target must not advance this one.
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
        ? startBackoff(state, "the engine does not show an accepted command", 0, context)
        : planNextStep(state, context);
}

function isSameStep(left: RolloutStep, right: RolloutStep | undefined): boolean {
    return left.command.kind === right?.command.kind
        && left.command.version === right.command.version
        && left.command.adapter === right.command.adapter
        && left.command.role === right.command.role;
}

/** The next command, or one that raises the engine's fence above commands that were sent for earlier targets. */
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
    // The generation may have grown since the step was planned, with the same target.
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
            return startBackoff(state, `the engine has seen fencing token ${event.result.newest}`, 0, context);
        case EngineCommandResultKind.Refused:
            return startBackoff(state, `the engine refused a command: ${event.result.message}`, 0, context);
    }
}

function startBackoff(state: RolloutState, reason: string, minMs: number, context: RolloutContext): RolloutTransition {
    const failures = state.failures + 1;
    // A refusal with a time to wait goes to many endpoints at once, so that time is spread as well.
    const delayMs = Math.max(
        computeBackoff(rolloutBackoff, failures, context.random),
        minMs * (1 + context.random() / 2),
    );
    const released = failures > maxFailuresWithSlot ? releaseSlot(state) : makeTransition(state);
    const next = updatePhase({ ...released.state, failures }, RolloutPhase.Backoff, context, context.nowMs + delayMs);
    return makeTransition(next, [...released.effects, { kind: RolloutEffectKind.ReportDelay, reason, delayMs }]);
}

function handleTick(state: RolloutState, context: RolloutContext): RolloutTransition {
    // A process that was paused finds its lease expired here before it does anything else.
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
        ? startBackoff(state, "no answer came", 0, context)
        : makeTransition(state);
}
