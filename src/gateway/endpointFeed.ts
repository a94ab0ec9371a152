import { Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { TimerService } from "../base/timerService.js";
import { EndpointChange, EndpointChangeKind, EndpointDirectory } from "../membership/endpointDirectory.js";
import { EndpointRecord } from "../ports/endpointRecord.js";
import { KeyedRecord, RecordFeed } from "../ports/recordFeed.js";
import { followFeed } from "./feedFollower.js";
import { FeedSharing } from "./feedSharing.js";
import { GatewaySettings } from "./gatewaySettings.js";

/** Follows the registrations of endpoints. */
export interface EndpointFeed extends Disposable {
    /** Returns whether the registrations have been read. */
    isRead(): boolean;
    /** Applies what has changed with time alone. */
    expire(): void;
}

export interface EndpointFeedOptions {
    readonly feed: RecordFeed;
    readonly sharing: FeedSharing;
    readonly settings: Pick<GatewaySettings, "leavingNoticeMs">;
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly directory: EndpointDirectory;
    readonly decode: (record: KeyedRecord) => EndpointRecord | undefined;
    readonly onJoined: (record: EndpointRecord) => void;
    /** Called when an endpoint has left, or has been started anew under its id. */
    readonly onLost: (record: EndpointRecord) => void;
    /** Called once after one or several changes. */
    readonly onChange: () => void;
    readonly onRestored: () => void;
}

/**
 * Time between two reads of registrations, as a share of the time within which a leaving endpoint must be known.
 * Endpoints renew their registrations about every second and each call to the store has a cost, so one read collects
 * many renewals.
 */
const readPauseShare = 0.4;
const waitMs = 300;

/**
 * Starts to follow the registrations and keeps the directory up to date.
 *
 * @example
 * const endpointFeed = followEndpoints(options);
 * endpointFeed.isRead();
 */
export function followEndpoints(options: EndpointFeedOptions): EndpointFeed {
    const { directory, timers, log } = options;
    let isRead = false;

    function applyChanges(changes: readonly EndpointChange[]): void {
        for (const { kind, record } of changes) {
            const { id: endpoint, service, address, dataCentre } = record;
            log(LogEvent.EndpointChanged, { change: kind, endpoint, service, address, dataCentre });
            if (kind === EndpointChangeKind.Joined) {
                options.onJoined(record);
            }
            if (kind === EndpointChangeKind.Restarted || kind === EndpointChangeKind.Left) {
                options.onLost(record);
            }
        }
        if (changes.length > 0) {
            options.onChange();
        }
    }

    function applyRecord(record: KeyedRecord): readonly EndpointChange[] {
        const endpoint = options.decode(record);
        return endpoint
            ? directory.applyRecord(endpoint, timers.now())
            : directory.applyRemoval(record.key, timers.now());
    }

    const follower = followFeed({
        name: "endpoints",
        feed: options.feed,
        sharing: options.sharing,
        timing: { waitMs, pauseMs: options.settings.leavingNoticeMs * readPauseShare },
        timers,
        log,
        listener: {
            onSnapshot(records) {
                isRead = true;
                const endpoints = records.map(options.decode).filter(record => record !== undefined);
                applyChanges(directory.applyAll(endpoints, timers.now()));
            },
            onRestored() {
                directory.markStoreRestored(timers.now());
                options.onRestored();
            },
            onUpdate: records => applyChanges(records.flatMap(applyRecord)),
            onUnavailable: () => directory.markStoreUnreachable(),
            onAvailable: () => directory.markStoreReachable(timers.now()),
        },
    });

    return {
        isRead: () => isRead,
        expire: () => applyChanges(directory.expireLapses(timers.now())),
        dispose: () => follower.dispose(),
    };
}
