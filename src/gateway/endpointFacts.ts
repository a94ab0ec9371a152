import { TimerService } from "../base/timerService.js";
import { EndpointAvailability, EndpointDirectory } from "../membership/endpointDirectory.js";
import { EndpointHealth, HealthStatus } from "../membership/endpointHealth.js";
import { EndpointRecord } from "../ports/endpointRecord.js";
import { ColdWatch } from "./coldWatch.js";
import { EndpointNoticeBoard } from "./endpointNoticeBoard.js";
import { EndpointQuota } from "./endpointQuota.js";
import { EvacuationWatch } from "./evacuationWatch.js";

/** What a gateway knows of an endpoint beyond its load. */
export enum FactKind {
    Leaving = "leaving",
    Full = "full",
    Cold = "cold",
    Evacuated = "evacuated",
    Limit = "limit",
    Health = "health",
    Region = "region",
}

/** A fact about an endpoint, with the place where the gateway learned of it. */
export interface EndpointFact {
    readonly kind: FactKind;
    readonly source: string;
    /** Time since it was observed, in milliseconds. */
    readonly ageMs?: number;
    /** Time until it ends, in milliseconds, if that is known. */
    readonly leftMs?: number;
    /** Region, state of the circuit breaker, or limit in requests a second. */
    readonly value?: string | number;
}

/** Lists the facts about an endpoint. */
export type ListEndpointFacts = (endpoint: EndpointRecord) => readonly EndpointFact[];

export interface EndpointFactsOptions {
    readonly timers: TimerService;
    readonly directory: Pick<EndpointDirectory, "find">;
    readonly health: EndpointHealth;
    readonly endpointNotices: Pick<EndpointNoticeBoard, "findLeaving" | "findFull">;
    readonly endpointQuota: Pick<EndpointQuota, "findLimit">;
    readonly coldWatch: Pick<ColdWatch, "findLimiting">;
    readonly evacuationWatch: Pick<EvacuationWatch, "getSinceMs">;
    readonly regions?: ReadonlyMap<string, string>;
}

/** Sources of facts that have only one. */
enum FactSource {
    Registration = "registration",
    Operator = "operator",
    Settings = "settings",
    /** The results of this gateway's own requests. */
    Requests = "requests",
}

/**
 * Creates the list of facts. It reads the state of the parts that own the facts and changes none.
 *
 * @example
 * const listFacts = createEndpointFacts(options);
 * listFacts(record).some(fact => fact.kind === FactKind.Leaving);
 */
export function createEndpointFacts(options: EndpointFactsOptions): ListEndpointFacts {
    const { timers, health } = options;
    // The regions are read once, at the start of the process.
    const startedAtMs = timers.now();

    function makeFact(
        kind: FactKind,
        source: string,
        observedAtMs: number,
        details: { readonly untilMs?: number; readonly value?: string | number } = {},
    ): EndpointFact {
        const nowMs = timers.now();
        return {
            kind,
            source,
            ageMs: Math.round(nowMs - observedAtMs),
            ...(details.untilMs !== undefined && { leftMs: Math.round(details.untilMs - nowMs) }),
            ...(details.value !== undefined && { value: details.value }),
        };
    }

    function listLeaving(endpoint: EndpointRecord): EndpointFact[] {
        const known = options.directory.find(endpoint.id);
        const notice = options.endpointNotices.findLeaving(endpoint);
        return [
            ...(known?.availability === EndpointAvailability.Draining
                ? [makeFact(FactKind.Leaving, FactSource.Registration, known.confirmedAtMs)]
                : []),
            ...(notice ? [makeFact(FactKind.Leaving, notice.source, notice.observedAtMs)] : []),
        ];
    }

    function listTimed(endpoint: EndpointRecord): EndpointFact[] {
        const full = options.endpointNotices.findFull(endpoint, timers.now());
        const cold = options.coldWatch.findLimiting(endpoint.id);
        return [
            ...(full ? [makeFact(FactKind.Full, full.source, full.observedAtMs, full)] : []),
            ...(cold ? [makeFact(FactKind.Cold, cold.source, cold.observedAtMs, cold)] : []),
        ];
    }

    function listHealth({ id }: EndpointRecord): EndpointFact[] {
        const value = health.getStatus(id, timers.now());
        const failedAtMs = health.getLastFailureMs(id) ?? timers.now();
        return value === HealthStatus.Good
            ? []
            : [makeFact(FactKind.Health, FactSource.Requests, failedAtMs, { value })];
    }

    return endpoint => {
        const evacuatedAtMs = options.evacuationWatch.getSinceMs(endpoint.dataCentre);
        const limit = options.endpointQuota.findLimit(endpoint.id);
        const region = options.regions?.get(endpoint.dataCentre);
        return [
            ...listLeaving(endpoint),
            ...listTimed(endpoint),
            ...(evacuatedAtMs === undefined
                ? []
                : [makeFact(FactKind.Evacuated, FactSource.Operator, evacuatedAtMs)]),
            ...(limit
                ? [makeFact(FactKind.Limit, limit.source ?? "", limit.observedAtMs, { value: limit.perSecond })]
                : []),
            ...listHealth(endpoint),
            ...(region === undefined
                ? []
                : [makeFact(FactKind.Region, FactSource.Settings, startedAtMs, { value: region })]),
        ];
    };
}
