import { Metrics } from "../base/metrics.js";

/** Numbers of a running gateway that its metrics show. */
export interface GatewayCounts {
    readonly countWaiting: () => number;
    readonly countLimited: () => number;
    readonly countQuarantines: () => number;
    readonly countReservations: () => number;
    readonly countGateways: () => number;
    readonly countConnections: () => number;
    readonly getVersion: () => number;
}

/**
 * Registers the gauges of a gateway.
 *
 * @example
 * registerGauges(metrics, { countWaiting: () => placementQueue.countWaiting(), ...counts });
 */
export function registerGauges(metrics: Metrics, counts: GatewayCounts): void {
    metrics.registerGauge("jujubelane_waiting_requests", "Requests that wait for a place.", counts.countWaiting);
    metrics.registerGauge(
        "jujubelane_limited_endpoints",
        "Endpoints that name a limit of requests a second.",
        counts.countLimited,
    );
    metrics.registerGauge(
        "jujubelane_quarantines",
        "Prompt parts and requests that are refused because they crash endpoints.",
        counts.countQuarantines,
    );
    metrics.registerGauge("jujubelane_reservations", "Memory reservations held.", counts.countReservations);
    metrics.registerGauge("jujubelane_gateways", "Gateways heard of, this one included.", counts.countGateways);
    metrics.registerGauge("jujubelane_connections", "Customers' connections.", counts.countConnections);
    metrics.registerGauge("jujubelane_configuration_version", "Version in force.", counts.getVersion);
}
