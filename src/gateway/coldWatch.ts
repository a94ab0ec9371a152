import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { Metrics } from "../base/metrics.js";
import { TimerService } from "../base/timerService.js";
import { ColdSource, ColdStatement, createColdEndpoints, maxColdMs } from "../membership/coldEndpoints.js";
import { EndpointDirectory } from "../membership/endpointDirectory.js";
import { EndpointRecord } from "../ports/endpointRecord.js";
import { Service } from "../ports/servingConfiguration.js";
import { ColdBound, createColdBudget } from "../scheduling/coldBudget.js";
import { EndpointQuota } from "./endpointQuota.js";
import { NoticePublisher, PeerNotices } from "./peerNotices.js";

/** Keeps the requests of all gateways to cold endpoints within what these can sustain. */
export interface ColdWatch {
    /** Observes a registration before it is applied to the directory, and returns it. */
    observeRegistration(record: EndpointRecord | undefined): EndpointRecord | undefined;
    /** Treats the endpoints of a data centre as cold, whose evacuation has ended. */
    observeReturn(dataCentre: string): void;
    /** Returns a quota that applies the limits of cold endpoints too. */
    wrapQuota(quota: EndpointQuota): EndpointQuota;
    /** Returns the statement that limits an endpoint now because it is cold. */
    findLimiting(endpoint: string): ColdStatement | undefined;
    /** Logs endpoints that have become cold or have ceased to be so; to be called at short intervals. */
    refresh(): void;
}

export interface ColdWatchOptions {
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly random: () => number;
    readonly bound: ColdBound;
    readonly directory: EndpointDirectory;
    readonly notices: PeerNotices;
    readonly findService: (name: string) => Service | undefined;
    /** Counts the gateways that use an endpoint, this one included. */
    readonly countGateways: (endpoint: string) => number;
}

/** Endpoint, its start in ms since the Unix epoch or `null`, time it stays cold and age of the statement in ms. */
type ColdNotice = readonly [string, number | null, number, number];

/** Time for which gateways are told that an endpoint is not cold any more, in milliseconds. */
const endedRepeatMs = 10_000;

/**
 * Creates the watch. It takes effect at services whose configuration names the rate that a cold endpoint sustains.
 *
 * @example
 * const coldWatch = createColdWatch(options);
 * const quota = coldWatch.wrapQuota(endpointQuota);
 */
