/** What happened to the evacuation of a data centre. */
export enum EvacuationChangeKind {
    Started = "started",
    /** The store, back from an older copy, lacks it. It stays in force for a while, since operators write it again. */
    Held = "held",
    /** It was written again while it was held. */
    Confirmed = "confirmed",
    Ended = "ended",
    /** It exceeds the number of evacuations that are kept, and is not in force. */
    Refused = "refused",
}

/** A change of the evacuation of one data centre. */
export interface EvacuationChange {
    readonly kind: EvacuationChangeKind;
    readonly dataCentre: string;
    /** Time since the evacuation was first known here, in milliseconds. */
    readonly ageMs: number;
}

/** Data centres that operators have evacuated. */
export interface Evacuations {
    /** Applies a full list of the evacuations in force. */
    applyAll(dataCentres: readonly string[], nowMs: number): readonly EvacuationChange[];
    applyStart(dataCentre: string, nowMs: number): readonly EvacuationChange[];
    /** Applies the removal of an evacuation by an operator, which also ends one that is held. */
    applyEnd(dataCentre: string, nowMs: number): readonly EvacuationChange[];
    /** Records that the next full list comes from an older copy of the store, which may lack evacuations in force. */
    markStoreRestored(): void;
    /** Ends evacuations that were not written again in time. */
    expire(nowMs: number): readonly EvacuationChange[];
    isEvacuated(dataCentre: string): boolean;
    /** Returns since when a data centre is evacuated, as known here. */
    getSinceMs(dataCentre: string): number | undefined;
    count(): number;
}

/** Time for which an evacuation that a restored store lacks stays in force, in milliseconds. */
export const restoredHoldMs = 5_000;
/** Largest number of evacuations, far above the number of data centres; it bounds what a faulty writer can add. */
const maxEvacuations = 1_024;

interface Evacuation {
    readonly sinceMs: number;
    /** Set while the evacuation is held without a record. */
    readonly heldUntilMs?: number;
}

/**
 * Creates evacuations without entries.
 *
 * @example
 * evacuations.applyStart("larissa", timers.now());
 * evacuations.isEvacuated("larissa"); // true
 */
export function createEvacuations(): Evacuations {
    const active = new Map<string, Evacuation>();
    let isRestored = false;

    function applyStart(dataCentre: string, nowMs: number): readonly EvacuationChange[] {
        const known = active.get(dataCentre);
        if (known && known.heldUntilMs === undefined) {
            return [];
        }
        if (!known && active.size >= maxEvacuations) {
            return [{ kind: EvacuationChangeKind.Refused, dataCentre, ageMs: 0 }];
        }
        const sinceMs = known?.sinceMs ?? nowMs;
        active.set(dataCentre, { sinceMs });
        const kind = known ? EvacuationChangeKind.Confirmed : EvacuationChangeKind.Started;
        return [{ kind, dataCentre, ageMs: nowMs - sinceMs }];
    }

    function applyEnd(dataCentre: string, nowMs: number): readonly EvacuationChange[] {
        const known = active.get(dataCentre);
        if (!known) {
            return [];
        }
        active.delete(dataCentre);
        return [{ kind: EvacuationChangeKind.Ended, dataCentre, ageMs: nowMs - known.sinceMs }];
    }

    /** Handles an evacuation that a full list lacks. One that is held already is left to its own end. */
    function applyMissing(dataCentre: string, nowMs: number): readonly EvacuationChange[] {
        const { sinceMs, heldUntilMs } = active.get(dataCentre)!;
        if (!isRestored) {
            return heldUntilMs === undefined ? applyEnd(dataCentre, nowMs) : [];
        }
        active.set(dataCentre, { sinceMs, heldUntilMs: nowMs + restoredHoldMs });
        return [{ kind: EvacuationChangeKind.Held, dataCentre, ageMs: nowMs - sinceMs }];
    }

    return {
        applyStart,
        applyEnd,
        applyAll(dataCentres, nowMs) {
            const present = new Set(dataCentres);
            const missing = [...active.keys()].filter(dataCentre => !present.has(dataCentre));
            const changes = [
                ...missing.flatMap(dataCentre => applyMissing(dataCentre, nowMs)),
                ...[...present].flatMap(dataCentre => applyStart(dataCentre, nowMs)),
            ];
            isRestored = false;
            return changes;
        },
        markStoreRestored() {
            isRestored = true;
        },
        expire: nowMs =>
            [...active].filter(([, { heldUntilMs = Infinity }]) => nowMs >= heldUntilMs)
                .flatMap(([dataCentre]) => applyEnd(dataCentre, nowMs)),
        getSinceMs: dataCentre => active.get(dataCentre)?.sinceMs,
        isEvacuated: dataCentre => active.has(dataCentre),
        count: () => active.size,
    };
}
