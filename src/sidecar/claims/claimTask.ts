import { AppendOutcomeKind, LogAppender } from "../../adapters/logAppender.js";
import { makeId } from "../../base/ids.js";
import { EventLog } from "../../base/log.js";
import { LogEvent } from "../../base/logEvents.js";
import { ErrorCode } from "../../base/requestError.js";
import { TimerService } from "../../base/timerService.js";
import {
    ClaimRecord,
    ClaimRecordKind,
    computePartition,
    formatClaimStream,
    MarkRecord,
    OutcomeRecord,
    ReleaseRecord,
} from "../../idempotency/index.js";
import { LogService } from "../../ports/logService.js";
import {
    acquireClaim,
    AcquireResult,
    ClaimedCall,
    ClaimHandle,
    ClaimTaskSettings,
    describeNotRun,
} from "./acquireClaim.js";
import { createBackgroundAppends } from "./backgroundAppends.js";
import { ClaimPartition, createClaimPartition } from "./claimPartition.js";

/** Claims of one sidecar. */
export interface ClaimTask {
    /** Acquires the right to run a call, or returns the result of an earlier send. Never throws. */
    acquire(call: ClaimedCall): Promise<AcquireResult>;
    /** Ensures that every claim stream holds a record that is older than future keys. */
    refreshMarks(): Promise<void>;
    /** Resolves when all pending records are in the log or after `timeLimitMs`. */
    drain(timeLimitMs: number): Promise<void>;
    countPendingRecords(): number;
}

/** Dependencies of a claim task. */
export interface ClaimTaskParts {
    readonly service: LogService;
    readonly appender: LogAppender;
    readonly timers: TimerService;
    readonly log: EventLog;
    /** Unique name of this process in claim records. */
    readonly holder: string;
}

const markLimitMs = 2_000;
/** Age of a stream's last record, as a share of the window, at which a mark is appended. */
const markAgeShare = 0.5;

/**
 * Creates the claims of one sidecar.
 *
 * @example
 * const claims = createClaimTask(settings, { service, appender, timers, log, holder: makeId() });
 * const result = await claims.acquire(call);
 */
export function createClaimTask(settings: ClaimTaskSettings, parts: ClaimTaskParts): ClaimTask {
    const { service, appender, timers, log, holder } = parts;
    const backgroundAppends = createBackgroundAppends(appender, timers, log);
    const partitions = new Map<number, ClaimPartition>();

    function getPartition(index: number): ClaimPartition {
        let partition = partitions.get(index);
        if (!partition) {
            partition = createClaimPartition(formatClaimStream(index), service, timers, log, settings);
            partitions.set(index, partition);
        }
        return partition;
    }

    /** Appends a record in the background until the key's window has passed. An expired key no longer needs it. */
    function appendInBackground(partition: ClaimPartition, record: OutcomeRecord | ReleaseRecord) {
        void backgroundAppends.append(partition.stream, record, timers.now() + settings.windowMs);
    }

    function release(partition: ClaimPartition, call: ClaimedCall, claim: string, reason: string) {
        log(LogEvent.ClaimReleased, { request: call.request, claim, reason });
        appendInBackground(partition, { kind: ClaimRecordKind.Release, id: makeId(), claim, holder });
    }

    function hold(partition: ClaimPartition, call: ClaimedCall, claim: string): ClaimHandle {
        return {
            record(outcome) {
                partition.applyOutcome(claim, outcome);
                const { result, status, headers, body } = outcome;
                const id = makeId();
                appendInBackground(partition, {
                    kind: ClaimRecordKind.Outcome,
                    id,
                    claim,
                    holder,
                    result,
                    status,
                    headers,
                    body,
                });
            },
            release: reason => release(partition, call, claim, reason),
        };
    }

    /** Appends a claim and reads the stream up to it. */
    async function appendClaim(
        partition: ClaimPartition,
        call: ClaimedCall,
        claim: string,
        timeLimitMs: number,
    ): Promise<boolean> {
        const startedMs = timers.now();
        const record: ClaimRecord = {
            kind: ClaimRecordKind.Claim,
            id: claim,
            key: call.key,
            customer: call.customer,
            fingerprint: call.fingerprint,
            holder,
            limitMs: Math.max(0, Math.ceil(call.deadlineMs - timers.now())),
            partitions: settings.partitions,
        };
        const outcome = await appender.append(partition.stream, record, timeLimitMs);
        if (outcome.kind === AppendOutcomeKind.NotAppended) {
            return false;
        }
        const remainingMs = timeLimitMs - (timers.now() - startedMs);
        if (outcome.kind === AppendOutcomeKind.Appended && await partition.sync(remainingMs)) {
            return true;
        }
        log(LogEvent.ClaimAppendUnknown, { request: call.request, claim });
        release(partition, call, claim, "the claim's append could not be confirmed");
        return false;
    }

    async function acquire(call: ClaimedCall): Promise<AcquireResult> {
        const partition = getPartition(computePartition(call.customer, call.key, settings.partitions));
        const isKnown = partition.fold.getCompleteFrom() !== undefined;
        if (!isKnown && !await partition.sync(Math.min(settings.claimTimeoutMs, call.deadlineMs - timers.now()))) {
            return describeNotRun(ErrorCode.LogUnavailable, "the log does not answer");
        }
        if (partition.fold.getCompleteFrom() === undefined) {
            await refreshMark(partition);
        }
        if (partition.fold.findConflictingPartitions(settings.partitions) !== undefined) {
            const message = "the log holds claims with a different number of partitions";
            return describeNotRun(ErrorCode.LogUnavailable, message);
        }
        return acquireClaim(call, partition, settings, {
            timers,
            log,
            appendClaim: (claim, timeLimitMs) => appendClaim(partition, call, claim, timeLimitMs),
            release: (claim, reason) => release(partition, call, claim, reason),
            hold: claim => hold(partition, call, claim),
        });
    }

    async function refreshMark(partition: ClaimPartition) {
        if (!await partition.sync(markLimitMs)) {
            return;
        }
        const other = partition.fold.findConflictingPartitions(settings.partitions);
        if (other !== undefined) {
            log(LogEvent.ClaimPartitionsDiffer, { stream: partition.stream, expected: settings.partitions, other });
        }
        if (timers.wallNow() - partition.fold.getLastTime() >= settings.windowMs * markAgeShare) {
            const mark: MarkRecord = { kind: ClaimRecordKind.Mark, id: makeId(), partitions: settings.partitions };
            await appender.append(partition.stream, mark, markLimitMs);
            await partition.sync(markLimitMs);
        }
    }

    return {
        acquire,
        async refreshMarks() {
            await Promise.all([...Array(settings.partitions).keys()].map(index => refreshMark(getPartition(index))));
        },
        drain: timeLimitMs => backgroundAppends.drain(timeLimitMs),
        countPendingRecords: () => backgroundAppends.countPending(),
    };
}
