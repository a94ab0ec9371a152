import { Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { ResultKind } from "../base/result.js";
import { TimerService } from "../base/timerService.js";
import { FeedCursor, KeyedRecord, WritableFeed } from "../ports/recordFeed.js";

export interface PeerDiscoveryOptions {
    readonly feed: WritableFeed;
    readonly host: string;
    /** Address at which this gateway receives messages. */
    readonly address: string;
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly random: () => number;
    readonly onPeers: (addresses: readonly string[]) => void;
}

/** Registration of this gateway and discovery of the others. */
export interface PeerDiscovery extends Disposable {
    /** Renews the registration within seconds, because the store may have lost it. */
    renewSoon(): void;
}

/** Long, because calls to the store have a cost and running gateways also learn of each other from their messages. */
const refreshIntervalMs = 10_000;
/**
 * Delays before the second and the third read. Gateways that start together register within a second, and those that
 * read first would divide the endpoints without the others until the next read.
 */
const firstDelaysMs: readonly number[] = [1_000, 3_000];
const retryDelayMs = 500;
/** A registration that was not renewed for this many refreshes belongs to a host that is gone. */
const maxUnchangedRefreshes = 4;
/** Time within which all gateways renew their registrations after the store has lost some, spread over it. */
const renewalSpreadMs = 2_000;
/**
 * Time after the store's return from an older copy for which gateways known before count, in milliseconds: a gateway that
 * took the others for gone would use their shares of endpoints and retries as well.
 */
const restoredGraceMs = 10_000;

/**
 * Registers this gateway in the store and reads the addresses of the others at intervals, until disposed.
 *
 * @example
 * const following = followPeers({ feed, host, address, timers, log, onPeers: exchange.setPeers });
 */
export function followPeers(options: PeerDiscoveryOptions): PeerDiscovery {
    const { feed, timers, log } = options;
    const registrations = new Map<string, { readonly value: string; readonly refreshes: number }>();
    let renewalCount = 0;
    let readCount = 0;
    let isDisposed = false;
    let wasStoreUnavailable = false;
    let nextRefresh: Disposable | undefined;
    let era: number | undefined;
    let restoredAtMs = Number.NEGATIVE_INFINITY;
    let lastAddresses: readonly string[] = [];

    /**
     * Lists the addresses of live gateways. A registration that is unchanged since the last read was not renewed
     * meanwhile.
     */
    function listLiveAddresses(records: readonly KeyedRecord[]): string[] {
        const live: string[] = [];
        for (const { key, value } of records) {
            const text = Buffer.from(value ?? []).toString("utf8");
            const known = registrations.get(key);
            const refreshes = known?.value === text ? known.refreshes + 1 : 0;
            registrations.set(key, { value: text, refreshes });
            const address = text.split(" ")[0]!;
            if (refreshes < maxUnchangedRefreshes && /^\d+\.\d+\.\d+\.\d+:\d+$/.test(address)) {
                live.push(address);
            }
        }
        return live;
    }

    function recordEra(next: FeedCursor): void {
        if (era !== undefined && next.era !== era) {
            restoredAtMs = timers.now();
            log(LogEvent.StoreRestored, { feed: "gateways", previousEra: era, ...next });
        }
        era = next.era ?? era;
    }

    function applyRecords(records: readonly KeyedRecord[]): void {
        const live = listLiveAddresses(records);
        const kept = timers.now() < restoredAtMs + restoredGraceMs ? lastAddresses : [];
        lastAddresses = [...new Set([...live, ...kept])];
        options.onPeers(lastAddresses);
    }

    async function refresh(): Promise<void> {
        renewalCount += 1;
        const written = await feed.write(options.host, Buffer.from(`${options.address} ${renewalCount}`));
        const read = await feed.readNewest();
        if (isDisposed) {
            return;
        }
        if (read.kind === ResultKind.Success) {
            recordEra(read.value.next);
            applyRecords(read.value.records);
        }
        const failure = [written, read].find(result => result.kind === ResultKind.Failure);
        const hasFailed = failure !== undefined;
        if (hasFailed && !wasStoreUnavailable) {
            log(LogEvent.StoreFeedLost, { feed: "gateways", reason: failure.error.reason });
        }
        if (!hasFailed && wasStoreUnavailable) {
            log(LogEvent.StoreFeedBack, { feed: "gateways" });
        }
        wasStoreUnavailable = hasFailed;
        const intervalMs = firstDelaysMs[readCount] ?? refreshIntervalMs;
        readCount += hasFailed ? 0 : 1;
        schedule(hasFailed ? retryDelayMs : intervalMs);
    }

    function schedule(delayMs: number): void {
        if (isDisposed) {
            return;
        }
        nextRefresh?.dispose();
        nextRefresh = timers.schedule(delayMs, start);
    }

    function start(): void {
        refresh().catch((error: unknown) => {
            log(LogEvent.TaskFailed, { task: "peers", error: String(error) });
            schedule(refreshIntervalMs);
        });
    }

    start();
    return {
        renewSoon() {
            // The others renew meanwhile, so that it takes some reads to know all of them, as at the start.
            readCount = 0;
            schedule(renewalSpreadMs * options.random());
        },
        dispose() {
            isDisposed = true;
            nextRefresh?.dispose();
        },
    };
}
