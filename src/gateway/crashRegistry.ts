import { createHash } from "node:crypto";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { Metrics } from "../base/metrics.js";
import { TimerService } from "../base/timerService.js";
import {
    applyCrash,
    createQuarantineState,
    decideTreatment,
    defaultQuarantineSettings,
    Treatment,
} from "../quarantine/quarantine.js";
import { CrashNotice } from "./loadMessage.js";

/** Detects requests that crash the endpoints that run them. */
export interface CrashRegistry {
    decideTreatment(fingerprint: string): Treatment;
    /** Records that the connection to an endpoint broke while a request was running. */
    recordBrokenConnection(endpoint: string, fingerprint: string): void;
    /**
     * Records that an endpoint is unreachable, has left or has restarted. Connections that broke shortly before then
     * count as a crash.
     */
    recordEndpointLoss(endpoint: string): void;
    /** Applies a crash that another gateway has reported. */
    applyNotice(notice: CrashNotice): void;
}

export interface CrashRegistryOptions {
    /** Prefix of crash ids, unique for each run of each gateway. */
    readonly idPrefix: string;
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly reportCrash: (notice: CrashNotice) => void;
}

/**
 * Time after a broken connection within which the loss of its endpoint counts as a crash. A crashed endpoint refuses
 * connections for some seconds until it has restarted.
 */
const crashDetectionWindowMs = 6_000;

interface BrokenConnection {
    readonly fingerprint: string;
    readonly atMs: number;
}

/**
 * Creates a registry without suspects. A broken connection alone does not count as a crash, because network faults
 * break connections too.
 *
 * @example
 * registry.recordBrokenConnection("engine-1", fingerprint);
 * registry.recordEndpointLoss("engine-1");
 */
export function createCrashRegistry(options: CrashRegistryOptions): CrashRegistry {
    const { timers, log, metrics } = options;
    const brokenConnections = new Map<string, BrokenConnection[]>();
    let state = createQuarantineState();
    let crashCount = 0;

    function apply(notice: CrashNotice, detectedAfterMs?: number): void {
        const before = state;
        const update = applyCrash(state, notice, timers.now(), defaultQuarantineSettings);
        state = update.state;
        if (state !== before) {
            const quarantined = update.changed.filter(item => state.suspects.get(item)?.quarantined === true);
            log(LogEvent.SuspectFound, {
                crash: notice.crash,
                suspects: update.changed.length,
                fingerprints: update.changed.join(","),
                detectedAfterMs,
            });
            metrics.count("jujubelane_endpoint_crashes_total", "Crashes of endpoints that requests may have caused.");
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
            const recent = (brokenConnections.get(endpoint) ?? []).filter(item =>
                nowMs - item.atMs < crashDetectionWindowMs
            );
            const fingerprints = recent.map(item => item.fingerprint);
            brokenConnections.delete(endpoint);
            if (fingerprints.length > 0) {
                const notice = { crash: `${options.idPrefix}/${endpoint}/${crashCount++}`, fingerprints };
                apply(notice, Math.round(nowMs - recent[0]!.atMs));
                options.reportCrash(notice);
            }
        },
        applyNotice: notice => apply(notice),
    };
}

/**
 * Computes the fingerprint that identifies a request that is sent again under another id.
 *
 * @example
 * computeFingerprint("customer-1", "/chat/1", body);
 */
export function computeFingerprint(customer: string, path: string, body: Buffer): string {
    return createHash("sha256").update(`${customer}\n${path}\n`).update(body).digest("base64").slice(0, 16);
}
