import { collectGroups, countSuccessiveCrashes, isCovered, isSubset, selectMostSpecific, Tally } from "./crashTally.js";

/**
 * Requests whose answers were beginning on an endpoint when it crashed. A request is described by its traits, what other
 * requests may share with it: its shared prompt parts in order, then its fingerprint.
 */
export interface CrashReport {
    /** Id of the crashed incarnation of the endpoint, the same in all gateways' reports. */
    readonly crash: string;
    /** Time since the crash, in milliseconds. */
    readonly ageMs: number;
    /** Traits of each request, from the most widely shared to the fingerprint. */
    readonly suspects: readonly (readonly string[])[];
    /** Time for which each suspect had been running at the crash, in milliseconds; absent if that is not known. */
    readonly runningMs?: readonly number[];
}

/** Trait that is held to crash the endpoints that answer requests with it. */
export interface Culprit {
    readonly trait: string;
    readonly crashes: number;
    /** Different requests with the trait that were beginning on crashed endpoints. */
    readonly requests: number;
    /** Time since the first of the crashes, in milliseconds. */
    readonly firstCrashAgeMs: number;
}

/** Trait that several crashes count against without making it a culprit, with what that was decided on. */
export interface OpenSuspect {
    readonly trait: string;
    readonly crashes: number;
    /** Crashes that count as separate, as against those of endpoints that failed together. */
    readonly separateCrashes: number;
    /** Different requests with the trait that were beginning on crashed endpoints. */
    readonly requests: number;
    /** Whether a request with the trait has been answered, before the crashes or between them. */
    readonly hasAnswer: boolean;
}

export interface EvidenceSettings {
    /** Crashes without an answer in between after which a prompt part, or a request that has parts, is a culprit. */
    readonly minCrashes: number;
    /** The same for a request that shares nothing with others and has never been answered. */
    readonly minCrashesOfPlainRequest: number;
    /** Different requests that a culprit part must have. With fewer, the request itself is the more likely cause. */
    readonly minRequestsOfPart: number;
    /**
     * Crashes from which on a culprit is chosen even if other parts explain the crashes as well, or, if they came in more
     * than one group, even if most of them followed each other closely.
     */
    readonly maxAmbiguousCrashes: number;
    /**
     * Crashes that follow each other within this time count once, in milliseconds. Endpoints that share a rack or a link
     * fail together.
     */
    readonly minSpacingMs: number;
    /** Share of the crashes within this time that a trait must have part in. A rack takes bystanders of all kinds along. */
    readonly minShareOfGroup: number;
    /** Crashes that a part needs while one of the parts that only some of its requests have is a suspect as well. */
    readonly minCrashesOfWidePart: number;
    readonly evidenceMs: number;
    readonly maxCrashes: number;
    readonly maxAnsweredTraits: number;
    /** Requests whose answers are remembered. They are many more than parts and must not displace those. */
    readonly maxAnsweredRequests: number;
}

/**
 * Default settings. The number of crashes bounds the damage and the error rate, see the simulation in `bench/replay`;
 * the evidence outlasts customers' retries.
 */
export const defaultEvidenceSettings: EvidenceSettings = {
    minCrashes: 3,
    minCrashesOfPlainRequest: 2,
    minRequestsOfPart: 2,
    maxAmbiguousCrashes: 5,
    minSpacingMs: 250,
    minShareOfGroup: 0.25,
    minCrashesOfWidePart: 10,
    evidenceMs: 10 * 60 * 1000,
    maxCrashes: 256,
    maxAnsweredTraits: 4_096,
    maxAnsweredRequests: 4_096,
};

