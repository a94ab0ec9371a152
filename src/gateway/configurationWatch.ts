import { Disposable } from "../base/disposable.js";
import { computeDigest } from "../base/ids.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { Metrics } from "../base/metrics.js";
import { TimerService } from "../base/timerService.js";
import { ConfigurationReport, findNewerReport } from "../membership/configurationReports.js";
import { KeyedRecord } from "../ports/recordFeed.js";
import { ServingConfiguration } from "../ports/servingConfiguration.js";
import { buildRouteTable, RouteTable } from "../routing/routeTable.js";
import { PeerNotices } from "./peerNotices.js";

/** Decides which version of the operators' configuration is in force in this gateway. */
export interface ConfigurationWatch extends Disposable {
    /**
     * Applies records of the operators' topic.
     *
     * @param era era of the store; absent if it is the one of the last call
     */
    applyRecords(records: readonly KeyedRecord[], era?: number): void;
    /** Returns the version in force, or `undefined` if there is none. */
    getTable(): RouteTable | undefined;
}

export interface ConfigurationWatchOptions {
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly notices: PeerNotices;
    /** Decodes a record of the operators' topic. Returns `undefined` for records of other kinds. */
    readonly decode: (record: KeyedRecord) => ServingConfiguration | undefined;
    /** Called with each newer version that the store has, also if it is not in force yet. */
    readonly onRead: (configuration: ServingConfiguration) => void;
}

/** Version, digest and era of the store. */
type ConfigurationNotice = readonly [number, string, number];

/** A version that the store has, and what is told of it to other gateways. */
interface ReadConfiguration {
    readonly table: RouteTable;
    readonly digest: string;
}

interface PeerReport extends ConfigurationReport {
    readonly host: string;
}

/**
 * Time after the first read for which an older version than that of another gateway is not applied, in milliseconds.
 * Operators write again within it what a restored store has lost.
 */
const rewriteMs = 5_000;
/** Gateways whose reports are kept. One with the newest version suffices. */
const maxReports = 64;
/** Characters of a digest, enough to tell apart what operators have published. */
const digestLength = 16;

/**
 * Creates the watch of a gateway that has read nothing. A store that was restored from an older copy offers an older
 * version until operators write again. Running gateways keep theirs; one that starts asks them, because a key that was
 * revoked meanwhile must not be accepted again.
 *
 * @example
 * const configurationWatch = createConfigurationWatch(options);
 * configurationWatch.applyRecords(records, era);
 */
export function createConfigurationWatch(options: ConfigurationWatchOptions): ConfigurationWatch {
    const { timers, log } = options;
    const reports = new Map<string, PeerReport>();
    let era = 0;
    let read: ReadConfiguration | undefined;
    let inForce: RouteTable | undefined;
    /** Version for which this gateway waits, and since when. */
    let held: { readonly version: number; readonly sinceMs: number } | undefined;
    let holdEndsAtMs: number | undefined;
    let holdTimer: Disposable | undefined;
    let conflictingVersion: number | undefined;

    options.notices.register<ConfigurationNotice>({
        name: "configuration",
        isForAllCells: false,
        isValid: isConfigurationNotice,
        onReceived(notices, { address, host }) {
            const [version, digest, reportedEra] = notices.at(-1)!;
            const report = { version, digest, era: reportedEra, host };
            logConflict(report);
            const canHold = holdEndsAtMs === undefined || timers.now() < holdEndsAtMs;
            if (canHold && (reports.has(address) || reports.size < maxReports)) {
                reports.set(address, report);
                update();
            }
        },
        listCurrent: () => inForce && read ? [[read.table.version, read.digest, era]] : [],
    });
    options.metrics.registerGauge(
        "jujubelane_configuration_held",
        "1 while the store has an older configuration than other gateways and this one refuses requests.",
        () => held ? 1 : 0,
    );

    /** Logs once for each version that another gateway has another configuration with the same number. */
    function logConflict({ version, digest, host }: PeerReport): void {
        if (inForce?.version === version && read?.digest !== digest && conflictingVersion !== version) {
            conflictingVersion = version;
            log(LogEvent.ConfigurationDiffers, { version, digest: read?.digest, other: host, otherDigest: digest });
        }
    }

    function findNewer(): PeerReport | undefined {
        if (!read || timers.now() >= holdEndsAtMs!) {
            return undefined;
        }
        return findNewerReport({ version: read.table.version, digest: read.digest, era }, reports.values());
    }

    /** Applies what the store has unless another gateway has something newer. */
    function update(): void {
        const newer = findNewer();
        const version = read?.table.version;
        if (newer && !held) {
            held = { version: newer.version, sinceMs: timers.now() };
            inForce = undefined;
            log(LogEvent.ConfigurationHeld, { version, reported: newer.version, other: newer.host, era });
        }
        else if (!newer && held) {
            const heldMs = Math.round(timers.now() - held.sinceMs);
            log(LogEvent.ConfigurationHoldEnded, { version, reported: held.version, heldMs });
            held = undefined;
        }
        if (!held && read && inForce !== read.table) {
            const previous = inForce?.version;
            inForce = read.table;
            const { routes, customers } = inForce.configuration;
            const counts = { routes: routes.length, customers: customers?.length };
            log(LogEvent.ServingConfigurationInForce, { version, previous, ...counts });
        }
    }

    function endHold(): void {
        reports.clear();
        update();
    }

    return {
        applyRecords(records, nextEra = era) {
            era = nextEra;
            for (const record of records) {
                const configuration = options.decode(record);
                if (!configuration || (read && configuration.version <= read.table.version)) {
                    continue;
                }
                if (holdEndsAtMs === undefined) {
                    holdEndsAtMs = timers.now() + rewriteMs;
                    holdTimer = timers.schedule(rewriteMs, endHold);
                }
                read = {
                    table: buildRouteTable(configuration),
                    digest: computeDigest(record.value!).slice(0, digestLength),
                };
                update();
                options.onRead(configuration);
            }
        },
        getTable: () => inForce,
        dispose: () => holdTimer?.dispose(),
    };
}

function isConfigurationNotice(value: unknown): value is ConfigurationNotice {
    if (!Array.isArray(value)) {
        return false;
    }
    const [version, digest, era] = value as unknown[];
    return Number.isFinite(version) && typeof digest === "string" && typeof era === "number" && era >= 0;
}
