import { ConnectResult } from "../adapters/connections.js";
import { Disposable } from "../base/disposable.js";
import { TimerService, waitFor } from "../base/timerService.js";
import { EndpointRecord } from "../ports/endpointRecord.js";
import { CrashReport } from "../quarantine/crashEvidence.js";

/** How a request ended on an endpoint. */
export enum AttemptEnd {
    /** The connection broke before the answer was complete. */
    Broken = "broken",
    /** The endpoint sent nothing for longer than a healthy one. */
    Silent = "silent",
    /** The customer left or the deadline passed before the answer was complete. */
    Abandoned = "abandoned",
    Answered = "answered",
}

/** A request that has ended on an endpoint. */
export interface EndedAttempt {
    readonly end: AttemptEnd;
    /** Traits of the request, or `undefined` if it cannot have caused a crash. */
    readonly traits: readonly string[] | undefined;
    /** When the request was sent, on the monotonic clock. */
    readonly sentAtMs: number;
}

/** How it shows that an endpoint does not serve any more. */
export enum LossEvidence {
    /** A connection could not be established. The cause may be the network. */
    NoConnection = "no-connection",
    /** The endpoint has restarted or is no longer registered, or another one answers at its address. */
    Gone = "gone",
}

/** Tells crashes of endpoints from broken connections, and finds the requests that may have caused them. */
export interface CrashDetector extends Disposable {
    recordEnd(endpoint: EndpointRecord, attempt: EndedAttempt): void;
    /** Records that an endpoint has closed a connection on which no request was running. */
    recordIdleClose(address: string): void;
    /** Records a new endpoint. One that had its address before is lost, although its registration has not lapsed yet. */
    recordEndpointJoined(endpoint: EndpointRecord): void;
    /** Records that an endpoint is lost. Requests that ended on it shortly before may have caused that. */
    recordEndpointLoss(endpointId: string, evidence: LossEvidence): void;
}

export interface CrashDetectorOptions {
    readonly timers: TimerService;
    /** Tries to connect to an address. */
    readonly connect: (address: string) => Promise<ConnectResult>;
    readonly onCrash: (report: CrashReport) => void;
    /** Called with the traits of a request whose endpoint has outlived its answer, and the age of the answer. */
    readonly onAnswer: (traits: readonly string[], ageMs: number) => void;
    /** Called when an endpoint is lost on which no request of this process had ended unanswered. */
    readonly onIdleLoss: () => void;
}

/**
 * Time after the end of a request within which the loss of its endpoint counts as a crash. A crashed endpoint refuses
 * connections for some seconds until it has restarted, and its registration lapses after some seconds.
 */
const crashDetectionWindowMs = 6_000;
/**
 * Delays of the checks whether an endpoint still accepts connections, in milliseconds. A process that ends may close its
 * connections before it stops listening.
 */
const checkDelaysMs: readonly number[] = [0, 150, 600];
/** Time for which an endpoint must outlive an answer until the request counts as harmless, in milliseconds. */
const answerSettlingMs = 150;
/** Time within which the connections of a crashed endpoint break, in milliseconds. */
const breakSpreadMs = 1_000;
/** Ended requests that are remembered for one endpoint. */
const maxAttempts = 64;

interface RecentAttempt extends EndedAttempt {
    readonly endedAtMs: number;
}

/** What happened on one endpoint lately that may prove to be a crash. */
interface PossibleCrash {
    readonly endpoint: EndpointRecord;
    readonly crash: string;
    readonly firstAtMs: number;
    attempts: RecentAttempt[];
    /** When the last connection broke, before the loss was known. */
    brokenAtMs?: number;
    lastAnswerAtMs: number;
    isLost: boolean;
    isChecking: boolean;
    /** Whether the address has accepted connections since, so that a later failure to connect has another cause. */
    hasAcceptedConnections: boolean;
}

interface SettlingAnswer {
    readonly endpoint: EndpointRecord;
    readonly traits: readonly string[];
    readonly sentAtMs: number;
    readonly endedAtMs: number;
}

/**
 * Creates a detector. A request that ends without an answer does not prove a crash, because networks break connections
 * too. It is remembered for some seconds, in which the loss of its endpoint can show.
 *
 * @example
 * detector.recordEnd(place.endpoint, { end: AttemptEnd.Broken, traits: ["part/models/5c1e", "request/x"], sentAtMs });
 */
