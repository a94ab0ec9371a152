import * as http from "node:http";
import { makeId } from "../../base/ids.js";
import { TimerService } from "../../base/timerService.js";
import { EngineCommand } from "../../ports/modelEngine.js";
import { readJson, sendJson } from "../httpServer.js";
import { EngineCore, EngineCoreSettings } from "./engineCore.js";
import { EngineFaults } from "./engineFaults.js";
import { computeReservedTokens } from "./engineModel.js";
import { countTokens } from "./tokens.js";

/** Body of `POST /v1/completions`. */
interface CompletionBody {
    readonly request_id?: string;
    readonly model?: string;
    readonly adapter?: string;
    readonly prompt: string;
    readonly priority?: number;
    readonly max_tokens?: number;
    readonly time_limit_ms?: number;
}

const defaultMaxOutputTokens = 16;
const defaultTimeLimitMs = 600_000;

/** One HTTP call to an emulated engine. */
export interface EngineCall {
    readonly request: http.IncomingMessage;
    readonly response: http.ServerResponse;
    readonly url: URL;
    /** Id of the request or export in the path. */
    readonly id: string;
}

/** Answers one HTTP call. */
export type RouteHandler = (call: EngineCall) => unknown;

/**
 * Creates the routes of an emulated engine, by method and path. `ID` stands for an id in the path.
 *
 * @example
 * const routes = createEngineRoutes(() => core, settings, faults, timers, () => false);
 * routes.get("GET /v1/load");
 */
export function createEngineRoutes(
    getCore: () => EngineCore,
    settings: EngineCoreSettings,
    faults: EngineFaults,
    timers: TimerService,
    isDraining: () => boolean,
): ReadonlyMap<string, RouteHandler> {
    function checkCompletion(body: CompletionBody): { readonly status: number; readonly error: string } | undefined {
        const promptTokens = countTokens(body.prompt);
        const maxOutputTokens = body.max_tokens ?? defaultMaxOutputTokens;
        if (isDraining()) {
            return { status: 503, error: "the engine is shutting down" };
        }
        if (body.model !== undefined && body.model !== settings.model) {
            return { status: 404, error: `the engine runs model ${settings.model}` };
        }
        if (body.adapter !== undefined && !getCore().commands.get(timers.now()).adapters.includes(body.adapter)) {
            return { status: 404, error: `adapter ${body.adapter} is not loaded` };
        }
        if (computeReservedTokens({ maxOutputTokens }, promptTokens) > settings.memoryTokens) {
            return { status: 413, error: "the prompt and its output exceed the engine's memory" };
        }
        if (body.request_id !== undefined && getCore().model.get(body.request_id)) {
            return { status: 409, error: `request ${body.request_id} already exists` };
        }
        return undefined;
    }

    const startCompletion: RouteHandler = async ({ request, response }) => {
        const body = await readJson<CompletionBody>(request);
        const refusal = checkCompletion(body);
        if (refusal) {
            sendJson(response, refusal.status, { error: refusal.error });
            return;
        }
        const sequence = getCore().model.submit({
            id: body.request_id ?? makeId(),
            prompt: body.prompt,
            priority: body.priority ?? 0,
            maxOutputTokens: body.max_tokens ?? defaultMaxOutputTokens,
            deadlineMs: timers.now() + (body.time_limit_ms ?? defaultTimeLimitMs),
        });
        getCore().streams.serve(sequence, 0, response);
        if (faults.isPoisoned(body.prompt)) {
            faults.crash();
        }
    };

    const resumeStream: RouteHandler = ({ response, url, id }) => {
        const sequence = getCore().model.get(id);
        if (!sequence) {
            sendJson(response, 404, { error: "unknown request" });
            return;
        }
        getCore().streams.serve(sequence, Number(url.searchParams.get("from") ?? 0), response);
    };

    const cancelRequest: RouteHandler = ({ response, id }) => {
        if (faults.takeLostCancel()) {
            response.destroy();
            return;
        }
        getCore().model.cancel(id, timers.now());
        const sequence = getCore().model.get(id);
        if (sequence) {
            getCore().streams.publish(sequence);
        }
        getCore().model.release(id);
        sendJson(response, 200, {});
    };

    const listRequests: RouteHandler = ({ response }) => {
        const states = getCore().model.list().map(sequence => ({
            id: sequence.generation.id,
            tokens: sequence.output.length,
            memoryTokens: sequence.admitted && sequence.finish === undefined
                ? computeReservedTokens(sequence.generation, sequence.promptTokens)
                : 0,
            ended: sequence.finish !== undefined,
        }));
        sendJson(response, 200, states);
    };

    function sendExport(response: http.ServerResponse, exportId: string, tokens: number) {
        const isAdded = getCore().model.addExport(exportId, tokens);
        sendJson(
            response,
            isAdded ? 200 : 507,
            isAdded ? { exportId, tokens } : { error: "the engine has too little free memory for the export" },
        );
    }

    const exportState: RouteHandler = async ({ request, response }) => {
        const { request_id: id } = await readJson<{ request_id: string }>(request);
        const sequence = getCore().model.get(id);
        if (!sequence?.admitted) {
            sendJson(response, 404, { error: "unknown request" });
            return;
        }
        sendExport(response, `export.${id}`, sequence.promptTokens + sequence.output.length);
    };

    const importState: RouteHandler = async ({ request, response }) => {
        const { exportId, tokens } = await readJson<{ exportId: string; tokens: number }>(request);
        sendExport(response, exportId, tokens);
    };

    return new Map<string, RouteHandler>([
        ["POST /v1/completions", startCompletion],
        ["GET /v1/load", ({ response }) => sendJson(response, 200, getCore().makeReport(timers.now()))],
        ["GET /v1/requests", listRequests],
        ["GET /v1/requests/ID/stream", resumeStream],
        ["DELETE /v1/requests/ID", cancelRequest],
        [
            "POST /v1/commands",
            async ({ request, response }) =>
                sendJson(response, 200, getCore().commands.apply(await readJson<EngineCommand>(request), timers.now())),
        ],
        [
            "GET /v1/cache/events",
            ({ response, url }) =>
                sendJson(
                    response,
                    200,
                    getCore().cacheEvents.read(Number(url.searchParams.get("from") ?? 0), timers.now()),
                ),
        ],
        ["POST /v1/exports", exportState],
        ["GET /v1/exports", ({ response }) => sendJson(response, 200, getCore().model.listExports())],
        ["DELETE /v1/exports/ID", ({ response, id }) => {
            getCore().model.releaseExport(id);
            sendJson(response, 200, {});
        }],
        ["POST /v1/imports", importState],
    ]);
}
