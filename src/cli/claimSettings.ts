import { z } from "zod";
import { createHttpLogService } from "../adapters/httpLogService.js";
import { EventLog } from "../base/log.js";
import { createSystemRandomSource } from "../base/systemRandomSource.js";
import { TimerService } from "../base/timerService.js";
import { ClaimTask } from "../sidecar/claims/claimTask.js";
import { defaultClaimTaskSettings, startClaims } from "../sidecar/claims/startClaims.js";
import { durationSchema, urlSchema } from "./settings.js";

/** Schema of the claim settings. */
export const claimSettingsSchema = {
    logService: urlSchema.optional(),
    logRetentionMs: durationSchema.optional(),
    claimPartitions: z.number().int().min(1).max(1_024),
    claimWindowMs: durationSchema,
    claimKeyAheadMs: z.number().min(0),
};

type ClaimSettings = z.infer<z.ZodObject<typeof claimSettingsSchema>>;

/** Flags of the claim settings. */
export const claimOptions = {
    "log-service": {
        type: "string",
        describe: "root URL of the platform's log, for claims of calls that run at most once and for load slots",
    },
    "log-retention-ms": {
        type: "number",
        describe: "retention of the log service, if known; must exceed the claim window",
    },
    "claim-partitions": {
        type: "number",
        default: defaultClaimTaskSettings.partitions,
        describe: "number of claim streams; the same at every sidecar",
    },
    "claim-window-ms": {
        type: "number",
        default: defaultClaimTaskSettings.windowMs,
        describe: "age at which an idempotency key expires; the same at every sidecar",
    },
    "claim-key-ahead-ms": {
        type: "number",
        default: defaultClaimTaskSettings.maxKeyAheadMs,
        describe: "time by which a customer's clock may be ahead",
    },
} as const;

/**
 * Whether the claim window is shorter than the log's retention, if that is known. A claim record must stay in the log
 * until its idempotency key has expired.
 */
export function isClaimWindowWithinRetention(
    settings: Pick<ClaimSettings, "logRetentionMs" | "claimWindowMs">,
): boolean {
    return settings.logRetentionMs === undefined || settings.claimWindowMs < settings.logRetentionMs;
}

/** Schema issue to report if {@link isClaimWindowWithinRetention} is false. */
export const claimWindowIssue = {
    message: "expected a claim window shorter than the log's retention",
    path: ["claimWindowMs"],
};

/** Starts the claim task; returns `undefined` if no log service is set. */
export function buildClaims(
    settings: ClaimSettings & { readonly endpoint: string },
    timers: TimerService,
    log: EventLog,
): ClaimTask | undefined {
    if (settings.logService === undefined) {
        return undefined;
    }
    return startClaims({
        ...defaultClaimTaskSettings,
        partitions: settings.claimPartitions,
        windowMs: settings.claimWindowMs,
        maxKeyAheadMs: settings.claimKeyAheadMs,
    }, {
        service: createHttpLogService(settings.logService, timers),
        timers,
        random: createSystemRandomSource(),
        log,
        endpoint: settings.endpoint,
    });
}
