import murmurhash from "murmurhash";

/** Default number of claim streams. All sidecars that share a log must use the same number. */
export const defaultClaimPartitions = 8;

/**
 * Returns the map key of an idempotency key: unique per customer, and case-insensitive in the hexadecimal digits.
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
