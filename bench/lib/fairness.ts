/** Weight of a customer and the service that it requested, in units of cost. */
export interface CustomerDemand {
    readonly weight: number;
    readonly demand: number;
}

/**
 * Computes the weighted max-min fair allocation of a total: no customer gets more than its demand, and the remainder is
 * divided by weight among the customers whose demand is not met.
 */
export function computeAllocation(customers: readonly CustomerDemand[], total: number): readonly number[] {
    const allocation = customers.map(() => 0);
    let unsatisfied = customers.map((customer, index) => ({ ...customer, index }));
    let remaining = total;
    while (unsatisfied.length > 0) {
        const sharePerWeight = remaining / unsatisfied.reduce((sum, customer) => sum + customer.weight, 0);
        const satisfied = unsatisfied.filter(customer => customer.demand <= sharePerWeight * customer.weight);
        if (satisfied.length === 0) {
            for (const customer of unsatisfied) {
                allocation[customer.index] = sharePerWeight * customer.weight;
            }
            break;
        }
        for (const customer of satisfied) {
            allocation[customer.index] = customer.demand;
            remaining -= customer.demand;
        }
        unsatisfied = unsatisfied.filter(customer => !satisfied.includes(customer));
    }
    return allocation;
}

/** Computes Jain's fairness index: 1 if all values are equal, 1/n if one has everything. */
export function computeFairnessIndex(values: readonly number[]): number | undefined {
    const sum = values.reduce((total, value) => total + value, 0);
    const squares = values.reduce((total, value) => total + value * value, 0);
    return squares === 0 ? undefined : sum * sum / (values.length * squares);
}
