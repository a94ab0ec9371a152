/** Tracks which customers send the most requests, in bounded memory. */
export interface BusiestCustomers {
    /** Records a request. Returns whether its customer is among those tracked, and the one that ceased to be for it. */
    record(customer: string): { readonly isTracked: boolean; readonly dropped?: string };
}

/**
 * Creates an empty record of the `maxCustomers` that send the most requests, by the counting method of Misra and Gries: each
 * request of an untracked customer takes one off all counts, and a customer whose count is used up gives its place up. A
 * customer that sends more than one in `maxCustomers` + 1 requests is always tracked.
 *
 * @example
 * createBusiestCustomers(64).record("planner").isTracked; // true
 */
export function createBusiestCustomers(maxCustomers: number): BusiestCustomers {
    const counts = new Map<string, number>();
    return {
        record(customer) {
            const count = counts.get(customer);
            if (count !== undefined || counts.size < maxCustomers) {
                counts.set(customer, (count ?? 0) + 1);
                return { isTracked: true };
            }
            counts.forEach((other, name) => counts.set(name, other - 1));
            const dropped = [...counts].find(([, left]) => left <= 0)?.[0];
            if (dropped === undefined) {
                return { isTracked: false };
            }
            counts.delete(dropped);
            counts.set(customer, 1);
            return { isTracked: true, dropped };
        },
    };
}
