import { TimerService } from "../base/timerService.js";
import { restartMs } from "../scheduling/drainAdmission.js";
import { PeerNotices } from "./peerNotices.js";

/** Planned stops of this gateway and the others, so that refused customers come back to a process that is there. */
export interface PeerStops {
    /**
     * Tells the other gateways that this one stops, and when it is expected to have ended, in milliseconds from now.
     * This is repeated with each snapshot.
     */
    publish(getExpectedEndMs: () => number): void;
    /**
     * Returns when a process that does not stop is expected to take requests, in milliseconds from now: 0 if another
     * gateway is heard of that does not stop. `ownEndMs` is when this process is expected to have ended.
     */
    getReturnMs(ownEndMs: number): number;
}

export interface PeerStopsOptions {
    readonly timers: TimerService;
    readonly notices: PeerNotices;
    /** Address at which this gateway receives messages. */
    readonly address: string;
    /** Lists the addresses of the other gateways of the cell whose last message is no older than `maxSilenceMs`. */
    readonly listHeard: (maxSilenceMs: number) => readonly string[];
}

/** What a gateway says in the topic of stops. */
enum StopState {
    Stays = 0,
    Stops = 1,
}

/** State, and the time until the expected end of a gateway that stops, in milliseconds. */
type StopNotice = [state: StopState, remainingMs: number];

interface PeerStop {
    readonly incarnation: string;
    readonly endsAtMs: number;
}

/** Time without a message, of two snapshots, after which another gateway is not heard of, in milliseconds. */
const maxPeerSilenceMs = 1_200;
/** Longest announced time until the end, in milliseconds. */
const maxRemainingMs = 3_600_000;
/** Stops that are remembered at the same time. */
const maxStops = 256;
/** Time after its start for which a gateway says that it does not stop, in milliseconds: many snapshots. */
const introductionMs = 10_000;

function isStopNotice(value: unknown): value is StopNotice {
    return Array.isArray(value) && typeof value[0] === "number" && StopState[value[0]] !== undefined
        && typeof value[1] === "number" && value[1] >= 0 && value[1] <= maxRemainingMs;
}

/**
 * Creates the exchange of planned stops. A gateway that has just started says that it does not stop: the others would
 * otherwise hold it for its previous run, which may have ended sooner than announced.
 *
 * @example
 * const peerStops = createPeerStops({ timers, notices: exchange.notices, address, listHeard });
 * peerStops.publish(() => endsAtMs - timers.now());
 * peerStops.getReturnMs(7_600); // 0 while another gateway stays
 */
export function createPeerStops({ timers, notices, address, listHeard }: PeerStopsOptions): PeerStops {
    const startedAtMs = timers.now();
    const stops = new Map<string, PeerStop>();
    let getOwnEndMs: (() => number) | undefined;

    const publisher = notices.register<StopNotice>({
        name: "stop",
        isForAllCells: false,
        isValid: isStopNotice,
        onReceived([notice], { address: sender, incarnation }) {
            const [state, remainingMs] = notice!;
            forgetEnded();
            if (state === StopState.Stays) {
                removeStop(sender, incarnation);
            }
            else if (stops.has(sender) || stops.size < maxStops) {
                stops.set(sender, { incarnation, endsAtMs: timers.now() + remainingMs });
            }
        },
        listCurrent: () => getOwnEndMs || timers.now() - startedAtMs <= introductionMs ? [makeNotice()] : [],
    });

    function makeNotice(): StopNotice {
        if (!getOwnEndMs) {
            return [StopState.Stays, 0];
        }
        const remainingMs = Math.round(getOwnEndMs());
        return [StopState.Stops, Math.min(Math.max(remainingMs, 0), maxRemainingMs)];
    }

    /** Removes the stop of an earlier run. A stop is final, so that a late message of the same run does not end it. */
    function removeStop(sender: string, incarnation: string): void {
        if (stops.get(sender)?.incarnation !== incarnation) {
            stops.delete(sender);
        }
    }

    /**
     * Forgets the processes that should be back. Those that are heard of from then on do not stop: `restartMs` is
     * longer than `maxPeerSilenceMs`, so that their messages are from after the announced end.
     */
    function forgetEnded(): void {
        const nowMs = timers.now();
        [...stops].filter(([, stop]) => nowMs > stop.endsAtMs + restartMs).forEach(([peer]) => stops.delete(peer));
    }

    return {
        publish(getExpectedEndMs) {
            getOwnEndMs = getExpectedEndMs;
            publisher.publish([makeNotice()]);
        },
        getReturnMs(ownEndMs) {
            forgetEnded();
            if (listHeard(maxPeerSilenceMs).some(peer => peer !== address && !stops.has(peer))) {
                return 0;
            }
            const nowMs = timers.now();
            const endsMs = [...stops.values()].map(stop => stop.endsAtMs - nowMs);
            return Math.min(Math.max(ownEndMs, 0), ...endsMs) + restartMs;
        },
    };
}
