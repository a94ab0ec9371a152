import { Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { Metrics } from "../base/metrics.js";
import { TimerService } from "../base/timerService.js";
import { Service } from "../ports/servingConfiguration.js";
import { pickByRendezvous } from "../routing/rendezvous.js";
import { createSpareEngines, ReportedSpareEngine, SpareEngine } from "../routing/spareEngines.js";
import { PeerNotices } from "./peerNotices.js";
import { PlacementQueue } from "./placementQueue.js";

/** Tells the other cells which engines the own cell can spare, and knows theirs. */
export interface EngineLending extends Disposable {
    /** Lists the engines that other cells can spare. */
    listSpare(): readonly ReportedSpareEngine[];
    /** Records that a request was placed on engines of another cell. */
    recordBorrowing(service: string, engines: readonly string[]): void;
}

export interface EngineLendingOptions {
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly notices: PeerNotices;
    /** Address at which this gateway receives messages of others. */
    readonly address: string;
    /** Lists the gateways of other cells that are told; none with one cell. */
    readonly listReceivers: () => readonly string[];
    /** Lists the addresses of the other gateways of the cell that were heard of lately. */
    readonly listHeard: () => readonly string[];
    readonly listServices: () => readonly Service[];
    readonly placementQueue: Pick<PlacementQueue, "listSpareEngines">;
}

/** [endpoint, running, used tokens, pending prefill in ms, slack in ms, strictest gap target in ms] */
type SpareNotice = [string, number, number, number, number, number];

/**
 * Interval of the reports, in milliseconds. One gateway of each cell sends them, so that a gateway gets seven messages a
 * second from each cell that reports to it.
 */
const reportIntervalMs = 150;

/**
 * Starts the reports. They are sent only where gateways form several cells.
 *
 * @example
 * const lending = startEngineLending(options);
 * lending.listSpare();
 */
export function startEngineLending(options: EngineLendingOptions): EngineLending {
    const { timers, log, metrics } = options;
    const spareEngines = createSpareEngines();
    let isReporter = false;
    const publisher = options.notices.register<SpareNotice>({
        name: "spare",
        // Reports go to single addresses.
        isForAllCells: false,
        isValid: isSpareNotice,
        onReceived: (received, { address }) => spareEngines.apply(address, received.map(decode), timers.now()),
        // Reports are renewed more often than notices are repeated.
        listCurrent: () => [],
    });

    function report(): void {
        const gateways = [options.address, ...options.listHeard()];
        const receivers = options.listReceivers();
        const isChosen = receivers.length > 0
            && pickByRendezvous("spare engines", gateways, address => address, 1)[0] === options.address;
        if (isChosen !== isReporter) {
            isReporter = isChosen;
            log(LogEvent.SpareEngineReporterChanged, { isReporter, gateways: gateways.length });
        }
        if (isReporter) {
            const spare = options.listServices().flatMap(service => options.placementQueue.listSpareEngines(service));
            const wire = spare.map(encode);
            receivers.forEach(receiver => publisher.publish(wire, receiver));
        }
    }

    metrics.registerGauge(
        "jujubelane_spare_engines",
        "Engines that other cells can spare, as last reported.",
        () => spareEngines.list(timers.now()).length,
    );
    const timer = timers.subscribe(reportIntervalMs, report);

    return {
        listSpare: () => spareEngines.list(timers.now()),
        recordBorrowing(service, engines) {
            metrics.count(
                "jujubelane_borrowed_placements_total",
                "Requests that were placed on engines of another cell.",
                { service },
            );
            log(LogEvent.EnginesBorrowed, { service, engines: engines.join(",") });
        },
        dispose: () => timer.dispose(),
    };
}

function encode(engine: SpareEngine): SpareNotice {
    const { endpoint, running, usedTokens, pendingPrefillMs, slackMs, gapTargetMs } = engine;
    return [
        endpoint,
        running,
        Math.round(usedTokens),
        Math.round(pendingPrefillMs),
        Math.round(slackMs),
        gapTargetMs,
    ];
}

function decode([endpoint, running, usedTokens, pendingPrefillMs, slackMs, gapTargetMs]: SpareNotice): SpareEngine {
    return { endpoint, running, usedTokens, pendingPrefillMs, slackMs, gapTargetMs };
}

function isSpareNotice(value: unknown): value is SpareNotice {
    return Array.isArray(value) && value.length === 6 && typeof value[0] === "string"
        && value.slice(1).every(field => Number.isFinite(field)) && value[1] >= 0 && value[2] >= 0 && value[5] >= 0;
}