export function createColdWatch(options: ColdWatchOptions): ColdWatch {
    const { timers, log, directory } = options;
    const cold = createColdEndpoints();
    const budget = createColdBudget(options.random, options.bound);
    const reported = new Map<string, ColdStatement>();
    const publisher: NoticePublisher<ColdNotice> = options.notices.register({
        name: "cold",
        isForAllCells: true,
        isValid: isColdNotice,
        onReceived: notices => notices.forEach(applyNotice),
        listCurrent: () =>
            directory.listAll().map(({ record }) => record)
                .filter(record => isRepeated(cold.findStatement(record.id)))
                .map(record => makeNotice(record, cold.findStatement(record.id)!)),
    });
    options.metrics.registerGauge(
        "jujubelane_cold_endpoints",
        "Endpoints that get few requests because they have just started.",
        () => reported.size,
    );

    function findService(endpoint: string): Service | undefined {
        const name = directory.find(endpoint)?.record.service;
        return name === undefined ? undefined : options.findService(name);
    }

    /** Returns the rate that an endpoint sustains if it is cold now, or `undefined` if it has no limit. */
    function findRate(endpoint: string): number | undefined {
        return findLimiting(endpoint) && findService(endpoint)?.coldPerSecond;
    }

    function findLimiting(endpoint: string): ColdStatement | undefined {
        const service = findService(endpoint);
        return (service?.coldPerSecond ?? 0) > 0
            ? cold.findCold(endpoint, service?.coldStartMs ?? 0, timers.now())
            : undefined;
    }

    function isRepeated(statement: ColdStatement | undefined): boolean {
        return statement?.source === ColdSource.Answer
            && timers.now() < Math.max(statement.untilMs, statement.observedAtMs + endedRepeatMs);
    }

    function makeNotice(record: EndpointRecord, { observedAtMs, untilMs }: ColdStatement): ColdNotice {
        return [record.id, record.startedAtMs ?? null, untilMs - observedAtMs, timers.now() - observedAtMs];
    }

    function applyNotice([endpoint, startedAtMs, leftMs, ageMs]: ColdNotice): void {
        const record = directory.find(endpoint)?.record;
        if (record && (record.startedAtMs ?? null) === startedAtMs) {
            const observedAtMs = timers.now() - ageMs;
            cold.apply({ endpoint, source: ColdSource.Gateway, observedAtMs, untilMs: observedAtMs + leftMs });
            refreshEndpoint(endpoint);
        }
    }

    function applyAnswer(endpoint: string, coldMs: number): void {
        const record = directory.find(endpoint)?.record;
        const nowMs = timers.now();
        const statement = { endpoint, source: ColdSource.Answer, observedAtMs: nowMs, untilMs: nowMs + coldMs };
        if (record && cold.apply(statement)) {
            publisher.publish([makeNotice(record, statement)]);
            refreshEndpoint(endpoint);
        }
    }

    function refreshEndpoint(endpoint: string): void {
        const nowMs = timers.now();
        const service = findService(endpoint);
        const statement = cold.findCold(endpoint, service?.coldStartMs ?? 0, nowMs);
        const known = reported.get(endpoint);
        if ((statement === undefined) === (known === undefined)) {
            return;
        }
        const { source, observedAtMs, untilMs } = statement ?? known!;
        if (statement) {
            reported.set(endpoint, statement);
        }
        else {
            reported.delete(endpoint);
            budget.forget(endpoint);
        }
        log(LogEvent.EndpointColdChanged, {
            endpoint,
            isCold: statement !== undefined,
            source,
            leftMs: Math.max(0, Math.round(untilMs - nowMs)),
            ageMs: Math.round(nowMs - observedAtMs),
            perSecond: service?.coldPerSecond,
            gateways: options.countGateways(endpoint),
        });
    }

    function recordDispatch(endpoint: string, isOwn: boolean): void {
        if (findRate(endpoint) !== undefined) {
            budget.recordDispatch(endpoint, isOwn, timers.now());
        }
    }

    return {
        observeRegistration(record) {
            if (record) {
                cold.observeRegistration(record, timers.now(), timers.wallNow());
            }
            return record;
        },
        observeReturn(dataCentre) {
            const observedAtMs = timers.now();
            directory.listAll().filter(({ record }) => record.dataCentre === dataCentre).forEach(({ record }) => {
                const coldStartMs = options.findService(record.service)?.coldStartMs ?? 0;
                const untilMs = observedAtMs + coldStartMs;
                if (coldStartMs > 0) {
                    cold.apply({ endpoint: record.id, source: ColdSource.Operator, observedAtMs, untilMs });
                    refreshEndpoint(record.id);
                }
            });
        },
        findLimiting,
        wrapQuota: quota => ({
            ...quota,
            recordAnswer(endpoint, answer) {
                quota.recordAnswer(endpoint, answer);
                // Only an answer that is certainly the endpoint's says that it is not cold.
                if (answer.coldMs !== undefined && !answer.isMisdirected && (answer.coldMs > 0 || answer.isSealed)) {
                    applyAnswer(endpoint, answer.coldMs);
                }
            },
            recordDispatch(endpoint) {
                quota.recordDispatch(endpoint);
                recordDispatch(endpoint, true);
            },
            recordPeerDispatch(endpoint) {
                quota.recordPeerDispatch(endpoint);
                recordDispatch(endpoint, false);
            },
            isOpen(endpoint) {
                const perSecond = findRate(endpoint);
                const isWithinLimit = perSecond === undefined
                    || budget.canSend(endpoint, perSecond, options.countGateways(endpoint), timers.now());
                return isWithinLimit && quota.isOpen(endpoint);
            },
            peekOpen(endpoint) {
                const perSecond = findRate(endpoint);
                const isWithinLimit = perSecond === undefined
                    || budget.peekSend(endpoint, perSecond, options.countGateways(endpoint), timers.now());
                return isWithinLimit && quota.peekOpen(endpoint);
            },
            getShare(endpoint) {
                const perSecond = findRate(endpoint) ?? Infinity;
                return Math.min(quota.getShare(endpoint), perSecond / options.countGateways(endpoint));
            },
            forget(endpoint) {
                quota.forget(endpoint);
                // A restarted endpoint is still registered; what its new registration says is known already.
                if (!directory.find(endpoint)) {
                    cold.forget(endpoint);
                    budget.forget(endpoint);
                    reported.delete(endpoint);
                }
            },
        }),
        refresh: () => directory.listAll().forEach(({ record }) => refreshEndpoint(record.id)),
    };
}

function isColdNotice(value: unknown): value is ColdNotice {
    if (!Array.isArray(value)) {
        return false;
    }
    const [endpoint, startedAtMs, leftMs, ageMs] = value as unknown[];
    const isTime = (time: unknown) => typeof time === "number" && time >= 0 && time <= maxColdMs + endedRepeatMs;
    return typeof endpoint === "string" && (startedAtMs === null || Number.isFinite(startedAtMs))
        && isTime(leftMs) && isTime(ageMs);
}
