import * as http from "node:http";
import { buildRequestError, ErrorCode, RequestError } from "../base/requestError.js";
import { Verdict } from "../base/verdict.js";
import { Configuration } from "../config/objects.js";
import { CompletionApi } from "./completionFormat.js";
import { AuthenticatedCustomer, buildCustomerIndex, CustomerIndex } from "./customerIndex.js";
import { sendError, sendText } from "./httpMessages.js";
import { CustomerRouteContext, handleCompletion } from "./modelRoute.js";
import { handleServiceCall, parseServiceTarget } from "./serviceRoute.js";

/** Handles an authenticated operator request. Returns whether a route matched. */
export type OperatorRoute = (request: http.IncomingMessage, response: http.ServerResponse) => Promise<boolean>;

/** Dependencies of the request handler of an entry's HTTP server. */
export interface CustomerServerContext extends CustomerRouteContext {
    getConfiguration(): Configuration | undefined;
    isHealthy(): boolean;
    /** Follows the answer to a request of a customer. Returns false if the request can no longer be answered. */
    followAnswer(request: http.IncomingMessage, response: http.ServerResponse): boolean;
    /** Returns the error of a request that arrives after the entry has stopped to accept any. */
    checkStopping(): RequestError | undefined;
    renderMetrics(): string;
    readonly operatorRoute: OperatorRoute;
    reportFailure(error: unknown): void;
}

const operatorPrefix = "/operator/";

/**
 * Creates the request handler of an entry's HTTP server. An exception in a handler results in an error answer and never
 * terminates the process.
 *
 * @example
 * http.createServer(createCustomerHandler(context)).listen(8080);
 */
export function createCustomerHandler(context: CustomerServerContext): http.RequestListener {
    let cachedIndex: { readonly configuration: Configuration; readonly index: CustomerIndex } | undefined;

    function findCustomer(configuration: Configuration, authorization: string | undefined) {
        if (cachedIndex?.configuration !== configuration) {
            cachedIndex = { configuration, index: buildCustomerIndex(configuration) };
        }
        return cachedIndex.index.find(authorization);
    }

    async function handleAuthenticated(
        request: http.IncomingMessage,
        response: http.ServerResponse,
        customer: AuthenticatedCustomer,
        configuration: Configuration,
    ): Promise<void> {
        const url = request.url ?? "/";
        const path = url.split("?", 1)[0]!;
        const route = `${request.method} ${path}`;
        const target = parseServiceTarget(url);
        if (path.startsWith(operatorPrefix)) {
            await handleOperator(request, response, customer);
        }
        else if (route === "POST /v1/chat/completions") {
            await handleCompletion(CompletionApi.Chat, request, response, customer, configuration, context);
        }
        else if (route === "POST /v1/completions") {
            await handleCompletion(CompletionApi.Text, request, response, customer, configuration, context);
        }
        else if (route === "GET /v1/models") {
            sendText(response, 200, "application/json", formatModels(configuration));
        }
        else if (target) {
            await handleServiceCall(target, request, response, customer, configuration, context);
        }
        else {
            sendError(response, buildRequestError(ErrorCode.NotFound, `no route for ${route}`, Verdict.NotRun));
        }
    }

    async function handleOperator(
        request: http.IncomingMessage,
        response: http.ServerResponse,
        customer: AuthenticatedCustomer,
    ): Promise<void> {
        if (!customer.object.operator) {
            const message = `customer "${customer.name}" is not an operator`;
            sendError(response, buildRequestError(ErrorCode.Forbidden, message, Verdict.NotRun));
        }
        else if (!await context.operatorRoute(request, response)) {
            const message = `no route for ${request.method} ${request.url}`;
            sendError(response, buildRequestError(ErrorCode.NotFound, message, Verdict.NotRun));
        }
    }

    async function handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const path = request.url?.split("?", 1)[0];
        if (path === "/health") {
            const isHealthy = context.isHealthy();
            sendText(response, isHealthy ? 200 : 503, "text/plain", isHealthy ? "ok\n" : "draining\n");
            return;
        }
        if (path === "/metrics") {
            sendText(response, 200, "text/plain; version=0.0.4", context.renderMetrics());
            return;
        }
        if (!context.followAnswer(request, response)) {
            return;
        }
        const refusal = path?.startsWith(operatorPrefix) ? undefined : context.checkStopping();
        if (refusal) {
            // The answer closes the connection and could be lost with the rest of the body if it were sent earlier.
            request.once("end", () => sendError(response, refusal)).resume();
            return;
        }
        const configuration = context.getConfiguration();
        if (!configuration) {
            const message = "the entry has no configuration yet";
            sendError(response, buildRequestError(ErrorCode.NoEndpoint, message, Verdict.NotRun));
            return;
        }
        const customer = findCustomer(configuration, request.headers.authorization);
        if (!customer) {
            const message = "the API key is missing or unknown";
            sendError(response, buildRequestError(ErrorCode.Unauthorized, message, Verdict.NotRun));
            return;
        }
        await handleAuthenticated(request, response, customer, configuration);
    }

    return (request, response) => {
        handle(request, response).catch((error: unknown) => {
            context.reportFailure(error);
            if (response.headersSent) {
                response.destroy();
            }
            else {
                sendError(response, buildRequestError(ErrorCode.Internal, "internal error", Verdict.MayHaveRun));
            }
        });
    };
}

function formatModels(configuration: Configuration): string {
    const data = Object.keys(configuration.objects.models).map(id => ({
        id,
        object: "model",
        created: 0,
        owned_by: "jujubelane",
    }));
    return JSON.stringify({ object: "list", data });
}
