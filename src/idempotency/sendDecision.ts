import { getIdTime } from "../base/ids.js";
import { ErrorCode } from "../base/requestError.js";
import { ClaimFold, ClaimFoldSettings, ClaimStatus, LiveClaim } from "./claimFold.js";
import { OutcomeResult, RecordedOutcome } from "./claimRecords.js";

/** One send of a call that may run at most once. */
export interface KeyedSend {
    readonly customer: string;
    readonly key: string;
    /** Digest of service, method, path and body. */
    readonly fingerprint: string;
    /** Id of the claim that this send has appended to the log, if any. */
    readonly claim: string | undefined;
}

/** Tag of a {@link SendDecision}. */
export enum SendDecisionKind {
    /** No claim owns the key: append one. */
    Claim = "claim",
    /** This send's claim is the first: run the call. */
    Run = "run",
    /** Answer with the recorded outcome. */
    Replay = "replay",
    /** Another send is running the call, and its outcome is still expected. */
    InProgress = "in-progress",
    /** An earlier send may have run the call, and its outcome is unknown. */
    MayHaveRun = "may-have-run",
    /** The call must not run. */
    Refuse = "refuse",
}

/** How to proceed with a send. */
export type SendDecision =
    | { readonly kind: SendDecisionKind.Claim | SendDecisionKind.Run }
    | { readonly kind: SendDecisionKind.Replay; readonly outcome: RecordedOutcome }
    | {
        readonly kind: SendDecisionKind.InProgress | SendDecisionKind.MayHaveRun;
        /** Process whose claim owns the key. */
        readonly holder: string;
    }
    | { readonly kind: SendDecisionKind.Refuse; readonly code: ErrorCode; readonly message: string };

/** Time for which an outcome is still expected after a claim's time limit, in milliseconds. */
const outcomeGraceMs = 1_000;

/**
 * Decides how to proceed with a send, from the claims of its partition.
 *
 * @param nowMs wall-clock time in milliseconds since the Unix epoch
 *
 * @example
 * const decision = decideSend({ customer, key, fingerprint, claim: undefined }, fold, settings, timers.wallNow());
 */
export function decideSend(
    send: KeyedSend,
    fold: ClaimFold,
    settings: ClaimFoldSettings,
    nowMs: number,
): SendDecision {
    fold.advance(nowMs);
    const keyTimeMs = getIdTime(send.key);
    if (keyTimeMs === undefined) {
        return refuse(ErrorCode.KeyInvalid, "the idempotency key is not a UUIDv7");
    }
    if (keyTimeMs < fold.getExpiryCutoff()) {
        return refuse(ErrorCode.KeyExpired, `the idempotency key is older than ${settings.windowMs} ms`);
    }
    const live = fold.find(send.customer, send.key);
    if (live && live.id !== send.claim) {
        return decideByClaim(send, live, nowMs);
    }
    if (keyTimeMs > nowMs + settings.maxKeyAheadMs) {
        return refuse(ErrorCode.KeyInvalid, "the time of the idempotency key is in the future");
    }
    const completeFromMs = fold.getCompleteFrom();
    // An earlier send's claim may be as old as the key, or older by the permitted clock skew, so the log must reach
    // back that far. This is checked again after this send's claim was appended, because records that the log lost in
    // the meantime may have included an earlier claim.
    if (completeFromMs === undefined || keyTimeMs - settings.maxKeyAheadMs <= completeFromMs) {
        return refuse(ErrorCode.KeyExpired, "the log does not reach back to the time of the idempotency key");
    }
    if (live) {
        return { kind: SendDecisionKind.Run };
    }
    if (send.claim !== undefined && fold.getStatus(send.claim) === ClaimStatus.Unseen) {
        return refuse(ErrorCode.LogUnavailable, "the claim is no longer in the log");
    }
    return { kind: SendDecisionKind.Claim };
}

function decideByClaim(send: KeyedSend, live: LiveClaim, nowMs: number): SendDecision {
    if (live.fingerprint !== send.fingerprint) {
        return refuse(ErrorCode.KeyReused, "the idempotency key was used for another call");
    }
    if (live.outcome) {
        return live.outcome.result === OutcomeResult.Ran
            ? { kind: SendDecisionKind.Replay, outcome: live.outcome }
            : { kind: SendDecisionKind.MayHaveRun, holder: live.holder };
    }
    const isExpected = nowMs < live.timeMs + live.limitMs + outcomeGraceMs;
    return { kind: isExpected ? SendDecisionKind.InProgress : SendDecisionKind.MayHaveRun, holder: live.holder };
}

function refuse(code: ErrorCode, message: string): SendDecision {
    return { kind: SendDecisionKind.Refuse, code, message };
}
