import { createHash } from "node:crypto";
import { createDisposable, Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { Metrics } from "../base/metrics.js";
import { TimerService } from "../base/timerService.js";
import { CrashReport, createCrashEvidence, defaultEvidenceSettings } from "../quarantine/crashEvidence.js";
import { Treatment } from "../quarantine/quarantine.js";
import {
    endTerm,
    getPhase,
    isNewerTerm,
    QuarantinePhase,
    QuarantineTerm,
    startTerm,
} from "../quarantine/quarantineTerm.js";

/** Where a statement about a quarantine came from, as logged. */
export enum QuarantineSource {
    Evidence = "evidence",
    Answer = "answer",
    Gateway = "gateway",
    Store = "store",
}

/** Refuses requests with traits that crash endpoints. All gateways agree on the traits within seconds. */
export interface QuarantineRegistry {
    decideTreatment(traits: readonly string[]): Treatment;
    /** Returns the first quarantined trait, and the time until requests with it may run again. */
    findQuarantine(traits: readonly string[]): { readonly trait: string; readonly remainingMs: number } | undefined;
    /**
     * Starts the test of an expired quarantine if a request with these traits is one. Returns a disposable that ends the
     * test, or `undefined`.
     */
    startTest(traits: readonly string[]): Disposable | undefined;
    /** Records that an answer to a request with these traits has progressed beyond its beginning, now or some time ago. */
    recordAnswer(traits: readonly string[], ageMs?: number): void;
    /** Applies a crash that this gateway or another one has detected. */
    applyCrash(report: CrashReport, isOwn: boolean): void;
    /** Applies a statement of another gateway or of the store. */
    applyTerm(term: QuarantineTerm, source: QuarantineSource): void;
    listTerms(): readonly QuarantineTerm[];
    countActive(): number;
    /** Calls `listener` whenever a trait is quarantined. */
    onQuarantine(listener: (trait: string) => void): Disposable;
}

export interface QuarantineRegistryOptions {
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly metrics: Metrics;
    /** Tells the other gateways of a crash. */
    readonly reportCrash: (report: CrashReport) => void;
    /** Tells the other gateways and the store of a decision of this gateway. */
    readonly reportTerm: (term: QuarantineTerm) => void;
    /** Returns whether this gateway, and no other, may test a trait. False if that cannot be told. */
    readonly isTester: (trait: string) => boolean;
}

/** Largest number of quarantines and of ended ones that are remembered. The oldest is forgotten first. */
const maxTerms = 64;
const maxLoggedTraits = 20;
/** Time after the end of a test in which a crash that it caused is recognised, in milliseconds. */
const testSettlingMs = 6_000;
/** Crashes of a part, one less than a quarantine needs, after which its requests do not run beside each other. */
const crashesUntilPartIsIsolated = 2;
const crashesUntilRequestIsIsolated = 1;
/** Time within which the gateways whose requests ran on a crashed endpoint report their suspects, in milliseconds. */
const reportsCompleteMs = 1_000;
const maxLoggedOpenSuspects = 3;
const requestPrefix = "request/";

/**
 * Creates a registry without quarantines.
 *
 * @example
 * registry.applyCrash({ crash: "engine-1/1", ageMs: 0, suspects: [listTraits("models", ["5c1e"], "x")] }, true);
 * registry.decideTreatment(listTraits("models", ["5c1e"], "x")); // Treatment.Free
 */
export function createQuarantineRegistry(options: QuarantineRegistryOptions): QuarantineRegistry {
    const { timers, log, metrics } = options;
    const evidence = createCrashEvidence(defaultEvidenceSettings);
    const terms = new Map<string, QuarantineTerm>();
    const tests = new Set<string>();
    /** Crashes whose suspects may not all be known yet. */
    const recentCrashes = new Set<string>();
    const listeners = new Set<(trait: string) => void>();

    /** Applies a statement. Returns whether it was news. */
    function apply(term: QuarantineTerm, source: QuarantineSource): boolean {
        const known = terms.get(term.trait);
        if (!isNewerTerm(term, known)) {
            return false;
        }
        terms.delete(term.trait);
        terms.set(term.trait, term);
        if (terms.size > maxTerms) {
            const oldest = terms.keys().next().value!;
            terms.delete(oldest);
            evidence.forgetCulprit(oldest);
        }
        tests.delete(term.trait);
        const { trait, crashes } = term;
        const wallMs = timers.wallNow();
        log(term.isActive ? LogEvent.QuarantineStarted : LogEvent.QuarantineEnded, {
            trait,
            source,
            crashes,
            ageMs: Math.round(wallMs - term.decidedAtMs),
            remainingMs: term.isActive ? Math.round(term.untilMs - wallMs) : undefined,
        });
        if (term.isActive) {
            evidence.assignCrashes(trait);
            [...listeners].forEach(listener => listener(trait));
        }
        else {
            evidence.forgetCulprit(trait);
            recordAnswerElsewhere(trait);
        }
        return true;
    }

    /** Records that another gateway knows an answer to a request, without which it would not have ended the quarantine. */
    function recordAnswerElsewhere(trait: string): void {
        if (trait.startsWith(requestPrefix) && evidence.getLastAnswerMs(trait) === undefined) {
            evidence.recordAnswer([trait], -Infinity);
        }
    }

    function decide(term: QuarantineTerm, source: QuarantineSource): void {
        if (apply(term, source)) {
            options.reportTerm(term);
        }
    }

    function findPhase(trait: string): QuarantinePhase {
        return terms.size === 0 ? QuarantinePhase.None : getPhase(terms.get(trait), timers.wallNow());
    }

    function isRefused(trait: string): boolean {
        const phase = findPhase(trait);
        return phase === QuarantinePhase.Refused
            || (phase === QuarantinePhase.Testing && (tests.has(trait) || !options.isTester(trait)));
    }

    function isIsolated(trait: string, isRequest: boolean): boolean {
        const limit = isRequest ? crashesUntilRequestIsIsolated : crashesUntilPartIsIsolated;
        return findPhase(trait) === QuarantinePhase.Testing || evidence.countCrashes(trait, timers.now()) >= limit;
    }

    function renewFailedTests(report: CrashReport): void {
        const wallMs = timers.wallNow();
        const crashed = new Set(report.suspects.flat().filter(trait => findPhase(trait) === QuarantinePhase.Testing));
        for (const trait of crashed) {
            const term = terms.get(trait)!;
            decide(
                startTerm(trait, term, { crashes: term.crashes + 1, firstCrashAtMs: wallMs }, wallMs),
                QuarantineSource.Evidence,
            );
        }
    }

    function startNewTerms(): void {
        const nowMs = timers.now();
        for (let culprit = evidence.takeCulprit(nowMs); culprit; culprit = evidence.takeCulprit(nowMs)) {
            const { trait, crashes, firstCrashAgeMs } = culprit;
            const wallMs = timers.wallNow();
            const firstCrashAtMs = wallMs - firstCrashAgeMs;
            decide(startTerm(trait, terms.get(trait), { crashes, firstCrashAtMs }, wallMs), QuarantineSource.Evidence);
        }
    }

    /** Logs why nothing was quarantined, as the next requests with these traits may crash further endpoints. */
    function logOpenSuspects(crash: string): void {
        for (const suspect of evidence.listOpenSuspects(maxLoggedOpenSuspects)) {
            log(LogEvent.QuarantineWithheld, { crash, ...suspect });
        }
    }

    function logUnexplainedCrash(crash: string): void {
        if (evidence.countSuspects(crash) === 0) {
            log(LogEvent.CrashUnexplained, { crash });
            metrics.count("jujubelane_unexplained_crashes_total", "Crashes of endpoints without a suspect.");
        }
    }

    /**
     * Returns whether an answer that is known here contradicts a decision: one since the first of the crashes that the
     * decision rests on, or any if the crashes are fewer than a request needs that has been answered. The gateway that
     * decided may not have had such a request answered itself.
     */
    function isContradicted({ trait, isActive, crashes, firstCrashAtMs }: QuarantineTerm): boolean {
        const answeredAtMs = evidence.getLastAnswerMs(trait);
        const firstCrashAgeMs = timers.wallNow() - firstCrashAtMs;
        return isActive && answeredAtMs !== undefined
            && (crashes < defaultEvidenceSettings.minCrashes || timers.now() - answeredAtMs < firstCrashAgeMs);
    }

    return {
        decideTreatment(traits) {
            if (traits.some(isRefused)) {
                return Treatment.Quarantined;
            }
            const isAnyIsolated = traits.some((trait, index) => isIsolated(trait, index === traits.length - 1));
            return isAnyIsolated ? Treatment.Isolated : Treatment.Free;
        },
        findQuarantine(traits) {
            const trait = traits.find(isRefused);
            return trait === undefined
                ? undefined
                : { trait, remainingMs: Math.max(0, terms.get(trait)!.untilMs - timers.wallNow()) };
        },
        startTest(traits) {
            const tested = traits.filter(trait => findPhase(trait) === QuarantinePhase.Testing && !isRefused(trait));
            if (tested.length === 0) {
                return undefined;
            }
            tested.forEach(trait => {
                tests.add(trait);
                log(LogEvent.QuarantineTested, { trait, crashes: terms.get(trait)!.crashes });
            });
            const forget = () => tested.forEach(trait => tests.delete(trait));
            return createDisposable(() => void timers.schedule(testSettlingMs, forget));
        },
        recordAnswer(traits, ageMs = 0) {
            evidence.recordAnswer(traits, timers.now() - ageMs);
            for (const trait of terms.size === 0 ? [] : traits) {
                const term = terms.get(trait);
                if (term?.isActive) {
                    decide(endTerm(term, timers.wallNow()), QuarantineSource.Answer);
                }
            }
        },
        applyCrash(report, isOwn) {
            if (!evidence.recordCrash(report, timers.now())) {
                return;
            }
            if (!recentCrashes.has(report.crash)) {
                recentCrashes.add(report.crash);
                timers.schedule(reportsCompleteMs, () => {
                    recentCrashes.delete(report.crash);
                    logUnexplainedCrash(report.crash);
                });
            }
            log(LogEvent.SuspectFound, {
                crash: report.crash,
                suspects: report.suspects.length,
                traits: [...new Set(report.suspects.flat())].slice(0, maxLoggedTraits).join(","),
                ageMs: Math.round(report.ageMs),
                source: isOwn ? QuarantineSource.Evidence : QuarantineSource.Gateway,
            });
            metrics.count("jujubelane_endpoint_crashes_total", "Crashes of endpoints that requests may have caused.");
            if (isOwn) {
                options.reportCrash(report);
            }
            renewFailedTests(report);
            startNewTerms();
            logOpenSuspects(report.crash);
        },
        applyTerm(term, source) {
            if (!isNewerTerm(term, terms.get(term.trait))) {
                return;
            }
            if (isContradicted(term)) {
                decide(endTerm(term, timers.wallNow()), QuarantineSource.Answer);
            }
            else {
                apply(term, source);
            }
        },
        listTerms: () => [...terms.values()],
        countActive: () => [...terms.values()].filter(term => term.isActive).length,
        onQuarantine(listener) {
            listeners.add(listener);
            return createDisposable(() => listeners.delete(listener));
        },
    };
}

/** Longest text of a trait. Longer ones are replaced by a digest. */
const maxTraitLength = 120;

/**
 * Lists the traits of a request, from the most widely shared to the most specific. Prompt parts are told apart by the
 * service whose engines they may crash.
 *
 * @example
 * listTraits("models", ["5c1e"], "x"); // ["part/models/5c1e", "request/x"]
 */
export function listTraits(service: string, sharedParts: readonly string[], fingerprint: string): string[] {
    const names = sharedParts.map(part => `part/${service}/${part}`);
    const traits = names.map(name => name.length > maxTraitLength ? `part/${computeDigest(name)}` : name);
    return [...traits, requestPrefix + fingerprint];
}

/** What makes a request the same request when it is sent again under another id. */
export interface RequestIdentity {
    readonly service: string;
    /** Name of the customer; absent on routes that need no key, where all callers count as one. */
    readonly customer?: string;
    readonly method: string;
    readonly host: string;
    readonly path: string;
    /** Text that identifies the prompt, if it is not in the body. */
    readonly promptIdentity?: string;
    readonly body?: Buffer;
}

/**
 * Computes the fingerprint that identifies a request that is sent again under another id. It includes the customer, so
 * that no customer's request is refused because of another's.
 *
 * @example
 * computeFingerprint({ service: "desk", customer: "a", method: "GET", host: "x.example", path: "/look/1" });
 */
export function computeFingerprint(request: RequestIdentity): string {
    const { service, customer = "", method, host, path, promptIdentity = "", body = Buffer.alloc(0) } = request;
    return createHash("sha256")
        .update([service, customer, method, host, path, promptIdentity, ""].join("\n"))
        .update(body)
        .digest("base64").slice(0, 16);
}

function computeDigest(text: string): string {
    return createHash("sha256").update(text).digest("base64url").slice(0, 16);
}
