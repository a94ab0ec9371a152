import { LogEvent } from "../../../src/base/logEvents.js";
import { createManualTimerService } from "../../../src/base/manualTimerService.js";
import { createMetrics } from "../../../src/base/metrics.js";
import { makeFailure, makeSuccess } from "../../../src/base/result.js";
import { followFeed, PollTiming } from "../../../src/gateway/feedFollower.js";
import { createFeedSharing } from "../../../src/gateway/feedSharing.js";
import { createPeerNotices } from "../../../src/gateway/peerNotices.js";
import { FeedErrorKind, RecordFeed } from "../../../src/ports/recordFeed.js";
import { pickByRendezvous } from "../../../src/routing/rendezvous.js";

const feedName = "test";
const stepMs = 5;

/** Starts gateways that follow one feed of a store in virtual time, in steps of 5 ms. */
export function startSharedFollowers(count: number, timing: PollTiming, random: () => number = () => 0.5) {
    const storeTimers = createManualTimerService();
    const store = { era: 1, first: 0, end: 0 };
    let wakePolls: (() => void)[] = [];
    /** Followers whose messages arrive nowhere, and gateways that do not hear them any more. */
    const silent = new Set<string>();
    const addresses = Array.from({ length: count }, (unused, index) => `10.0.0.${index + 1}:7`);
    const readerAddress = pickByRendezvous(feedName, addresses, address => address, 1)[0]!;
    const faults = { isLost: (): boolean => false };

    function waitForAppend(waitMs: number): Promise<void> {
        return new Promise(resolve => {
            storeTimers.schedule(waitMs, resolve);
            wakePolls.push(resolve);
        });
    }

    function createFollower(address: string) {
        const timers = createManualTimerService();
        const metrics = createMetrics();
        const state = {
            address,
            timers,
            metrics,
            calls: 0,
            lastWaitMs: 0,
            known: -1,
            isPaused: false,
            isStoreAway: false,
            isAvailable: true,
            logged: [] as LogEvent[],
            /** Datagrams that arrived during a pause. */
            inbox: [] as [Buffer, string][],
        };
        const log = (event: LogEvent) => void state.logged.push(event);
        const notices = createPeerNotices({ host: address, address, incarnation: "1", log, send: sendAll });
        function sendAll(bytes: Buffer): void {
            for (const other of followers.filter(item => item.state !== state && !silent.has(address))) {
                if (!faults.isLost()) {
                    other.receive(bytes, address);
                }
            }
        }
        const receive = (bytes: Buffer, from: string) => {
            if (state.isPaused) {
                state.inbox.push([bytes, from]);
            }
            else {
                notices.receive(bytes, from);
            }
        };
        const waitForEndOfPause = async () => {
            while (state.isPaused) {
                await new Promise(resolve => setImmediate(resolve));
            }
        };
        const takeBatch = (from: number) =>
            makeSuccess({
                records: store.end > from ? [{ key: String(store.end), value: new Uint8Array() }] : [],
                next: { era: store.era, offset: store.end },
            });
        const feed: RecordFeed = {
            async readNewest() {
                state.calls += 1;
                return state.isStoreAway
                    ? makeFailure({ kind: FeedErrorKind.Unavailable, reason: "away" })
                    : takeBatch(0);
            },
            async readFrom(cursor, waitMs) {
                state.calls += 1;
                state.lastWaitMs = waitMs;
                if (!state.isStoreAway && cursor.offset === store.end && cursor.era === store.era && waitMs > 0) {
                    await waitForAppend(waitMs);
                }
                const fail = (kind: FeedErrorKind) => makeFailure({ kind, reason: "test" });
                const isExpired = cursor.offset < store.first || cursor.offset > store.end;
                const result = state.isStoreAway
                    ? fail(FeedErrorKind.Unavailable)
                    : cursor.era !== store.era
                    ? fail(FeedErrorKind.Restored)
                    : isExpired
                    ? fail(FeedErrorKind.Expired)
                    : takeBatch(cursor.offset);
                await waitForEndOfPause();
                return result;
            },
        };
        const listHeard = () => addresses.filter(other => other !== address && !silent.has(other));
        const exchange = { notices, listHeard };
        const countKnown = () => count;
        const sharing = createFeedSharing({ address, exchange, countKnown, timers, log, metrics, random });
        const apply = (records: readonly { key: string }[]) =>
            records.forEach(({ key }) => {
                state.known = Number(key);
            });
        const listener = {
            onSnapshot: apply,
            onRestored() {},
            onUpdate: apply,
            onUnavailable() {
                state.isAvailable = false;
            },
            onAvailable() {
                state.isAvailable = true;
            },
        };
        const following = followFeed({ name: feedName, feed, timing, timers, log, listener, sharing });
        return { state, receive, following };
    }

    const followers: ReturnType<typeof createFollower>[] = [];
    addresses.forEach(address => void followers.push(createFollower(address)));
    const states = followers.map(item => item.state);

    function wakeAll(): void {
        const woken = wakePolls;
        wakePolls = [];
        woken.forEach(wake => wake());
    }

    const settle = () => new Promise(resolve => setImmediate(resolve));

    return {
        store,
        faults,
        silent,
        all: states,
        reader: states.find(item => item.address === readerAddress)!,
        others: states.filter(item => item.address !== readerAddress),
        append() {
            store.end += 1;
            wakeAll();
        },
        restore(end: number) {
            store.era += 1;
            store.end = end;
            wakeAll();
        },
        /** Lets time pass. Ends early if `isReached`, and returns the time that has passed. */
        async run(durationMs: number, isReached: () => boolean = () => false): Promise<number> {
            for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
                if (isReached()) {
                    return passedMs;
                }
                storeTimers.advance(stepMs);
                for (const { state } of followers) {
                    state.timers[state.isPaused ? "pause" : "advance"](stepMs);
                }
                await settle();
                await settle();
            }
            return durationMs;
        },
        /** Ends a pause; the datagrams that have arrived are received before timers run. */
        resume(state: typeof states[number]) {
            state.isPaused = false;
            const { receive } = followers.find(item => item.state === state)!;
            state.inbox.splice(0).forEach(([bytes, from]) => receive(bytes, from));
        },
        receive: (state: typeof states[number], bytes: Buffer, from: string) =>
            followers.find(item => item.state === state)!.receive(bytes, from),
        close() {
            for (const { state, following } of followers) {
                state.isPaused = false;
                following.dispose();
            }
        },
    };
}
