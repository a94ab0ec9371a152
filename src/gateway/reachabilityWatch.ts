import { Disposable } from "../base/disposable.js";
import { TimerService } from "../base/timerService.js";

export interface ReachabilityWatchOptions {
    readonly timers: TimerService;
    /** Checks whether the endpoint accepts a connection. */
    readonly connect: () => Promise<boolean>;
    /** Called once, after two consecutive checks have failed. */
    readonly onUnreachable: () => void;
}

/**
 * Time between two checks. With a time-out of 0.4 s for each, a power loss of an endpoint is detected within 2.4 s.
 * That is within the 4 s after which memory that is still reserved for it counts as leaked.
 */
const checkIntervalMs = 1_000;
/** A single SYN packet may be lost, but rarely two in a row to an endpoint that works. */
const failureThreshold = 2;

/**
 * Checks at intervals whether an endpoint that has not finished an answer still accepts connections. The connection of
 * the request reports no error when the endpoint loses power, and the prefill of a long prompt takes seconds in which
 * no byte is sent.
 *
 * @example
 * const watch = startReachabilityWatch({ timers, connect: () => connections.checkConnection(address), onUnreachable });
 */
export function startReachabilityWatch(options: ReachabilityWatchOptions): Disposable {
    let failures = 0;
    let isDisposed = false;
    let isChecking = false;
    const checks = options.timers.subscribe(checkIntervalMs, () => {
        if (!isChecking) {
            isChecking = true;
            void check();
        }
    });

    async function check(): Promise<void> {
        const isReachable = await options.connect();
        isChecking = false;
        failures = isReachable ? 0 : failures + 1;
        if (!isDisposed && failures >= failureThreshold) {
            dispose();
            options.onUnreachable();
        }
    }

    function dispose(): void {
        isDisposed = true;
        checks.dispose();
    }

    return { dispose };
}
