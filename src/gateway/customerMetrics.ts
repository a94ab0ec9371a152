import { MetricLabels, Metrics } from "../base/metrics.js";
import { createBusiestCustomers } from "../scheduling/busiestCustomers.js";

/** What became of a request, as far as overload concerns its customer. */
export enum CustomerEvent {
    /** No endpoint had capacity on arrival. A request counts once. */
    Waiting = "waiting",
    /** No endpoint had the capacity to serve it in time. */
    Refused = "refused",
    /** The first byte came after the route's target, or no answer before the deadline. */
    Late = "late",
}

/** Counts waiting, refused and late requests by route kind, customer and data centre. */
export interface CustomerMetrics {
    /** Records the arrival of a request of a customer, which decides whose requests are counted by name. */
    recordArrival(customer: string): void;
    /** @param dataCentre of the endpoint; absent for a request that was not sent, which counts for the gateway's own. */
    count(event: CustomerEvent, kind: string, customer: string, dataCentre?: string): void;
}

/** Customers that are counted by name. Each has a series for each event, route kind and data centre. */
const maxCustomers = 64;
const otherCustomers = "other";
const metricName = "jujubelane_customer_requests_total";
const help = "Waiting, refused and late requests of the busiest customers.";

/**
 * Creates the counters. The requests of customers beyond the busiest count for `other`.
 *
 * @param ownDataCentre data centre of this gateway
 *
 * @example
 * createCustomerMetrics(metrics, "a").count(CustomerEvent.Refused, "stream", "planner");
 */
export function createCustomerMetrics(metrics: Metrics, ownDataCentre: string): CustomerMetrics {
    const busiest = createBusiestCustomers(maxCustomers);
    const named = new Set<string>();
    return {
        recordArrival(customer) {
            const { isTracked, dropped } = busiest.record(customer);
            if (isTracked) {
                named.add(customer);
            }
            if (dropped !== undefined) {
                named.delete(dropped);
                metrics.remove(metricName, { customer: dropped });
            }
        },
        count(event, kind, customer, dataCentre = ownDataCentre) {
            const labels: MetricLabels = {
                event,
                kind,
                customer: named.has(customer) ? customer : otherCustomers,
                data_centre: dataCentre,
            };
            metrics.count(metricName, help, labels);
        },
    };
}
