import { EngineCommandKind, EngineCommandResultKind } from "../ports/modelEngine.js";
import { BackoffSettings, computeBackoff } from "./backoff.js";
import { buildFenceStep, findNextStep, isInForce, isSameTarget, RolloutStep } from "./endpointTarget.js";
import {
    RolloutAdvance,
    RolloutContext,
    RolloutEffect,
    RolloutEffectKind,
    RolloutEvent,
    RolloutEventKind,
    RolloutPhase,
    RolloutState,
} from "./rolloutState.js";

/** Delays between attempts at an engine or the weight store. */
export const rolloutBackoff: BackoffSettings = { baseMs: 200, maxMs: 10_000 };

/** Time that an adapter may take to show in the report, which says nothing of adapters being loaded, in milliseconds. */
const adapterPatienceMs = 5_000;
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
export function advanceRollout(state: RolloutState, event: RolloutEvent, context: RolloutContext): RolloutAdvance {
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
            return isAwaited(state, RolloutPhase.Weights, event.attempt)
                ? delay(state, "the weight store gave no permission", event.retryAfterMs, context)
                : keep(state);
        case RolloutEventKind.CommandAnswered:
            return handleCommandAnswered(state, event, context);
        case RolloutEventKind.CommandFailed:
            return isAwaited(state, RolloutPhase.Command, event.attempt)
                ? delay(state, event.message, 0, context)
                : keep(state);
        case RolloutEventKind.Tick:
            return handleTick(state, context);
    }
}

function keep(state: RolloutState, effects: readonly RolloutEffect[] = []): RolloutAdvance {
    return { state, effects };
}

function updatePhase(state: RolloutState, phase: RolloutPhase, context: RolloutContext, untilMs = 0): RolloutState {
    return { ...state, phase, sinceMs: context.nowMs, untilMs };
}

function isAwaited(state: RolloutState, phase: RolloutPhase, attempt: number): boolean {
    return state.phase === phase && state.attempt === attempt;
}

function handleTarget(
    state: RolloutState,
    event: Extract<RolloutEvent, { kind: RolloutEventKind.Target }>,
    context: RolloutContext,
): RolloutAdvance {
    const { target } = event;
    if (state.target && target.generation <= state.target.generation) {
        return keep(state);
    }
    if (state.target && isSameTarget(state.target, target)) {
        const isAgreed = state.phase === RolloutPhase.Settled && state.reconciledGeneration === state.target.generation;
        const reconciledGeneration = isAgreed ? target.generation : state.reconciledGeneration;
        return keep({ ...state, target, reconciledGeneration });
    }
    // Answers to what was asked for the previous target must not advance this one.
    const next = { ...state, target, changedGeneration: target.generation, attempt: state.attempt + 1, failures: 0 };
    return keep(updatePhase(next, RolloutPhase.ReadBack, context), [{ kind: RolloutEffectKind.ReadBack }]);
}

function handleReport(
    state: RolloutState,
    event: Extract<RolloutEvent, { kind: RolloutEventKind.Report }>,
    context: RolloutContext,
): RolloutAdvance {
    if (event.readMs < state.sinceMs && state.phase === RolloutPhase.Applying) {
        return keep(state);
    }
    const { report } = event;
    const isSameStart = state.fence.incarnation === report.incarnation;
    const fence = isSameStart ? state.fence : { incarnation: report.incarnation, token: -1 };
    const next = { ...state, report, fence };
    switch (state.phase) {
        case RolloutPhase.Weights:
        case RolloutPhase.Command:
            return keep(next);
        case RolloutPhase.Slot:
            return findStep(next)?.needsSlot ? keep(next) : plan(next, context);
        case RolloutPhase.Backoff:
            return next.target && isInForce(next.target, report) ? plan(next, context) : keep(next);
        case RolloutPhase.Applying:
            return checkApplied(next, isSameStart, context);
        default:
            return plan(next, context);
    }
}

