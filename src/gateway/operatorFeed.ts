import { Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { TimerService } from "../base/timerService.js";
import { RecordFeed } from "../ports/recordFeed.js";
import { ConfigurationWatch } from "./configurationWatch.js";
import { EvacuationWatch } from "./evacuationWatch.js";
import { followFeed } from "./feedFollower.js";
import { FeedSharing } from "./feedSharing.js";
import { GatewaySettings } from "./gatewaySettings.js";

export interface OperatorFeedOptions {
    readonly feed: RecordFeed;
    readonly sharing: FeedSharing;
    readonly settings: Pick<GatewaySettings, "configurationNoticeMs" | "evacuationNoticeMs">;
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly evacuationWatch: EvacuationWatch;
    readonly configurationWatch: ConfigurationWatch;
}

/**
 * Wait time of one read, as a share of the time within which what operators write must be in force. A connection to the
 * store can stall without an error; the rest of the time allows for detecting that and reading again.
 */
const operatorWaitShare = 0.55;

/**
 * Follows the operators' topic, which has the configuration and the evacuations of data centres.
 *
 * @example
 * const following = followOperators({ feed, sharing, settings, timers, log, evacuationWatch, configurationWatch });
 */
export function followOperators(options: OperatorFeedOptions): Disposable {
    const { feed, sharing, settings, timers, log, evacuationWatch, configurationWatch } = options;
    const noticeMs = Math.min(settings.configurationNoticeMs, settings.evacuationNoticeMs ?? Infinity);
    return followFeed({
        name: "configuration",
        feed,
        sharing,
        timing: { waitMs: Math.round(noticeMs * operatorWaitShare), pauseMs: 0 },
        timers,
        log,
        listener: {
            // Evacuations come first: the first configuration lets the requests in that arrived before it.
            onSnapshot(records, era) {
                evacuationWatch.applyAll(records);
                configurationWatch.applyRecords(records, era);
            },
            // The version in force stays until a newer one is read.
            onRestored: () => evacuationWatch.markStoreRestored(),
            onUpdate(records) {
                evacuationWatch.applyUpdates(records);
                configurationWatch.applyRecords(records);
            },
            onUnavailable() {},
            onAvailable() {},
        },
    });
}
