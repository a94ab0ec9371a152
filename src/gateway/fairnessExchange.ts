import { Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { Metrics } from "../base/metrics.js";
import { TimerService } from "../base/timerService.js";
import { getGroupKey, WaitingGroup } from "../scheduling/peerWaiting.js";
import { NoticePublisher, PeerNotices } from "./peerNotices.js";
import { createFairnessState, PlacementFairness } from "./queueFairness.js";

/** Tells the other gateways of the cell what customers use and what waits, and applies what they tell. */
export interface FairnessExchange extends PlacementFairness, Disposable {}

export interface FairnessExchangeOptions {
    readonly notices: PeerNotices;
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly metrics: Metrics;
    /** Counts the groups of gateways that use the same endpoints of a service and do not hear of each other's work. */
    readonly countSharingGroups: (service: string) => number;
}

/** Service, hash of the customer, use and time that a request of the service has its place, in milliseconds. */
type UsageNotice = [service: string, customer: number, usedMs: number, residenceMs: number];
/** A waiting group. The latest start is sent as the time until then, because the clocks of hosts differ. */
type WaitingNotice = [
    service: string,
    customer: number,
    startsInMs: number,
    rank: number,
    needMs: number,
    count: number,
];

/** Shortest time between two reports of what waits, which bounds the messages of a long queue. */
const waitingReportMs = 50;
const checkIntervalMs = 500;
const maxNameLength = 200;
const maxTimeMs = 1e9;

function isNumber(value: unknown, min: number): boolean {
    return typeof value === "number" && value >= min && value <= maxTimeMs;
}

function isHash(value: unknown): boolean {
    return Number.isInteger(value) && (value as number) >= 0 && (value as number) < 2 ** 32;
}

function isName(value: unknown): boolean {
    return typeof value === "string" && value.length <= maxNameLength;
}

function isUsageNotice(value: unknown): value is UsageNotice {
    return Array.isArray(value) && isName(value[0]) && isHash(value[1]) && isNumber(value[2], 0)
        && isNumber(value[3], 0);
}

function isWaitingNotice(value: unknown): value is WaitingNotice {
    return Array.isArray(value) && isName(value[0]) && isHash(value[1]) && isNumber(value[2], -maxTimeMs)
        && Number.isInteger(value[3]) && isNumber(value[4], 0) && Number.isInteger(value[5]) && isNumber(value[5], 0);
}

/**
 * Repeats of notices for each report of use, which is thereby a second old at most. Reports of all customers of all gateways
 * were the largest part of the bytes between data centres.
 */
const repeatsPerUsageReport = 2;

/**
 * Starts the exchange.
 *
 * @example
 * const fairnessExchange = startFairnessExchange(options);
 * fairnessExchange.reportWaiting(groups);
 */
export function startFairnessExchange(options: FairnessExchangeOptions): FairnessExchange {
    const { notices, timers, log, metrics } = options;
    const state = createFairnessState();
    let usageRepeats = 0;
    let waiting: readonly WaitingGroup[] = [];
    let reported = new Map<string, WaitingGroup>();
    let nextReport: Disposable | undefined;
    let lastReportMs = Number.NEGATIVE_INFINITY;
    let aboveShare: readonly string[] = [];

    function listUsage(): readonly UsageNotice[] {
        return state.usage.listOwn(timers.now()).map(({ service, customer, usedMs }) => [
            service,
            customer,
            Math.round(usedMs),
            Math.round(state.residence.get(service) ?? 0),
        ]);
    }

    notices.register<UsageNotice>({
        name: "usage",
        isForAllCells: false,
        isValid: isUsageNotice,
        onReceived(received, { address }) {
            const uses = received.map(([service, customer, usedMs]) => ({ service, customer, usedMs }));
            state.usage.applyReport(address, uses, timers.now());
            received.filter(([, , , residenceMs]) => residenceMs > 0)
                .forEach(([service, , , residenceMs]) => state.residence.recordReported(service, residenceMs));
        },
        listCurrent() {
            usageRepeats += 1;
            return usageRepeats % repeatsPerUsageReport === 0 ? listUsage() : [];
        },
    });
    const waitingPublisher: NoticePublisher<WaitingNotice> = notices.register<WaitingNotice>({
        name: "waiting",
        isForAllCells: false,
        isValid: isWaitingNotice,
        onReceived(received, { address }) {
            const nowMs = timers.now();
            const groups = received.map(([service, customer, startsInMs, rank, needMs, count]) => ({
                service,
                customer,
                rank,
                latestStartMs: nowMs + startsInMs,
                needMs,
                count,
            }));
            state.peerWaiting.apply(address, groups, nowMs);
        },
        listCurrent: () => waiting.map(encodeGroup),
    });

    function encodeGroup({ service, customer, latestStartMs, rank, needMs, count }: WaitingGroup): WaitingNotice {
        return [service, customer, Math.round(latestStartMs - timers.now()), rank, Math.round(needMs), count];
    }

    /** Sends what waits, and with a count of 0 what has ceased to wait. */
    function publishWaiting(): void {
        nextReport = undefined;
        lastReportMs = timers.now();
        const groups = new Map(waiting.map(group => [getGroupKey(group), group]));
        const ended = [...reported].filter(([key]) => !groups.has(key)).map(([, group]) => ({ ...group, count: 0 }));
        reported = groups;
        waitingPublisher.publish([...groups.values(), ...ended].map(encodeGroup));
    }

    function logChanges(): void {
        const current = state.usage.listAboveShare(timers.now());
        const write = (key: string, isAbove: boolean) => {
            const [service, customer] = key.split(/ (?=\S+$)/);
            log(LogEvent.CustomerShareChanged, { service, customer, isAbove });
        };
        current.filter(key => !aboveShare.includes(key)).forEach(key => write(key, true));
        aboveShare.filter(key => !current.includes(key)).forEach(key => write(key, false));
        aboveShare = current;
    }

    metrics.registerGauge(
        "jujubelane_customers_above_share",
        "Customers that use more than their share of a service, summed over services.",
        () => state.usage.listAboveShare(timers.now()).length,
    );
    metrics.registerGauge(
        "jujubelane_peer_waiting_requests",
        "Requests that wait at other gateways of the cell.",
        () => state.peerWaiting.countAll(timers.now()),
    );
    const check = timers.subscribe(checkIntervalMs, logChanges);

    return {
        state,
        countSharingGroups: options.countSharingGroups,
        reportYield: service => log(LogEvent.PlaceLeftToPeer, { service }),
        reportWaiting(groups) {
            waiting = groups;
            nextReport ??= timers.schedule(
                Math.max(0, lastReportMs + waitingReportMs - timers.now()),
                publishWaiting,
            );
        },
        dispose() {
            check.dispose();
            nextReport?.dispose();
        },
    };
}
