import { EndpointSubset } from "../membership/endpointSubset.js";
import { Service } from "../ports/servingConfiguration.js";
import { isTakingSlot } from "../routing/engineMemory.js";
import { LoadLedger } from "../routing/loadLedger.js";
import { ServiceLoad } from "./hedging.js";
import { QueuedWork } from "./queueFairness.js";
import { UsableEndpoint, UsableEndpoints } from "./usableEndpoints.js";

/** Tells how much work the usable endpoints of a service have, and how many requests wait for them. */
export interface ServiceLoads {
    get(service: Service, waiting: readonly QueuedWork[], nowMs: number): ServiceLoad;
    /** Describes the load on which the decision to queue or refuse a request was based, for the log. */
    describe(service: Service, waiting: readonly QueuedWork[], nowMs: number): string;
}

/**
 * Creates the loads of all services.
 *
 * @example
 * createServiceLoads(usableEndpoints, endpointSubset, ledger).get(service, waiting, timers.now()).slotsTaken;
 */
export function createServiceLoads(
    { listUsableEndpoints }: Pick<UsableEndpoints, "listUsableEndpoints">,
    endpointSubset: Pick<EndpointSubset, "list">,
    ledger: Pick<LoadLedger, "listAt">,
): ServiceLoads {
    function countTaken(usable: readonly UsableEndpoint[], nowMs: number): number {
        return usable.reduce(
            (sum, { record }) => sum + ledger.listAt(record.id, nowMs).filter(isTakingSlot).length,
            0,
        );
    }

    return {
        get(service, waiting, nowMs) {
            const usable = listUsableEndpoints(service, nowMs);
            return {
                waiting: waiting.filter(item => item.job.service.name === service.name).length,
                slots: usable.reduce((sum, { record }) => sum + (service.engine?.slots ?? record.slots), 0),
                slotsTaken: countTaken(usable, nowMs),
            };
        },
        describe(service, waiting, nowMs) {
            const known = endpointSubset.list(service.name).length;
            const usable = listUsableEndpoints(service, nowMs);
            const running = countTaken(usable, nowMs);
            return `endpoints=${known} usable=${usable.length} running=${running} waiting=${waiting.length}`;
        },
    };
}
