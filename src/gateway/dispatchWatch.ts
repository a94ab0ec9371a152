import { Disposable } from "../base/disposable.js";
import { TimerService } from "../base/timerService.js";
import { EndpointConnections } from "./endpointConnections.js";
import { Place } from "./place.js";
import { startReachabilityWatch } from "./reachabilityWatch.js";
import { createIdleTimer } from "./silenceWatch.js";

/** What watching one request's dispatches needs. */
export interface DispatchWatchOptions {
    readonly timers: TimerService;
    readonly connections: EndpointConnections;
    /** Whether the request may run again; silence says nothing where it may not. */
    readonly isRepeatable: boolean;
    /** Longest pause between two events that is still on time, in milliseconds. */
    readonly pauseAimMs: number;
    /** Called when nothing has come for longer than an endpoint that works needs. */
    readonly onStalled: () => void;
    /** Called when the endpoint accepts no connections any more. */
    readonly onUnreachable: () => void;
}

/** Watches for endpoints that do not go on with a request. */
export interface DispatchWatch extends Disposable {
    /** Starts with a dispatch; ends with `dispose`. */
    start(place: Place): void;
    recordEvent(place: Place): void;
}

/** A first byte that takes this many times its prediction, and the extra beyond it, will not come. */
const firstByteTimeoutFactor = 2.5;
const firstByteTimeoutMarginMs = 500;
/** Reading a long part anew elsewhere costs as much again, so that patience grows with its length. */
const prefillTimeoutFactor = 1;
/** An endpoint that needs longer than this for its first byte is watched meanwhile, in milliseconds. */
const reachabilityCheckThresholdMs = 1_500;
/** A stream without an event for this many pause aims, and at least the extra, will not go on. */
const pauseTimeoutFactor = 3;
const minPauseTimeoutMs = 1_000;

/**
 * Creates the watch of one request, which serves its dispatches one after another.
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

    /** Other engines keep memory for the request, or it is long: both are lost while a dead endpoint is waited for. */
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
                const readMs = prefillTimeoutFactor * place.partMs;
                idleTimer.extend(firstByteTimeoutFactor * place.firstByteMs + firstByteTimeoutMarginMs + readMs);
            }
        },
        recordEvent(place) {
            if (place.reservedTokens === 0) {
                reachabilityWatch?.dispose();
            }
            if (isRepeatable) {
                idleTimer.extend(Math.max(minPauseTimeoutMs, pauseTimeoutFactor * options.pauseAimMs));
            }
        },
        dispose() {
            idleTimer.dispose();
            reachabilityWatch?.dispose();
        },
    };
}
