import { createParser } from "eventsource-parser";
import { Agent, request } from "undici";
import { createDisposable, Disposable } from "../base/disposable.js";
import {
    EngineCacheEvent,
    EngineCommandResult,
    EngineEvent,
    EngineEventKind,
    EngineFinish,
    EngineReport,
    EngineRequestState,
    EngineUsage,
    ModelEngine,
} from "../ports/modelEngine.js";
import { BodyTooLongError, readBounded } from "./boundedBody.js";

/** Server-sent event of a generation, in the format of the completions API with an added token sequence number. */
interface CompletionEvent {
    readonly sequence?: number;
    readonly choices?: readonly { readonly text: string; readonly finish_reason?: EngineFinish | null }[];
    readonly usage?: {
        readonly prompt_tokens: number;
        readonly cached_tokens: number;
        readonly completion_tokens: number;
    };
}

const connectTimeoutMs = 2_000;
const answerTimeoutMs = 5_000;
const doneMarker = "[DONE]";
/** Largest answer to a call, and most bytes of a stream without a complete event. */
const maxAnswerBytes = 1024 * 1024;

/** A model engine that is called over HTTP. */
export interface HttpModelEngine extends ModelEngine, Disposable {}

/**
 * Creates the adapter for an engine that serves completions as server-sent events.
 *
 * @param baseUrl root URL of the engine, without a trailing slash
 *
 * @example
 * const engine = createHttpModelEngine("http://127.0.0.1:9000");
 */
export function createHttpModelEngine(baseUrl: string): HttpModelEngine {
    // Each stream occupies a connection. The number of connections is not limited here because the scheduler limits the
    // number of streams. Connections are not reused (`reset`): an idle one may be unresponsive while new ones work.
    const agent = new Agent({ connect: { timeout: connectTimeoutMs }, headersTimeout: 0, bodyTimeout: 0 });

    async function call<Answer>(method: "GET" | "POST" | "DELETE", path: string, body?: unknown): Promise<Answer> {
        const response = await request(`${baseUrl}${path}`, {
            dispatcher: agent,
            reset: true,
            method,
            headers: { "content-type": "application/json" },
            body: body === undefined ? undefined : JSON.stringify(body),
            headersTimeout: answerTimeoutMs,
            bodyTimeout: answerTimeoutMs,
        });
        const text = (await readBounded(response.body, maxAnswerBytes)).toString("utf8");
        if (response.statusCode >= 300) {
            throw new Error(`engine answered ${response.statusCode} to ${method} ${path}: ${text.slice(0, 200)}`);
        }
        return (text.length === 0 ? undefined : JSON.parse(text)) as Answer;
    }

    function openStream(
        method: "GET" | "POST",
        path: string,
        body: unknown,
        listen: (event: EngineEvent) => void,
    ): Disposable {
        const controller = new AbortController();
        let ended = false;

        function emit(event: EngineEvent) {
            if (!ended) {
                ended = event.kind !== EngineEventKind.Token;
                listen(event);
            }
        }

        async function run() {
            const response = await request(`${baseUrl}${path}`, {
                dispatcher: agent,
                reset: true,
                method,
                headers: { "content-type": "application/json" },
                body: body === undefined ? undefined : JSON.stringify(body),
                signal: controller.signal,
            });
            if (response.statusCode !== 200) {
                const text = (await readBounded(response.body, maxAnswerBytes)).toString("utf8");
                const message = text.slice(0, 200);
                emit({ kind: EngineEventKind.Refused, status: response.statusCode, message });
                return;
            }
            let bytesWithoutEvent = 0;
            const parser = createParser({
                onEvent(event) {
                    bytesWithoutEvent = 0;
                    emitCompletion(event.data, emit);
                },
            });
            const utf8 = new TextDecoder();
            for await (const chunk of response.body) {
                const bytes = chunk as Uint8Array;
                bytesWithoutEvent += bytes.length;
                if (bytesWithoutEvent > maxAnswerBytes) {
                    throw new BodyTooLongError(maxAnswerBytes);
                }
                parser.feed(utf8.decode(bytes, { stream: true }));
            }
            emit({ kind: EngineEventKind.Broken, message: "the stream ended without a final event" });
        }

        run().catch((error: unknown) => emit({ kind: EngineEventKind.Broken, message: String(error) }));
        return createDisposable(() => {
            ended = true;
            controller.abort();
        });
    }

    return {
        generate: (generation, listen) =>
            openStream("POST", "/v1/completions", {
                request_id: generation.id,
                model: generation.model,
                adapter: generation.adapter,
                priority: generation.priority,
                max_tokens: generation.maxOutputTokens,
                prompt: generation.prompt,
                time_limit_ms: Math.round(generation.timeLimitMs),
                stream: true,
            }, listen),
        resume: (id, fromSequence, listen) =>
            openStream("GET", `/v1/requests/${encodeURIComponent(id)}/stream?from=${fromSequence}`, undefined, listen),
        cancel: id => call("DELETE", `/v1/requests/${encodeURIComponent(id)}`),
        list: () => call<readonly EngineRequestState[]>("GET", "/v1/requests"),
        report: () => call<EngineReport>("GET", "/v1/load"),
        command: command => call<EngineCommandResult>("POST", "/v1/commands", command),
        readCacheEvents: from => call<readonly EngineCacheEvent[]>("GET", `/v1/cache/events?from=${from}`),
        exportState: id => call("POST", "/v1/exports", { request_id: id }),
        importState: (exportId, tokens) => call("POST", "/v1/imports", { exportId, tokens }),
        listExports: () => call("GET", "/v1/exports"),
        releaseExport: exportId => call("DELETE", `/v1/exports/${encodeURIComponent(exportId)}`),
        dispose: () => void agent.destroy(),
    };
}

function emitCompletion(data: string, emit: (event: EngineEvent) => void): void {
    if (data === doneMarker) {
        return;
    }
    const event = JSON.parse(data) as CompletionEvent;
    const choice = event.choices?.[0];
    if (!choice || event.sequence === undefined) {
        return;
    }
    if (choice.finish_reason) {
        emit({
            kind: EngineEventKind.End,
            finish: choice.finish_reason,
            tokens: event.sequence,
            usage: readUsage(event),
        });
        return;
    }
    emit({ kind: EngineEventKind.Token, sequence: event.sequence, text: choice.text });
}

function readUsage(event: CompletionEvent): EngineUsage {
    return {
        promptTokens: event.usage?.prompt_tokens ?? 0,
        cachedTokens: event.usage?.cached_tokens ?? 0,
        outputTokens: event.usage?.completion_tokens ?? 0,
    };
}
