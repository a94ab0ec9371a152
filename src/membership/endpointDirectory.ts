import { EndpointRecord, EndpointState } from "../ports/endpointRecord.js";

/** Availability of a registered endpoint. */
export enum EndpointAvailability {
    Ready = "ready",
    /** The endpoint has announced that it leaves. An incarnation cannot take this back. */
    Draining = "draining",
    /**
     * The registration disappeared while the store was unreachable or had just returned. The endpoint counts as ready
     * for a short time.
     */
    Lapsed = "lapsed",
}

/** The current incarnation of an endpoint. */
export interface KnownEndpoint {
    readonly record: EndpointRecord;
    readonly availability: EndpointAvailability;
    /** Time of the last confirmation of the record, on the monotonic clock. */
    readonly confirmedAtMs: number;
}

/** Kind of a change in the directory. */
export enum EndpointChangeKind {
    Joined = "joined",
    /** The endpoint restarted under the same id. State kept for the previous incarnation is void. */
    Restarted = "restarted",
    Draining = "draining",
    Lapsed = "lapsed",
    Left = "left",
}

/** A change in the directory, for callers that react to it. */
export interface EndpointChange {
    readonly kind: EndpointChangeKind;
    readonly record: EndpointRecord;
}

export interface DirectorySettings {
    /**
     * Time after the store becomes reachable within which live endpoints register again, in milliseconds. The platform
     * specifies about two seconds.
     */
    readonly lapseGraceMs: number;
}

export const defaultDirectorySettings: DirectorySettings = { lapseGraceMs: 2_000 };

/** Tracks which endpoints exist and may be used, from their registrations and the reachability of the store. */
export interface EndpointDirectory {
    /** Applies a snapshot of all registrations. Known endpoints that it lacks count as removed. */
    applyAll(records: readonly EndpointRecord[], nowMs: number): readonly EndpointChange[];
    applyRecord(record: EndpointRecord, nowMs: number): readonly EndpointChange[];
    applyRemoval(id: string, nowMs: number): readonly EndpointChange[];
    markStoreUnreachable(): void;
    markStoreReachable(nowMs: number): void;
    /** Records that the store has come back from an older copy, which may lack registrations of live endpoints. */
    markStoreRestored(nowMs: number): void;
    /** Removes lapsed endpoints once the grace period after the store's return has passed. */
    expireLapses(nowMs: number): readonly EndpointChange[];
    /** Lists the endpoints of a service that accept new work. */
    listUsable(service: string): readonly EndpointRecord[];
    listAll(): readonly KnownEndpoint[];
    find(id: string): KnownEndpoint | undefined;
}

/**
 * Creates an empty directory.
 *
 * A registration that disappears while the store is unreachable, or shortly after its return, may have expired only
 * because its owner could not renew it, or be lost with what was written since an older copy. Such an endpoint stays usable until the grace period after the store's return
 * has passed.
 *
 * @example
 * const directory = createEndpointDirectory(defaultDirectorySettings);
 * directory.applyRecord(record, timers.now());
 */
export function createEndpointDirectory(settings: DirectorySettings): EndpointDirectory {
    const endpoints = new Map<string, KnownEndpoint>();
    let isStoreUnreachable = false;
    let storeReachableAtMs = Number.NEGATIVE_INFINITY;

    function isExpiryUnreliable(nowMs: number): boolean {
        return isStoreUnreachable || nowMs < storeReachableAtMs + settings.lapseGraceMs;
    }

    function applyRecord(record: EndpointRecord, nowMs: number): readonly EndpointChange[] {
        const known = endpoints.get(record.id);
        if (known && isOlderIncarnation(record, known.record)) {
            return [];
        }
        const isSameIncarnation = known !== undefined && known.record.startedAtMs === record.startedAtMs;
        const isDraining = record.state === EndpointState.Draining
            || (isSameIncarnation && known.availability === EndpointAvailability.Draining);
        const availability = isDraining ? EndpointAvailability.Draining : EndpointAvailability.Ready;
        endpoints.set(record.id, { record, availability, confirmedAtMs: nowMs });
        const changes: EndpointChange[] = [];
        if (!isSameIncarnation) {
            changes.push({ kind: known ? EndpointChangeKind.Restarted : EndpointChangeKind.Joined, record });
        }
        if (isDraining && !(isSameIncarnation && known.availability === EndpointAvailability.Draining)) {
            changes.push({ kind: EndpointChangeKind.Draining, record });
        }
        return changes;
    }

    function applyRemoval(id: string, nowMs: number): readonly EndpointChange[] {
        const known = endpoints.get(id);
        if (!known || known.availability === EndpointAvailability.Lapsed) {
            return [];
        }
        if (known.availability === EndpointAvailability.Ready && isExpiryUnreliable(nowMs)) {
            endpoints.set(id, { ...known, availability: EndpointAvailability.Lapsed });
            return [{ kind: EndpointChangeKind.Lapsed, record: known.record }];
        }
        endpoints.delete(id);
        return [{ kind: EndpointChangeKind.Left, record: known.record }];
    }

    return {
        applyRecord,
        applyRemoval,
        applyAll(records, nowMs) {
            const present = new Set(records.map(record => record.id));
            const missing = [...endpoints.keys()].filter(id => !present.has(id));
            return [
                ...records.flatMap(record => applyRecord(record, nowMs)),
                ...missing.flatMap(id => applyRemoval(id, nowMs)),
            ];
        },
        markStoreUnreachable() {
            isStoreUnreachable = true;
        },
        markStoreReachable(nowMs) {
            if (isStoreUnreachable) {
                isStoreUnreachable = false;
                storeReachableAtMs = nowMs;
            }
        },
        markStoreRestored(nowMs) {
            storeReachableAtMs = nowMs;
        },
        expireLapses(nowMs) {
            if (isExpiryUnreliable(nowMs)) {
                return [];
            }
            const lapsed = [...endpoints.values()].filter(item => item.availability === EndpointAvailability.Lapsed);
            lapsed.forEach(item => endpoints.delete(item.record.id));
            return lapsed.map(item => ({ kind: EndpointChangeKind.Left, record: item.record }));
        },
        listUsable: service =>
            [...endpoints.values()]
                .filter(item => item.record.service === service && item.availability !== EndpointAvailability.Draining)
                .map(item => item.record),
        listAll: () => [...endpoints.values()],
        find: id => endpoints.get(id),
    };
}

/** Returns whether a record is a delayed write of an earlier incarnation of the endpoint. */
function isOlderIncarnation(record: EndpointRecord, known: EndpointRecord): boolean {
    return record.startedAtMs !== undefined && known.startedAtMs !== undefined
        && record.startedAtMs < known.startedAtMs;
}
