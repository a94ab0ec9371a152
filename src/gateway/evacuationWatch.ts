import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { Metrics } from "../base/metrics.js";
import { TimerService } from "../base/timerService.js";
import { createEvacuations, EvacuationChange, EvacuationChangeKind } from "../membership/evacuations.js";
import { EndpointRecord } from "../ports/endpointRecord.js";
import { EvacuationRecord, KeyedRecord } from "../ports/recordFeed.js";
import { EndpointGate } from "./endpointGate.js";

/** Keeps new work off the endpoints of evacuated data centres. */
export interface EvacuationWatch {
    /** Applies the newest records of the operators' topic. */
    applyAll(records: readonly KeyedRecord[]): void;
    /** Applies records that operators have written since. */
    applyUpdates(records: readonly KeyedRecord[]): void;
    markStoreRestored(): void;
    /** Ends evacuations that were not written again after the store was restored; to be called at short intervals. */
    expire(): void;
    readonly gate: EndpointGate;
    /** Returns since when a data centre is evacuated, on the monotonic clock. */
    getSinceMs(dataCentre: string): number | undefined;
    /** Selects the endpoints that are not in an evacuated data centre. */
    select(endpoints: readonly EndpointRecord[]): readonly EndpointRecord[];
}

export interface EvacuationWatchOptions {
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly metrics: Metrics;
    /** Decodes a record of the operators' topic. Returns `undefined` for records of other kinds. */
    readonly decode: (record: KeyedRecord) => EvacuationRecord | undefined;
    /** Counts the registered endpoints of a data centre, for the log. */
    readonly countEndpoints: (dataCentre: string) => number;
    /** Called once for all changes that take effect together, after they have been logged. */
    readonly onChange: (changes: readonly EvacuationChange[]) => void;
}

/**
 * Creates the watch. It reads nothing itself: the operators' topic is followed together with the configuration.
 *
 * @example
 * const evacuationWatch = createEvacuationWatch({ timers, log, decode, countEndpoints, onChange });
 * evacuationWatch.applyUpdates(records);
 */
export function createEvacuationWatch(options: EvacuationWatchOptions): EvacuationWatch {
    const { timers, log } = options;
    const evacuations = createEvacuations();
    options.metrics.registerGauge(
        "jujubelane_evacuated_data_centres",
        "Data centres that get no new requests because operators have evacuated them.",
        () => evacuations.count(),
    );
    const isOpen = (endpoint: EndpointRecord) => !evacuations.isEvacuated(endpoint.dataCentre);

    function decodeAll(records: readonly KeyedRecord[]): EvacuationRecord[] {
        return records.map(record => options.decode(record)).filter(record => record !== undefined);
    }

    function report(changes: readonly EvacuationChange[]): void {
        for (const { kind, dataCentre, ageMs } of changes) {
            log(LogEvent.EvacuationChanged, {
                change: kind,
                dataCentre,
                ageMs: Math.round(ageMs),
                endpoints: options.countEndpoints(dataCentre),
            });
        }
        const effective = changes.filter(({ kind }) =>
            kind === EvacuationChangeKind.Started || kind === EvacuationChangeKind.Ended
        );
        if (effective.length > 0) {
            options.onChange(effective);
        }
    }

    return {
        applyAll(records) {
            const started = decodeAll(records).filter(record => record.isActive).map(record => record.dataCentre);
            report(evacuations.applyAll(started, timers.now()));
        },
        applyUpdates(records) {
            const nowMs = timers.now();
            report(
                decodeAll(records).flatMap(({ dataCentre, isActive }) =>
                    isActive ? evacuations.applyStart(dataCentre, nowMs) : evacuations.applyEnd(dataCentre, nowMs)
                ),
            );
        },
        markStoreRestored: () => evacuations.markStoreRestored(),
        expire: () => report(evacuations.expire(timers.now())),
        gate: {
            isOpen,
            isLastChoice: () => false,
            getOpensInMs: endpoint => isOpen(endpoint) ? 0 : Infinity,
        },
        getSinceMs: dataCentre => evacuations.getSinceMs(dataCentre),
        select: endpoints => evacuations.count() === 0 ? endpoints : endpoints.filter(isOpen),
    };
}
