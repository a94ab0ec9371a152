import { ErrorCode } from "../base/requestError.js";
import { TimerService, waitFor } from "../base/timerService.js";
import { Verdict } from "../base/verdict.js";
import { LinkMessageType, SidecarMessage } from "../link/messages.js";
import { Work, WorkListener, WorkRunner } from "./work.js";

/** A call that was running when its service ended. */
export interface CrashedCall {
    readonly work: Work;
    /** Time for which it had been running, in milliseconds. */
    readonly runningMs: number;
}

export interface ServiceCrashWatchParts {
    readonly timers: TimerService;
    /** Checks whether a process accepts connections at the service's address. */
    readonly isServiceRunning: () => Promise<boolean>;
    /** Called once for each end of the service, before the ends of the calls are reported. */
    readonly handleCrash: (calls: readonly CrashedCall[]) => void;
}

interface RunningCall {
    readonly work: Work;
    readonly startedAtMs: number;
}

/**
 * Delays between the checks whether the service has ended, in milliseconds. The service closes its connections before its
 * address, and may be started again within some hundred milliseconds.
 */
const checkDelaysMs: readonly number[] = [0, 10, 20, 40, 80];

/**
 * Wraps the runner of a plain service, so that the end of the service is recognised: a call ends without an answer, and then
 * connections are refused. The ends of such calls are held back until that is known, because an entry sends a call again
 * at once, to another instance, unless it has been told of the crash.
 *
 * @example
 * const run = watchServiceCrashes(createServiceRunner(service, timers), parts);
 */
export function watchServiceCrashes(runner: WorkRunner, parts: ServiceCrashWatchParts): WorkRunner {
    const { timers } = parts;
    const running = new Set<RunningCall>();
    /** Calls that ended without an answer since the check in progress began. */
    let unanswered: RunningCall[] = [];
    let check: Promise<void> | undefined;
    /** Calls whose service is known to have ended. Their own ends show nothing new. */
    const reported = new WeakSet<RunningCall>();

    async function checkService(): Promise<void> {
        const firstAtMs = timers.now();
        for (const delayMs of checkDelaysMs) {
            await waitFor(timers, delayMs);
            if (!await parts.isServiceRunning()) {
                // Calls that began later may have reached the next process.
                const calls = [...unanswered, ...running].filter(({ startedAtMs }) => startedAtMs <= firstAtMs);
                calls.forEach(call => reported.add(call));
                parts.handleCrash(
                    calls.map(({ work, startedAtMs }) => ({ work, runningMs: firstAtMs - startedAtMs })),
                );
                return;
            }
        }
    }

    function waitForCheck(call: RunningCall): Promise<void> {
        unanswered.push(call);
        check ??= checkService().catch(() => undefined).finally(() => {
            check = undefined;
            unanswered = [];
        });
        return check;
    }

    return (work, listener) => {
        const call = { work, startedAtMs: timers.now() };
        running.add(call);
        const watched: WorkListener = {
            handleItems: items => listener.handleItems(items),
            handleEnd(messages, outputTokens) {
                running.delete(call);
                if (reported.has(call) || !messages.some(isUnanswered)) {
                    listener.handleEnd(messages, outputTokens);
                    return;
                }
                void waitForCheck(call).then(() => listener.handleEnd(messages, outputTokens));
            },
        };
        return runner(work, watched);
    };
}

function isUnanswered(message: SidecarMessage): boolean {
    return message.type === LinkMessageType.End && message.verdict === Verdict.MayHaveRun
        && message.code === ErrorCode.EndpointFailed;
}
