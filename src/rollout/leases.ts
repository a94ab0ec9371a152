import { z } from "zod";
import { LogRecord } from "../ports/logService.js";

/** Types of lease records in the log stream `control`. */
export enum LeaseRecordType {
    Acquire = "lease-acquire",
    Renew = "lease-renew",
    Release = "lease-release",
}

const common = { id: z.string().min(1), resource: z.string().min(1), holder: z.string().min(1) };
const durationMs = z.number().positive();

/** Schema of lease records. */
export const leaseRecordSchema = z.discriminatedUnion("type", [
    z.object({
        ...common,
        type: z.literal(LeaseRecordType.Acquire),
        durationMs,
        /** Maximum number of concurrent holders. The latest record of a resource applies. */
        capacity: z.number().int().positive(),
    }),
    z.object({ ...common, type: z.literal(LeaseRecordType.Renew), durationMs, token: z.number().int() }),
    z.object({ ...common, type: z.literal(LeaseRecordType.Release), token: z.number().int() }),
]);

/** A lease record. `token` is the offset of the record that acquired the lease. */
export type LeaseRecord = z.infer<typeof leaseRecordSchema>;

/** A lease that is held or waited for. */
export interface Lease {
    readonly holder: string;
    /** Fencing token: the offset of the record that requested the lease. */
    readonly token: number;
    readonly durationMs: number;
    /** Expiry by the log's clock, or `undefined` while the lease waits to be granted. */
    readonly expiresMs: number | undefined;
}

/** Leases of one resource in log order: granted leases, then waiting ones. */
export interface LeaseResource {
    readonly capacity: number;
    readonly leases: readonly Lease[];
}

/** Leases after folding a prefix of the log. */
export interface LeaseState {
    /** Offset of the next record to fold. */
    readonly nextOffset: number;
    readonly resources: ReadonlyMap<string, LeaseResource>;
    /** Ids of recent records, oldest first, by which duplicates are detected. */
    readonly ids: ReadonlySet<string>;
}

/** Maximum number of remembered ids. A duplicate of a record follows it within seconds. */
const maxIds = 10_000;

/** Returns the state before the first record. */
export function createLeaseState(): LeaseState {
    return { nextOffset: 0, resources: new Map(), ids: new Set() };
}

/**
 * Folds one record of the stream `control`. Every reader computes the same state from the same records. Leases expire
 * by the time of the records: a lease that has expired by the time of a record is removed first, so that its holder can
 * neither renew nor release it. A free slot is granted to the lease that has waited longest.
 *
 * @example
 * const state = records.reduce(foldLease, createLeaseState());
 */
export function foldLease(state: LeaseState, record: LogRecord): LeaseState {
    if (record.offset < state.nextOffset) {
        return state;
    }
    const nextOffset = record.offset + 1;
    const parsed = leaseRecordSchema.safeParse(record.value);
    if (!parsed.success || state.ids.has(parsed.data.id)) {
        return { ...state, nextOffset };
    }
    const { data } = parsed;
    const before = state.resources.get(data.resource) ?? { capacity: 1, leases: [] };
    const live = { ...before, leases: expireLeases(before.leases, record.timeMs) };
    const after = grantLeases(applyRecord(live, data, record), record.timeMs);
    const resources = new Map(state.resources);
    resources.delete(data.resource);
    if (after.leases.length > 0) {
        resources.set(data.resource, after);
    }
    return { nextOffset, resources, ids: addId(state.ids, data.id) };
}

/**
 * Returns the lease with a token, or `undefined` if it has ended.
 *
 * @example
 * findLease(state, "load/demo", 17)?.expiresMs; // a number once it is granted
 */
export function findLease(state: LeaseState, resource: string, token: number): Lease | undefined {
    return state.resources.get(resource)?.leases.find(lease => lease.token === token);
}

function addId(ids: ReadonlySet<string>, id: string): ReadonlySet<string> {
    const next = new Set(ids).add(id);
    if (next.size > maxIds) {
        next.delete(next.values().next().value!);
    }
    return next;
}

function expireLeases(leases: readonly Lease[], timeMs: number): Lease[] {
    return leases.filter(lease => lease.expiresMs === undefined || lease.expiresMs > timeMs);
}

function applyRecord(resource: LeaseResource, data: LeaseRecord, record: LogRecord): LeaseResource {
    const { leases } = resource;
    switch (data.type) {
        case LeaseRecordType.Acquire: {
            const { holder, durationMs: wantedMs, capacity } = data;
            const added = { holder, token: record.offset, durationMs: wantedMs, expiresMs: undefined };
            // A holder that acquires again has lost its earlier lease, for example because its process was restarted.
            return { capacity, leases: [...leases.filter(lease => lease.holder !== holder), added] };
        }
        case LeaseRecordType.Renew: {
            const expiresMs = record.timeMs + data.durationMs;
            const renew = (lease: Lease) => lease.expiresMs === undefined ? lease : { ...lease, expiresMs };
            return { ...resource, leases: leases.map(lease => isMatchingLease(lease, data) ? renew(lease) : lease) };
        }
        case LeaseRecordType.Release:
            return { ...resource, leases: leases.filter(lease => !isMatchingLease(lease, data)) };
    }
}

function isMatchingLease(lease: Lease, data: { readonly holder: string; readonly token: number }): boolean {
    return lease.token === data.token && lease.holder === data.holder;
}

function grantLeases(resource: LeaseResource, timeMs: number): LeaseResource {
    let free = resource.capacity - resource.leases.filter(lease => lease.expiresMs !== undefined).length;
    const leases = resource.leases.map(lease => {
        if (lease.expiresMs !== undefined || free <= 0) {
            return lease;
        }
        free--;
        return { ...lease, expiresMs: timeMs + lease.durationMs };
    });
    return { ...resource, leases };
}
