import { IncomingMessage, ServerResponse } from "node:http";
import { Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { Metrics } from "../base/metrics.js";
import { RequestHead } from "../ports/exchange.js";
import { Customer, Route } from "../ports/servingConfiguration.js";
import { computePrefillMs } from "../routing/engineTiming.js";
import { chooseService, RouteTable } from "../routing/routeTable.js";
import { minPressureStateMs, PressedRequest } from "../scheduling/hostPressure.js";
import { computeLengthClass, LengthClass } from "../scheduling/lengthClass.js";
import { computeQuarantineRetryAfterMs, computeRetryAfterMs, renderRetryAfter } from "../scheduling/retryAfter.js";
import { AcceptedRequest, computeCustomerTerms, computeTimes } from "./acceptedRequest.js";
import { createAnswerBuffers } from "./answerBuffers.js";
import { createCustomerAnswer } from "./customerAnswer.js";
import { RequestHandler } from "./customerConnection.js";
import { createCustomerMetrics } from "./customerMetrics.js";
import { DrainEnding } from "./drainControl.js";
import { PressureWatch } from "./pressureWatch.js";
import { computeFingerprint, listTraits } from "./quarantineRegistry.js";
import { RequestServices } from "./requestServices.js";
import { startRequestTask } from "./requestTask.js";
import { StartupGate } from "./startupGate.js";

export interface RequestIntakeOptions {
    readonly services: Omit<RequestServices, "customerMetrics">;
    /** Returns the routes of the newest configuration, or `undefined` until one is known. */
    readonly getTable: () => RouteTable | undefined;
    /** Opens when the first configuration is known. */
    readonly startupGate: StartupGate;
    /** Decides what is accepted while this host is under pressure. */
    readonly pressureWatch: Pick<PressureWatch, "submit">;
    /** Limit of the bytes of all request bodies in memory, and of those of all answers. */
    readonly maxBufferedBytes: number;
}

/** Refusal of a request, with the status that the customer receives. */
interface Refusal {
    readonly status: number;
    readonly reason: string;
    readonly retryAfterMs?: number;
}

/** Result of the check of a request head that passed. */
interface CheckedHead {
    readonly table: RouteTable;
    readonly route: Route;
    readonly head: RequestHead;
    readonly customer?: Customer;
    readonly host: string;
    readonly path: string;
}

/** Time after which a customer should retry if this process has no configuration or no service for the request. */
const unconfiguredRetryMs = 500;
/** Time after which a customer should retry if request bodies have reached their memory limit. */
const memoryRetryMs = 300;
const headerSeparatorBytes = 4;

/**
 * Creates the handler of customer requests, which checks a request against the configuration, receives its body and
 * starts its task. The configuration that is in force when the request arrives applies to it until its end.
 *
 * @example
 * const handle = createRequestIntake(options);
 * handle(request, response, timers.now());
 */
export function createRequestIntake(
    options: RequestIntakeOptions,
): RequestHandler {
    const customerMetrics = createCustomerMetrics(options.services.metrics, options.services.dataCentre);
    const services: RequestServices = { ...options.services, customerMetrics };
    const { timers, log, metrics, codec, drainControl } = services;
    const answerBuffers = createAnswerBuffers({ timers, log, metrics, maxBytes: options.maxBufferedBytes });
    let bufferedBytes = 0;

    function refuse(
        request: IncomingMessage,
        response: ServerResponse,
        refusal: Refusal,
        checked?: Pick<CheckedHead, "head" | "route">,
    ): void {
        const head = checked?.head ?? codec.decodeRequest(request.rawHeaders);
        logRefusal(log, metrics, head, refusal, options.getTable()?.version, checked?.route);
        const headers = codec.encodeGatewayAnswer(head);
        if (refusal.retryAfterMs !== undefined) {
            headers.push(...renderRetryAfter(refusal.retryAfterMs));
        }
        // The unread rest of the body would be parsed as the next request.
        const mustClose = !request.complete;
        createCustomerAnswer(response, { mustClose: () => mustClose }).sendComplete(
            refusal.status,
            headers,
            Buffer.alloc(0),
        );
    }

    function checkHead(request: IncomingMessage): CheckedHead | Refusal {
        const table = options.getTable();
        if (!table) {
            return { status: 503, reason: "no configuration yet", retryAfterMs: unconfiguredRetryMs };
        }
        const { limits, customers } = table.configuration;
        if (countHeaderBytes(request.rawHeaders) > limits.maxHeaderBytes) {
            return { status: 431, reason: "head too large" };
        }
        const host = request.headers.host ?? "";
        const path = request.url ?? "";
        const route = table.findRoute(host, path);
        if (!route) {
            return { status: 404, reason: "no route" };
        }
        const head = codec.decodeRequest(request.rawHeaders);
        const customer = head.key === undefined ? undefined : table.findCustomer(head.key);
        if (customers && !route.isPublic && !customer) {
            return { status: 401, reason: "unknown key" };
        }
        if (Number(request.headers["content-length"] ?? 0) > limits.maxBodyBytes) {
            return { status: 413, reason: "body too large" };
        }
        if (head.id === undefined) {
            return { status: 400, reason: "no request id" };
        }
        return { table, route, head, customer: route.isPublic ? undefined : customer, host, path };
    }

    function receiveBody(
        request: IncomingMessage,
        response: ServerResponse,
        checked: CheckedHead,
        arrivedAtMs: number,
        registration: Disposable,
    ): void {
        const { maxBodyBytes } = checked.table.configuration.limits;
        const chunks: Buffer[] = [];
        let bytes = 0;
        let isRefused = false;
        const releaseBody = () => {
            bufferedBytes -= bytes;
            bytes = 0;
            chunks.splice(0);
        };
        response.once("close", releaseBody);
        request.on("data", (chunk: Buffer) => {
            if (isRefused) {
                return;
            }
            bytes += chunk.length;
            bufferedBytes += chunk.length;
            chunks.push(chunk);
            if (bytes > maxBodyBytes) {
                isRefused = true;
                refuse(request, response, { status: 413, reason: "body too large" }, checked);
            }
            else if (bufferedBytes > options.maxBufferedBytes) {
                isRefused = true;
                const refusal = { status: 503, reason: "memory full", retryAfterMs: memoryRetryMs };
                refuse(request, response, refusal, checked);
            }
        });
        request.on("end", () => {
            if (!isRefused && isUnanswered(response)) {
                const body = chunks.length > 0 ? Buffer.concat(chunks.splice(0)) : undefined;
                accept(request, response, checked, arrivedAtMs, body, releaseBody, registration);
            }
        });
        request.on("error", error => {
            // The customer disconnected before the request was complete, so that no answer can be sent.
            log(LogEvent.RequestRefused, { request: checked.head.id, reason: error.message });
        });
    }

    function accept(
        request: IncomingMessage,
        response: ServerResponse,
        checked: CheckedHead,
        arrivedAtMs: number,
        body: Buffer | undefined,
        releaseBody: () => void,
        registration: Disposable,
    ): void {
        const { route, head, customer, table } = checked;
        const serviceName = chooseService(route.shares, head.id!);
        const service = serviceName === undefined ? undefined : table.configuration.services.get(serviceName);
        if (!service) {
            refuse(
                request,
                response,
                { status: 503, reason: "no service", retryAfterMs: unconfiguredRetryMs },
                checked,
            );
            return;
        }
        const method = request.method ?? "GET";
        const fingerprint = computeFingerprint({
            service: service.name,
            customer: customer?.name,
            method,
            host: checked.host,
            path: checked.path,
            promptIdentity: head.promptIdentity,
            body,
        });
        const traits = listTraits(service.name, head.sharedPromptParts, fingerprint);
        const quarantine = services.quarantineRegistry.findQuarantine(traits);
        if (quarantine) {
            refuse(request, response, {
                status: 503,
                reason: `${quarantine.trait} crashes endpoints`,
                retryAfterMs: computeQuarantineRetryAfterMs(quarantine.remainingMs),
            }, checked);
            metrics.count("jujubelane_quarantine_refusals_total", "Requests refused because they crash endpoints.");
            return;
        }
        const accepted: AcceptedRequest = {
            head,
            id: head.id!,
            method,
            path: checked.path,
            host: checked.host,
            body,
            route,
            service,
            ...computeCustomerTerms(table.configuration, route, customer, fingerprint),
            arrivedAtMs,
            traits,
            configurationVersion: table.version,
        };
        registration.dispose();
        const answer = createCustomerAnswer(response, {
            openAccount: onDropped => answerBuffers.open(head.id!, onDropped),
            onEnded: releaseBody,
        });
        startRequestTask(accepted, answer, services);
    }

    /** Refuses a request when the process ends, unless the result is disposed of before. */
    function refuseAtEnd(
        request: IncomingMessage,
        response: ServerResponse,
        checked: CheckedHead,
        arrivedAtMs: number,
    ): Disposable {
        const registration = drainControl.add({
            id: checked.head.id,
            onDrainStarted: () => undefined,
            endByDrain() {
                if (isUnanswered(response)) {
                    const returnMs = drainControl.getReturnMs() ?? 0;
                    refuse(
                        request,
                        response,
                        makeTimedRefusal(checked, "the process ends", returnMs, arrivedAtMs),
                        checked,
                    );
                }
                return DrainEnding.Refused;
            },
        });
        response.once("close", () => registration.dispose());
        return registration;
    }

    function handle(request: IncomingMessage, response: ServerResponse, arrivedAtMs: number): void {
        if (response.destroyed) {
            return;
        }
        const checked = checkHead(request);
        if ("status" in checked) {
            refuse(request, response, checked);
            return;
        }
        const registration = refuseAtEnd(request, response, checked, arrivedAtMs);
        options.pressureWatch.submit({
            describe: nowMs => describePressedRequest({ ...checked, request, arrivedAtMs }, nowMs),
            accept() {
                // The customer may have disconnected while the request waited.
                if (isUnanswered(response)) {
                    receiveBody(request, response, checked, arrivedAtMs, registration);
                }
            },
            refuse(reason) {
                if (isUnanswered(response)) {
                    const text = `host under pressure: ${reason}`;
                    refuse(
                        request,
                        response,
                        makeTimedRefusal(checked, text, minPressureStateMs, arrivedAtMs),
                        checked,
                    );
                }
            },
        });
    }

    function makeTimedRefusal(
        checked: CheckedHead,
        reason: string,
        returnMs: number,
        arrivedAtMs: number,
    ): Refusal {
        const remainingMs = computeTimes({ ...checked, arrivedAtMs }).deadlineAtMs - timers.now();
        return { status: 503, reason, retryAfterMs: computeRetryAfterMs(returnMs, remainingMs, services.random()) };
    }

    return (request, response, arrivedAtMs) => {
        options.startupGate.run(() => handle(request, response, arrivedAtMs));
    };
}

function isUnanswered(response: ServerResponse): boolean {
    return !response.destroyed && !response.headersSent;
}

/** Largest number of engines that prefill one prompt. */
const maxPrefillEngines = 17;

function describePressedRequest(
    { table, route, head, request, arrivedAtMs }: CheckedHead & { request: IncomingMessage; arrivedAtMs: number },
    nowMs: number,
): PressedRequest {
    const { dueAtMs, deadlineAtMs } = computeTimes({ route, head, arrivedAtMs });
    const service = table.configuration.services.get(chooseService(route.shares, head.id!) ?? "");
    const promptTokens = head.prompt?.promptTokens ?? 0;
    const prefillMs = service?.engine ? computePrefillMs(service.engine, promptTokens) : 0;
    return {
        isLong: computeLengthClass(promptTokens) === LengthClass.Long,
        bodyBytes: Number(request.headers["content-length"] ?? 0),
        remainingMs: Math.min(dueAtMs, deadlineAtMs) - nowMs,
        leastServiceMs: prefillMs / maxPrefillEngines,
    };
}

function logRefusal(
    log: EventLog,
    metrics: Metrics,
    head: RequestHead,
    refusal: Refusal,
    version: number | undefined,
    route: Route | undefined,
): void {
    log(LogEvent.RequestRefused, {
        request: head.id,
        status: refusal.status,
        reason: refusal.reason,
        route: route?.name,
        config: version,
        retryAfterMs: refusal.retryAfterMs,
    });
    metrics.count("jujubelane_requests_total", "Requests by result.", { result: `refused-${refusal.status}` });
}

function countHeaderBytes(headers: readonly string[]): number {
    return headers.reduce((sum, text) => sum + text.length, 0) + (headers.length / 2) * headerSeparatorBytes;
}
