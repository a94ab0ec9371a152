import { z } from "zod";
import { Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { Metrics } from "../base/metrics.js";
import { TimerService, waitFor } from "../base/timerService.js";
import { createPauseDetector } from "../membership/pauseDetector.js";
import {
    computeReaderWaitMs,
    createSharedReads,
    decideRole,
    FeedPosition,
    PositionVerdict,
    ReadRole,
} from "../membership/sharedReads.js";
import { LoadExchange } from "./loadExchange.js";

/** Part of one follower of a feed in the shared reads. */
export interface SharedFeed extends Disposable {
    /** Returns the wait time of the next read, in milliseconds. */
    getWaitMs(): number;
    /** Records a successful read, and tells the others its position if this gateway is the reader. */
    recordRead(position: FeedPosition, startedAtMs: number): void;
    /** Waits until a read is needed. Resolves at once where this gateway has to read by itself. */
    rest(): Promise<void>;
}

/** Timing of reads without sharing, in milliseconds. */
interface UsualTiming {
    readonly waitMs: number;
    readonly pauseMs: number;
}

/** Shares the reads of feeds among gateways, so that one of them reads and the others read when something was written. */
export interface FeedSharing extends Disposable {
    /** Adds a feed. Its name is on the wire. */
    register(name: string, timing: UsualTiming): SharedFeed;
}

export interface FeedSharingOptions {
    /** Address at which this gateway receives messages. */
    readonly address: string;
    readonly exchange: Pick<LoadExchange, "notices" | "listHeard">;
    /** Counts the gateways of the deployment. */
    readonly countKnown: () => number;
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly random: () => number;
}

/** Time without a message, of two snapshots, after which another gateway is not chosen as reader, in milliseconds. */
const maxReaderSilenceMs = 1_200;
/** Time over which the reads of followers are spread after a position that differs, in milliseconds. */
const readSpreadMs = 50;
const checkIntervalMs = 100;
/**
 * Time between two checks that counts as a pause, in milliseconds. A position can be that much older than it seems, which
 * the bounds of feeds leave room for; a busy process that is taken for a paused one only reads more often.
 */
const pauseThresholdMs = 400;
/** Time after a pause in which the socket may still hold datagrams that arrived during the pause, in milliseconds. */
const staleDatagramsMs = 200;

/** Feed, era, end offset, and time since the observation in milliseconds. */
const noticeSchema = z.tuple([
    z.string().max(32),
    z.number().int().nullable(),
    z.number().int().nonnegative(),
    z.number().nonnegative().max(60_000),
]);

type PositionNotice = z.infer<typeof noticeSchema>;

interface RegisteredFeed {
    receive(position: FeedPosition, observedAtMs: number): void;
    /** Ends a rest that is no longer justified. */
    check(): void;
    forgetPosition(): void;
}

/**
 * Starts the shared reads of a gateway, at first without feeds.
 *
 * @example
 * const sharing = createFeedSharing({ address, exchange, countKnown, timers, log, metrics, random });
 * followFeed({ name: "endpoints", feed, timing, timers, log, listener, sharing });
 */
export function createFeedSharing(options: FeedSharingOptions): FeedSharing {
    const { timers, log, metrics } = options;
    const feeds = new Map<string, RegisteredFeed>();
    const pauseDetector = createPauseDetector(pauseThresholdMs, timers.now());
    let lastPauseEndMs = Number.NEGATIVE_INFINITY;

    function isPauseRecent(nowMs: number): boolean {
        return pauseDetector.isSuspect(nowMs) || nowMs < lastPauseEndMs + staleDatagramsMs;
    }

    const publisher = options.exchange.notices.register<PositionNotice>({
        name: "position",
        // A reader for each cell: one for all would send each position to every gateway of the deployment.
        isForAllCells: false,
        isValid: (value): value is PositionNotice => noticeSchema.safeParse(value).success,
        onReceived(notices) {
            const nowMs = timers.now();
            for (const [name, era, offset, ageMs] of notices) {
                feeds.get(name)?.receive({ era: era ?? undefined, offset }, nowMs - ageMs);
            }
        },
        // The next read confirms the position and sends it again. A repeat in between would say nothing new.
        listCurrent: () => [],
    });

    const checkTimer = timers.subscribe(checkIntervalMs, () => {
        if (pauseDetector.observe(timers.now()) > 0) {
            lastPauseEndMs = timers.now();
            feeds.forEach(feed => feed.forgetPosition());
        }
        feeds.forEach(feed => feed.check());
    });

    function register(name: string, timing: UsualTiming): SharedFeed {
        const boundMs = timing.pauseMs + timing.waitMs;
        const reads = createSharedReads(boundMs);
        let role = ReadRole.Alone;
        let hasRested = false;
        let isMissing = false;
        let isDisposed = false;
        let endRest: (() => void) | undefined;

        function updateRole(): void {
            const heard = options.exchange.listHeard(maxReaderSilenceMs);
            const previous = role;
            role = decideRole(name, options.address, heard, options.countKnown());
            if (role !== previous) {
                log(LogEvent.FeedReaderChanged, { feed: name, role, previous, heard: heard.length + 1 });
            }
        }

        function getRestMs(): number {
            const nowMs = timers.now();
            const isOwnRead = isDisposed || role !== ReadRole.Follower || pauseDetector.isSuspect(nowMs);
            return isOwnRead ? 0 : reads.getRestEndMs() - nowMs;
        }

        /** Logs the first rest of several that ended because no position arrived in time. */
        function logMissing(): void {
            if (!isMissing && role === ReadRole.Follower && Number.isFinite(reads.getRestEndMs())) {
                isMissing = true;
                log(LogEvent.FeedPositionMissing, { feed: name, boundMs });
            }
        }

        function waitForCheck(restMs: number): Promise<void> {
            return new Promise(resolve => {
                const timer = timers.schedule(restMs, () => endRest?.());
                endRest = () => {
                    endRest = undefined;
                    timer.dispose();
                    resolve();
                };
            });
        }

        function check(): void {
            updateRole();
            if (getRestMs() <= 0) {
                endRest?.();
            }
        }

        feeds.set(name, {
            receive(position, observedAtMs) {
                const verdict = isPauseRecent(timers.now())
                    ? PositionVerdict.Void
                    : reads.recordPosition(position, observedAtMs);
                metrics.count(
                    "jujubelane_feed_positions_total",
                    "Positions received from other gateways, by feed and verdict.",
                    { feed: name, verdict },
                );
                isMissing &&= verdict === PositionVerdict.Outdated || verdict === PositionVerdict.Void;
                // The rest goes on until its new end, or a read is due.
                endRest?.();
            },
            check,
            forgetPosition: () => reads.forgetPosition(),
        });

        return {
            getWaitMs() {
                updateRole();
                if (hasRested) {
                    // A connection may have died during the rest. Without a wait, the read finds that out in time to read again.
                    return 0;
                }
                return role === ReadRole.Reader ? computeReaderWaitMs(timing.pauseMs, timing.waitMs) : timing.waitMs;
            },
            recordRead(position, startedAtMs) {
                const nowMs = timers.now();
                hasRested = false;
                reads.recordRead(position, nowMs);
                updateRole();
                // An answer that arrived during a pause is older than it seems.
                const isOld = pauseDetector.isSuspect(nowMs) || startedAtMs <= lastPauseEndMs;
                if (role === ReadRole.Reader && !isOld) {
                    publisher.publish([[name, position.era ?? null, position.offset, 0]]);
                }
            },
            async rest() {
                for (let restMs = getRestMs(); restMs > 0; restMs = getRestMs()) {
                    hasRested = true;
                    await waitForCheck(restMs);
                }
                if (hasRested && reads.isReadDue()) {
                    await waitFor(timers, readSpreadMs * options.random());
                }
                else if (hasRested) {
                    logMissing();
                }
            },
            dispose() {
                isDisposed = true;
                feeds.delete(name);
                endRest?.();
            },
        };
    }

    return { register, dispose: () => checkTimer.dispose() };
}
