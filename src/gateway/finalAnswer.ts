import { mergeVerdicts, Verdict } from "../base/verdict.js";
import { AnswerHead, ExchangeCodec, RequestHead } from "../ports/exchange.js";
import { decideFinalStatus, isRefusalStatus } from "../retries/finalStatus.js";
import { renderRetryAfter } from "../scheduling/retryAfter.js";
import { CustomerAnswer } from "./customerAnswer.js";

/** Sends the final answer to a request. What it tells the customer follows from the verdict over all attempts. */
export interface FinalAnswerSender {
    /** Records the verdict of an attempt that has ended. */
    recordVerdict(verdict: Verdict): void;
    /** Returns the verdict over all attempts that have ended without an answer, or `undefined` without any. */
    getVerdict(): Verdict | undefined;
    /** Sends the complete answer of an endpoint unchanged, or one of the gateway if its status would be a false promise. */
    deliver(head: AnswerHead, body: Buffer): void;
    /** Returns the status that was sent instead of that of the endpoint's answer. */
    getReplacement(): number | undefined;
    /**
     * Sends an error of the gateway.
     *
     * @param computeReturnMs computes the time after which the customer of a request that did not run should return
     * @returns the status that was sent
     */
    sendError(isDeadlineOver: boolean, computeReturnMs: () => number): number;
}

export interface FinalAnswerOptions {
    readonly answer: CustomerAnswer;
    readonly head: RequestHead;
    readonly codec: Pick<ExchangeCodec, "encodeGatewayAnswer">;
    /** Whether the request may run more than once. */
    readonly isRepeatable: boolean;
}

/**
 * Creates the sender of one request's final answer.
 *
 * @example
 * const sender = createFinalAnswerSender({ answer, head, codec, isRepeatable: false });
 * sender.recordVerdict(Verdict.MayHaveRun);
 * sender.sendError(false, () => 1_000); // 502
 */
export function createFinalAnswerSender(options: FinalAnswerOptions): FinalAnswerSender {
    const { answer, isRepeatable } = options;
    const verdicts: Verdict[] = [];
    let replacement: number | undefined;

    function sendOwnAnswer(status: number, headers: readonly string[] = []): void {
        answer.sendComplete(status, [...options.codec.encodeGatewayAnswer(options.head), ...headers], Buffer.alloc(0));
    }

    return {
        recordVerdict: verdict => void verdicts.push(verdict),
        getVerdict: () => verdicts.length > 0 ? mergeVerdicts(verdicts) : undefined,
        deliver({ status: endpointStatus, isNotRun, forwarded }, body) {
            const ownVerdict = isNotRun ? Verdict.NotRun : Verdict.MayHaveRun;
            const verdict = mergeVerdicts([...verdicts, ownVerdict]);
            const status = decideFinalStatus({ endpointStatus, verdict, isRepeatable, isDeadlineOver: false });
            if (status === endpointStatus) {
                answer.sendComplete(status, forwarded, body);
                return;
            }
            replacement = status;
            verdicts.push(ownVerdict);
            sendOwnAnswer(status);
        },
        getReplacement: () => replacement,
        sendError(isDeadlineOver, computeReturnMs) {
            const status = decideFinalStatus({ verdict: mergeVerdicts(verdicts), isRepeatable, isDeadlineOver });
            sendOwnAnswer(status, isRefusalStatus(status) ? renderRetryAfter(computeReturnMs()) : []);
            return status;
        },
    };
}
