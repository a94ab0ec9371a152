/** The crash of an endpoint as its sidecar reports it. */
export interface CrashRecord {
    /** Names the crash, whoever reports it; the first report of an id counts. */
    readonly crash: string;
    /** Fingerprints of the requests that ran when the endpoint crashed. */
    readonly fingerprints: readonly string[];
}

/** What is known of a fingerprint that ran when an endpoint crashed. */
export interface Suspect {
    readonly crashes: number;
    readonly quarantined: boolean;
    /** Wall-clock time at which the suspicion ends, in milliseconds since the Unix epoch. */
    readonly untilMs: number;
}

/** All suspects that a process knows. */
export interface QuarantineState {
    readonly suspects: ReadonlyMap<string, Suspect>;
    /** Recent crash ids, oldest first. */
    readonly crashes: ReadonlySet<string>;
}

/** How a request with a fingerprint is treated. */
export enum Treatment {
    Free = "free",
    /** It runs alone on an endpoint. */
    Isolated = "isolated",
    /** It is refused. */
    Quarantined = "quarantined",
}

/** Times of suspicion, in milliseconds. */
export interface QuarantineSettings {
    readonly suspicionMs: number;
    readonly quarantineMs: number;
}

/** Default times: a customer sends a failed request again within minutes; a quarantine outlasts a working day's retries. */
export const defaultQuarantineSettings: QuarantineSettings = {
    suspicionMs: 10 * 60 * 1000,
    quarantineMs: 8 * 60 * 60 * 1000,
};

/** A new state with the fingerprints that are treated differently now. */
export interface QuarantineUpdate {
    readonly state: QuarantineState;
    readonly changed: readonly string[];
}

/** Crash after which a fingerprint is quarantined. */
const crashesUntilQuarantine = 2;
/** Bound of the remembered crash ids; their reports arrive within seconds of each other. */
const maxCrashes = 1_000;

/** Returns the state without suspects. */
export function createQuarantineState(): QuarantineState {
    return { suspects: new Map(), crashes: new Set() };
}

/**
 * Applies a crash. Each fingerprint that ran becomes a suspect, which runs alone from then on; one that was a suspect is
 * quarantined. Several suspects that ran together, because the news of the first crash came too late, cannot be told
 * apart: they stay suspects, so that no innocent one is quarantined.
 *
 * @example
 * const { state, changed } = applyCrash(previous, { crash: "engine-1/1", fingerprints: ["a"] }, wallNowMs, settings);
 */
export function applyCrash(
    previous: QuarantineState,
    record: CrashRecord,
    nowMs: number,
    settings: QuarantineSettings,
): QuarantineUpdate {
    if (previous.crashes.has(record.crash)) {
        return { state: previous, changed: [] };
    }
    const { state } = expireSuspects(previous, nowMs);
    const suspects = new Map(state.suspects);
    const fingerprints = [...new Set(record.fingerprints)];
    const repeated = fingerprints.filter(fingerprint => suspects.has(fingerprint));
    for (const fingerprint of fingerprints) {
        const known = suspects.get(fingerprint);
        const crashes = (known?.crashes ?? 0) + 1;
        const isProven = crashes >= crashesUntilQuarantine && repeated.length === 1;
        const quarantined = isProven || known?.quarantined === true;
        const untilMs = nowMs + (quarantined ? settings.quarantineMs : settings.suspicionMs);
        suspects.set(fingerprint, { crashes, quarantined, untilMs });
    }
    return { state: { suspects, crashes: addCrash(state.crashes, record.crash) }, changed: fingerprints };
}

function addCrash(crashes: ReadonlySet<string>, crash: string): ReadonlySet<string> {
    const next = new Set(crashes).add(crash);
    if (next.size > maxCrashes) {
        next.delete(next.values().next().value!);
    }
    return next;
}

/**
 * Forgets suspects whose time has passed.
 *
 * @example
 * const { state } = expireSuspects(previous, wallNowMs);
 */
export function expireSuspects(previous: QuarantineState, nowMs: number): QuarantineUpdate {
    const expired = [...previous.suspects].filter(([, suspect]) => suspect.untilMs <= nowMs).map(([name]) => name);
    if (expired.length === 0) {
        return { state: previous, changed: [] };
    }
    const suspects = new Map(previous.suspects);
    expired.forEach(fingerprint => suspects.delete(fingerprint));
    return { state: { ...previous, suspects }, changed: expired };
}

/**
 * Decides how a request is treated.
 *
 * @example
 * decideTreatment(state, fingerprint, wallNowMs); // Treatment.Free
 */
export function decideTreatment(state: QuarantineState, fingerprint: string, nowMs: number): Treatment {
    const suspect = state.suspects.get(fingerprint);
    if (!suspect || suspect.untilMs <= nowMs) {
        return Treatment.Free;
    }
    return suspect.quarantined ? Treatment.Quarantined : Treatment.Isolated;
}
