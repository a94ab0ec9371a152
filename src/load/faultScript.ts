import { request } from "undici";
import { Disposable } from "../base/disposable.js";
import { TimerService } from "../base/timerService.js";
import { FaultAction, FaultStep } from "./loadPlan.js";

/** Processes and emulators that the fault script can act on, by name. */
export interface FaultTargets {
    /** Process ids. */
    readonly processes: Readonly<Record<string, number>>;
    /** Root URLs of emulators. */
    readonly controls: Readonly<Record<string, string>>;
}

/** A step that was executed, for the report. */
export interface AppliedFault {
    readonly atMs: number;
    readonly action: FaultAction;
    readonly target: string;
    readonly error: string | undefined;
}

/** The fault script of a run. */
export interface FaultScript extends Disposable {
    listApplied(): readonly AppliedFault[];
}

const signalByAction = {
    [FaultAction.Kill]: "SIGKILL",
    [FaultAction.Stop]: "SIGSTOP",
    [FaultAction.Continue]: "SIGCONT",
} as const;

const millisecondsPerSecond = 1000;

/**
 * Starts the fault script of a run. A step whose target is unknown or that fails is reported and does not end the run.
 *
 * @example
 * const script = startFaultScript(plan.faults, targets, timers);
 */
export function startFaultScript(
    steps: readonly FaultStep[],
    targets: FaultTargets,
    timers: TimerService,
): FaultScript {
    const startedMs = timers.now();
    const applied: AppliedFault[] = [];

    async function apply(step: FaultStep): Promise<void> {
        if (step.action === FaultAction.Control) {
            const root = targets.controls[step.target];
            if (root === undefined) {
                throw new Error(`no control URL for ${step.target}`);
            }
            const response = await request(`${root}${step.path}`, {
                method: "POST",
                headers: { "content-type": "application/json" },
                body: JSON.stringify(step.body ?? {}),
            });
            const text = await response.body.text();
            if (response.statusCode >= 300) {
                throw new Error(`${step.target} answered ${response.statusCode}: ${text}`);
            }
            return;
        }
        const processId = targets.processes[step.target];
        if (processId === undefined) {
            throw new Error(`no process named ${step.target}`);
        }
        process.kill(processId, signalByAction[step.action]);
    }

    const timerHandles = steps.map(step =>
        timers.schedule(step.atSeconds * millisecondsPerSecond, () => {
            const atMs = timers.now() - startedMs;
            apply(step).then(
                () => applied.push({ atMs, action: step.action, target: step.target, error: undefined }),
                (error: unknown) =>
                    applied.push({ atMs, action: step.action, target: step.target, error: String(error) }),
            );
        })
    );
    return {
        listApplied: () => applied,
        dispose: () => timerHandles.forEach(handle => handle.dispose()),
    };
}