/** Collects crashes and answers, and finds the traits that explain the crashes. Times are on the monotonic clock. */
export interface CrashEvidence {
    /** Records a crash, or adds the suspects of another report of it. Returns whether anything was new. */
    recordCrash(report: CrashReport, nowMs: number): boolean;
    /** Records that an answer to a request with these traits had progressed beyond its beginning at a time. */
    recordAnswer(traits: readonly string[], answeredAtMs: number): void;
    /** Returns the next culprit. Its crashes then no longer count against other traits. */
    takeCulprit(nowMs: number): Culprit | undefined;
    /** Lists the traits that at least two crashes count against and that are no culprits, those with the most first. */
    listOpenSuspects(maxCount: number): readonly OpenSuspect[];
    /** Counts the requests that may have caused a crash, as far as they are known. */
    countSuspects(crash: string): number;
    /** Counts the crashes that a trait may have caused since its last answer. */
    countCrashes(trait: string, nowMs: number): number;
    /** Returns the time of the last known answer to a request with the trait. */
    getLastAnswerMs(trait: string): number | undefined;
    /** Assigns the crashes of a trait to it, because another process found it to be the culprit. */
    assignCrashes(trait: string): void;
    /** Lets crashes from now on count against a former culprit again. */
    forgetCulprit(trait: string): void;
}

interface Suspect {
    readonly traits: readonly string[];
    /** When the request was sent, on the caller's clock; of several equal ones the last. Undefined if that is not known. */
    readonly sentAtMs: number | undefined;
}

interface Crash {
    readonly atMs: number;
    /** Suspects by fingerprint. */
    readonly suspects: Map<string, Suspect>;
    culprit?: string;
}

/**
 * Creates the evidence of one process.
 *
 * A trait is a suspect as long as no answer to a request with it has progressed since the crash. The culprit is the most
 * specific trait that has enough crashes, since a trait that more requests share would be refused to more customers; of
 * several, it is the one with the most crashes. The crashes of a culprit are explained by it and do not count against
 * the requests that only happened to run beside it.
 *
 * @example
 * const evidence = createCrashEvidence(defaultEvidenceSettings);
 * evidence.recordCrash({ crash: "engine-1/1", ageMs: 0, suspects: [["part/models/5c1e", "request/x"]] }, nowMs);
 * evidence.takeCulprit(nowMs); // undefined
 */
