import murmurhash from "murmurhash";

/** Number of claim streams unless a setting says otherwise. Every sidecar of a log must use the same number. */
export const defaultClaimPartitions = 8;

/**
 * Returns the scope of a key: the same key of two customers is two keys, and the case of its digits does not matter.
 *
 * @example
 * computeKeyScope("kiosk", "0193A5B0-0000-7000-8000-000000000000");
 */
export function computeKeyScope(customer: string, key: string): string {
    return `${customer}\n${key.toLowerCase()}`;
}

/**
 * Returns the partition of a key, from 0 to `partitions - 1`.
 *
 * @example
 * computePartition("kiosk", key, defaultClaimPartitions);
 */
export function computePartition(customer: string, key: string, partitions: number): number {
    return murmurhash.v3(computeKeyScope(customer, key)) % partitions;
}

/**
 * Returns the name of the log stream of a partition.
 *
 * @example
 * formatClaimStream(3); // "claims-3"
 */
export function formatClaimStream(partition: number): string {
    return `claims-${partition}`;
}
