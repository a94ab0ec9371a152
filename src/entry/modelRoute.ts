import * as http from "node:http";
import { computeDigest, makeId } from "../base/ids.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { buildRequestError, ErrorCode, RequestError } from "../base/requestError.js";
import { ResultKind } from "../base/result.js";
import { TimerService } from "../base/timerService.js";
import { Verdict } from "../base/verdict.js";
import { Configuration, findObject } from "../config/objects.js";
import { listTraits } from "../gateway/quarantineRegistry.js";
import { computeLargestRequestTokens } from "../routing/modelCapacity.js";
import { AttemptEvent, AttemptEventKind } from "./attempt.js";
import {
    AnswerIdentity,
    CompletionApi,
    CompletionRequest,
    createStreamFormatter,
    formatAnswer,
    parseCompletion,
} from "./completionFormat.js";
import { AuthenticatedCustomer } from "./customerIndex.js";
import { HeaderName, sendError, sendText } from "./httpMessages.js";
import { buildPromptTooLargeError, checkContentLength, isSplitAllowed, LengthCheckContext } from "./lengthCheck.js";
import { BodyContext, receiveBody } from "./receiveBody.js";
import { readRequestParameters } from "./requestParameters.js";
import { RequestListener, RequestPlan, RequestTask } from "./requestTask.js";
import { buildSplitPlan, SplitContext, startSplitRequest } from "./splitRequest.js";

/** What the routes for customers need from the entry. */
export interface CustomerRouteContext extends LengthCheckContext, BodyContext {
    readonly timers: TimerService;
    readonly log: EventLog;
    /** Maximum number of answer bytes that are buffered for a customer that reads too slowly. */
    readonly maxUnsentBytes: number;
    wallNow(): number;
    start(plan: RequestPlan, listener: RequestListener): RequestTask;
}

/** Length of the prompt prefix that is digested for cache affinity, in UTF-16 code units. */
const prefixLength = 2_048;

/** Messages of a chat beyond this number are not held to crash endpoints by themselves. */
const maxSharedMessages = 16;

/** Serves `POST /v1/chat/completions` and `POST /v1/completions`. */
export async function handleCompletion(
    api: CompletionApi,
    request: http.IncomingMessage,
    response: http.ServerResponse,
    customer: AuthenticatedCustomer,
    configuration: Configuration,
    context: CustomerRouteContext,
): Promise<void> {
    const parameters = readRequestParameters(request.headers, customer, configuration);
    if (parameters.kind === ResultKind.Failure) {
        return sendError(response, parameters.error);
    }
    const subject = { customer: customer.name, rank: parameters.value.rank };
    const lengthRefusal = checkContentLength(request.headers, parameters.value, configuration, context);
    if (lengthRefusal) {
        request.resume();
        const waitedMs = context.tickets.readWaitedMs(request.headers, subject);
        context.log(LogEvent.RequestRefused, {
            ...subject,
            code: lengthRefusal.code,
            bytes: request.headers["content-length"],
        });
        return sendError(response, context.tickets.appendTicket(lengthRefusal, subject, waitedMs));
    }
    const body = await receiveBody(request, response, subject, context);
    if (body.kind === ResultKind.Failure) {
        return sendError(response, body.error);
    }
    const parsed = parseCompletion(api, body.value);
    if (parsed.kind === ResultKind.Failure) {
        return sendError(response, parsed.error);
    }
    const completion = parsed.value;
    const model = findObject(configuration.objects.models, completion.model);
    if (!model) {
        return sendError(response, refuseModel(completion.model, configuration));
    }
    const id = makeId();
    const fingerprint = computeDigest(`${customer.name}\n${completion.prompt}`);
    const messages = completion.sharedMessages.slice(0, maxSharedMessages).map(computeDigest);
    const plan: RequestPlan = {
        id,
        customer: customer.name,
        ...parameters.value,
        waitedMs: context.tickets.readWaitedMs(request.headers, subject),
        fingerprint,
        traits: messages.length > 0 ? listTraits(completion.model, [...new Set(messages)], fingerprint) : [],
        streamed: completion.stream,
        model: {
            model: completion.model,
            adapter: completion.adapter,
            promptTokens: context.tokenEstimate.compute(
                completion.model,
                Buffer.byteLength(completion.prompt),
                model.bytesPerToken,
            ),
            maxOutputTokens: Math.min(completion.maxOutputTokens ?? model.maxOutputTokens, model.maxOutputTokens),
            prefixDigest: computeDigest(completion.prompt.slice(0, prefixLength)),
            prompt: completion.prompt,
        },
    };
    response.setHeader(HeaderName.RequestId, id);
    const createdSeconds = Math.floor(context.wallNow() / 1000);
    const identity: AnswerIdentity = { api, id, model: completion.model, createdSeconds };
    const listener = completion.stream
        ? createStreamListener(response, identity, completion, context, () => task.cancel())
        : createAnswerListener(response, identity);
    const task = startPlan(
        plan,
        isSplitAllowed(request.headers),
        context,
        listener,
        parts => response.setHeader(HeaderName.Parts, parts),
    );
    response.on("close", () => {
        if (!response.writableFinished) {
            task.cancel();
        }
    });
}

/** Starts a request, split into parts if no endpoint can hold it and the customer allows splitting. */
function startPlan(
    plan: RequestPlan,
    maySplit: boolean,
    context: CustomerRouteContext,
    listener: RequestListener,
    reportParts: (parts: number) => void,
): RequestTask {
    const work = plan.model!;
    const largestReservation = computeLargestRequestTokens(context.listViews({ model: work.model }));
    if (largestReservation === undefined || work.promptTokens + work.maxOutputTokens <= largestReservation) {
        return context.start(plan, listener);
    }
    const splitContext: SplitContext = {
        timers: context.timers,
        bytesPerToken: Buffer.byteLength(work.prompt) / work.promptTokens,
        largestReservation,
        start: (part, partListener) => context.start(part, partListener),
    };
    const split = maySplit
        ? buildSplitPlan(plan, splitContext)
        : buildPromptTooLargeError(Math.max(0, largestReservation - work.maxOutputTokens));
    if ("code" in split) {
        context.log(LogEvent.RequestRefused, { request: plan.id, customer: plan.customer, code: split.code });
        listener({ kind: AttemptEventKind.Failed, error: split });
        return { cancel: () => undefined };
    }
    context.log(LogEvent.RequestSplit, { request: plan.id, customer: plan.customer, parts: split.prompts.length });
    reportParts(split.prompts.length);
    return startSplitRequest(plan, split, splitContext, listener);
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
    context: CustomerRouteContext,
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
            // Tokens arrive until the sidecar has handled the cancel message.
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
