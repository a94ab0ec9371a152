import { Service } from "../ports/servingConfiguration.js";
import { EngineNeeds } from "./place.js";
import type { PlacementQuota } from "./placementQueue.js";
import { QueuedWork } from "./queueFairness.js";
import { ServiceAvailability } from "./serviceAvailability.js";
import { UsableEndpoints } from "./usableEndpoints.js";

/** Predicts how long further requests of a service wait for capacity. */
export interface WaitPrediction {
    /**
     * Predicts the time until the limits of the endpoints allow the requests that wait and one more, in milliseconds.
     * Zero if an endpoint has no limit.
     */
    predictLimitWaitMs(service: Service, waiting: readonly QueuedWork[], nowMs: number): number;
    /**
     * Estimates how long a further request of this size would wait for capacity of the service, in milliseconds. Infinite
     * if the service has no endpoint and none is expected.
     */
    predictWaitMs(
        service: Service,
        needs: EngineNeeds | undefined,
        waiting: readonly QueuedWork[],
        nowMs: number,
    ): number;
}

/**
 * Creates a prediction from the endpoints that can be used.
 *
 * @example
 * createWaitPrediction(usableEndpoints, availability, quota).predictWaitMs(service, needs, [], timers.now());
 */
export function createWaitPrediction(
    { listHealthyEndpoints, listEngineViews }: Pick<UsableEndpoints, "listHealthyEndpoints" | "listEngineViews">,
    availability: Pick<ServiceAvailability, "getOpensInMs">,
    quota: Pick<PlacementQuota, "getShare">,
): WaitPrediction {
    function predictLimitWaitMs(service: Service, waiting: readonly QueuedWork[], nowMs: number): number {
        const healthy = listHealthyEndpoints(service, nowMs);
        const perSecond = healthy.reduce((sum, { record }) => sum + quota.getShare(record.id), 0);
        const ahead = waiting.filter(item => item.job.service.name === service.name).length;
        return healthy.length === 0 || perSecond === Infinity ? 0 : (ahead + 1) * 1_000 / perSecond;
    }

    return {
        predictLimitWaitMs,
        predictWaitMs(service, needs, waiting, nowMs) {
            const queued = waiting.filter(item => item.job.service.name === service.name);
            const endpoints = listHealthyEndpoints(service, nowMs);
            const opensInMs = availability.getOpensInMs(service, new Set(), nowMs);
            if (endpoints.length === 0) {
                return opensInMs > 0 ? opensInMs : Number.POSITIVE_INFINITY;
            }
            const limitWaitMs = Math.max(opensInMs, predictLimitWaitMs(service, waiting, nowMs));
            const engine = service.engine;
            if (!engine || !needs) {
                return limitWaitMs;
            }
            const queuedPrefillMs = queued.reduce((sum, item) => sum + (item.job.needs?.prefillMs ?? 0), 0);
            const pendingPrefillMs = listEngineViews(service, engine, nowMs).reduce(
                (sum, view) => sum + view.pendingPrefillMs,
                0,
            );
            return Math.max(limitWaitMs, (queuedPrefillMs + pendingPrefillMs + needs.prefillMs) / endpoints.length);
        },
    };
}
