import * as http from "node:http";
import { computeDigest, makeId } from "../base/ids.js";
import { buildRequestError, ErrorCode, RequestError } from "../base/requestError.js";
import { ResultKind } from "../base/result.js";
import { Verdict } from "../base/verdict.js";
import { Configuration } from "../config/objects.js";
import { TokenEstimate } from "../routing/tokenEstimate.js";
import { readTerms } from "./admission.js";
import { AttemptEvent, AttemptEventKind } from "./attempt.js";
import { AuthenticatedCaller } from "./callerIndex.js";
import {
    AnswerIdentity,
    CompletionForm,
    CompletionRequest,
    createStreamFormatter,
    formatAnswer,
    parseCompletion,
} from "./completionFormat.js";
import { HeaderName, readBoundedBody, sendError, sendText } from "./httpAnswer.js";
import { RequestListener, RequestPlan, RequestTask } from "./requestTask.js";

/** What the routes of callers need from the entry. */
export interface RouteContext {
    readonly maxBodyBytes: number;
    /** Answer bytes that may wait for a caller that reads too slowly. */
    readonly maxUnsentBytes: number;
    readonly tokens: TokenEstimate;
    wallNow(): number;
    start(plan: RequestPlan, listener: RequestListener): RequestTask;
}

/** Bytes of a prompt that identify its prefix for cache affinity. */
const prefixBytes = 2_048;

/** Serves `POST /v1/chat/completions` and `POST /v1/completions`. */
export async function handleCompletion(
    form: CompletionForm,
    request: http.IncomingMessage,
    response: http.ServerResponse,
    caller: AuthenticatedCaller,
    configuration: Configuration,
    context: RouteContext,
): Promise<void> {
    const terms = readTerms(request.headers, caller, configuration);
    if (terms.kind === ResultKind.Failure) {
        return sendError(response, terms.error);
    }
    const body = await readBoundedBody(request, context.maxBodyBytes);
    if (body.kind === ResultKind.Failure) {
        return sendError(response, body.error);
    }
    const parsed = parseCompletion(form, body.value);
    if (parsed.kind === ResultKind.Failure) {
        return sendError(response, parsed.error);
    }
    const completion = parsed.value;
    const model = configuration.objects.models[completion.model];
    if (!model) {
        return sendError(response, refuseModel(completion.model, configuration));
    }
    const id = makeId();
    const plan: RequestPlan = {
        id,
        caller: caller.name,
        ...terms.value,
        waitedMs: 0,
        fingerprint: computeDigest(`${caller.name}\n${completion.prompt}`),
        streamed: completion.stream,
        model: {
            model: completion.model,
            adapter: completion.adapter,
            promptTokens: context.tokens.compute(
                completion.model,
                Buffer.byteLength(completion.prompt),
                model.bytesPerToken,
            ),
            maxOutputTokens: Math.min(completion.maxOutputTokens ?? model.maxOutputTokens, model.maxOutputTokens),
            prefixDigest: computeDigest(completion.prompt.slice(0, prefixBytes)),
            prompt: completion.prompt,
        },
    };
    response.setHeader(HeaderName.RequestId, id);
    const createdSeconds = Math.floor(context.wallNow() / 1000);
    const identity: AnswerIdentity = { form, id, model: completion.model, createdSeconds };
    const listener = completion.stream
        ? createStreamListener(response, identity, completion, context, () => task.cancel())
        : createAnswerListener(response, identity);
    const task = context.start(plan, listener);
    response.on("close", () => {
        if (!response.writableFinished) {
            task.cancel();
        }
    });
}

function refuseModel(name: string, configuration: Configuration): RequestError {
    const names = Object.keys(configuration.objects.models).join(", ");
    return buildRequestError(ErrorCode.UnknownModel, `unknown model "${name}"; configured: ${names}`, Verdict.NotRun);
}

function createAnswerListener(response: http.ServerResponse, identity: AnswerIdentity): RequestListener {
    let text = "";
    return event => {
        switch (event.kind) {
            case AttemptEventKind.Items:
                text += event.items.join("");
                return;
            case AttemptEventKind.Completed:
                response.setHeader(HeaderName.Verdict, Verdict.Ran);
                sendText(response, 200, "application/json", formatAnswer(identity, text, event.finish, event.usage));
                return;
            case AttemptEventKind.Failed:
                sendError(response, event.error);
                return;
            default:
                return;
        }
    };
}

function createStreamListener(
    response: http.ServerResponse,
    identity: AnswerIdentity,
    completion: CompletionRequest,
    context: RouteContext,
    cancel: () => void,
): RequestListener {
    const formatter = createStreamFormatter(identity, completion.includeUsage);

    function writeHead() {
        if (!response.headersSent) {
            response.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-cache" });
        }
    }

    return (event: AttemptEvent) => {
        if (response.destroyed) {
            // Tokens still come until the sidecar has handled the cancel.
            return;
        }
        switch (event.kind) {
            case AttemptEventKind.Items:
                writeHead();
                response.write(formatter.formatItems(event.items));
                if (response.writableLength > context.maxUnsentBytes) {
                    cancel();
                }
                return;
            case AttemptEventKind.Completed:
                writeHead();
                response.end(formatter.formatEnd(event.finish, event.usage));
                return;
            case AttemptEventKind.Failed:
                if (response.headersSent) {
                    response.end(formatter.formatError(event.error));
                }
                else {
                    sendError(response, event.error);
                }
                return;
            default:
                return;
        }
    };
}
