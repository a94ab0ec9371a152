/** What the host of a gateway provides. A field that is absent imposes no limit. */
export interface HostCapacity {
    /** Whether processor time is limited, so that the event loop delay has a limit. */
    readonly isProcessorLimited: boolean;
    /** Memory above which the process is killed. */
    readonly memoryBytes: number;
    readonly linkBytesPerMs?: number;
    readonly maxDescriptors: number;
}

/** State of a gateway's own process and connections. */
export interface HostMeasures {
    /** Average delay of the event loop, in milliseconds. */
    readonly loopDelayMs: number;
    readonly heldBytes: number;
    /** Bytes that wait at sockets because the link is busy. */
    readonly waitingBytes: number;
    /** File descriptors of connections. */
    readonly descriptors: number;
}

/** Values of the measures above which a gateway sheds load. Infinite where there is no limit. */
export type HostLimits = HostMeasures;

/** What a gateway accepts. The numbers are on the wire and are exported as a gauge. */
export enum PressureState {
    None = 0,
    /** No new very long prompts, which hold the most bytes. */
    NoLongPrompts = 1,
    /** Only requests that can be on time. */
    OnTimeOnly = 2,
    /** As before; the other gateways have been told that this one is about to become unready. */
    Applying = 3,
    /** As before, and the load balancer is asked for no further connections. */
    Unready = 4,
}

/** Share of the shortest first-event target that may pass before an event is handled. */
const loopDelayShare = 1 / 5;
const memoryShare = 0.8;
/** Time that the waiting bytes may take on the link, in milliseconds. */
const linkWaitMs = 250;
const descriptorShare = 0.9;
/** Descriptors of files, listening sockets and the store. */
const otherDescriptors = 200;
/** Share of memory and descriptors above which further requests would endanger those that have been accepted. */
const exhaustedShare = 0.95;

/**
 * Computes the limits of a host.
 *
 * @param shortestTargetMs shortest first-event target of the configuration; absent if there is none
 *
 * @example
 * computeHostLimits(capacity, 400).loopDelayMs; // 80
 */
export function computeHostLimits(capacity: HostCapacity, shortestTargetMs: number | undefined): HostLimits {
    const hasDelayLimit = capacity.isProcessorLimited && shortestTargetMs !== undefined;
    return {
        loopDelayMs: hasDelayLimit ? shortestTargetMs * loopDelayShare : Number.POSITIVE_INFINITY,
        heldBytes: capacity.memoryBytes * memoryShare,
        waitingBytes: (capacity.linkBytesPerMs ?? Number.POSITIVE_INFINITY) * linkWaitMs,
        descriptors: Math.max(1, (capacity.maxDescriptors - otherDescriptors) * descriptorShare),
    };
}

/**
 * Computes the largest quotient of a measure and its limit. A limit is exceeded from 1 on.
 *
 * @example
 * computePressure({ ...measures, loopDelayMs: 60 }, { ...limits, loopDelayMs: 40 }); // 1.5
 */
export function computePressure(measures: HostMeasures, limits: HostLimits): number {
    return Math.max(
        measures.loopDelayMs / limits.loopDelayMs,
        measures.heldBytes / limits.heldBytes,
        measures.waitingBytes / limits.waitingBytes,
        measures.descriptors / limits.descriptors,
    );
}

/** Share of what the link carries from which it is busy. Below, bytes wait because customers or endpoints read slowly. */
const busyLinkShare = 0.5;

/**
 * Computes the bytes that wait because the link is busy.
 *
 * @param sentBytes bytes that the operating system took from the sockets in the last `elapsedMs`
 *
 * @example
 * computeWaitingBytes({ unsentBytes: 500_000, sentBytes: 0, elapsedMs: 500 }, 1_750); // 0
 */
export function computeWaitingBytes(
    { unsentBytes, sentBytes, elapsedMs }: SocketUse,
    linkBytesPerMs = Number.POSITIVE_INFINITY,
): number {
    return sentBytes >= busyLinkShare * linkBytesPerMs * elapsedMs ? unsentBytes : 0;
}

/** What the sockets of a process have done in a period. */
export interface SocketUse {
    readonly unsentBytes: number;
    readonly sentBytes: number;
    readonly elapsedMs: number;
}

/** What another gateway has said about its pressure. */
export interface PeerPressure {
    readonly address: string;
    readonly state: PressureState;
}

/** Gateways that a gateway hears from, and what they have said. */
export interface PressurePeers {
    readonly ownAddress: string;
    readonly heard: readonly string[];
    readonly pressed: readonly PeerPressure[];
}

/** Largest share of the gateways heard from, this one included, that are unready because of pressure. */
const maxUnreadyShare = 1 / 3;

/**
 * Decides whether this gateway may be unready because of pressure. Those that apply at the same time are ordered by their
 * addresses, so that all come to the same result.
 *
 * Load pattern: all hosts of a data centre exceed their limits at once.
 *
 * @example
 * isUnreadyAllowed({ ownAddress: "10.0.0.1:7", heard: ["10.0.0.2:7", "10.0.0.3:7"], pressed: [] }, false); // true
 */
export function isUnreadyAllowed({ ownAddress, heard, pressed }: PressurePeers, isUnready: boolean): boolean {
    const allowed = Math.floor((heard.length + 1) * maxUnreadyShare);
    const isBefore = ({ address, state }: PeerPressure) =>
        state === PressureState.Unready
            ? !isUnready || address < ownAddress
            : state === PressureState.Applying && !isUnready && address < ownAddress;
    return pressed.filter(peer => heard.includes(peer.address) && isBefore(peer)).length < allowed;
}

