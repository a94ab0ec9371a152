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
    recordBrokenConnection(endpoint: string, fingerprint: string): void;
    /** Records that an endpoint is gone or began another life; breaks shortly before were then a crash. */
    recordEndpointLoss(endpoint: string): void;
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

/**
 * Time between a broken connection and the sign that its endpoint is gone: an endpoint that has crashed is back after
 * some seconds, and refuses connections until then.
 */
const crashDetectionWindowMs = 6_000;

interface BrokenConnection {
    readonly fingerprint: string;
    readonly atMs: number;
}

/**
 * Creates a registry without suspects. A broken connection alone is no crash, because networks break connections too.
 *
 * @example
 * registry.recordBreak("engine-1", fingerprint);
 * registry.recordLoss("engine-1");
 */
export function createCrashRegistry(options: CrashRegistryOptions): CrashRegistry {
    const { timers, log } = options;
    const brokenConnections = new Map<string, BrokenConnection[]>();
    let state = createQuarantineState();
    let crashCount = 0;

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

    return {
        decideTreatment: fingerprint => decideTreatment(state, fingerprint, timers.now()),
        recordBrokenConnection(endpoint, fingerprint) {
            const nowMs = timers.now();
            const recent = (brokenConnections.get(endpoint) ?? []).filter(item =>
                nowMs - item.atMs < crashDetectionWindowMs
            );
            brokenConnections.set(endpoint, [...recent, { fingerprint, atMs: nowMs }]);
        },
        recordEndpointLoss(endpoint) {
            const nowMs = timers.now();
            const fingerprints = (brokenConnections.get(endpoint) ?? []).filter(item =>
                nowMs - item.atMs < crashDetectionWindowMs
            )
                .map(item => item.fingerprint);
            brokenConnections.delete(endpoint);
            if (fingerprints.length > 0) {
                const notice = { crash: `${options.host}/${endpoint}/${crashCount++}`, fingerprints };
                apply(notice);
                options.reportCrash(notice);
            }
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
export function computeFingerprint(customer: string, path: string, body: Buffer): string {
    return createHash("sha256").update(`${customer}\n${path}\n`).update(body).digest("base64").slice(0, 16);
}
