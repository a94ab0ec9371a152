/** An endpoint crash reported by its sidecar. */
export interface CrashRecord {
    /** Id of the crash, the same in all reports of it. Only the first report of an id counts. */
    readonly crash: string;
    /** Fingerprints of the requests that were running when the endpoint crashed. */
    readonly fingerprints: readonly string[];
}

/** State of a fingerprint whose request was running when an endpoint crashed. */
export interface Suspect {
    readonly crashes: number;
    readonly quarantined: boolean;
    /** Time at which the suspicion or quarantine ends, in milliseconds on the caller's clock. */
    readonly untilMs: number;
}

/** Suspects and recent crashes known to a process. */
export interface QuarantineState {
    readonly suspects: ReadonlyMap<string, Suspect>;
    /** Recent crash ids, oldest first. */
    readonly crashes: ReadonlySet<string>;
}

/** How requests with a fingerprint are run. */
export enum Treatment {
    Free = "free",
    /** The request runs only on an endpoint without other suspects. */
    Isolated = "isolated",
    /** The request is refused. */
    Quarantined = "quarantined",
}

export interface QuarantineSettings {
    /** Time for which a fingerprint remains a suspect after a crash. */
    readonly suspicionMs: number;
    readonly quarantineMs: number;
}

/**
 * Default times. Customers resend a failed request within minutes. A quarantine outlasts the retries of a working day.
 */
export const defaultQuarantineSettings: QuarantineSettings = {
    suspicionMs: 10 * 60 * 1000,
    quarantineMs: 8 * 60 * 60 * 1000,
};

/** A new state and the fingerprints whose treatment may have changed. */
export interface QuarantineUpdate {
    readonly state: QuarantineState;
    readonly changed: readonly string[];
}

/** Number of crashes after which a fingerprint is quarantined. */
const crashesUntilQuarantine = 2;
/** Maximum remembered crash ids. All reports of one crash arrive within seconds of each other. */
const maxCrashes = 1_000;

/** Creates a state without suspects. */
export function createQuarantineState(): QuarantineState {
    return { suspects: new Map(), crashes: new Set() };
}

/**
 * Applies a crash. Each fingerprint that was running becomes a suspect, and a fingerprint that already was a suspect is
 * quarantined. If several suspects were running on the endpoint, because the report of the first crash arrived too late
 * to separate them, the cause cannot be determined. They remain suspects, so that no request is quarantined that did
 * not cause a crash.
 *
 * @example
 * const { state, changed } = applyCrash(previous, { crash: "engine-1/1", fingerprints: ["a"] }, nowMs, settings);
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
 * Removes suspects whose suspicion or quarantine has ended.
 *
 * @example
 * const { state } = expireSuspects(previous, nowMs);
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
 * Decides whether a request runs normally, runs isolated or is refused.
 *
 * @example
 * decideTreatment(state, fingerprint, nowMs); // Treatment.Free
 */
export function decideTreatment(state: QuarantineState, fingerprint: string, nowMs: number): Treatment {
    const suspect = state.suspects.get(fingerprint);
    if (!suspect || suspect.untilMs <= nowMs) {
        return Treatment.Free;
    }
    return suspect.quarantined ? Treatment.Quarantined : Treatment.Isolated;
}
