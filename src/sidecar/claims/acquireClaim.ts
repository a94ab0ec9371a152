import { makeId } from "../../base/ids.js";
import { EventLog } from "../../base/log.js";
import { LogEvent } from "../../base/logEvents.js";
import { ErrorCode } from "../../base/requestError.js";
import { TimerService } from "../../base/timerService.js";
import {
    ClaimFoldSettings,
    decideSend,
    KeyedSend,
    RecordedOutcome,
    SendDecisionKind,
} from "../../idempotency/index.js";
import { ClaimPartition } from "./claimPartition.js";

/** Settings of claims. */
export interface ClaimTaskSettings extends ClaimFoldSettings {
    /** Number of claim streams. It must be the same at every sidecar that uses the log. */
    readonly partitions: number;
    /** Longest time that acquiring a claim may take, in milliseconds. The call's own limit may be shorter. */
    readonly claimTimeoutMs: number;
}

/** One send of a call that may run at most once. */
export interface ClaimedCall extends Omit<KeyedSend, "claim"> {
    readonly request: string;
    /** Monotonic time at which the call's limit ends. */
    readonly deadlineMs: number;
    isCancelled(): boolean;
}

/** Tag of an {@link AcquireResult}. */
export enum AcquireKind {
    /** The caller must run the call now, in the same turn of the event loop, and report its end. */
    Acquired = "acquired",
    /** An earlier send ran the call, and its recorded outcome is the answer. */
    Replay = "replay",
    /** Another send holds the key, and its outcome did not become known within the limit. */
    MayHaveRun = "may-have-run",
    NotRun = "not-run",
}

/** Result of acquiring a claim. */
export type AcquireResult =
    | { readonly kind: AcquireKind.Acquired; readonly claim: ClaimHandle }
    | { readonly kind: AcquireKind.Replay; readonly outcome: RecordedOutcome }
    | {
        readonly kind: AcquireKind.MayHaveRun | AcquireKind.NotRun;
        readonly code: ErrorCode;
        readonly message: string;
    };

/** Handle of a claim that this process holds. Exactly one of its functions must be called, once. */
export interface ClaimHandle {
    /** Records the outcome of a call that ran or may have run. */
    record(outcome: RecordedOutcome): void;
    /** Releases the claim of a call that certainly did not run. */
    release(reason: string): void;
}

/** Dependencies of {@link acquireClaim}. */
export interface AcquireParts {
    readonly timers: TimerService;
    readonly log: EventLog;
    /**
     * Appends a claim and reads the stream up to it. Returns false on failure. If the claim may have reached the log,
     * it is then released.
     */
    appendClaim(claim: string, timeLimitMs: number): Promise<boolean>;
    release(claim: string, reason: string): void;
    hold(claim: string): ClaimHandle;
}

/** Margin before the end of a call's limit at which it is answered, so that the answer reaches the entry in time. */
const answerMarginMs = 100;
/** Longest wait before the age of a claim without an outcome is checked again, in milliseconds. */
const recheckIntervalMs = 500;

/**
 * Acquires the right to run a call, or waits within the call's limit for the outcome of the send that holds its key.
 *
 * @example
 * const result = await acquireClaim(call, partition, settings, parts);
 */
export async function acquireClaim(
    call: ClaimedCall,
    partition: ClaimPartition,
    settings: ClaimTaskSettings,
    parts: AcquireParts,
): Promise<AcquireResult> {
    const { timers, log } = parts;
    const answerMs = call.deadlineMs - answerMarginMs;
    let claim: string | undefined;
    let isSynced = false;

    const getTimeLimitMs = () => Math.min(settings.claimTimeoutMs, answerMs - timers.now());

    /** Returns a result that the call did not run. A claim that the send still holds is released. */
    function refuse(code: ErrorCode, message: string): AcquireResult {
        if (claim !== undefined) {
            parts.release(claim, message);
        }
        return describeNotRun(code, message);
    }

    async function waitForHolder(kind: SendDecisionKind): Promise<AcquireResult | undefined> {
        // Another send's claim comes first in the log, so a claim of this send is void and needs no release.
        claim = undefined;
        if (kind === SendDecisionKind.MayHaveRun && isSynced) {
            return describeMayHaveRun(ErrorCode.OutcomeUnknown, "an earlier send may have run the call");
        }
        if (timers.now() >= answerMs || call.isCancelled()) {
            return describeMayHaveRun(ErrorCode.InProgress, "an earlier send of the call has not ended yet");
        }
        if (!isSynced) {
            isSynced = await partition.sync(getTimeLimitMs());
            if (isSynced) {
                return undefined;
            }
        }
        await partition.waitForChange(Math.min(recheckIntervalMs, answerMs - timers.now()));
        return undefined;
    }

    async function acquireKey(isHolder: boolean): Promise<AcquireResult | undefined> {
        if (call.isCancelled()) {
            return refuse(ErrorCode.Cancelled, "cancelled before the call ran");
        }
        if (timers.now() >= answerMs) {
            return refuse(ErrorCode.TimedOut, "the time limit passed before the call ran");
        }
        if (isHolder) {
            return { kind: AcquireKind.Acquired, claim: parts.hold(claim!) };
        }
        claim = makeId();
        if (await parts.appendClaim(claim, getTimeLimitMs())) {
            isSynced = true;
            return undefined;
        }
        claim = undefined;
        return refuse(ErrorCode.LogUnavailable, "the claim could not be recorded in the log");
    }

    async function step(): Promise<AcquireResult | undefined> {
        const decision = decideSend({ ...call, claim }, partition.fold, settings, timers.wallNow());
        log(LogEvent.SendDecided, { request: call.request, decision: decision.kind, claim });
        switch (decision.kind) {
            case SendDecisionKind.Replay:
                return { kind: AcquireKind.Replay, outcome: decision.outcome };
            case SendDecisionKind.Refuse:
                return refuse(decision.code, decision.message);
            case SendDecisionKind.InProgress:
            case SendDecisionKind.MayHaveRun:
                return waitForHolder(decision.kind);
            case SendDecisionKind.Claim:
            case SendDecisionKind.Run:
                return acquireKey(decision.kind === SendDecisionKind.Run);
        }
    }

    for (;;) {
        const result = await step();
        if (result) {
            return result;
        }
    }
}

/** Builds the result of a call that did not run. */
export function describeNotRun(code: ErrorCode, message: string): AcquireResult {
    return { kind: AcquireKind.NotRun, code, message };
}

function describeMayHaveRun(code: ErrorCode, message: string): AcquireResult {
    return { kind: AcquireKind.MayHaveRun, code, message };
}
