import * as http from "node:http";
import { buildRequestError, ErrorCode, RequestError } from "../base/requestError.js";
import { Verdict } from "../base/verdict.js";
import { Configuration } from "../config/objects.js";
import { computeLargestRequestTokens, computeLateness } from "../routing/modelCapacity.js";
import { EndpointView } from "../routing/routing.js";
import { TokenEstimate } from "../routing/tokenEstimate.js";
import { maxPromptParts } from "../scheduling/splitPrompt.js";
import { getHeader, HeaderName } from "./httpMessages.js";
import { RequestParameters } from "./requestParameters.js";

/** What the length check needs from the entry. */
export interface LengthCheckContext {
    readonly tokenEstimate: TokenEstimate;
    listViews(target: { readonly model: string }): readonly EndpointView[];
}

/** Minimum share of a body that belongs to the prompt; the rest is JSON syntax and escapes. */
const minPromptShare = 0.7;
const minRetryAfterMs = 1_000;
/** Shorter bodies are read without a check, because reading them costs less than examining every endpoint. */
const minCheckedBytes = 64 * 1024;

/** Whether the customer allows its prompt to be split. */
export function isSplitAllowed(headers: http.IncomingHttpHeaders): boolean {
    return getHeader(headers, HeaderName.Split)?.trim().toLowerCase() === "allow";
}

/**
 * Refuses a request by its content length, before its body is read, if no endpoint of the model can serve it: its
 * prompt exceeds the largest memory or cannot be processed within the time limit. Without the header `jujubelane-model`
 * the model is not known yet, and the request is refused only if no model can serve it.
 */
export function checkContentLength(
    headers: http.IncomingHttpHeaders,
    parameters: RequestParameters,
    configuration: Configuration,
    context: LengthCheckContext,
): RequestError | undefined {
    const bodyBytes = Number(headers["content-length"] ?? 0);
    if (bodyBytes < minCheckedBytes) {
        return undefined;
    }
    const bytes = bodyBytes * minPromptShare;
    const namedModel = getHeader(headers, HeaderName.Model);
    const models = Object.entries(configuration.objects.models)
        .filter(([name]) => namedModel === undefined || name === namedModel);
    const allowedParts = isSplitAllowed(headers) ? maxPromptParts : 1;
    let refusal: RequestError | undefined;
    for (const [name, model] of models) {
        const views = context.listViews({ model: name });
        const promptTokens = context.tokenEstimate.compute(name, bytes, model.bytesPerToken);
        refusal = checkMemory(promptTokens, allowedParts, views)
            ?? checkTimeLimit(promptTokens / allowedParts, parameters, configuration, views);
        if (!refusal) {
            return undefined;
        }
    }
    return refusal;
}

function checkMemory(promptTokens: number, parts: number, views: readonly EndpointView[]): RequestError | undefined {
    const largest = computeLargestRequestTokens(views);
    return largest === undefined || promptTokens <= largest * parts
        ? undefined
        : buildPromptTooLargeError(largest * parts);
}

/** Builds the error for a prompt that exceeds the capacity of every endpoint. */
export function buildPromptTooLargeError(largestPromptTokens: number): RequestError {
    return buildRequestError(
        ErrorCode.PromptTooLarge,
        `the prompt exceeds the ${largestPromptTokens} tokens that the largest endpoint of the model can hold`,
        Verdict.NotRun,
        { largestPromptTokens },
    );
}

function checkTimeLimit(
    promptTokens: number,
    { rank, limitMs }: RequestParameters,
    configuration: Configuration,
    views: readonly EndpointView[],
): RequestError | undefined {
    const rankShare = configuration.objects.ranks[rank]?.share ?? 0;
    const lateMs = computeLateness({ rank, rankShare, promptTokens, limitMs }, views);
    return lateMs === 0 ? undefined : buildRequestError(
        ErrorCode.Overloaded,
        "the time limit cannot be met at any endpoint of the model",
        Verdict.NotRun,
        { retryAfterMs: Math.max(minRetryAfterMs, Math.ceil(lateMs)) },
    );
}
