import { z } from "zod";
import { buildRequestError, ErrorCode, getHttpStatus, RequestError } from "../base/requestError.js";
import { makeFailure, makeSuccess, Result } from "../base/result.js";
import { Verdict } from "../base/verdict.js";
import { EngineFinish, EngineUsage } from "../ports/modelEngine.js";

/** OpenAI-compatible API that a request uses. The value is the `object` field of a complete answer. */
export enum CompletionApi {
    Chat = "chat.completion",
    Text = "text_completion",
}

/** A completion request, independent of the API that it came through. */
export interface CompletionRequest {
    readonly api: CompletionApi;
    readonly model: string;
    readonly adapter: string | undefined;
    readonly prompt: string;
    /** Messages before the last one, as in the prompt. Other requests may have them in common with this one. */
    readonly sharedMessages: readonly string[];
    readonly maxOutputTokens: number | undefined;
    readonly stream: boolean;
    readonly includeUsage: boolean;
}

const contentPart = z.object({ type: z.literal("text"), text: z.string() });
const messageSchema = z.object({
    role: z.enum(["system", "developer", "user", "assistant", "tool"]),
    content: z.union([z.string(), z.array(contentPart)]),
});
const commonFields = {
    model: z.string().min(1),
    adapter: z.string().min(1).optional(),
    stream: z.boolean().nullish(),
    stream_options: z.object({ include_usage: z.boolean().optional() }).nullish(),
    n: z.literal(1).nullish(),
};
const maxTokens = z.number().int().positive().nullish();
const chatSchema = z.object({
    ...commonFields,
    messages: z.array(messageSchema).min(1),
    max_tokens: maxTokens,
    max_completion_tokens: maxTokens,
});
const textSchema = z.object({ ...commonFields, prompt: z.string().min(1), max_tokens: maxTokens });

/**
 * Parses the body of a completion request.
 *
 * @example
 * parseCompletion(CompletionApi.Text, Buffer.from("{\"model\":\"m\",\"prompt\":\"hello\"}"));
 */
export function parseCompletion(api: CompletionApi, body: Uint8Array): Result<CompletionRequest, RequestError> {
    let value: unknown;
    try {
        value = JSON.parse(Buffer.from(body.buffer, body.byteOffset, body.length).toString("utf8"));
    }
    catch (error) {
        return refuseBody(`the body is not valid JSON: ${(error as Error).message}`);
    }
    return api === CompletionApi.Chat ? parseChat(value) : parseText(value);
}

function refuseBody(message: string): Result<CompletionRequest, RequestError> {
    return makeFailure(buildRequestError(ErrorCode.BadRequest, message, Verdict.NotRun));
}

function describeIssues(error: z.ZodError): string {
    return error.issues.map(issue => `${issue.path.join(".") || "body"}: ${issue.message}`).join("; ");
}

function parseChat(value: unknown): Result<CompletionRequest, RequestError> {
    const parsed = chatSchema.safeParse(value);
    if (!parsed.success) {
        return refuseBody(describeIssues(parsed.error));
    }
    const messages = parsed.data.messages.map(message => {
        const content = typeof message.content === "string"
            ? message.content
            : message.content.map(part => part.text).join("");
        return `${message.role}: ${content}`;
    });
    const limit = parsed.data.max_completion_tokens ?? parsed.data.max_tokens;
    return makeSuccess(makeRequest(CompletionApi.Chat, parsed.data, messages, limit));
}

function parseText(value: unknown): Result<CompletionRequest, RequestError> {
    const parsed = textSchema.safeParse(value);
    if (!parsed.success) {
        return refuseBody(describeIssues(parsed.error));
    }
    return makeSuccess(makeRequest(CompletionApi.Text, parsed.data, [parsed.data.prompt], parsed.data.max_tokens));
}

