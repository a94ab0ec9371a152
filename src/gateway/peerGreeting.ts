import { Disposable } from "../base/disposable.js";
import { scheduleInRunningTime } from "../base/runningTime.js";
import { TimerService } from "../base/timerService.js";
import { PeerNotices } from "./peerNotices.js";

/** Holds back the first requests of a starting gateway until the other gateways have told it what is in force. */
export interface PeerGreeting extends Disposable {
    /** Applies the number of other gateways that the store lists. */
    applyPeers(count: number): void;
    /** Calls `onDone` once the others have had time to answer, or when the list of gateways does not arrive. */
    wait(onDone: () => void): void;
    /** Returns whether the wait is over. A gateway is not ready before: requests that it holds would start all at once. */
    isDone(): boolean;
}

/** Time that the others have to answer, in milliseconds. Gateways of an older version do not answer. */
const answerMs = 100;
/** What gateways say in the topic of greetings. */
enum Greeting {
    /** Asks for the notices in force. */
    Ask = "ask",
    /** The notices in force were sent before this. */
    Told = "told",
}

/** Time after which the list of gateways is no longer waited for, in milliseconds. The store may lack it. */
const maxListWaitMs = 300;

/**
 * Creates the greeting of a starting gateway.
 *
 * @example
 * const greeting = createPeerGreeting(timers, exchange.notices);
 * greeting.applyPeers(3);
 * greeting.wait(() => startupGate.open()); // opens when one of the others has answered, or after 100 ms
 */
export function createPeerGreeting(timers: TimerService, notices: PeerNotices): PeerGreeting {
    const waits = new Set<Disposable>();
    let onDone: (() => void) | undefined;
    let isListed = false;
    let isDone = false;
    const publisher = notices.register<Greeting>({
        name: "greeting",
        isForAllCells: false,
        isValid: (value): value is Greeting => value === Greeting.Ask || value === Greeting.Told,
        onReceived(greetings, { address }) {
            if (greetings.includes(Greeting.Ask)) {
                // The store's list may not have the asking gateway yet.
                notices.repeat(address);
                publisher.publish([Greeting.Told], address);
            }
            else if (isListed) {
                finish();
            }
        },
        listCurrent: () => [],
    });

    function endWaits(): void {
        waits.forEach(timeout => timeout.dispose());
        waits.clear();
    }

    function finish(): void {
        endWaits();
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
            publisher.publish([Greeting.Ask]);
            waits.add(scheduleInRunningTime(timers, answerMs, finish));
        },
        wait(call) {
            if (isDone) {
                call();
                return;
            }
            onDone = call;
            waits.add(scheduleInRunningTime(timers, maxListWaitMs, finish));
        },
        isDone: () => isDone,
        dispose: endWaits,
    };
}
