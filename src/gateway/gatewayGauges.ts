import { Metrics } from "../base/metrics.js";
import { CustomerServer } from "./customerServer.js";
import { EndpointQuota } from "./endpointQuota.js";
import { LoadExchange } from "./loadExchange.js";
import { PlacementQueue } from "./placementQueue.js";
import { QuarantineRegistry } from "./quarantineRegistry.js";
import { Reservations } from "./reservations.js";

/** What the gauges of a gateway show. */
export interface GaugeSources {
    readonly placementQueue: PlacementQueue;
    readonly endpointQuota: EndpointQuota;
    readonly quarantineRegistry: QuarantineRegistry;
    readonly reservations: Reservations;
    readonly exchange: LoadExchange;
    readonly customers: CustomerServer;
    readonly getVersion: () => number;
}

/**
 * Registers the gauges of a gateway that no other module registers.
 *
 * @example
 * registerGauges(metrics, { placementQueue, endpointQuota, quarantineRegistry, reservations, exchange, customers, getVersion });
 */
export function registerGauges(metrics: Metrics, sources: GaugeSources): void {
    const { placementQueue, endpointQuota, quarantineRegistry, reservations, exchange, customers } = sources;
    metrics.registerGauge(
        "jujubelane_waiting_requests",
        "Requests that wait for a place.",
        () => placementQueue.countWaiting(),
    );
    metrics.registerGauge(
        "jujubelane_limited_endpoints",
        "Endpoints that name a limit of requests a second.",
        () => endpointQuota.countLimited(),
    );
    metrics.registerGauge(
        "jujubelane_quarantines",
        "Prompt parts and requests that are refused because they crash endpoints.",
        () => quarantineRegistry.countActive(),
    );
    metrics.registerGauge("jujubelane_reservations", "Memory reservations held.", () => reservations.countHeld());
    metrics.registerGauge(
        "jujubelane_gateways",
        "Gateways heard of, this one included.",
        () => exchange.countGateways(),
    );
    metrics.registerGauge("jujubelane_connections", "Customers' connections.", () => customers.countConnections());
    metrics.registerGauge("jujubelane_configuration_version", "Version in force.", () => sources.getVersion());
}
