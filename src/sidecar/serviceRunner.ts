import { ErrorCode } from "../base/requestError.js";
import { TimerService } from "../base/timerService.js";
import { Verdict } from "../base/verdict.js";
import { LinkMessageType, SidecarMessage } from "../link/messages.js";
import { PlainService, ServiceResult, ServiceResultKind } from "../ports/plainService.js";
import { Work, WorkRunner } from "./work.js";

/**
 * Creates the runner that executes calls on a plain service, without claims.
 *
 * @example
 * const run = createServiceRunner(service, timers);
 */
export function createServiceRunner(service: PlainService, timers: TimerService): WorkRunner {
    return (work, listener) => {
        const call = work.dispatch.service!;
        let ended = false;
        service.call({
            id: work.dispatch.request,
            method: call.method,
            path: call.path,
            headers: call.headers,
            body: call.body,
            timeLimitMs: work.item.deadlineMs - timers.now(),
        }).then(result => {
            if (!ended) {
                ended = true;
                listener.handleEnd(describeResult(work, result), 0);
            }
        }).catch((error: unknown) => {
            if (!ended) {
                ended = true;
                listener.handleEnd(
                    describeResult(work, { kind: ServiceResultKind.Unknown, message: String(error) }),
                    0,
                );
            }
        });
        // A call that was sent cannot be undone. It continues, and its outcome is reported when it is known.
        return { cancel: () => undefined };
    };
}

/** Builds the messages that report the result of a call to the entry. */
export function describeResult(work: Work, result: ServiceResult): SidecarMessage[] {
    const request = work.dispatch.request;
    switch (result.kind) {
        case ServiceResultKind.Answered:
            return [
                {
                    type: LinkMessageType.ServiceAnswer,
                    request,
                    status: result.status,
                    headers: result.headers,
                    body: result.body,
                    replayed: false,
                },
                { type: LinkMessageType.End, request, verdict: Verdict.Ran, tokens: 0 },
            ];
        case ServiceResultKind.NotSent:
            return [{
                type: LinkMessageType.Rejected,
                request,
                code: ErrorCode.EndpointFailed,
                message: result.message,
            }];
        case ServiceResultKind.Unknown:
            return [{
                type: LinkMessageType.End,
                request,
                verdict: Verdict.MayHaveRun,
                tokens: 0,
                code: ErrorCode.EndpointFailed,
                message: result.message,
            }];
    }
}
