import { Agent, request } from "undici";
import { Disposable } from "../base/disposable.js";
import { PlainService, ServiceResultKind } from "../ports/plainService.js";
import { readBounded } from "./boundedBody.js";

const connectTimeoutMs = 2_000;
/** Largest answer, which is kept whole until it has arrived. */
const maxAnswerBytes = 16 * 1024 * 1024;

/** Error codes of `undici` and the operating system for connections that could not be established. */
const notSentCodes = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);

/**
 * Creates the adapter for a plain HTTP service.
 *
 * Every call uses a new connection. If a reused connection is reset, it is not known whether the service received the
 * call.
 *
 * @param baseUrl root URL of the service, without a trailing slash
 *
 * @example
 * const service = createHttpPlainService("http://127.0.0.1:9100");
 */
export function createHttpPlainService(baseUrl: string): PlainService & Disposable {
    const agent = new Agent({ connect: { timeout: connectTimeoutMs }, pipelining: 0 });
    return {
        async call(call) {
            const signal = AbortSignal.timeout(Math.max(1, Math.round(call.timeLimitMs)));
            try {
                const response = await request(`${baseUrl}${call.path}`, {
                    dispatcher: agent,
                    method: call.method as "GET",
                    headers: { ...call.headers, "x-request-id": call.id },
                    body: call.body.length === 0 ? undefined : call.body,
                    signal,
                });
                const body = new Uint8Array(await readBounded(response.body, maxAnswerBytes));
                return {
                    kind: ServiceResultKind.Answered,
                    status: response.statusCode,
                    headers: selectHeaders(response.headers),
                    body,
                };
            }
            catch (error) {
                const code = (error as { code?: string }).code ?? "";
                const kind = notSentCodes.has(code) ? ServiceResultKind.NotSent : ServiceResultKind.Unknown;
                return { kind, message: String(error) };
            }
        },
        dispose: () => void agent.destroy(),
    };
}

/** Headers that apply to a single connection and are not forwarded. */
const transportHeaders = new Set(["connection", "keep-alive", "transfer-encoding", "content-length", "upgrade"]);

function selectHeaders(headers: Record<string, string | string[] | undefined>): Record<string, string> {
    const selected: Record<string, string> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && !transportHeaders.has(name)) {
            selected[name] = Array.isArray(value) ? value.join(", ") : value;
        }
    }
    return selected;
}
