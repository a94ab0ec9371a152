import { createHash } from "node:crypto";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { TimerService } from "../base/timerService.js";
import {
    applyCrash,
    createQuarantineState,
    decideTreatment,
    defaultQuarantineSettings,
    Treatment,
} from "../quarantine/quarantine.js";
import { CrashNotice } from "./exchangeMessages.js";

/** Recognizes requests that crash the endpoints that run them. */
export interface CrashRegistry {
    decideTreatment(fingerprint: string): Treatment;
    /** Records that the connection of a running request broke at an endpoint. */
    recordBreak(endpoint: string, fingerprint: string): void;
    /** Applies a crash that another gateway has seen. */
    applyNotice(notice: CrashNotice): void;
}

/** What the registry needs. */
export interface CrashRegistryOptions {
    readonly host: string;
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly reportCrash: (notice: CrashNotice) => void;
}

/** Connections to an endpoint that break within this time have the same cause. */
const sameCrashMs = 40;

/**
 * Creates a registry without suspects.
 *
 * @example
 * registry.recordBreak("engine-1", fingerprint);
 */
export function createCrashRegistry(options: CrashRegistryOptions): CrashRegistry {
    const { timers, log } = options;
    const broken = new Map<string, Set<string>>();
    let state = createQuarantineState();
    let crashes = 0;

    function apply(notice: CrashNotice): void {
        const before = state;
        const advance = applyCrash(state, notice, timers.now(), defaultQuarantineSettings);
        state = advance.state;
        if (state !== before) {
            const quarantined = advance.changed.filter(item => state.suspects.get(item)?.quarantined === true);
            log(LogEvent.SuspectFound, { crash: notice.crash, suspects: advance.changed.length });
            quarantined.forEach(fingerprint => log(LogEvent.FingerprintQuarantined, { fingerprint }));
        }
    }

    function report(endpoint: string): void {
        const fingerprints = [...broken.get(endpoint) ?? []];
        broken.delete(endpoint);
        const notice = { crash: `${options.host}/${endpoint}/${crashes++}`, fingerprints };
        apply(notice);
        options.reportCrash(notice);
    }

    return {
        decideTreatment: fingerprint => decideTreatment(state, fingerprint, timers.now()),
        recordBreak(endpoint, fingerprint) {
            const known = broken.get(endpoint);
            if (known) {
                known.add(fingerprint);
                return;
            }
            broken.set(endpoint, new Set([fingerprint]));
            timers.schedule(sameCrashMs, () => report(endpoint));
        },
        applyNotice: apply,
    };
}

/**
 * Computes the fingerprint by which a request is recognized when it comes again under another id.
 *
 * @example
 * computeFingerprint("customer-1", "/chat/1", body);
 */
export function computeFingerprint(customer: string, path: string, body: Buffer | undefined): string {
    const hash = createHash("sha1").update(`${customer}\n${path}\n`);
    return (body ? hash.update(body) : hash).digest("base64").slice(0, 16);
}
