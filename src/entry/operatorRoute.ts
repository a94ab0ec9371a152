import * as http from "node:http";
import { z } from "zod";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { buildRequestError, ErrorCode } from "../base/requestError.js";
import { ResultKind } from "../base/result.js";
import { Verdict } from "../base/verdict.js";
import { LinkMessageType } from "../link/messages.js";
import { LoadReport } from "../routing/loadReport.js";
import { ConfigurationSource, ConfigurationSourceStatus } from "./configurationSource.js";
import { OperatorRoute } from "./customerServer.js";
import { EndpointLink, LinkState } from "./endpointLink.js";
import { EntryState } from "./entry.js";
import { readBoundedBody, sendError, sendText } from "./httpMessages.js";

/** One linked endpoint in an entry's status. */
export interface EndpointStatus {
    readonly endpoint: string;
    readonly link: LinkState;
    readonly leaving: boolean;
    /** Generation of the configuration in force at the sidecar; -1 for none. */
    readonly generation: number;
    /** Number of outstanding requests of this entry at the endpoint. */
    readonly requests: number;
    readonly load?: LoadReport;
}

/** Answer of `GET /operator/status`. */
export interface EntryStatus {
    readonly entry: string;
    readonly dataCentre: string;
    /** Generation of the configuration in force; -1 for none. */
    readonly generation: number;
    readonly digest?: string;
    readonly requests: number;
    readonly configuration: ConfigurationSourceStatus;
    readonly endpoints: readonly EndpointStatus[];
}

const drainSchema = z.strictObject({ endpoint: z.string().min(1) });
const maxBodyBytes = 64 * 1024;

/**
 * Creates the operator routes of an entry: `GET /operator/status` and `POST /operator/drain` with
 * `{ "endpoint": NAME }`.
 *
 * @example
 * createEntry(settings, { ...parts, createOperatorRoute: state => createOperatorRoute(state, source, log) });
 */
export function createOperatorRoute(state: EntryState, source: ConfigurationSource, log: EventLog): OperatorRoute {
    return async (request, response) => {
        const route = `${request.method} ${request.url?.split("?", 1)[0]}`;
        if (route === "GET /operator/status") {
            sendText(response, 200, "application/json", JSON.stringify(describeEntry(state, source)));
            return true;
        }
        if (route === "POST /operator/drain") {
            await handleDrain(request, response, state, log);
            return true;
        }
        return false;
    };
}

function describeEntry(state: EntryState, source: ConfigurationSource): EntryStatus {
    const configuration = state.getConfiguration();
    return {
        entry: state.name,
        dataCentre: state.dataCentre,
        generation: configuration?.generation ?? -1,
        digest: configuration?.digest,
        requests: state.countRequests(),
        configuration: source.describe(),
        endpoints: state.directory.list().map(describeEndpoint),
    };
}

function describeEndpoint(link: EndpointLink): EndpointStatus {
    return {
        endpoint: link.endpoint,
        link: link.getState(),
        leaving: link.isLeaving(),
        generation: link.getGeneration(),
        requests: link.getOutstanding().requests,
        load: link.getLoad(),
    };
}

async function handleDrain(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    state: EntryState,
    log: EventLog,
): Promise<void> {
    const body = await readBoundedBody(request, maxBodyBytes);
    if (body.kind === ResultKind.Failure) {
        return sendError(response, body.error);
    }
    const parsed = drainSchema.safeParse(parseJson(body.value.toString("utf8")));
    if (!parsed.success) {
        const message = 'expected a body of the form {"endpoint": NAME}';
        return sendError(response, buildRequestError(ErrorCode.BadRequest, message, Verdict.NotRun));
    }
    const { endpoint } = parsed.data;
    const link = state.directory.get(endpoint);
    if (!link) {
        const names = state.directory.list().map(candidate => candidate.endpoint).join(", ");
        const message = `this entry has no link to an endpoint "${endpoint}"; linked: ${names}`;
        return sendError(response, buildRequestError(ErrorCode.NotFound, message, Verdict.NotRun));
    }
    if (link.getState() !== LinkState.Open) {
        const message = `the link to endpoint "${endpoint}" is ${link.getState()}; ask another entry`;
        return sendError(response, buildRequestError(ErrorCode.NoEndpoint, message, Verdict.NotRun));
    }
    log(LogEvent.EndpointDrainRequested, { endpoint });
    link.send({ type: LinkMessageType.Drain });
    sendText(response, 202, "application/json", JSON.stringify({ endpoint, leaving: link.isLeaving() }));
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
