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

/** Settings of a claim task. */
export interface ClaimTaskSettings extends ClaimFoldSettings {
    /** Number of claim streams; the same at every sidecar of a log. */
    readonly partitions: number;
    /** Time that a claim may take, in milliseconds; a call's own limit bounds it further. */
    readonly claimTimeoutMs: number;
}

/** A call that may run at most once, as it is sent. */
export interface ClaimedCall extends Omit<KeyedSend, "claim"> {
    readonly request: string;
    /** Monotonic time at which the call's limit ends. */
    readonly deadlineMs: number;
    isCancelled(): boolean;
}

/** Tag of an {@link AcquireResult}. */
export enum AcquireKind {
    /** The call is to be run now, in the same turn of the event loop, and its end to be reported. */
    Acquired = "acquired",
    Replay = "replay",
    /** Another send holds the key, and its outcome is not known within the limit. */
    MayHaveRun = "may-have-run",
    NotRun = "not-run",
}

/** What became of a call's claim. */
export type AcquireResult =
    | { readonly kind: AcquireKind.Acquired; readonly claim: ClaimHandle }
    | { readonly kind: AcquireKind.Replay; readonly outcome: RecordedOutcome }
    | {
        readonly kind: AcquireKind.MayHaveRun | AcquireKind.NotRun;
        readonly code: ErrorCode;
        readonly message: string;
    };

/** A claim that this process holds. Exactly one of its functions is called, once. */
export interface ClaimHandle {
    /** The call has run, or may have. */
    record(outcome: RecordedOutcome): void;
    /** The call certainly did not run. */
    release(reason: string): void;
}

/** What acquiring a claim needs of its task. */
export interface AcquireParts {
    readonly timers: TimerService;
    readonly log: EventLog;
    /**
     * Appends a claim and reads the stream up to it. Returns false if that did not succeed; then the claim is released
     * wherever it may be.
     */
    appendClaim(claim: string, timeLimitMs: number): Promise<boolean>;
    release(claim: string, reason: string): void;
    hold(claim: string): ClaimHandle;
}

/** Time before the end of a call's limit at which it is answered, so that the answer reaches the entry in time. */
const answerMarginMs = 100;
/** Longest wait before a claim without an outcome is judged again by its age, in milliseconds. */
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

    /** Ends the send as not run. A claim that it still holds is released. */
    function refuse(code: ErrorCode, message: string): AcquireResult {
        if (claim !== undefined) {
            parts.release(claim, message);
        }
        return describeNotRun(code, message);
    }

    async function waitForHolder(kind: SendDecisionKind): Promise<AcquireResult | undefined> {
        // A claim of this send has lost to the one that holds the key; the log's order makes it void.
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

/** Makes the result of a call that did not run. */
export function describeNotRun(code: ErrorCode, message: string): AcquireResult {
    return { kind: AcquireKind.NotRun, code, message };
}

function describeMayHaveRun(code: ErrorCode, message: string): AcquireResult {
    return { kind: AcquireKind.MayHaveRun, code, message };
}
