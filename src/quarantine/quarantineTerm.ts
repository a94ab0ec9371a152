/**
 * What is known of the quarantine of a trait. Of two statements about a trait, the one that was decided later holds.
 * Times are Unix milliseconds, because statements outlive the processes that make them.
 */
export interface QuarantineTerm {
    readonly trait: string;
    /** Whether requests with the trait are refused. A statement that they are not ends an earlier quarantine. */
    readonly isActive: boolean;
    readonly decidedAtMs: number;
    /** Time from which on single requests may test whether the trait still crashes endpoints. */
    readonly untilMs: number;
    /** Crashes on which the decision was based. */
    readonly crashes: number;
    /** Time of the first of these crashes. An answer after it contradicts the decision. */
    readonly firstCrashAtMs: number;
}

/** How a request with a quarantined trait is treated. */
export enum QuarantinePhase {
    /** The trait is not quarantined. */
    None = "none",
    /** Requests are refused. */
    Refused = "refused",
    /** One request at a time may run as a test; the others are refused. */
    Testing = "testing",
}

/** Time until the first test, in milliseconds. Each failed test costs an endpoint some seconds. */
const firstTermMs = 60_000;
/** Factor by which the time until the next test grows with each failed one. */
const termGrowth = 4;
const maxTermMs = 8 * 60 * 60 * 1000;

/**
 * Starts the quarantine of a trait, or extends it after a failed test.
 *
 * @example
 * const term = startTerm("part/models/5c1e", undefined, { crashes: 3, firstCrashAtMs: wallMs - 900 }, wallMs);
 */
export function startTerm(
    trait: string,
    previous: QuarantineTerm | undefined,
    evidence: Pick<QuarantineTerm, "crashes" | "firstCrashAtMs">,
    wallMs: number,
): QuarantineTerm {
    const previousMs = previous?.isActive ? previous.untilMs - previous.decidedAtMs : 0;
    const termMs = Math.min(maxTermMs, previousMs > 0 ? termGrowth * previousMs : firstTermMs);
    const decidedAtMs = Math.max(wallMs, (previous?.decidedAtMs ?? 0) + 1);
    return { trait, isActive: true, decidedAtMs, untilMs: decidedAtMs + termMs, ...evidence };
}

/**
 * Ends a quarantine.
 *
 * @example
 * const lifted = endTerm(term, wallMs);
 */
export function endTerm(term: QuarantineTerm, wallMs: number): QuarantineTerm {
    return { ...term, isActive: false, decidedAtMs: Math.max(wallMs, term.decidedAtMs + 1) };
}

/**
 * Returns whether a statement replaces the known one about the same trait. Of two of the same millisecond the end holds, so
 * that all processes agree.
 */
export function isNewerTerm(term: QuarantineTerm, known: QuarantineTerm | undefined): boolean {
    return known === undefined || term.decidedAtMs > known.decidedAtMs
        || (term.decidedAtMs === known.decidedAtMs && known.isActive && !term.isActive);
}

/** Returns the phase of a quarantine. */
export function getPhase(term: QuarantineTerm | undefined, wallMs: number): QuarantinePhase {
    if (!term?.isActive) {
        return QuarantinePhase.None;
    }
    return wallMs < term.untilMs ? QuarantinePhase.Refused : QuarantinePhase.Testing;
}
