import { computeDigest } from "../../base/ids.js";
import { ErrorCode } from "../../base/requestError.js";
import { TimerService } from "../../base/timerService.js";
import { Verdict } from "../../base/verdict.js";
import { OutcomeResult, RecordedOutcome } from "../../idempotency/index.js";
import { LinkMessageType, ServiceWork, SidecarMessage } from "../../link/messages.js";
import { PlainService, ServiceResult, ServiceResultKind } from "../../ports/plainService.js";
import { createServiceRunner, describeResult } from "../serviceRunner.js";
import { Work, WorkListener, WorkRunner } from "../work.js";
import { AcquireKind, AcquireResult, ClaimHandle } from "./acquireClaim.js";
import { ClaimTask } from "./claimTask.js";

/** Largest answer body that is recorded with an outcome. */
export const maxRecordedBodyBytes = 16 * 1024;

/**
 * Creates the runner for a plain service whose calls may need a claim. A call that is repeatable or has no idempotency
 * key runs without a claim.
 *
 * @param claims claims in the platform's log; if absent, a call that needs a claim is refused
 *
 * @example
 * const run = createClaimRunner(service, claims, timers);
 */
export function createClaimRunner(
    service: PlainService,
    claims: ClaimTask | undefined,
    timers: TimerService,
): WorkRunner {
    const runPlain = createServiceRunner(service, timers);
    return (work, listener) => {
        const call = work.dispatch.service!;
        if (call.repeatable || call.idempotencyKey === undefined) {
            return runPlain(work, listener);
        }
        if (!claims) {
            const message = "this endpoint has no log service for idempotency keys";
            listener.handleEnd([makeRejection(work, ErrorCode.LogUnavailable, message)], 0);
            return { cancel: () => undefined };
        }
        return runClaimed(work, listener, call, call.idempotencyKey, { service, claims, timers });
    };
}

interface ClaimedRunParts {
    readonly service: PlainService;
    readonly claims: ClaimTask;
    readonly timers: TimerService;
}

function runClaimed(work: Work, listener: WorkListener, call: ServiceWork, key: string, parts: ClaimedRunParts) {
    const { service, claims, timers } = parts;
    const request = work.dispatch.request;
    const deadlineMs = work.item.deadlineMs;
    let cancelled = false;

    async function dispatch(claim: ClaimHandle): Promise<readonly SidecarMessage[]> {
        // The process may have been suspended since it acquired the claim. It must not start a call after its limit.
        if (cancelled || timers.now() >= deadlineMs) {
            claim.release("the time limit passed before the call ran");
            return [makeRejection(work, ErrorCode.TimedOut, "the time limit passed before the call ran")];
        }
        let result: ServiceResult;
        try {
            result = await service.call({
                id: request,
                method: call.method,
                path: call.path,
                headers: call.headers,
                body: call.body,
                timeLimitMs: deadlineMs - timers.now(),
            });
        }
        catch (error) {
            result = { kind: ServiceResultKind.Unknown, message: String(error) };
        }
        if (result.kind === ServiceResultKind.NotSent) {
            claim.release(result.message);
        }
        else {
            claim.record(makeOutcome(result));
        }
        return describeResult(work, result);
    }

    async function run(): Promise<readonly SidecarMessage[]> {
        const acquired = await claims.acquire({
            request,
            customer: work.dispatch.customer,
            key,
            fingerprint: computeFingerprint(call),
            deadlineMs,
            isCancelled: () => cancelled,
        });
        return acquired.kind === AcquireKind.Acquired ? dispatch(acquired.claim) : describeAcquired(work, acquired);
    }

    run().then(
        messages => listener.handleEnd(messages, 0),
        (error: unknown) =>
            listener.handleEnd(
                [makeEnd(work, Verdict.MayHaveRun, ErrorCode.Internal, String(error))],
                0,
            ),
    );
    return {
        cancel() {
            cancelled = true;
        },
    };
}

/** Computes a digest that is equal for two calls only if they make the same request. */
function computeFingerprint(call: ServiceWork): string {
    return computeDigest([call.service, call.method, call.path, computeDigest(call.body)].join("\n"));
}

function makeOutcome(result: Exclude<ServiceResult, { kind: ServiceResultKind.NotSent }>): RecordedOutcome {
    if (result.kind === ServiceResultKind.Unknown) {
        return { result: OutcomeResult.MayHaveRun, status: 0, headers: {} };
    }
    const body = result.body.length <= maxRecordedBodyBytes ? Buffer.from(result.body).toString("base64") : undefined;
    return { result: OutcomeResult.Ran, status: result.status, headers: result.headers, body };
}

function describeAcquired(
    work: Work,
    acquired: Exclude<AcquireResult, { kind: AcquireKind.Acquired }>,
): readonly SidecarMessage[] {
    switch (acquired.kind) {
        case AcquireKind.NotRun:
            return [makeRejection(work, acquired.code, acquired.message)];
        case AcquireKind.MayHaveRun:
            return [makeEnd(work, Verdict.MayHaveRun, acquired.code, acquired.message)];
        case AcquireKind.Replay: {
            const { status, headers, body } = acquired.outcome;
            const request = work.dispatch.request;
            return [
                {
                    type: LinkMessageType.ServiceAnswer,
                    request,
                    status,
                    headers: body === undefined ? {} : headers,
                    body: Buffer.from(body ?? "", "base64"),
                    replayed: true,
                },
                { type: LinkMessageType.End, request, verdict: Verdict.Ran, tokens: 0 },
            ];
        }
    }
}

function makeRejection(work: Work, code: ErrorCode, message: string): SidecarMessage {
    return { type: LinkMessageType.Rejected, request: work.dispatch.request, code, message };
}

function makeEnd(work: Work, verdict: Verdict, code: ErrorCode, message: string): SidecarMessage {
    return { type: LinkMessageType.End, request: work.dispatch.request, verdict, tokens: 0, code, message };
}