export function createCrashEvidence(settings: EvidenceSettings): CrashEvidence {
    const crashes = new Map<string, Crash>();
    const suspected = new Set<string>();
    const culprits = new Set<string>();
    /** Parts, and whole requests, by the time of their last answer, oldest first. */
    const answeredParts = new Map<string, number>();
    const answeredRequests = new Map<string, number>();

    function getLastAnswerMs(trait: string): number | undefined {
        return answeredParts.get(trait) ?? answeredRequests.get(trait);
    }

    function addAnswer(answers: Map<string, number>, trait: string, nowMs: number, maxCount: number): void {
        answers.delete(trait);
        answers.set(trait, nowMs);
        if (answers.size > maxCount) {
            answers.delete(answers.keys().next().value!);
        }
    }

    function expire(nowMs: number): void {
        for (const [id, crash] of crashes) {
            if (nowMs - crash.atMs > settings.evidenceMs || crashes.size > settings.maxCrashes) {
                crashes.delete(id);
            }
        }
        refreshSuspected();
    }

    function refreshSuspected(): void {
        suspected.clear();
        for (const crash of crashes.values()) {
            for (const fingerprint of crash.suspects.keys()) {
                listOpenTraits(crash, fingerprint).forEach(trait => suspected.add(trait));
            }
        }
    }

    /** Lists the tallies of all traits that still count. */
    function countTraits(): Tally[] {
        const tallies = new Map<string, Tally>();
        for (const crash of crashes.values()) {
            for (const [fingerprint, { sentAtMs }] of crash.suspects) {
                const traits = listOpenTraits(crash, fingerprint);
                traits.forEach((trait, depth) => {
                    const tally = tallies.get(trait) ?? {
                        trait,
                        isRequest: trait === fingerprint,
                        hasParts: traits.length > 1,
                        requests: new Set(),
                        crashTimesMs: new Set(),
                        sentAtMs: new Map<number, number>(),
                        depth,
                    };
                    tallies.set(trait, tally);
                    tally.requests.add(fingerprint);
                    tally.crashTimesMs.add(crash.atMs);
                    if (sentAtMs !== undefined) {
                        tally.sentAtMs.set(crash.atMs, Math.max(sentAtMs, tally.sentAtMs.get(crash.atMs) ?? sentAtMs));
                    }
                });
            }
        }
        return [...tallies.values()];
    }

    /** Counts the crashes of a trait, those of each rack once or, if the trait has too little part in them, not at all. */
    function countSeparate(timesMs: readonly number[]): number {
        const groups = collectGroups(timesMs, settings.minSpacingMs);
        return groups.filter(({ startMs, count }) => {
            const isNear = ({ atMs }: Crash) => Math.abs(atMs - startMs) < settings.minSpacingMs;
            const total = [...crashes.values()].filter(isNear).length;
            return count >= settings.minShareOfGroup * total;
        }).length;
    }

    function countSeparateCrashes(tally: Tally): number {
        return tally.crashTimesMs.size < settings.minCrashesOfPlainRequest
            ? tally.crashTimesMs.size
            : countSeparate([...tally.crashTimesMs]);
    }

    function isSufficient(tally: Tally): boolean {
        const count = countSeparateCrashes(tally);
        if (!tally.isRequest) {
            const hasMany = count > 1 && tally.crashTimesMs.size >= settings.maxAmbiguousCrashes;
            return (count >= settings.minCrashes || hasMany) && tally.requests.size >= settings.minRequestsOfPart;
        }
        // A request that has been answered is sent often, so that it is often there when an endpoint fails.
        if (tally.hasParts || answeredRequests.has(tally.trait)) {
            return count >= settings.minCrashes;
        }
        return count >= settings.minCrashesOfPlainRequest
            || countSuccessiveCrashes(tally, settings.minSpacingMs) >= settings.minCrashes;
    }

    function assignCulprit(crash: Crash): void {
        crash.culprit ??= [...crash.suspects.values()].flatMap(suspect => suspect.traits)
            .find(trait => culprits.has(trait));
    }

    function assignCrashes(trait: string): void {
        culprits.add(trait);
        crashes.forEach(assignCulprit);
        refreshSuspected();
    }

    return {
        recordCrash(report, nowMs) {
            const known = crashes.get(report.crash);
            const crash: Crash = known ?? { atMs: nowMs - report.ageMs, suspects: new Map() };
            let isNew = known === undefined;
            for (const [index, traits] of report.suspects.entries()) {
                const fingerprint = traits.at(-1);
                const remaining = traits.filter(trait => (getLastAnswerMs(trait) ?? -Infinity) < crash.atMs);
                const runningMs = report.runningMs?.[index];
                const sentAtMs = runningMs === undefined ? undefined : crash.atMs - runningMs;
                const other = fingerprint === undefined ? undefined : crash.suspects.get(fingerprint);
                const isLater = !other || (sentAtMs ?? -Infinity) > (other.sentAtMs ?? -Infinity);
                if (fingerprint !== undefined && remaining.length > 0 && isLater) {
                    crash.suspects.set(fingerprint, { traits: other?.traits ?? remaining, sentAtMs });
                    isNew = true;
                }
            }
            if (isNew) {
                crashes.set(report.crash, crash);
                assignCulprit(crash);
                expire(nowMs);
            }
            return isNew;
        },
        recordAnswer(traits, answeredAtMs) {
            const cleared = traits.filter(trait => suspected.has(trait));
            for (const trait of cleared) {
                [...crashes.values()].filter(crash => crash.atMs <= answeredAtMs)
                    .forEach(crash => removeTrait(crash, trait));
            }
            if (cleared.length > 0) {
                refreshSuspected();
            }
            for (const trait of traits) {
                const isRequest = trait === traits.at(-1);
                const answers = isRequest ? answeredRequests : answeredParts;
                const maxCount = isRequest ? settings.maxAnsweredRequests : settings.maxAnsweredTraits;
                addAnswer(answers, trait, answeredAtMs, maxCount);
            }
        },
        takeCulprit(nowMs) {
            expire(nowMs);
            const tallies = countTraits();
            const repeated = tallies.filter(tally => !tally.isRequest && tally.crashTimesMs.size > 1);
            // A part that many requests have looks guilty before the evidence against one of their own parts suffices.
            const isWide = (tally: Tally) => repeated.some(other => isCovered(tally, other));
            const sufficient = tallies.filter(isSufficient)
                .filter(tally => !isWide(tally) || countSeparateCrashes(tally) >= settings.minCrashesOfWidePart);
            const unanswered = sufficient.filter(tally => getLastAnswerMs(tally.trait) === undefined);
            const candidates = selectMostSpecific(unanswered.length > 0 ? unanswered : sufficient)
                .sort((left, right) => countSeparateCrashes(right) - countSeparateCrashes(left));
            const best = candidates[0];
            if (!best) {
                return undefined;
            }
            const isAmbiguous = candidates.some(other =>
                other !== best && isSubset(best.crashTimesMs, other.crashTimesMs)
            );
            if (isAmbiguous && countSeparateCrashes(best) < settings.maxAmbiguousCrashes) {
                return undefined;
            }
            assignCrashes(best.trait);
            return {
                trait: best.trait,
                crashes: best.crashTimesMs.size,
                requests: best.requests.size,
                firstCrashAgeMs: nowMs - Math.min(...best.crashTimesMs),
            };
        },
        listOpenSuspects: maxCount =>
            countTraits().filter(tally => tally.crashTimesMs.size > 1)
                .sort((left, right) => right.crashTimesMs.size - left.crashTimesMs.size || right.depth - left.depth)
                .slice(0, maxCount)
                .map(tally => ({
                    trait: tally.trait,
                    crashes: tally.crashTimesMs.size,
                    separateCrashes: countSeparateCrashes(tally),
                    requests: tally.requests.size,
                    hasAnswer: getLastAnswerMs(tally.trait) !== undefined,
                })),
        countSuspects: crash => crashes.get(crash)?.suspects.size ?? 0,
        countCrashes(trait, nowMs) {
            if (!suspected.has(trait)) {
                return 0;
            }
            const recent = [...crashes.values()].filter(crash =>
                nowMs - crash.atMs <= settings.evidenceMs
                && [...crash.suspects.keys()].some(name => listOpenTraits(crash, name).includes(trait))
            );
            return countSeparate(recent.map(crash => crash.atMs));
        },
        getLastAnswerMs,
        assignCrashes,
        forgetCulprit: trait => void culprits.delete(trait),
    };
}

