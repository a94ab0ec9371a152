import { EngineProfile, Service } from "../ports/servingConfiguration.js";
import { defaultPlacementSettings, PlacementRequest, PlacementStage } from "../routing/enginePlacement.js";
import { EngineView } from "../routing/engineView.js";
import { placeWithSpareEngines, selectSpareEngines, SpareEngine } from "../routing/spareEngines.js";
import { Place, PlacementJob } from "./place.js";
import { PlaceAllocator } from "./placeAllocator.js";
import type { PlacementQueueOptions } from "./placementQueue.js";
import { QueuedWork } from "./queueFairness.js";
import { UsableEndpoints } from "./usableEndpoints.js";

/** Places requests on engines of other cells, and tells which ones of the own cell are spare. */
export interface EngineBorrowing {
    /** Finds a place for a request that the own cell has no capacity for. */
    findPlace(
        job: PlacementJob,
        request: PlacementRequest,
        engine: EngineProfile,
        own: readonly EngineView[],
        stage: PlacementStage,
        nowMs: number,
    ): Place | undefined;
    /** Lists the engines that the own cell can spare: none while a request of the service waits. */
    listOwnSpare(service: Service, waiting: readonly QueuedWork[]): readonly SpareEngine[];
}

type EngineBorrowingOptions = Pick<PlacementQueueOptions, "timers" | "placeOnEngines" | "lending">;

/**
 * Creates the placement on engines of other cells. These know of a place as soon as it is recorded in the ledger.
 *
 * @example
 * createEngineBorrowing(options, usableEndpoints, allocator).findPlace(job, request, engine, views, stage, nowMs);
 */
export function createEngineBorrowing(
    { timers, placeOnEngines, lending }: EngineBorrowingOptions,
    { listEngineViews, listSpareViews }: Pick<UsableEndpoints, "listEngineViews" | "listSpareViews">,
    allocator: Pick<PlaceAllocator, "assignEngines">,
): EngineBorrowing {
    return {
        findPlace(job, request, engine, own, stage, nowMs) {
            const spare = lending ? listSpareViews(job.service, engine, nowMs, job.allowedRegions) : [];
            const placement = placeWithSpareEngines(
                request,
                own,
                spare,
                engine.slots,
                nowMs,
                stage,
                defaultPlacementSettings,
                placeOnEngines,
            );
            if (!placement) {
                return undefined;
            }
            const spareIds = new Set(spare.map(view => view.id));
            const engines = [placement.endpoint, ...placement.helpers].map(view => view.id);
            lending?.recordBorrowing(job.service.name, engines.filter(id => spareIds.has(id)));
            return allocator.assignEngines(job, engine, placement, stage, nowMs);
        },
        listOwnSpare: (service, waiting) =>
            service.engine && !waiting.some(item => item.job.service.name === service.name)
                ? selectSpareEngines(listEngineViews(service, service.engine, timers.now()), service.engine.slots)
                : [],
    };
}
