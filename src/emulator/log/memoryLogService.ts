import { TimerService } from "../../base/timerService.js";
import { LogService, LogServiceError, LogServiceErrorKind } from "../../ports/logService.js";
import { LogModel, LogReply, LogReplyKind } from "./logModel.js";

const defaultAnswerTimeoutMs = 1_000;

/** Error kinds of replies to calls that certainly had no effect. */
const errorKinds = {
    [LogReplyKind.Unavailable]: LogServiceErrorKind.Unavailable,
    [LogReplyKind.RateLimited]: LogServiceErrorKind.RateLimited,
    [LogReplyKind.Refused]: LogServiceErrorKind.Refused,
} as const;

/**
 * Creates a log service on a model in this process, for tests and for embedding. Appended values are copied through
 * JSON, as they are over HTTP.
 *
 * @param answerTimeoutMs time after which a missing answer counts as lost
 *
 * @example
 * const log = createMemoryLogService(createLogModel(defaultLogModelSettings, timers), timers);
 */
export function createMemoryLogService(
    model: LogModel,
    timers: TimerService,
    answerTimeoutMs = defaultAnswerTimeoutMs,
): LogService {
    async function receive<Answer>(
        reply: Promise<LogReply<Answer>>,
        lostAnswerKind: LogServiceErrorKind,
        timeoutMs: number,
    ): Promise<Answer> {
        const received = await new Promise<LogReply<Answer>>((resolve, reject) => {
            const timer = timers.schedule(
                timeoutMs,
                () => resolve({ kind: LogReplyKind.Lost, message: "no answer in time" }),
            );
            reply.finally(() => timer.dispose()).then(resolve, reject);
        });
        switch (received.kind) {
            case LogReplyKind.Answered:
                return received.answer;
            case LogReplyKind.Lost:
                throw new LogServiceError(lostAnswerKind, received.message);
            default:
                throw new LogServiceError(errorKinds[received.kind], received.message);
        }
    }

    return {
        append(stream, values) {
            const copy = JSON.parse(JSON.stringify(values)) as unknown[];
            return receive(model.append(stream, copy), LogServiceErrorKind.OutcomeUnknown, answerTimeoutMs);
        },
        read(stream, fromOffset, limit, waitMs = 0) {
            const reply = model.read(stream, fromOffset, limit, waitMs);
            return receive(reply, LogServiceErrorKind.Unavailable, answerTimeoutMs + waitMs);
        },
    };
}
