import { Disposable } from "../base/disposable.js";
import { TimerService } from "../base/timerService.js";

/** Holds back the first requests of a starting gateway until the other gateways have told it what is in force. */
export interface PeerGreeting extends Disposable {
    /** Applies the number of other gateways that the store lists. */
    applyPeers(count: number): void;
    /** Calls `onDone` once the others have had time to answer, or when the list of gateways does not arrive. */
    wait(onDone: () => void): void;
}

/** Time that the others have to answer, in milliseconds. They answer within about 10 ms. */
const answerMs = 100;
/** Time after which the list of gateways is no longer waited for, in milliseconds. The store may lack it. */
const maxListWaitMs = 300;

/**
 * Creates the greeting of a starting gateway.
 *
 * @param announce makes this gateway known to the others
 *
 * @example
 * const greeting = createPeerGreeting(timers, () => exchange.announce());
 * greeting.applyPeers(3);
 * greeting.wait(() => startupGate.open()); // opens after 100 ms
 */
export function createPeerGreeting(timers: TimerService, announce: () => void): PeerGreeting {
    const scheduled: Disposable[] = [];
    let onDone: (() => void) | undefined;
    let isListed = false;
    let isDone = false;

    function finish(): void {
        isDone = true;
        onDone?.();
        onDone = undefined;
    }

    return {
        applyPeers(count) {
            if (isListed) {
                return;
            }
            isListed = true;
            if (count === 0) {
                finish();
                return;
            }
            announce();
            scheduled.push(timers.schedule(answerMs, finish));
        },
        wait(call) {
            if (isDone) {
                call();
                return;
            }
            onDone = call;
            scheduled.push(timers.schedule(maxListWaitMs, finish));
        },
        dispose: () => scheduled.forEach(timer => timer.dispose()),
    };
}
