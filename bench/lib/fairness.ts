/** What a caller asked for, in units of cost. */
export interface CallerDemand {
    readonly weight: number;
    readonly demand: number;
}

/**
 * Computes the weighted max-min fair allocation of a total: no caller gets more than it asked for, and what is left is
 * shared by weight among those that want more.
 */
export function computeAllocation(callers: readonly CallerDemand[], total: number): readonly number[] {
    const allocation = callers.map(() => 0);
    let open = callers.map((caller, index) => ({ ...caller, index }));
    let left = total;
    while (open.length > 0) {
        const unit = left / open.reduce((sum, caller) => sum + caller.weight, 0);
        const satisfied = open.filter(caller => caller.demand <= unit * caller.weight);
        if (satisfied.length === 0) {
            for (const caller of open) {
                allocation[caller.index] = unit * caller.weight;
            }
            break;
        }
        for (const caller of satisfied) {
            allocation[caller.index] = caller.demand;
            left -= caller.demand;
        }
        open = open.filter(caller => !satisfied.includes(caller));
    }
    return allocation;
}

/** Computes Jain's fairness index: 1 if all values are equal, 1/n if one has everything. */
export function computeFairnessIndex(values: readonly number[]): number | undefined {
    const sum = values.reduce((total, value) => total + value, 0);
    const squares = values.reduce((total, value) => total + value * value, 0);
    return squares === 0 ? undefined : sum * sum / (values.length * squares);
}
