import { Socket } from "node:net";
import { buildConnector, Client, Dispatcher } from "undici";
import { hasAnswerBody } from "../base/answerBody.js";
import { Disposable } from "../base/disposable.js";
import { PlainService, ServiceResultKind } from "../ports/plainService.js";
import { readBounded } from "./boundedBody.js";
import { ConnectResult, tryConnect, watchFailure } from "./connections.js";

const connectTimeoutMs = 2_000;
/** Largest answer, which is kept whole until it has arrived. */
const maxAnswerBytes = 16 * 1024 * 1024;

const defaultPorts: Readonly<Record<string, number>> = { "http:": 80, "https:": 443 };

/** Error codes of `undici` and the operating system for connections that could not be established. */
const notSentCodes = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);

/**
 * Creates the adapter for a plain HTTP service.
 *
 * Every call uses a new connection. If a reused connection is reset, it is not known whether the service received the
 * call. An answer without a length or chunks is complete only if its connection was closed in order and the service still
 * accepts connections: the system of a process that has ended closes them in order as well.
 *
 * @param baseUrl root URL of the service, without a trailing slash
 *
 * @example
 * const service = createHttpPlainService("http://127.0.0.1:9100");
 */
export function createHttpPlainService(baseUrl: string): PlainService & Disposable {
    const { origin, hostname, port, protocol } = new URL(baseUrl);
    const pathPrefix = baseUrl.slice(origin.length);
    const connector = buildConnector({ timeout: connectTimeoutMs });
    const clients = new Set<Client>();

    /** Returns why an answer that ends with its connection may be cut off, or `undefined` if it is whole. */
    async function findCut(hasFailed: () => boolean): Promise<string | undefined> {
        if (hasFailed()) {
            return "connection reset before the answer was complete";
        }
        const usedPort = Number(port) || defaultPorts[protocol]!;
        return await tryConnect(hostname, usedPort, connectTimeoutMs) === ConnectResult.Refused
            ? "the service's process has ended with its answer"
            : undefined;
    }

    return {
        async call(call) {
            const signal = AbortSignal.timeout(Math.max(1, Math.round(call.timeLimitMs)));
            let hasFailed = () => false;
            const client = new Client(origin, {
                connect(options, callback) {
                    const socket = connector(options, callback) as Socket | undefined;
                    hasFailed = socket ? watchFailure(socket) : hasFailed;
                },
            });
            clients.add(client);
            try {
                const response = await client.request({
                    path: `${pathPrefix}${call.path}`,
                    reset: true,
                    method: call.method,
                    headers: { ...call.headers, "x-request-id": call.id },
                    body: call.body.length === 0 ? undefined : call.body,
                    signal,
                });
                const body = new Uint8Array(await readBounded(response.body, maxAnswerBytes));
                const cut = isEndMarked(call.method, response) ? undefined : await findCut(hasFailed);
                if (cut !== undefined) {
                    return { kind: ServiceResultKind.Unknown, message: cut };
                }
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
            finally {
                clients.delete(client);
                void client.destroy();
            }
        },
        dispose: () => clients.forEach(client => void client.destroy()),
    };
}

/** Returns whether an answer has a length, chunks or no body, and does not end with its connection. */
function isEndMarked(method: string, { statusCode, headers }: Dispatcher.ResponseData): boolean {
    const codings = String(headers["transfer-encoding"] ?? "").toLowerCase().split(",");
    return !hasAnswerBody(method, statusCode) || headers["content-length"] !== undefined
        || codings.at(-1)!.trim() === "chunked";
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
