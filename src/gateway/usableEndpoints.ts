import murmurhash from "murmurhash";
import { HealthStatus } from "../membership/endpointHealth.js";
import { EndpointRecord } from "../ports/endpointRecord.js";
import { EngineProfile, Service } from "../ports/servingConfiguration.js";
import { buildEngineView, EngineView } from "../routing/engineView.js";
import { PlainView } from "../routing/plainPlacement.js";
import { AllowedRegions, isRegionAllowed } from "../routing/regionRestriction.js";
import { PlacementJob } from "./place.js";
import { PlacementQueueOptions } from "./placementQueue.js";

/** Endpoint that may receive requests. */
export interface UsableEndpoint {
    readonly record: EndpointRecord;
    /** Whether only a single request may be sent, to test if the endpoint works again. */
    readonly isTrial: boolean;
}

/** Lists of the endpoints that placement may choose from. */
export type UsableEndpoints = ReturnType<typeof createUsableEndpoints>;

/** Options of the placement queue that say which endpoints may be used. */
type UsableEndpointsOptions = Pick<
    PlacementQueueOptions,
    | "timers"
    | "directory"
    | "endpointSubset"
    | "health"
    | "slowdownEstimate"
    | "ledger"
    | "quota"
    | "gate"
    | "regions"
    | "orderSeed"
>;

/**
 * Creates the lists of endpoints that placement may choose from.
 *
 * @example
 * const views = createUsableEndpoints(options).listPlainViews(job, timers.now());
 */
export function createUsableEndpoints(options: UsableEndpointsOptions) {
    const { timers, endpointSubset, health, slowdownEstimate, ledger, quota, gate } = options;
    /** Places of engines in the order in which they are filled. Hashing took a sixth of the time of a placement pass. */
    const orders = new WeakMap<EndpointRecord, number>();

    function getOrder(record: EndpointRecord): number {
        const order = orders.get(record) ?? murmurhash.v3(`${options.orderSeed} ${record.id}`);
        orders.set(record, order);
        return order;
    }

    /** Lists the endpoints that may be sent a request now. */
    function listUsableEndpoints(service: Service, nowMs: number, allowed?: AllowedRegions): UsableEndpoint[] {
        return listHealthyEndpoints(service, nowMs, allowed).filter(({ record }) =>
            gate.isOpen(record, nowMs) && quota.isOpen(record.id)
        );
    }

    /**
     * Lists the endpoints of the own subset that a request may run on or, if its restriction leaves none of them, those of
     * all others.
     */
    function listAllowed(service: Service, allowed: AllowedRegions | undefined): readonly EndpointRecord[] {
        const own = endpointSubset.list(service.name);
        if (allowed === undefined) {
            return own;
        }
        const isAllowed = (record: EndpointRecord) => isRegionAllowed(allowed, record.dataCentre, options.regions);
        const allowedOwn = own.filter(isAllowed);
        return allowedOwn.length > 0 ? allowedOwn : options.directory.listUsable(service.name).filter(isAllowed);
    }

    function listHealthyEndpoints(service: Service, nowMs: number, allowed?: AllowedRegions): UsableEndpoint[] {
        return listAllowed(service, allowed)
            .map(record => ({ record, standing: health.getStatus(record.id, nowMs) }))
            .filter(({ standing }) => standing !== HealthStatus.Down)
            .map(({ record, standing }) => ({ record, isTrial: standing === HealthStatus.Trial }));
    }

    /**
     * Lists views of the usable engines, without the work under `ignoredKeys`. With `onlyIds`, engines with other ids are
     * left out.
     */
    function listEngineViews(
        service: Service,
        engine: EngineProfile,
        nowMs: number,
        ignoredKeys?: ReadonlySet<string>,
        allowed?: AllowedRegions,
        onlyIds?: ReadonlySet<string>,
    ): EngineView[] {
        const usable = listUsableEndpoints(service, nowMs, allowed);
        const selected = onlyIds ? usable.filter(({ record }) => onlyIds.has(record.id)) : usable;
        return selected.map(({ record, isTrial }) => {
            const properties = {
                id: record.id,
                address: record.address,
                order: getOrder(record),
                isTrial,
                slowdown: slowdownEstimate.getSlowdown(record.id, nowMs),
            };
            const all = ledger.listAt(record.id, nowMs);
            const items = ignoredKeys ? all.filter(item => !ignoredKeys.has(item.key)) : all;
            return buildEngineView(properties, engine, items, nowMs);
        });
    }

    function listPlainViews({ service, allowedRegions }: PlacementJob, nowMs: number): PlainView[] {
        return listUsableEndpoints(service, nowMs, allowedRegions).map(({ record, isTrial }) => {
            const items = ledger.listAt(record.id, nowMs);
            return {
                id: record.id,
                address: record.address,
                dataCentre: record.dataCentre,
                isTrial,
                hasSuspect: items.some(item => item.isSuspect),
                running: items.length,
                slots: record.slots,
            };
        });
    }

    function startTrials(views: readonly { readonly id: string; readonly isTrial: boolean }[], nowMs: number): void {
        views.filter(view => view.isTrial).forEach(view => health.startTrial(view.id, nowMs));
    }

    function isLastChoice(id: string): boolean {
        const endpoint = options.directory.find(id)?.record;
        return quota.isLastChoice(id) || (endpoint !== undefined && gate.isLastChoice(endpoint, timers.now()));
    }

    return { listUsableEndpoints, listHealthyEndpoints, listEngineViews, listPlainViews, startTrials, isLastChoice };
}