/**
 * Lists the traits of a suspect that its crash still counts against. A culprit explains its crashes. A culprit that is a
 * request explains them for other requests only: one of its own parts may be the cause.
 */
function listOpenTraits(crash: Crash, fingerprint: string): readonly string[] {
    const { traits } = crash.suspects.get(fingerprint)!;
    if (crash.culprit === undefined) {
        return traits;
    }
    return crash.culprit === fingerprint ? traits.filter(trait => trait !== fingerprint) : [];
}

function removeTrait(crash: Crash, trait: string): void {
    for (const [fingerprint, { traits, sentAtMs }] of crash.suspects) {
        const remaining = traits.filter(item => item !== trait);
        if (remaining.length === 0) {
            crash.suspects.delete(fingerprint);
        }
        else if (remaining.length < traits.length) {
            crash.suspects.set(fingerprint, { traits: remaining, sentAtMs });
        }
    }
}

/** Events after which an answer has progressed beyond its beginning: a crash later than that has another cause. */
export const progressEvents = 4;
/** Share of the predicted time to the first event before which an endpoint does not begin an answer. */
const minPredictedShare = 0.5;

/** State of a request on an endpoint at the time of a crash. */
export interface RunningRequest {
    /** Events that the endpoint has sent for the request. */
    readonly events: number;
    readonly elapsedMs: number;
    /** Predicted time to the first event. */
    readonly predictedMs: number;
}

/**
 * Returns whether a request may have caused the crash of its endpoint. Endpoints crash as they begin an answer: a request
 * whose prompt was still being prefilled, or whose answer had progressed, is not the cause.
 *
 * @example
 * isCrashSuspect({ events: 1, elapsedMs: 150, predictedMs: 100 }); // true
 */
export function isCrashSuspect({ events, elapsedMs, predictedMs }: RunningRequest): boolean {
    return events < progressEvents && (events > 0 || elapsedMs >= minPredictedShare * predictedMs);
}
