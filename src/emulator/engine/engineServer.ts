import * as http from "node:http";
import { makeId } from "../../base/ids.js";
import { TimerService } from "../../base/timerService.js";
import { EngineCommand, EngineCommandResultKind, EngineReport } from "../../ports/modelEngine.js";
import { readBody, RunningServer, sendJson, startHttpServer } from "../httpServer.js";
import { createEngineModel, EngineModelSettings, Sequence } from "./engineModel.js";

/** Settings of an emulated engine. */
export interface EmulatedEngineSettings extends EngineModelSettings {
    readonly port: number;
    readonly model: string;
    readonly version: string;
    readonly checksFencing: boolean;
}

/** Body of `POST /v1/completions`. */
interface CompletionBody {
    readonly request_id?: string;
    readonly prompt: string;
    readonly priority?: number;
    readonly max_tokens?: number;
    readonly time_limit_ms?: number;
}

const batchIntervalMs = 5;
const defaultMaxOutputTokens = 16;
const defaultTimeLimitMs = 600_000;

/** A running emulated engine. */
export interface EmulatedEngine extends RunningServer {
    getUsedTokens(): number;
}

/**
 * Starts an emulated engine on loopback.
 *
 * @example
 * const engine = await startEmulatedEngine(settings, createSystemTimerService());
 */
export async function startEmulatedEngine(
    settings: EmulatedEngineSettings,
    timers: TimerService,
): Promise<EmulatedEngine> {
    const model = createEngineModel(settings);
    const watchers = new Map<string, Set<(sequence: Sequence) => void>>();
    const incarnation = makeId();
    let version = settings.version;
    let newestFencingToken = -1;
    let lastAdvanceMs = timers.now();

    function notify(sequence: Sequence) {
        for (const watcher of watchers.get(sequence.generation.id) ?? []) {
            watcher(sequence);
        }
    }

    const batch = timers.subscribe(batchIntervalMs, () => {
        const nowMs = timers.now();
        const changed = model.advance(nowMs, nowMs - lastAdvanceMs);
        lastAdvanceMs = nowMs;
        changed.forEach(notify);
    });

    function streamSequence(sequence: Sequence, fromSequence: number, response: http.ServerResponse) {
        const { id } = sequence.generation;
        let next = fromSequence;
        response.writeHead(200, { "content-type": "text/event-stream" });

        function writeNew() {
            let text = "";
            for (; next < sequence.output.length; next++) {
                text += `data: ${
                    JSON.stringify({ id, sequence: next, choices: [{ text: sequence.output[next] }] })
                }\n\n`;
            }
            if (sequence.finish !== undefined) {
                const usage = model.getUsage(sequence);
                text += `data: ${
                    JSON.stringify({
                        id,
                        sequence: sequence.output.length,
                        choices: [{ text: "", finish_reason: sequence.finish }],
                        usage: {
                            prompt_tokens: usage.promptTokens,
                            cached_tokens: usage.cachedTokens,
                            completion_tokens: usage.outputTokens,
                        },
                    })
                }\n\ndata: [DONE]\n\n`;
            }
            if (text.length > 0) {
                response.write(text);
            }
            if (sequence.finish !== undefined) {
                response.end();
                unsubscribe();
            }
        }

        const set = watchers.get(id) ?? new Set();
        watchers.set(id, set);
        set.add(writeNew);
        function unsubscribe() {
            set.delete(writeNew);
            if (set.size === 0) {
                watchers.delete(id);
            }
        }
        response.on("close", unsubscribe);
        response.flushHeaders();
        writeNew();
    }

    async function handleCompletion(request: http.IncomingMessage, response: http.ServerResponse) {
        const body = JSON.parse((await readBody(request)).toString("utf8")) as CompletionBody;
        const sequence = model.submit({
            id: body.request_id ?? makeId(),
            prompt: body.prompt,
            priority: body.priority ?? 0,
            maxOutputTokens: body.max_tokens ?? defaultMaxOutputTokens,
            deadlineMs: timers.now() + (body.time_limit_ms ?? defaultTimeLimitMs),
        });
        streamSequence(sequence, 0, response);
    }

    function handleCommand(command: EngineCommand) {
        if (settings.checksFencing && command.fencingToken < newestFencingToken) {
            return { kind: EngineCommandResultKind.Stale, newest: newestFencingToken };
        }
        newestFencingToken = Math.max(newestFencingToken, command.fencingToken);
        version = command.version ?? version;
        return { kind: EngineCommandResultKind.Accepted };
    }

    function makeReport(): EngineReport {
        const active = model.list().filter(sequence => sequence.finish === undefined);
        return {
            model: settings.model,
            version,
            adapters: [],
            role: "general",
            incarnation,
            loading: undefined,
            memoryTokens: settings.memoryTokens,
            usedTokens: model.getUsedTokens(),
            running: active.filter(sequence => sequence.admitted).length,
            waiting: active.filter(sequence => !sequence.admitted).length,
            prefillTokensPerSecond: settings.prefillTokensPerSecond,
            decodeTokensPerSecond: settings.decodeTokensPerSecond,
        };
    }

    async function handle(request: http.IncomingMessage, response: http.ServerResponse) {
        const url = new URL(request.url ?? "/", "http://engine");
        const route = `${request.method} ${url.pathname}`;
        const requestMatch = /^\/v1\/requests\/([^/]+)(\/stream)?$/.exec(url.pathname);
        if (route === "POST /v1/completions") {
            await handleCompletion(request, response);
        }
        else if (route === "GET /v1/load") {
            sendJson(response, 200, makeReport());
        }
        else if (route === "GET /v1/requests") {
            sendJson(
                response,
                200,
                model.list().map(sequence => ({
                    id: sequence.generation.id,
                    tokens: sequence.output.length,
                    memoryTokens: sequence.promptTokens + sequence.generation.maxOutputTokens,
                    ended: sequence.finish !== undefined,
                })),
            );
        }
        else if (route === "POST /v1/commands") {
            sendJson(
                response,
                200,
                handleCommand(JSON.parse((await readBody(request)).toString("utf8")) as EngineCommand),
            );
        }
        else if (requestMatch && request.method === "DELETE") {
            const id = decodeURIComponent(requestMatch[1]!);
            model.cancel(id);
            const sequence = model.get(id);
            if (sequence) {
                notify(sequence);
            }
            model.release(id);
            sendJson(response, 200, {});
        }
        else if (requestMatch?.[2] && request.method === "GET") {
            const sequence = model.get(decodeURIComponent(requestMatch[1]!));
            if (!sequence) {
                sendJson(response, 404, { error: "unknown request" });
                return;
            }
            streamSequence(sequence, Number(url.searchParams.get("from") ?? 0), response);
        }
        else {
            sendJson(response, 404, { error: `no route ${route}` });
        }
    }

    const server = await startHttpServer(settings.port, handle);
    return {
        ...server,
        getUsedTokens: () => model.getUsedTokens(),
        close: () => {
            batch.dispose();
            return server.close();
        },
    };
}
