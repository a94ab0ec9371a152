import { Disposable } from "../base/disposable.js";
import { TimerService } from "../base/timerService.js";

/** What watching an endpoint needs. */
export interface ReachabilityWatchOptions {
    readonly timers: TimerService;
    /** Tells whether the endpoint accepts a connection. */
    readonly connect: () => Promise<boolean>;
    /** Called once, after two checks in a row have failed. */
    readonly onUnreachable: () => void;
}

/**
 * Time between two checks. With a time-out of 0.4 s for each, an endpoint without power is noticed in 2.4 s, within the
 * four seconds after which memory that is set aside for it counts as leaked.
 */
const checkIntervalMs = 1_000;
/** One opening packet may be lost; two of an endpoint that works are rarely lost in a row. */
const failureThreshold = 2;

/**
 * Watches whether an endpoint that owes an answer still accepts connections. The connection that carries the request shows
 * nothing when the endpoint loses power, and a long prompt is read for seconds without any byte.
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
