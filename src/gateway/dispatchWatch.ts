import { Disposable } from "../base/disposable.js";
import { TimerService } from "../base/timerService.js";
import { EndpointConnections } from "./endpointConnections.js";
import { createIdleTimer } from "./idleTimer.js";
import { Place } from "./place.js";
import { startReachabilityWatch } from "./reachabilityWatch.js";

export interface DispatchWatchOptions {
    readonly timers: TimerService;
    readonly connections: EndpointConnections;
    /**
     * Whether the request may run again. A stall is reported only if it may, since nothing could be done about it
     * otherwise.
     */
    readonly isRepeatable: boolean;
    /** Target for the longest gap between two events, in milliseconds. */
    readonly gapTargetMs: number;
    /** Called when an endpoint has sent nothing for longer than a healthy one would need. */
    readonly onStalled: () => void;
    /** Called when the endpoint no longer accepts connections. */
    readonly onUnreachable: () => void;
}

/** Detects endpoints that have stopped making progress with a request. */
export interface DispatchWatch extends Disposable {
    /** Starts watching a dispatch, until `dispose` is called. */
    start(place: Place): void;
    recordEvent(place: Place): void;
    /** Delays the report of a stall by a short time. An event that arrives meanwhile prevents it. */
    delay(): void;
}

/** The first byte times out after this multiple of its predicted time plus the margin. */
const firstByteTimeoutFactor = 2.5;
const firstByteTimeoutMarginMs = 500;
/**
 * Share of the predicted prefill time that is added to the time-out. Repeating a long prefill on another endpoint costs
 * that time again, so long prompts are given more time before they are moved.
 */
const prefillTimeoutFactor = 1;
/** Predicted first-byte time above which the reachability of the endpoint is checked meanwhile, in milliseconds. */
const reachabilityCheckThresholdMs = 1_500;
/** A stream times out after this multiple of its gap target without an event, but not before the minimum. */
const gapTimeoutFactor = 3;
const minGapTimeoutMs = 1_000;
/** Delay before a stall is reported again that nothing could be done about, in milliseconds. */
const stallRecheckMs = 250;

/**
 * Creates the watch of one request. It is reused for the request's dispatches, one after another.
 *
 * @example
 * const watch = createDispatchWatch(options);
 * watch.start(place);
 * watch.recordEvent(place);
 * watch.dispose();
 */
export function createDispatchWatch(options: DispatchWatchOptions): DispatchWatch {
    const { timers, connections, isRepeatable } = options;
    const idleTimer = createIdleTimer(timers, options.onStalled);
    let reachabilityWatch: Disposable | undefined;

    /**
     * Checks reachability where waiting for a dead endpoint is expensive: when helpers keep memory reserved for the
     * request, or when its first byte takes long.
     */
    function watchReachability(place: Place): void {
        if (place.reservedTokens > 0 || place.firstByteMs > reachabilityCheckThresholdMs) {
            reachabilityWatch = startReachabilityWatch({
                timers,
                connect: () => connections.checkConnection(place.endpoint.address),
                onUnreachable: options.onUnreachable,
            });
        }
    }

    return {
        start(place) {
            watchReachability(place);
            if (isRepeatable) {
                const prefillMs = prefillTimeoutFactor * place.partMs;
                idleTimer.extend(firstByteTimeoutFactor * place.firstByteMs + firstByteTimeoutMarginMs + prefillMs);
            }
        },
        recordEvent(place) {
            if (place.reservedTokens === 0) {
                reachabilityWatch?.dispose();
            }
            if (isRepeatable) {
                idleTimer.extend(Math.max(minGapTimeoutMs, gapTimeoutFactor * options.gapTargetMs));
            }
        },
        delay: () => idleTimer.extend(stallRecheckMs),
        dispose() {
            idleTimer.dispose();
            reachabilityWatch?.dispose();
        },
    };
}