function checkApplied(state: RolloutState, isSameStart: boolean, context: RolloutContext): RolloutAdvance {
    const step = findStep(state);
    const isRepeated = step !== undefined && isSameStep(step, state.step);
    if (isRepeated && isSameStart && context.nowMs < state.untilMs) {
        return keep(state);
    }
    return isRepeated
        ? delay(state, "the engine does not show an accepted command", 0, context)
        : plan(state, context);
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

function plan(state: RolloutState, context: RolloutContext): RolloutAdvance {
    const { target, report } = state;
    if (!target || !report) {
        return keep(updatePhase(state, target ? RolloutPhase.ReadBack : RolloutPhase.Settled, context));
    }
    const step = findStep(state);
    if (!step) {
        return isInForce(target, report)
            ? settle(state, context)
            : keep(updatePhase(state, RolloutPhase.Applying, context));
    }
    if (!step.needsSlot) {
        const released = release(state);
        return start(released.state, step, released.effects, context);
    }
    if (!state.slot || context.nowMs >= state.slot.validUntilMs) {
        return waitForSlot({ ...state, slot: undefined }, context);
    }
    return start(state, step, [], context);
}

function settle(state: RolloutState, context: RolloutContext): RolloutAdvance {
    const generation = state.target!.generation;
    const released = release(state);
    const next = { ...updatePhase(released.state, RolloutPhase.Settled, context), step: undefined, failures: 0 };
    return state.reconciledGeneration === generation
        ? keep(next, released.effects)
        : keep({ ...next, reconciledGeneration: generation }, [
            ...released.effects,
            { kind: RolloutEffectKind.ReportReconciled, generation },
        ]);
}

function release(state: RolloutState): RolloutAdvance {
    return state.slotRequested
        ? keep({ ...state, slot: undefined, slotRequested: false }, [{ kind: RolloutEffectKind.ReleaseSlot }])
        : keep(state);
}

function waitForSlot(state: RolloutState, context: RolloutContext): RolloutAdvance {
    const { model, loadSlots } = state.target!;
    const next = { ...updatePhase(state, RolloutPhase.Slot, context), slotRequested: true };
    return keep(next, state.slotRequested ? [] : [{ kind: RolloutEffectKind.AcquireSlot, model, loadSlots }]);
}

function start(
    state: RolloutState,
    step: RolloutStep,
    effects: readonly RolloutEffect[],
    context: RolloutContext,
): RolloutAdvance {
    const attempt = state.attempt + 1;
    if (step.weights !== undefined) {
        const next = { ...updatePhase(state, RolloutPhase.Weights, context), step, attempt };
        const request = { kind: RolloutEffectKind.RequestWeights, attempt, weights: step.weights } as const;
        return keep(next, [...effects, request]);
    }
    return send({ ...state, step, attempt }, undefined, effects, context);
}

function send(
    state: RolloutState,
    weightToken: string | undefined,
    effects: readonly RolloutEffect[],
    context: RolloutContext,
): RolloutAdvance {
    // The generation may have grown since the step was planned, with the same target.
    const command = { ...state.step!.command, fencingToken: state.target!.generation, weightToken };
    return keep(updatePhase(state, RolloutPhase.Command, context), [
        ...effects,
        { kind: RolloutEffectKind.SendCommand, attempt: state.attempt, command },
    ]);
}

function handleSlotGranted(
    state: RolloutState,
    event: Extract<RolloutEvent, { kind: RolloutEventKind.SlotGranted }>,
    context: RolloutContext,
): RolloutAdvance {
    if (!state.slotRequested) {
        return keep(state, [{ kind: RolloutEffectKind.ReleaseSlot }]);
    }
    const next = { ...state, slot: event.slot };
    return state.phase === RolloutPhase.Slot ? plan(next, context) : keep(next);
}

function handleSlotLost(state: RolloutState, context: RolloutContext): RolloutAdvance {
    const next = { ...state, slot: undefined, slotRequested: false };
    const isWaiting = state.phase === RolloutPhase.Slot
        || (state.phase === RolloutPhase.Weights && state.step?.needsSlot === true);
    return isWaiting ? delay(next, "the load slot was lost", 0, context) : keep(next);
}

function handleWeightsGranted(
    state: RolloutState,
    event: Extract<RolloutEvent, { kind: RolloutEventKind.WeightsGranted }>,
    context: RolloutContext,
): RolloutAdvance {
    if (!isAwaited(state, RolloutPhase.Weights, event.attempt)) {
        return keep(state);
    }
    const isLost = state.step?.needsSlot && (!state.slot || context.nowMs >= state.slot.validUntilMs);
    return isLost ? handleSlotLost(state, context) : send(state, event.token, [], context);
}

function handleCommandAnswered(
    state: RolloutState,
    event: Extract<RolloutEvent, { kind: RolloutEventKind.CommandAnswered }>,
    context: RolloutContext,
): RolloutAdvance {
    if (!isAwaited(state, RolloutPhase.Command, event.attempt)) {
        return keep(state);
    }
    switch (event.result.kind) {
        case EngineCommandResultKind.Accepted: {
            const isAdapter = state.step?.command.kind === EngineCommandKind.LoadAdapter;
            const untilMs = context.nowMs + (isAdapter ? adapterPatienceMs : 0);
            const fence = { ...state.fence, token: Math.max(state.fence.token, state.target!.generation) };
            const next = { ...updatePhase(state, RolloutPhase.Applying, context, untilMs), fence };
            return keep(next, [{ kind: RolloutEffectKind.ReadBack }]);
        }
        case EngineCommandResultKind.Stale:
            return delay(state, `the engine has seen fencing token ${event.result.newest}`, 0, context);
        case EngineCommandResultKind.Refused:
            return delay(state, `the engine refused a command: ${event.result.message}`, 0, context);
    }
}

function delay(state: RolloutState, reason: string, minMs: number, context: RolloutContext): RolloutAdvance {
    const failures = state.failures + 1;
    // A refusal with a time to wait goes to many endpoints at once, so that time is spread as well.
    const delayMs = Math.max(
        computeBackoff(rolloutBackoff, failures, context.random),
        minMs * (1 + context.random() / 2),
    );
    const released = failures > maxFailuresWithSlot ? release(state) : keep(state);
    const next = updatePhase({ ...released.state, failures }, RolloutPhase.Backoff, context, context.nowMs + delayMs);
    return keep(next, [...released.effects, { kind: RolloutEffectKind.ReportDelay, reason, delayMs }]);
}

function handleTick(state: RolloutState, context: RolloutContext): RolloutAdvance {
    // A process that was paused finds its lease expired here before it does anything else.
    if (state.slot && context.nowMs >= state.slot.validUntilMs) {
        return handleSlotLost(state, context);
    }
    if (state.phase === RolloutPhase.Backoff && context.nowMs >= state.untilMs) {
        return keep(updatePhase(state, RolloutPhase.ReadBack, context), [{ kind: RolloutEffectKind.ReadBack }]);
    }
    const isAsking = state.phase === RolloutPhase.Weights || state.phase === RolloutPhase.Command;
    return isAsking && context.nowMs - state.sinceMs > answerTimeoutMs
        ? delay(state, "no answer came", 0, context)
        : keep(state);
}
