import { Agent, request } from "undici";
import { z } from "zod";
import { Disposable } from "../base/disposable.js";
import { TimerService } from "../base/timerService.js";
import { LogService, LogServiceError, LogServiceErrorKind } from "../ports/logService.js";

/** Settings of the adapter. */
export interface HttpLogServiceSettings {
    readonly connectTimeoutMs: number;
    /** Time after which a call without an answer fails, in milliseconds. For reads, the wait time is added. */
    readonly answerTimeoutMs: number;
}

/** Default settings of the adapter. */
export const defaultHttpLogServiceSettings: HttpLogServiceSettings = {
    connectTimeoutMs: 1_000,
    answerTimeoutMs: 1_000,
};

const offsetSchema = z.object({ offset: z.number().int().min(0) });
const pageSchema = z.object({
    records: z.array(z.object({ offset: z.number().int().min(0), timeMs: z.number(), value: z.unknown() })),
    firstOffset: z.number().int().min(0),
    endOffset: z.number().int().min(0),
    era: z.number().optional(),
});
const errorSchema = z.object({ error: z.enum(LogServiceErrorKind), message: z.string() });

/** Error codes of `undici` and the operating system for connections that could not be established. */
const notSentCodes = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);
const maxErrorTextLength = 200;

interface HttpAnswer {
    readonly status: number;
    readonly text: string;
}

/**
 * Creates the adapter for the platform's log service: `POST /streams/NAME/records` appends an array of values and
 * `GET /streams/NAME/records?from=&limit=&waitMs=` reads records.
 *
 * An append is known to have had no effect only if the service answered with a refusal or no connection was
 * established. Any other failure of an append is `OutcomeUnknown`. A failed read is always `Unavailable` or `Refused`.
 *
 * @param baseUrl root URL of the service, without a trailing slash
 *
 * @example
 * const log = createHttpLogService("http://127.0.0.1:9300", timers);
 * const offset = await log.append("config", [{ id: makeId() }]);
 */
export function createHttpLogService(
    baseUrl: string,
    timers: TimerService,
    settings: HttpLogServiceSettings = defaultHttpLogServiceSettings,
): LogService & Disposable {
    const agent = new Agent({ connect: { timeout: settings.connectTimeoutMs }, headersTimeout: 0, bodyTimeout: 0 });

    async function send(
        method: "GET" | "POST",
        path: string,
        body: string | undefined,
        timeoutMs: number,
    ): Promise<HttpAnswer> {
        const controller = new AbortController();
        const timer = timers.schedule(timeoutMs, () => controller.abort(new Error("no answer within the time limit")));
        try {
            const response = await request(`${baseUrl}${path}`, {
                dispatcher: agent,
                method,
                headers: { "content-type": "application/json" },
                body,
                signal: controller.signal,
            });
            return { status: response.statusCode, text: await response.body.text() };
        }
        finally {
            timer.dispose();
        }
    }

    return {
        async append(stream, values) {
            const path = `/streams/${encodeURIComponent(stream)}/records`;
            const answer = await send("POST", path, JSON.stringify(values), settings.answerTimeoutMs)
                .catch((error: unknown) => {
                    throw toAppendError(error);
                });
            return parseAnswer(answer, offsetSchema, LogServiceErrorKind.OutcomeUnknown).offset;
        },
        async read(stream, fromOffset, limit, waitMs = 0) {
            const query = `from=${fromOffset}&limit=${limit}&waitMs=${Math.round(waitMs)}`;
            const path = `/streams/${encodeURIComponent(stream)}/records?${query}`;
            const answer = await send("GET", path, undefined, settings.answerTimeoutMs + waitMs)
                .catch((error: unknown) => {
                    throw new LogServiceError(LogServiceErrorKind.Unavailable, String(error));
                });
            return parseAnswer(answer, pageSchema, LogServiceErrorKind.Unavailable);
        },
        dispose: () => void agent.destroy(),
    };
}

function toAppendError(error: unknown): LogServiceError {
    const code = (error as { code?: string }).code ?? "";
    const kind = notSentCodes.has(code) ? LogServiceErrorKind.Unavailable : LogServiceErrorKind.OutcomeUnknown;
    return new LogServiceError(kind, String(error));
}

/** Parses an answer. Throws the error that the service reports, or one of `fallbackKind` if the answer is invalid. */
function parseAnswer<Schema extends z.ZodType>(
    answer: HttpAnswer,
    schema: Schema,
    fallbackKind: LogServiceErrorKind,
): z.infer<Schema> {
    let value: unknown;
    try {
        value = JSON.parse(answer.text);
    }
    catch {
        value = undefined;
    }
    if (answer.status === 200) {
        const parsed = schema.safeParse(value);
        if (parsed.success) {
            return parsed.data;
        }
    }
    const reportedError = errorSchema.safeParse(value);
    const text = answer.text.slice(0, maxErrorTextLength);
    throw reportedError.success
        ? new LogServiceError(reportedError.data.error, reportedError.data.message)
        : new LogServiceError(fallbackKind, `log service answered ${answer.status}: ${text}`);
}