/** State of pressure over time. */
export interface PressureTracker {
    /** Decides the state for the pressure measured now. */
    advance(pressure: number, peers: PressurePeers, nowMs: number): PressureState;
    getState(): PressureState;
    /** Returns when the state began. */
    getSinceMs(): number;
    /** Returns whether the readiness check fails. Its longest time ends even if the event loop is late. */
    isUnready(nowMs: number): boolean;
}

/** Shortest time in a state, in milliseconds. It exceeds the time in which applications reach all gateways. */
export const minPressureStateMs = 1_000;
/** Pressure below which a state ends. The distance to 1 avoids changes back and forth. */
const releasedPressure = 0.8;
/** Pressure from which what cannot be on time is refused without a second in the state between. */
const severePressure = 2;
export const maxUnreadyMs = 4_000;
/** Ready time after an unready one, as a multiple of it. A gateway that is unready for over an eighth misses a duty. */
const readyFactor = 8;

/**
 * Creates a tracker without pressure.
 *
 * Load patterns: a burst that only small hosts cannot carry, steady load above what a host carries, all hosts over their
 * limits at once.
 *
 * @example
 * const state = createPressureTracker(timers.now()).advance(computePressure(measures, limits), peers, timers.now());
 */
export function createPressureTracker(startMs: number): PressureTracker {
    let state = PressureState.None;
    let sinceMs = startMs - minPressureStateMs;
    // The share of the time holds from the start on.
    let nextUnreadyAtMs = startMs + maxUnreadyMs * readyFactor;

    function decideStep(pressure: number, peers: PressurePeers, nowMs: number): PressureState {
        if (state === PressureState.Unready) {
            const isOver = pressure < releasedPressure || nowMs - sinceMs >= maxUnreadyMs;
            return isOver || !isUnreadyAllowed(peers, true) ? PressureState.OnTimeOnly : state;
        }
        if (pressure < 1) {
            return pressure < releasedPressure ? Math.max(PressureState.None, state - 1) : state;
        }
        if (state === PressureState.OnTimeOnly) {
            return nowMs < nextUnreadyAtMs ? state : PressureState.Applying;
        }
        if (state === PressureState.Applying) {
            return isUnreadyAllowed(peers, false) ? PressureState.Unready : state;
        }
        return pressure >= severePressure ? PressureState.OnTimeOnly : state + 1;
    }

    return {
        advance(pressure, peers, nowMs) {
            const next = nowMs - sinceMs < minPressureStateMs ? state : decideStep(pressure, peers, nowMs);
            if (next !== state) {
                if (state === PressureState.Unready) {
                    nextUnreadyAtMs = nowMs + (nowMs - sinceMs) * readyFactor;
                }
                state = next;
                sinceMs = nowMs;
            }
            return state;
        },
        getState: () => state,
        getSinceMs: () => sinceMs,
        isUnready: nowMs => state === PressureState.Unready && nowMs - sinceMs < maxUnreadyMs,
    };
}

/** Request on whose acceptance a gateway decides before it reads the body. */
export interface PressedRequest {
    /** Whether its prompt is very long. */
    readonly isLong: boolean;
    readonly bodyBytes: number;
    /** Time until its first event is due, or its answer, in milliseconds. */
    readonly remainingMs: number;
    /** Least time that an endpoint needs until then, in milliseconds. */
    readonly leastServiceMs: number;
}

/** Why a gateway refuses a request because of pressure. */
export enum PressureRefusal {
    MemoryExhausted = "memory-exhausted",
    DescriptorsExhausted = "descriptors-exhausted",
    LongPrompt = "long-prompt",
    TooLate = "too-late",
}

/** State of a host on which the acceptance of a request depends. */
export interface HostCondition {
    readonly state: PressureState;
    readonly capacity: HostCapacity;
    readonly limits: HostLimits;
    readonly measures: HostMeasures;
    /** Delay of the event loop now, in milliseconds. The average follows changes too slowly for a prediction. */
    readonly currentDelayMs: number;
}

/** A body is held in pieces and, when it is complete, in one. */
const bodyCopies = 2;
/** Events of a request that wait for the event loop: it has to be read, and so has the answer of its endpoint. */
const loopTurns = 2;

/**
 * Decides whether a request is refused because of pressure. One that can be on time is refused only if memory or descriptors
 * would be exhausted otherwise, or if its prompt is very long while they exceed their limits.
 *
 * @example
 * decidePressureRefusal(condition, { isLong: false, bodyBytes: 2_000, remainingMs: 400, leastServiceMs: 20 });
 */
export function decidePressureRefusal(condition: HostCondition, request: PressedRequest): PressureRefusal | undefined {
    const { state, capacity, limits, measures } = condition;
    if (state === PressureState.None) {
        return undefined;
    }
    if (measures.heldBytes + bodyCopies * request.bodyBytes > exhaustedShare * capacity.memoryBytes) {
        return PressureRefusal.MemoryExhausted;
    }
    if (measures.descriptors + otherDescriptors > exhaustedShare * capacity.maxDescriptors) {
        return PressureRefusal.DescriptorsExhausted;
    }
    if (request.isLong && (measures.heldBytes > limits.heldBytes || measures.descriptors > limits.descriptors)) {
        return PressureRefusal.LongPrompt;
    }
    const linkMs = capacity.linkBytesPerMs === undefined ? 0 : measures.waitingBytes / capacity.linkBytesPerMs;
    const leastMs = loopTurns * condition.currentDelayMs + linkMs + request.leastServiceMs;
    const isChecked = state >= PressureState.OnTimeOnly || request.isLong;
    return isChecked && leastMs > request.remainingMs ? PressureRefusal.TooLate : undefined;
}
