import { createLogAppender } from "../../adapters/logAppender.js";
import { createDisposableStore, Disposable } from "../../base/disposable.js";
import { makeId } from "../../base/ids.js";
import { EventLog } from "../../base/log.js";
import { LogEvent } from "../../base/logEvents.js";
import { RandomSource } from "../../base/randomSource.js";
import { TimerService } from "../../base/timerService.js";
import { defaultClaimFoldSettings, defaultClaimPartitions } from "../../idempotency/index.js";
import { LogService } from "../../ports/logService.js";
import { ClaimTaskSettings } from "./acquireClaim.js";
import { ClaimTask, createClaimTask } from "./claimTask.js";

/** Default settings of claims. */
export const defaultClaimTaskSettings: ClaimTaskSettings = {
    ...defaultClaimFoldSettings,
    partitions: defaultClaimPartitions,
    claimTimeoutMs: 2_000,
};

/** Dependencies of claims. */
export interface ClaimsParts {
    readonly service: LogService;
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly log: EventLog;
    /** Name of the endpoint, for claim records. */
    readonly endpoint: string;
}

/** Number of times per window that the marks of all claim streams are checked. */
const markChecksPerWindow = 8;

/**
 * Starts the claims of one sidecar. The marks of the claim streams are refreshed at once and then periodically.
 *
 * @example
 * const claims = startClaims(defaultClaimTaskSettings, { service, timers, random, log, endpoint: "booking-1" });
 */
export function startClaims(settings: ClaimTaskSettings, parts: ClaimsParts): ClaimTask & Disposable {
    const { service, timers, random, log } = parts;
    const store = createDisposableStore();
    const task = createClaimTask(settings, {
        service,
        appender: createLogAppender(service, timers),
        timers,
        log,
        holder: `${parts.endpoint}/${makeId()}`,
    });

    function refresh() {
        task.refreshMarks()
            .catch((error: unknown) => log(LogEvent.TaskFailed, { task: "claim marks", error: String(error) }))
            .finally(schedule);
    }

    function schedule() {
        // With jitter, sidecars usually see another sidecar's new mark and do not append their own.
        const delayMs = settings.windowMs / markChecksPerWindow * (0.5 + random());
        store.register(timers.schedule(delayMs, refresh));
    }

    refresh();
    return { ...task, dispose: () => store.dispose() };
}
