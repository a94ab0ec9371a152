import { pickByRendezvous } from "../routing/rendezvous.js";

/** Where the log of a feed ended when a gateway read it. An offset means nothing without its era. */
export interface FeedPosition {
    readonly era: number | undefined;
    readonly offset: number;
}

/** How a gateway keeps up with a feed. */
export enum ReadRole {
    /** Reads by itself and tells nobody, because the gateways are too few for shared reads. */
    Alone = "alone",
    /** Reads, and tells the others where the log ended. */
    Reader = "reader",
    /** Reads when the reader's position differs from its own, or when none arrives in time. */
    Follower = "follower",
}

/** What a received position means for a follower. */
export enum PositionVerdict {
    /** The follower has read everything that the reader has. */
    Confirmed = "confirmed",
    /** The follower has to read. */
    Differs = "differs",
    /** It is older than the follower's last read, or than a position received before. */
    Outdated = "outdated",
    /** It may have been received before or during a pause of the process. */
    Void = "void",
}

/** What one gateway knows of one feed: its own last read and the last believed position. Times are monotonic, in ms. */
export interface SharedReads {
    /** Records a successful read of this gateway. */
    recordRead(position: FeedPosition, nowMs: number): void;
    /** Records a position that another gateway has observed at `observedAtMs`. */
    recordPosition(position: FeedPosition, observedAtMs: number): PositionVerdict;
    /** Forgets the received position, for example after a pause. */
    forgetPosition(): void;
    /** Whether a position that differs was received since the last read. */
    isReadDue(): boolean;
    /** Returns the time until which no read is needed, or negative infinity if one is needed now. */
    getRestEndMs(): number;
}

/** Gateways from which on reads are shared. With fewer, the store's load is small and a lost reader is a large part. */
const minGateways = 8;
/**
 * Time between two reads of a reader, as a share of the followers' bound. The rest is for the way of the datagram and
 * for delays of both processes: with a share of 1, followers would read just before the position arrives.
 */
const readerPeriodShare = 0.85;

/**
 * Decides the role of a gateway for a feed. Gateways that hear the same gateways choose the same reader.
 *
 * @param heard addresses of the other gateways of the cell that were heard lately
 * @param knownGateways number of gateways in the deployment
 *
 * @example
 * decideRole("endpoints", "10.1.0.4:7340", exchange.listHeard(1_200), 31);
 */
export function decideRole(
    feed: string,
    ownAddress: string,
    heard: readonly string[],
    knownGateways: number,
): ReadRole {
    if (knownGateways < minGateways || heard.length === 0) {
        return ReadRole.Alone;
    }
    const [reader] = pickByRendezvous(feed, [ownAddress, ...heard], address => address, 1);
    return reader === ownAddress ? ReadRole.Reader : ReadRole.Follower;
}

/**
 * Computes the wait time of a reader's read, in milliseconds, from the usual pause and wait.
 *
 * @example
 * computeReaderWaitMs(0, 1_100); // 935
 */
export function computeReaderWaitMs(pauseMs: number, waitMs: number): number {
    return Math.max(0, Math.round((pauseMs + waitMs) * readerPeriodShare - pauseMs));
}

/**
 * Creates the state of one feed without any read.
 *
 * @param boundMs time after the observation of a position within which a follower reads by itself
 *
 * @example
 * const reads = createSharedReads(1_100);
 * reads.recordRead(cursor, timers.now());
 */
export function createSharedReads(boundMs: number): SharedReads {
    let own: FeedPosition | undefined;
    let lastReadAtMs = Number.NEGATIVE_INFINITY;
    let received: { readonly position: FeedPosition; readonly observedAtMs: number } | undefined;
    let isDue = false;

    return {
        recordRead(position, nowMs) {
            own = position;
            lastReadAtMs = nowMs;
            isDue = false;
        },
        recordPosition(position, observedAtMs) {
            const lastKnownMs = Math.max(lastReadAtMs, received?.observedAtMs ?? lastReadAtMs);
            if (!own || observedAtMs <= lastKnownMs) {
                return PositionVerdict.Outdated;
            }
            received = { position, observedAtMs };
            isDue = position.era !== own.era || position.offset !== own.offset;
            return isDue ? PositionVerdict.Differs : PositionVerdict.Confirmed;
        },
        forgetPosition() {
            received = undefined;
            isDue = false;
        },
        isReadDue: () => isDue,
        getRestEndMs() {
            // A read after the notice can only have gone further. If it has not come as far, the notice was wrong.
            const isReached = own && received && received.position.era === own.era
                && received.position.offset <= own.offset;
            return isReached && !isDue ? received!.observedAtMs + boundMs : Number.NEGATIVE_INFINITY;
        },
    };
}
