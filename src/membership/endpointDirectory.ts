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
    /** The store, back from an older copy, holds the registration of an endpoint that had left. It is not used. */
    Doubtful = "doubtful",
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
    /**
     * Time for which a registration of an endpoint that had left must outlive the store's return from an older copy, in
     * milliseconds. One that nobody renews lapses within three intervals of about a second.
     */
    readonly departedGraceMs: number;
    /** Endpoints that have left and are remembered. */
    readonly maxDepartures: number;
}

export const defaultDirectorySettings: DirectorySettings = {
    lapseGraceMs: 2_000,
    departedGraceMs: 5_000,
    maxDepartures: 1_024,
};

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
    /**
     * Removes lapsed endpoints once the grace period after the store's return has passed, and accepts registrations of
     * endpoints that had left and that have outlived it.
     */
    expireLapses(nowMs: number): readonly EndpointChange[];
    /** Lists the endpoints of a service that accept new work. */
    listUsable(service: string): readonly EndpointRecord[];
    listAll(): readonly KnownEndpoint[];
    find(id: string): KnownEndpoint | undefined;
}

/** An endpoint that has left. */
interface Departure {
    readonly record: EndpointRecord;
    readonly wasDraining: boolean;
}

/** Registration of an endpoint that had left, as an older copy of the store still has it. */
interface DoubtfulRegistration {
    readonly record: EndpointRecord;
    readonly sinceMs: number;
}

/**
 * Creates an empty directory.
 *
 * A registration that disappears while the store is unreachable, or shortly after its return, may have expired only
 * because its owner could not renew it, or be lost with what was written since an older copy. Such an endpoint stays usable until the grace period after the store's return
 * has passed. A registration of an endpoint that has left, which an older copy of the store still holds, is not used unless
 * it is renewed or lasts; that of an endpoint that had announced that it leaves is never used.
 *
 * @example
 * const directory = createEndpointDirectory(defaultDirectorySettings);
 * directory.applyRecord(record, timers.now());
 */
export function createEndpointDirectory(settings: DirectorySettings): EndpointDirectory {
    const endpoints = new Map<string, KnownEndpoint>();
    /** Endpoints that have left, by id, the first to leave first. */
    const departures = new Map<string, Departure>();
    const doubtful = new Map<string, DoubtfulRegistration>();
    let restoredAtMs = Number.NEGATIVE_INFINITY;
    let isStoreUnreachable = false;
    let storeReachableAtMs = Number.NEGATIVE_INFINITY;

    function isExpiryUnreliable(nowMs: number): boolean {
        return isStoreUnreachable || nowMs < storeReachableAtMs + settings.lapseGraceMs;
    }

    function recordDeparture({ record, availability }: KnownEndpoint): void {
        departures.delete(record.id);
        departures.set(record.id, { record, wasDraining: availability === EndpointAvailability.Draining });
        if (departures.size > settings.maxDepartures) {
            departures.delete(departures.keys().next().value!);
        }
    }

    /** Returns whether a registration may be what an older copy of the store holds of an endpoint that has left. */
    function isFromOlderCopy(record: EndpointRecord, nowMs: number): boolean {
        const departure = departures.get(record.id);
        if (!departure || endpoints.has(record.id) || restoredAtMs === Number.NEGATIVE_INFINITY) {
            return false;
        }
        const { record: left, wasDraining } = departure;
        if (record.startedAtMs !== left.startedAtMs) {
            return isOlderIncarnation(record, left);
        }
        const isSameIncarnation = record.startedAtMs !== undefined;
        return (wasDraining && isSameIncarnation)
            || (nowMs < restoredAtMs + settings.departedGraceMs && !isRenewed(record, left));
    }

    function applyRecord(record: EndpointRecord, nowMs: number): readonly EndpointChange[] {
        const known = endpoints.get(record.id);
        if (known && isOlderIncarnation(record, known.record)) {
            return [];
        }
        if (isFromOlderCopy(record, nowMs)) {
            const isNew = !doubtful.has(record.id);
            doubtful.set(record.id, doubtful.get(record.id) ?? { record, sinceMs: nowMs });
            return isNew ? [{ kind: EndpointChangeKind.Doubtful, record }] : [];
        }
        doubtful.delete(record.id);
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
        doubtful.delete(id);
        if (!known || known.availability === EndpointAvailability.Lapsed) {
            return [];
        }
        if (known.availability === EndpointAvailability.Ready && isExpiryUnreliable(nowMs)) {
            endpoints.set(id, { ...known, availability: EndpointAvailability.Lapsed });
            return [{ kind: EndpointChangeKind.Lapsed, record: known.record }];
        }
        endpoints.delete(id);
        recordDeparture(known);
        return [{ kind: EndpointChangeKind.Left, record: known.record }];
    }

    /** Accepts the registrations that nobody has let lapse: their endpoints live. */
    function acceptLasting(nowMs: number): readonly EndpointChange[] {
        const lasting = [...doubtful.values()].filter(({ sinceMs }) => nowMs - sinceMs >= settings.departedGraceMs);
        return lasting.filter(({ record }) => !isFromOlderCopy(record, nowMs))
            .flatMap(({ record }) => applyRecord(record, nowMs));
    }

    function removeLapsed(): readonly EndpointChange[] {
        const lapsed = [...endpoints.values()].filter(item => item.availability === EndpointAvailability.Lapsed);
        lapsed.forEach(item => {
            endpoints.delete(item.record.id);
            recordDeparture(item);
        });
        return lapsed.map(item => ({ kind: EndpointChangeKind.Left, record: item.record }));
    }

    return {
        applyRecord,
        applyRemoval,
        applyAll(records, nowMs) {
            const present = new Set(records.map(record => record.id));
            const missing = [...endpoints.keys(), ...doubtful.keys()].filter(id => !present.has(id));
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
            restoredAtMs = nowMs;
            doubtful.clear();
        },
        expireLapses: nowMs => [...acceptLasting(nowMs), ...isExpiryUnreliable(nowMs) ? [] : removeLapsed()],
        listUsable: service =>
            [...endpoints.values()]
                .filter(item => item.record.service === service && item.availability !== EndpointAvailability.Draining)
                .map(item => item.record),
        listAll: () => [...endpoints.values()],
        find: id => endpoints.get(id),
    };
}

function isRenewed(record: EndpointRecord, known: EndpointRecord): boolean {
    return record.renewal !== undefined && (known.renewal === undefined || record.renewal > known.renewal);
}

/** Returns whether a record is a delayed write of an earlier incarnation of the endpoint. */
function isOlderIncarnation(record: EndpointRecord, known: EndpointRecord): boolean {
    return record.startedAtMs !== undefined && known.startedAtMs !== undefined
        && record.startedAtMs < known.startedAtMs;
}