function makeRequest(
    api: CompletionApi,
    fields: z.infer<z.ZodObject<typeof commonFields>>,
    messages: readonly string[],
    limit: number | null | undefined,
): CompletionRequest {
    return {
        api,
        model: fields.model,
        adapter: fields.adapter,
        prompt: messages.join("\n"),
        sharedMessages: messages.slice(0, -1),
        maxOutputTokens: limit ?? undefined,
        stream: fields.stream ?? false,
        includeUsage: fields.stream_options?.include_usage ?? false,
    };
}

/** Fields that an answer, or each event of a streamed answer, contains. */
export interface AnswerIdentity {
    readonly api: CompletionApi;
    readonly id: string;
    readonly model: string;
    /** Seconds since the Unix epoch. */
    readonly createdSeconds: number;
}

function formatFinish(finish: EngineFinish | undefined): string {
    return finish === EngineFinish.Length ? "length" : "stop";
}

function formatUsage(usage: EngineUsage | undefined) {
    return {
        prompt_tokens: usage?.promptTokens ?? 0,
        completion_tokens: usage?.outputTokens ?? 0,
        total_tokens: (usage?.promptTokens ?? 0) + (usage?.outputTokens ?? 0),
        prompt_tokens_details: { cached_tokens: usage?.cachedTokens ?? 0 },
    };
}

/** Formats an answer that is not streamed. */
export function formatAnswer(
    identity: AnswerIdentity,
    text: string,
    finish: EngineFinish | undefined,
    usage: EngineUsage | undefined,
): string {
    const content = identity.api === CompletionApi.Chat
        ? { message: { role: "assistant", content: text } }
        : { text };
    return JSON.stringify({
        id: identity.id,
        object: identity.api,
        created: identity.createdSeconds,
        model: identity.model,
        choices: [{ index: 0, ...content, finish_reason: formatFinish(finish), logprobs: null }],
        usage: formatUsage(usage),
    });
}

/** Formats the events of one streamed answer. */
export interface StreamFormatter {
    formatItems(items: readonly string[]): string;
    formatEnd(finish: EngineFinish | undefined, usage: EngineUsage | undefined): string;
    formatError(error: RequestError): string;
}

/**
 * Creates the formatter of one streamed answer. The constant parts of an event are built once, because formatting is
 * most of the entry's cost for a token.
 *
 * @example
 * const formatter = createStreamFormatter(identity, false);
 * response.write(formatter.formatItems([" word"]));
 */
export function createStreamFormatter(identity: AnswerIdentity, includeUsage: boolean): StreamFormatter {
    const isChat = identity.api === CompletionApi.Chat;
    const envelope = {
        id: identity.id,
        object: isChat ? "chat.completion.chunk" : identity.api,
        created: identity.createdSeconds,
        model: identity.model,
    };
    const eventPrefix = `data: ${JSON.stringify(envelope).slice(0, -1)},"choices":[{"index":0,`;
    const contentPrefix = isChat ? `${eventPrefix}"delta":{"content":` : `${eventPrefix}"text":`;
    const contentSuffix = `${isChat ? "}" : ""},"finish_reason":null}]}\n\n`;

    return {
        formatItems: items => `${contentPrefix}${JSON.stringify(items.join(""))}${contentSuffix}`,
        formatEnd(finish, usage) {
            const emptyContent = isChat ? '"delta":{}' : '"text":""';
            const finalEvent = `${eventPrefix}${emptyContent},"finish_reason":"${formatFinish(finish)}"}]}\n\n`;
            const usageEvent = includeUsage
                ? `data: ${JSON.stringify({ ...envelope, choices: [], usage: formatUsage(usage) })}\n\n`
                : "";
            return `${finalEvent}${usageEvent}data: [DONE]\n\n`;
        },
        formatError: error => `data: ${JSON.stringify(formatError(error))}\n\n`,
    };
}

/** Formats an error as in the OpenAI API, with the verdict added. */
export function formatError(error: RequestError) {
    return {
        error: {
            message: error.message,
            type: getHttpStatus(error.code) < 500 ? "invalid_request_error" : "server_error",
            param: null,
            code: error.code,
            verdict: error.verdict,
            ...(error.largestPromptTokens === undefined ? {} : { largest_prompt_tokens: error.largestPromptTokens }),
        },
    };
}
