import { Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { ResultKind } from "../base/result.js";
import { TimerService } from "../base/timerService.js";
import { KeyedRecord, WritableFeed } from "../ports/recordFeed.js";

export interface PeerDiscoveryOptions {
    readonly feed: WritableFeed;
    readonly host: string;
    /** Address at which this gateway receives messages. */
    readonly address: string;
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly onPeers: (addresses: readonly string[]) => void;
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

/**
 * Registers this gateway in the store and reads the addresses of the others at intervals, until disposed.
 *
 * @example
 * const following = followPeers({ feed, host, address, timers, log, onPeers: exchange.setPeers });
 */
export function followPeers(options: PeerDiscoveryOptions): Disposable {
    const { feed, timers, log } = options;
    const registrations = new Map<string, { readonly value: string; readonly refreshes: number }>();
    let renewalCount = 0;
    let readCount = 0;
    let isDisposed = false;
    let wasStoreUnavailable = false;
    let nextRefresh: Disposable | undefined;

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

    async function refresh(): Promise<void> {
        renewalCount += 1;
        const written = await feed.write(options.host, Buffer.from(`${options.address} ${renewalCount}`));
        const read = await feed.readNewest();
        if (isDisposed) {
            return;
        }
        if (read.kind === ResultKind.Success) {
            options.onPeers(listLiveAddresses(read.value.records));
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
        nextRefresh = timers.schedule(hasFailed ? retryDelayMs : intervalMs, start);
    }

    function start(): void {
        refresh().catch((error: unknown) => {
            log(LogEvent.TaskFailed, { task: "peers", error: String(error) });
            nextRefresh = timers.schedule(refreshIntervalMs, start);
        });
    }

    start();
    return {
        dispose() {
            isDisposed = true;
            nextRefresh?.dispose();
        },
    };
}
