import * as http from "node:http";
import { computeDigest, makeId } from "../base/ids.js";
import { buildRequestError, ErrorCode } from "../base/requestError.js";
import { ResultKind } from "../base/result.js";
import { Verdict } from "../base/verdict.js";
import { Configuration, findObject } from "../config/objects.js";
import { computeFingerprint, listTraits } from "../gateway/quarantineRegistry.js";
import { AttemptEventKind } from "./attempt.js";
import { AuthenticatedCustomer } from "./customerIndex.js";
import { HeaderName, sendBody, sendError } from "./httpMessages.js";
import { CustomerRouteContext } from "./modelRoute.js";
import { receiveBody } from "./receiveBody.js";
import { readRequestParameters } from "./requestParameters.js";
import { RequestListener } from "./requestTask.js";

/** Methods that HTTP defines as safe. They change nothing and may always be repeated. */
const safeMethods = new Set(["GET", "HEAD", "OPTIONS"]);

/** Request headers that are forwarded to a service. Credentials and hop-by-hop headers are not forwarded. */
const forwardedHeaders = ["content-type", "accept", "accept-language", "if-match", "if-none-match"];

const servicePathPattern = /^\/v1\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;

/** Target of a service call. */
export interface ServiceTarget {
    readonly service: string;
    /** Path and query below the service's root. */
    readonly path: string;
}

/**
 * Parses `/v1/services/NAME/...`.
 *
 * @example
 * parseServiceTarget("/v1/services/bookings/crews?day=1"); // { service: "bookings", path: "/crews?day=1" }
 */
export function parseServiceTarget(url: string): ServiceTarget | undefined {
    const match = servicePathPattern.exec(url);
    if (match?.[1] === undefined) {
        return undefined;
    }
    try {
        return { service: decodeURIComponent(match[1]), path: `${match[2] ?? "/"}${match[3] ?? ""}` };
    }
    catch {
        // The name contains malformed percent-encoding, so it cannot match any service.
        return undefined;
    }
}

/** Handles `/v1/services/NAME/...` with any method and body. */
export async function handleServiceCall(
    target: ServiceTarget,
    request: http.IncomingMessage,
    response: http.ServerResponse,
    customer: AuthenticatedCustomer,
    configuration: Configuration,
    context: CustomerRouteContext,
): Promise<void> {
    const service = findObject(configuration.objects.services, target.service);
    if (!service) {
        const names = Object.keys(configuration.objects.services).join(", ");
        const message = `unknown service "${target.service}"; configured: ${names}`;
        return sendError(response, buildRequestError(ErrorCode.UnknownService, message, Verdict.NotRun));
    }
    const defaults = { rank: service.rank, limitMs: service.timeLimitMs };
    const parameters = readRequestParameters(request.headers, customer, configuration, defaults);
    if (parameters.kind === ResultKind.Failure) {
        return sendError(response, parameters.error);
    }
    const subject = { customer: customer.name, rank: parameters.value.rank };
    const body = await receiveBody(request, response, subject, context);
    if (body.kind === ResultKind.Failure) {
        return sendError(response, body.error);
    }
    const id = makeId();
    const method = request.method ?? "GET";
    response.setHeader(HeaderName.RequestId, id);
    const idempotencyKey = request.headers[HeaderName.IdempotencyKey];
    // Unlike the fingerprint it tells the services apart; like it, it does not depend on the id of the request.
    const identity = computeFingerprint({
        service: target.service,
        customer: customer.name,
        method,
        host: "",
        path: target.path,
        body: body.value,
    });
    const task = context.start({
        id,
        customer: customer.name,
        ...parameters.value,
        waitedMs: context.tickets.readWaitedMs(request.headers, subject),
        fingerprint: computeDigest(`${customer.name}\n${method} ${target.path}\n${computeDigest(body.value)}`),
        traits: listTraits(target.service, [], identity),
        streamed: false,
        service: {
            service: target.service,
            method,
            path: target.path,
            headers: selectHeaders(request.headers),
            body: body.value,
            idempotencyKey: typeof idempotencyKey === "string" ? idempotencyKey : undefined,
            repeatable: service.repeatable || safeMethods.has(method),
        },
    }, createServiceListener(response));
    response.on("close", () => {
        if (!response.writableFinished) {
            task.cancel();
        }
    });
}

function selectHeaders(headers: http.IncomingHttpHeaders): Record<string, string> {
    const selected: Record<string, string> = {};
    for (const name of forwardedHeaders) {
        const value = headers[name];
        if (typeof value === "string") {
            selected[name] = value;
        }
    }
    return selected;
}

function createServiceListener(response: http.ServerResponse): RequestListener {
    let answer: Extract<Parameters<RequestListener>[0], { kind: AttemptEventKind.ServiceAnswer }> | undefined;
    return event => {
        if (event.kind === AttemptEventKind.ServiceAnswer) {
            answer = event;
        }
        else if (event.kind === AttemptEventKind.Failed) {
            sendError(response, event.error);
        }
        else if (event.kind === AttemptEventKind.Completed && answer) {
            response.writeHead(answer.status, {
                ...answer.headers,
                [HeaderName.Verdict]: Verdict.Ran,
                ...(answer.replayed ? { [HeaderName.Replayed]: "true" } : {}),
                "content-length": answer.body.length,
            });
            sendBody(response, answer.body);
        }
    };
}
