import { EndpointRecord } from "../ports/endpointRecord.js";

/** Who has stated how long an endpoint stays cold. */
export enum ColdSource {
    Registration = "registration",
    /** The endpoint itself, in an answer to this gateway. */
    Answer = "answer",
    /** The endpoint, in an answer to another gateway. */
    Gateway = "gateway",
    /** An operator, by ending the evacuation of the endpoint's data centre. */
    Operator = "operator",
}

/** Statement about how long an endpoint stays cold. Times are on the monotonic clock. */
export interface ColdStatement {
    readonly endpoint: string;
    readonly source: ColdSource;
    readonly observedAtMs: number;
    /** When it ceases to be cold; not after `observedAtMs` if it is not cold. */
    readonly untilMs: number;
}

/** Endpoints that run slowly for some time after a start, from all that has been stated about them. */
export interface ColdEndpoints {
    /** Observes a registration, also one that was read before. */
    observeRegistration(record: EndpointRecord, nowMs: number, wallNowMs: number): void;
    /** Applies a statement. Returns whether it is newer than what was known and changes it by more than a little. */
    apply(statement: ColdStatement): boolean;
    /**
     * Returns the statement that makes an endpoint cold now, or `undefined` if it is not cold.
     *
     * @param coldStartMs time for which endpoints of the service are cold after a start, in milliseconds
     */
    findCold(endpoint: string, coldStartMs: number, nowMs: number): ColdStatement | undefined;
    /** Returns the newest statement, in force or ended. */
    findStatement(endpoint: string): ColdStatement | undefined;
    forget(endpoint: string): void;
}

/**
 * Time by which a registration can be older than its first sight, in milliseconds: endpoints write about once a second, and
 * one read collects what was written since the last.
 */
const registrationDelayMs = 1_500;
/** Longest time for which an endpoint can be cold by one statement, in milliseconds. */
export const maxColdMs = 600_000;
/** Smallest change of an end that counts, in milliseconds; answers of one endpoint name ends that differ by their way. */
const minChangeMs = 500;
/** Endpoints whose last registration is remembered, also after they have left: it can be read again unchanged. */
const maxRemembered = 4_096;

interface Seen {
    readonly startedAtMs: number | undefined;
    readonly renewal: number | undefined;
    readonly coldLeftMs: number | undefined;
    /** Start of the endpoint on the monotonic clock, if it reports it. */
    readonly bornAtMs: number | undefined;
}

/**
 * Creates an empty set.
 *
 * @example
 * cold.observeRegistration(record, timers.now(), timers.wallNow());
 * cold.findCold(record.id, 20_000, timers.now())?.untilMs;
 */
export function createColdEndpoints(): ColdEndpoints {
    const seen = new Map<string, Seen>();
    const statements = new Map<string, ColdStatement>();

    function apply(statement: ColdStatement): boolean {
        const { endpoint, observedAtMs } = statement;
        const untilMs = Math.min(statement.untilMs, observedAtMs + maxColdMs);
        const known = statements.get(endpoint);
        if (known && observedAtMs < known.observedAtMs) {
            return false;
        }
        statements.set(endpoint, { ...statement, untilMs });
        const isCold = untilMs > observedAtMs;
        const wasCold = known !== undefined && known.untilMs > observedAtMs;
        return isCold !== wasCold || (isCold && Math.abs(untilMs - known!.untilMs) > minChangeMs);
    }

    function applyRegistration(endpoint: string, coldLeftMs: number, nowMs: number): void {
        const known = statements.get(endpoint);
        const isColdKnown = known !== undefined && known.untilMs > nowMs;
        // What the endpoint has said since it may have written this holds, unless only this says that it is cold.
        const observedAtMs = coldLeftMs > 0 && !isColdKnown ? nowMs : nowMs - registrationDelayMs;
        const untilMs = coldLeftMs > 0 ? nowMs + coldLeftMs : observedAtMs;
        apply({ endpoint, source: ColdSource.Registration, observedAtMs, untilMs });
    }

    return {
        apply,
        observeRegistration({ id, startedAtMs, renewal, coldLeftMs }, nowMs, wallNowMs) {
            const last = seen.get(id);
            const isSameIncarnation = last !== undefined && last.startedAtMs === startedAtMs;
            if (last && isOlder(last, startedAtMs, renewal)) {
                return;
            }
            if (!isSameIncarnation) {
                statements.delete(id);
            }
            const bornAtMs = isSameIncarnation ? last.bornAtMs : computeBornAtMs(startedAtMs, nowMs, wallNowMs);
            seen.delete(id);
            seen.set(id, { startedAtMs, renewal, coldLeftMs, bornAtMs });
            if (seen.size > maxRemembered) {
                seen.delete(seen.keys().next().value!);
            }
            const isRepeated = isSameIncarnation && last.coldLeftMs === coldLeftMs
                && (coldLeftMs === 0 || last.renewal === renewal);
            if (coldLeftMs !== undefined && !isRepeated) {
                applyRegistration(id, coldLeftMs, nowMs);
            }
        },
        findCold(endpoint, coldStartMs, nowMs) {
            const statement = statements.get(endpoint);
            if (statement) {
                return statement.untilMs > nowMs ? statement : undefined;
            }
            const bornAtMs = seen.get(endpoint)?.bornAtMs;
            return bornAtMs !== undefined && nowMs < bornAtMs + coldStartMs
                ? {
                    endpoint,
                    source: ColdSource.Registration,
                    observedAtMs: bornAtMs,
                    untilMs: bornAtMs + coldStartMs,
                }
                : undefined;
        },
        findStatement: endpoint => statements.get(endpoint),
        forget: endpoint => void statements.delete(endpoint),
    };
}

/** Returns whether a registration was written before the one that was seen last, as an older copy of the store has it. */
function isOlder(last: Seen, startedAtMs: number | undefined, renewal: number | undefined): boolean {
    return last.startedAtMs === startedAtMs
        ? (renewal ?? 0) < (last.renewal ?? 0)
        : (startedAtMs ?? 0) < (last.startedAtMs ?? 0);
}

/** Computes when an endpoint started, on the monotonic clock. A start in the future counts as one now. */
function computeBornAtMs(startedAtMs: number | undefined, nowMs: number, wallNowMs: number): number | undefined {
    return startedAtMs === undefined ? undefined : nowMs - Math.max(0, wallNowMs - startedAtMs);
}
