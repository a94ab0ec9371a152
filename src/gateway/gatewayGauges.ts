import { Metrics } from "../base/metrics.js";
import { CustomerServer } from "./customerServer.js";
import { EndpointNoticeBoard } from "./endpointNoticeBoard.js";
import { EndpointQuota } from "./endpointQuota.js";
import { LoadExchange } from "./loadExchange.js";
import { PlacementQueue } from "./placementQueue.js";
import { QuarantineRegistry } from "./quarantineRegistry.js";
import { Reservations } from "./reservations.js";

/** Parts of a gateway whose state is exported. */
export interface GaugeSources {
    readonly placementQueue: PlacementQueue;
    readonly endpointQuota: EndpointQuota;
    readonly endpointNotices: EndpointNoticeBoard;
    readonly quarantineRegistry: QuarantineRegistry;
    readonly reservations: Reservations;
    readonly exchange: LoadExchange;
    readonly customers: CustomerServer;
}

/**
 * Registers the gauges of a gateway.
 *
 * @param getVersion returns the version of the configuration in force
 *
 * @example
 * registerGauges(createMetrics(), parts, () => routeTable?.version);
 */
export function registerGauges(
    metrics: Metrics,
    parts: GaugeSources,
    getVersion: () => number | undefined,
): void {
    const { placementQueue, endpointQuota, endpointNotices, quarantineRegistry, reservations, exchange } = parts;
    const gauges: readonly (readonly [name: string, help: string, read: () => number])[] = [
        ["waiting_requests", "Requests that wait for a place.", () => placementQueue.countWaiting()],
        ["limited_endpoints", "Endpoints that name a limit of requests a second.", () => endpointQuota.countLimited()],
        [
            "leaving_endpoints",
            "Incarnations of endpoints that are known to leave or to have left.",
            () => endpointNotices.countLeaving(),
        ],
        [
            "full_endpoints",
            "Endpoints that have told this gateway that they have no capacity for some time.",
            () => endpointNotices.countFull(),
        ],
        [
            "quarantines",
            "Prompt parts and requests that are refused because they crash endpoints.",
            () => quarantineRegistry.countActive(),
        ],
        ["reservations", "Memory reservations held.", () => reservations.countHeld()],
        ["gateways", "Gateways heard of, this one included.", () => exchange.countGateways()],
        ["connections", "Customers' connections.", () => parts.customers.countConnections()],
        ["configuration_version", "Version in force.", () => getVersion() ?? 0],
    ];
    gauges.forEach(([name, help, read]) => metrics.registerGauge(`jujubelane_${name}`, help, read));
}

/**
 * Counts an endpoint that was lost without notice while no request of this gateway ran there.
 *
 * @example
 * countIdleLoss(metrics);
 */
export function countIdleLoss(metrics: Metrics): void {
    metrics.count(
        "jujubelane_idle_endpoint_losses_total",
        "Endpoints lost without notice on which no request of this gateway had ended unanswered.",
    );
}