export function createCrashDetector(options: CrashDetectorOptions): CrashDetector {
    const { timers } = options;
    const possibleCrashes = new Map<string, PossibleCrash>();
    /** Answers that their endpoints have not outlived yet, oldest first. */
    let settling: SettlingAnswer[] = [];
    let settlingTimer: Disposable | undefined;
    /**
     * When endpoints were last known to be gone, by id. Another endpoint can answer at an address before the connections of
     * the one that had it break.
     */
    const goneAtMs = new Map<string, number>();

    function expirePossibleCrashes(nowMs: number): void {
        goneAtMs.forEach((atMs, id) => nowMs - atMs > crashDetectionWindowMs && goneAtMs.delete(id));
        for (const [id, candidate] of possibleCrashes) {
            if (nowMs - candidate.firstAtMs > crashDetectionWindowMs) {
                possibleCrashes.delete(id);
                recordOutlivedAnswers(candidate, nowMs);
            }
        }
    }

    /** Records the answers of an endpoint of which no loss has become known. */
    function recordOutlivedAnswers({ attempts, isLost }: PossibleCrash, nowMs: number): void {
        for (const { end, traits, endedAtMs } of isLost ? [] : attempts) {
            if (end === AttemptEnd.Answered && traits) {
                options.onAnswer(traits, nowMs - endedAtMs);
            }
        }
    }

    function getPossibleCrash(endpoint: EndpointRecord, nowMs: number): PossibleCrash {
        const crash = `${endpoint.id}/${endpoint.startedAtMs ?? ""}`;
        let candidate = possibleCrashes.get(endpoint.id);
        if (candidate?.crash !== crash) {
            candidate = {
                endpoint,
                crash,
                firstAtMs: nowMs,
                attempts: [],
                lastAnswerAtMs: -Infinity,
                isLost: false,
                isChecking: false,
                hasAcceptedConnections: false,
            };
            possibleCrashes.set(endpoint.id, candidate);
        }
        return candidate;
    }

    /** Moves the answers that an endpoint has just given to its recent attempts: a crash may follow an answer closely. */
    function takeSettlingAnswers(candidate: PossibleCrash, nowMs: number): void {
        const isTaken = ({ endpoint, endedAtMs }: SettlingAnswer) =>
            endpoint.id === candidate.endpoint.id && nowMs - endedAtMs <= answerSettlingMs;
        for (const { traits, sentAtMs, endedAtMs } of settling.filter(isTaken)) {
            candidate.attempts.push({ end: AttemptEnd.Answered, traits, sentAtMs, endedAtMs });
        }
        settling = settling.filter(answer => !isTaken(answer));
    }

    function recordBreak(candidate: PossibleCrash, nowMs: number): void {
        if (!candidate.isLost) {
            candidate.brokenAtMs = nowMs;
            takeSettlingAnswers(candidate, nowMs);
        }
    }

    function addAnswer(endpoint: EndpointRecord, { traits, sentAtMs }: EndedAttempt, nowMs: number): void {
        const candidate = possibleCrashes.get(endpoint.id);
        if (candidate) {
            candidate.lastAnswerAtMs = nowMs;
        }
        if (traits) {
            settling.push({ endpoint, traits, sentAtMs, endedAtMs: nowMs });
            settlingTimer ??= timers.schedule(answerSettlingMs, settleAnswers);
        }
    }

    function settleAnswers(): void {
        const nowMs = timers.now();
        const settled = settling.filter(({ endedAtMs }) => nowMs - endedAtMs >= answerSettlingMs);
        settling = settling.filter(({ endedAtMs }) => nowMs - endedAtMs < answerSettlingMs);
        settled.forEach(({ traits, endedAtMs }) => options.onAnswer(traits, nowMs - endedAtMs));
        const first = settling[0];
        settlingTimer = first && timers.schedule(first.endedAtMs + answerSettlingMs - nowMs, settleAnswers);
    }

    /**
     * Returns whether the result of an attempt to connect shows a crash. Silence and then no answer do not: the network may
     * reach neither this endpoint nor any other.
     */
    function isProofOfLoss(result: ConnectResult, candidate: PossibleCrash): boolean {
        return result === ConnectResult.Refused
            || (result === ConnectResult.NoAnswer && candidate.brokenAtMs !== undefined);
    }

    /** Checks the endpoint until that shows a crash. If it never does, its loss may still show in another way. */
    async function checkLoss(candidate: PossibleCrash): Promise<void> {
        candidate.isChecking = true;
        candidate.hasAcceptedConnections = false;
        let hasAccepted = true;
        for (const delayMs of checkDelaysMs) {
            await waitFor(timers, delayMs);
            const result = await options.connect(candidate.endpoint.address);
            if (candidate.isLost || possibleCrashes.get(candidate.endpoint.id) !== candidate) {
                return;
            }
            hasAccepted &&= result === ConnectResult.Accepted;
            if (isProofOfLoss(result, candidate)) {
                markLost(candidate);
                return;
            }
        }
        candidate.isChecking = false;
        candidate.hasAcceptedConnections = hasAccepted;
    }

    function markLost(candidate: PossibleCrash): void {
        if (!candidate.isLost) {
            candidate.isLost = true;
            reportCrash(candidate, candidate.attempts);
        }
    }

    /**
     * Returns whether a request may have been running when its endpoint crashed. One whose connection broke long before the
     * last one did was not, nor one that was abandoned or silent before the last answer of the endpoint.
     */
    function isRunningAtCrash({ end, endedAtMs }: RecentAttempt, candidate: PossibleCrash): boolean {
        return end === AttemptEnd.Broken || end === AttemptEnd.Answered
            ? endedAtMs >= (candidate.brokenAtMs ?? -Infinity) - breakSpreadMs
            : endedAtMs >= candidate.lastAnswerAtMs;
    }

    function reportCrash(candidate: PossibleCrash, attempts: readonly RecentAttempt[]): void {
        const nowMs = timers.now();
        const running = attempts.filter(attempt => isRunningAtCrash(attempt, candidate));
        const suspects = running.filter(attempt => attempt.traits !== undefined);
        if (running.length === 0) {
            return;
        }
        // Nothing tells when a silent endpoint crashed: not before its last answer and the first of these requests.
        const firstSentAtMs = Math.min(...running.map(attempt => attempt.sentAtMs));
        const crashedAtMs = candidate.brokenAtMs ?? Math.max(firstSentAtMs, candidate.lastAnswerAtMs);
        options.onCrash({
            crash: candidate.crash,
            ageMs: nowMs - crashedAtMs,
            suspects: suspects.map(attempt => attempt.traits!),
            runningMs: suspects.map(attempt => crashedAtMs - attempt.sentAtMs),
        });
    }

    /** Records that the endpoint may have crashed right after the last answer that meets the condition, if there is one. */
    function recordBreakAfterAnswer(isMet: (endpoint: EndpointRecord) => boolean): void {
        const nowMs = timers.now();
        const last = settling.filter(({ endpoint }) => isMet(endpoint)).at(-1);
        if (last) {
            recordBreak(getPossibleCrash(last.endpoint, nowMs), nowMs);
        }
    }

    function addUnanswered(endpoint: EndpointRecord, attempt: EndedAttempt, nowMs: number): void {
        const candidate = getPossibleCrash(endpoint, nowMs);
        const recent: RecentAttempt = { ...attempt, endedAtMs: nowMs };
        candidate.attempts.push(recent);
        candidate.attempts.splice(0, candidate.attempts.length - maxAttempts);
        if (attempt.end === AttemptEnd.Broken) {
            recordBreak(candidate, nowMs);
        }
        candidate.isLost ||= attempt.sentAtMs < (goneAtMs.get(endpoint.id) ?? -Infinity);
        if (candidate.isLost) {
            reportCrash(candidate, [recent]);
        }
        else if (attempt.end !== AttemptEnd.Abandoned && !candidate.isChecking) {
            void checkLoss(candidate);
        }
    }

    return {
        recordEnd(endpoint, attempt) {
            const nowMs = timers.now();
            expirePossibleCrashes(nowMs);
            if (attempt.end === AttemptEnd.Answered) {
                addAnswer(endpoint, attempt, nowMs);
            }
            else {
                addUnanswered(endpoint, attempt, nowMs);
            }
        },
        recordIdleClose(address) {
            recordBreakAfterAnswer(endpoint => endpoint.address === address);
        },
        recordEndpointJoined({ id, address }) {
            expirePossibleCrashes(timers.now());
            goneAtMs.delete(id);
            [...possibleCrashes.values()]
                .filter(({ endpoint }) => endpoint.address === address && endpoint.id !== id)
                .forEach(markLost);
        },
        recordEndpointLoss(endpointId, evidence) {
            expirePossibleCrashes(timers.now());
            const isKnownGone = goneAtMs.has(endpointId);
            if (evidence === LossEvidence.Gone) {
                goneAtMs.set(endpointId, timers.now());
                recordBreakAfterAnswer(({ id }) => id === endpointId);
            }
            const candidate = possibleCrashes.get(endpointId);
            if (!candidate || candidate.isLost) {
                if (!candidate && evidence === LossEvidence.Gone && !isKnownGone) {
                    options.onIdleLoss();
                }
                return;
            }
            const isProof = candidate.brokenAtMs !== undefined && !candidate.hasAcceptedConnections;
            if (evidence === LossEvidence.Gone || isProof) {
                markLost(candidate);
            }
            else if (candidate.brokenAtMs === undefined && !candidate.isChecking) {
                void checkLoss(candidate);
            }
        },
        dispose() {
            settlingTimer?.dispose();
            settling = [];
            possibleCrashes.clear();
        },
    };
}
