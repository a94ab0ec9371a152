import { Disposable } from "../base/disposable.js";
import { TimerService } from "../base/timerService.js";
import { EndpointConnections } from "./endpointConnections.js";
import { Place } from "./place.js";
import { startReachabilityWatch } from "./reachabilityWatch.js";
import { createSilenceWatch } from "./silenceWatch.js";

/** What watching one request's dispatches needs. */
export interface DispatchWatchOptions {
    readonly timers: TimerService;
    readonly connections: EndpointConnections;
    /** Whether the request may run again; silence says nothing where it may not. */
    readonly isRepeatable: boolean;
    /** Longest pause between two events that is still on time, in milliseconds. */
    readonly pauseAimMs: number;
    /** Called when nothing has come for longer than an endpoint that works needs. */
    readonly onSilence: () => void;
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
const silenceFactor = 2.5;
const silenceExtraMs = 500;
/** Reading a long part anew elsewhere costs as much again, so that patience grows with its length. */
const silenceReadFactor = 1;
/** An endpoint that needs longer than this for its first byte is watched meanwhile, in milliseconds. */
const unwatchedFirstByteMs = 1_500;
/** A stream without an event for this many pause aims, and at least the extra, will not go on. */
const pauseSilenceFactor = 3;
const leastPauseSilenceMs = 1_000;

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
    const silence = createSilenceWatch(timers, options.onSilence);
    let reachability: Disposable | undefined;

    /** Other engines keep memory for the request, or it is long: both are lost while a dead endpoint is waited for. */
    function watchReachability(place: Place): void {
        if (place.reservedTokens > 0 || place.firstByteMs > unwatchedFirstByteMs) {
            reachability = startReachabilityWatch({
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
                const readMs = silenceReadFactor * place.partMs;
                silence.extend(silenceFactor * place.firstByteMs + silenceExtraMs + readMs);
            }
        },
        recordEvent(place) {
            if (place.reservedTokens === 0) {
                reachability?.dispose();
            }
            if (isRepeatable) {
                silence.extend(Math.max(leastPauseSilenceMs, pauseSilenceFactor * options.pauseAimMs));
            }
        },
        dispose() {
            silence.dispose();
            reachability?.dispose();
        },
    };
}
