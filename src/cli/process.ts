import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";

/**
 * Resolves with the name of the first stop signal. After a second SIGTERM or SIGINT the process ends when `interrupt` is
 * done, after a third at once. SIGHUP, which a closed terminal or a supervisor that reloads may send beside a stop, counts
 * only as a first signal.
 *
 * @param interrupt ends what is in progress
 */
export function waitForStopSignal(interrupt: () => Promise<void> = () => Promise.resolve()): Promise<string> {
    return new Promise(resolve => {
        let received = 0;
        for (const signal of ["SIGTERM", "SIGINT"] as const) {
            process.on(signal, () => {
                received++;
                resolve(signal);
                if (received === 2) {
                    // The drain may end in the same moment.
                    process.once("exit", () => {
                        process.exitCode = 1;
                    });
                    void interrupt().finally(() => process.exit(1));
                }
                else if (received > 2) {
                    process.exit(1);
                }
            });
        }
        process.on("SIGHUP", resolve);
    });
}

/** Logs unhandled errors instead of exiting, so that one malformed message cannot end the process. */
export function logUnhandledErrors(log: EventLog): void {
    process.on(
        "unhandledRejection",
        error => log(LogEvent.TaskFailed, { task: "promise", error: describeError(error) }),
    );
    process.on("uncaughtException", error => log(LogEvent.TaskFailed, { task: "event", error: describeError(error) }));
}

function describeError(error: unknown): string {
    return error instanceof Error ? error.stack ?? error.message : String(error);
}
