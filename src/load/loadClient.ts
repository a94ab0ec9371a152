import { createParser } from "eventsource-parser";
import { Agent, Dispatcher, request } from "undici";
import { Disposable } from "../base/disposable.js";
import { makeId } from "../base/ids.js";
import { TimerService } from "../base/timerService.js";
import { makeExpectedOutput, makeOutputToken } from "../emulator/engine/tokens.js";
import { HeaderName } from "../entry/httpMessages.js";
import { Arrival } from "./arrivals.js";
import { LoadPlan, LoadStream, RequestType } from "./loadPlan.js";
import { OutcomeKind } from "./outcome.js";
import { createPromptSource } from "./promptSource.js";

/** Result of sending a request once. Times are in milliseconds of a monotonic clock. */
export interface SendResult {
    readonly kind: OutcomeKind;
    readonly status: number;
    readonly code: string | undefined;
    readonly verdict: string | undefined;
    readonly retryAfterSeconds: number | undefined;
    readonly ticket: string | undefined;
    readonly firstTokenAtMs: number | undefined;
    readonly gapsMs: readonly number[];
    readonly message: string | undefined;
}

/** Sends the requests of a plan. */
export interface LoadClient extends Disposable {
    /** Sends one request and reads its answer to the end. Never rejects. */
    send(arrival: Arrival, ticket: string | undefined): Promise<SendResult>;
}

/** Time after its limit that a request may take before it counts as hung, in milliseconds. */
const hangGraceMs = 2_000;
const connectTimeoutMs = 5_000;
const maxMessageLength = 200;
const notRunVerdict = "not-run";
const doneMarker = "[DONE]";

interface ErrorBody {
    readonly error?: { readonly code?: string; readonly message?: string; readonly verdict?: string };
}

interface CompletionEvent extends ErrorBody {
    readonly choices?: readonly {
        readonly text?: string;
        readonly delta?: { readonly content?: string };
        readonly message?: { readonly content?: string };
    }[];
}

/** State of one answer while it is read. */
interface ReceivedAnswer {
    text: string;
    firstTokenAtMs: number | undefined;
    lastTokenAtMs: number;
    readonly gapsMs: number[];
    finished: boolean;
    error: ErrorBody["error"];
}

/** A request that was sent. */
interface Exchange {
    readonly signal: AbortSignal;
    /** Status of the answer; absent until its head has arrived. */
    status: number | undefined;
}

/**
 * Creates the client of a load run. It opens as many connections as there are requests in flight, so that no request
 * waits for another in the load tool.
 *
 * @param targets root URLs of entries
 *
 * @example
 * const client = createLoadClient(plan, 42, ["http://127.0.0.1:8080"], timers);
 */
export function createLoadClient(
    plan: LoadPlan,
    seed: number,
    targets: readonly string[],
    timers: TimerService,
): LoadClient {
    const agent = new Agent({ connect: { timeout: connectTimeoutMs }, headersTimeout: 0, bodyTimeout: 0 });
    const makePrompt = createPromptSource(seed, plan.bytesPerToken);

    async function post(
        arrival: Arrival,
        stream: LoadStream,
        path: string,
        headers: Record<string, string>,
        body: string,
        exchange: Exchange,
    ) {
        const response = await request(`${targets[Math.floor(arrival.targetDraw * targets.length)]!}${path}`, {
            dispatcher: agent,
            method: "POST",
            headers: {
                "authorization": `Bearer ${plan.keys[arrival.customer]!}`,
                "content-type": "application/json",
                [HeaderName.Rank]: stream.rank,
                [HeaderName.TimeLimit]: String(stream.timeLimitMs),
                ...(stream.kind === undefined ? {} : { [HeaderName.Kind]: stream.kind }),
                ...headers,
            },
            body,
            signal: exchange.signal,
        });
        exchange.status = response.statusCode;
        return response;
    }

    function recordText(received: ReceivedAnswer, text: string | undefined) {
        if (!text) {
            return;
        }
        const nowMs = timers.now();
        if (received.firstTokenAtMs === undefined) {
            received.firstTokenAtMs = nowMs;
        }
        else {
            received.gapsMs.push(nowMs - received.lastTokenAtMs);
        }
        received.lastTokenAtMs = nowMs;
        received.text += text;
    }

    async function readStream(body: Dispatcher.ResponseData["body"], received: ReceivedAnswer) {
        const parser = createParser({
            onEvent({ data }) {
                if (data === doneMarker) {
                    received.finished = true;
                    return;
                }
                const event = JSON.parse(data) as CompletionEvent;
                received.error ??= event.error;
                const choice = event.choices?.[0];
                recordText(received, choice?.text ?? choice?.delta?.content);
            },
        });
        const utf8 = new TextDecoder();
        for await (const bytes of body) {
            parser.feed(utf8.decode(bytes as Uint8Array, { stream: true }));
        }
    }

    async function sendCompletion(
        arrival: Arrival,
        stream: LoadStream,
        ticket: string | undefined,
        exchange: Exchange,
    ) {
        const isChat = stream.type === RequestType.Chat;
        const prompt = makePrompt(arrival.index, arrival.promptTokens);
        const fields = JSON.stringify({
            model: plan.model,
            max_tokens: arrival.outputTokens,
            stream: arrival.streamed,
        }).slice(0, -1);
        const body = isChat
            ? `${fields},"messages":[{"role":"user","content":"${prompt}"}]}`
            : `${fields},"prompt":"${prompt}"}`;
        const path = isChat ? "/v1/chat/completions" : "/v1/completions";
        const response = await post(
            arrival,
            stream,
            path,
            {
                ...(ticket === undefined ? {} : { [HeaderName.Ticket]: ticket }),
                ...(stream.allowsSplit ? { [HeaderName.Split]: "allow" } : {}),
            },
            body,
            exchange,
        );
        if (response.statusCode !== 200) {
            return readError(response);
        }
        const received: ReceivedAnswer = {
            text: "",
            firstTokenAtMs: undefined,
            lastTokenAtMs: 0,
            gapsMs: [],
            finished: false,
            error: undefined,
        };
        if (arrival.streamed) {
            await readStream(response.body, received);
        }
        else {
            const answer = await response.body.json() as CompletionEvent;
            received.text = answer.choices?.[0]?.text ?? answer.choices?.[0]?.message?.content ?? "";
            received.finished = true;
        }
        const expected = response.headers[HeaderName.Parts] === undefined
            ? makeExpectedOutput(isChat ? `user: ${prompt}` : prompt, arrival.outputTokens)
            : makeCompleteOutput(received.text, arrival.outputTokens);
        return makeVerifiedResult(response.statusCode, received, expected);
    }

    async function sendServiceCall(arrival: Arrival, stream: LoadStream, exchange: Exchange) {
        const path = `${stream.path}?index=${arrival.index}`;
        const requestBody = JSON.stringify({ index: arrival.index, seed });
        const headers = { [HeaderName.IdempotencyKey]: makeId() };
        const response = await post(
            arrival,
            stream,
            `/v1/services/${stream.service}${path}`,
            headers,
            requestBody,
            exchange,
        );
        if (response.statusCode !== 200) {
            return readError(response);
        }
        const answer = await response.body.json() as { readonly path?: string; readonly body?: string };
        const isExpected = answer.path === path && answer.body === requestBody;
        return makeResult(
            isExpected ? OutcomeKind.Completed : OutcomeKind.Wrong,
            response.statusCode,
            isExpected ? {} : { message: `answer belongs to ${answer.path}` },
        );
    }

    return {
        async send(arrival, ticket) {
            const stream = plan.streams[arrival.stream]!;
            const controller = new AbortController();
            const exchange: Exchange = { signal: controller.signal, status: undefined };
            const timer = timers.schedule(stream.timeLimitMs + hangGraceMs, () => controller.abort());
            try {
                return stream.type === RequestType.Service
                    ? await sendServiceCall(arrival, stream, exchange)
                    : await sendCompletion(arrival, stream, ticket, exchange);
            }
            catch (error) {
                const kind = controller.signal.aborted ? OutcomeKind.Hung : getErrorKind(exchange, error);
                return makeResult(kind, exchange.status ?? 0, { message: String(error).slice(0, maxMessageLength) });
            }
            finally {
                timer.dispose();
            }
        },
        dispose: () => void agent.destroy(),
    };
}

/** Returns the outcome of a request whose sending or reading failed with an error. */
function getErrorKind(exchange: Exchange, error: unknown): OutcomeKind {
    // An answer that was read but is malformed did not break off.
    return exchange.status === undefined || error instanceof SyntaxError ? OutcomeKind.Failed : OutcomeKind.BrokenOff;
}

function makeResult(kind: OutcomeKind, status: number, details: Partial<SendResult> = {}): SendResult {
    return {
        kind,
        status,
        code: undefined,
        verdict: undefined,
        retryAfterSeconds: undefined,
        ticket: undefined,
        firstTokenAtMs: undefined,
        gapsMs: [],
        message: undefined,
        ...details,
    };
}

/**
 * Returns the complete output that starts with the first token of an answer to a split prompt. The text of such an
 * answer depends on where the entry split the prompt, so it can be verified to be complete, but not to belong to the
 * prompt.
 */
function makeCompleteOutput(text: string, tokens: number): string {
    const hash = parseInt(/^ ([0-9a-z]+)\.0/.exec(text)?.[1] ?? "0", 36);
    return Array.from({ length: tokens }, (unused, sequence) => makeOutputToken(hash, sequence)).join("");
}

/** Compares an answer that was read to its end with the expected output. */
function makeVerifiedResult(status: number, received: ReceivedAnswer, expected: string): SendResult {
    const { firstTokenAtMs, gapsMs, error } = received;
    if (error) {
        const { code, verdict, message } = error;
        return makeResult(OutcomeKind.Failed, status, { firstTokenAtMs, gapsMs, code, verdict, message });
    }
    if (!received.finished) {
        return makeResult(OutcomeKind.BrokenOff, status, {
            firstTokenAtMs,
            gapsMs,
            message: "the stream ended without a final event",
        });
    }
    if (received.text !== expected) {
        const message = `found ${JSON.stringify(received.text.slice(0, 40))} (${received.text.length}), `
            + `expected ${JSON.stringify(expected.slice(0, 40))} (${expected.length})`;
        return makeResult(OutcomeKind.Wrong, status, { firstTokenAtMs, gapsMs, message });
    }
    return makeResult(OutcomeKind.Completed, status, { firstTokenAtMs, gapsMs });
}

async function readError(response: Dispatcher.ResponseData): Promise<SendResult> {
    const text = await response.body.text();
    const status = response.statusCode;
    let error: ErrorBody["error"];
    try {
        error = (JSON.parse(text) as ErrorBody).error;
    }
    catch {
        error = undefined;
    }
    const { headers } = response;
    const verdict = error?.verdict ?? readHeader(headers[HeaderName.Verdict]);
    const retryAfter = readHeader(headers["retry-after"]);
    return makeResult(
        verdict === notRunVerdict ? OutcomeKind.Refused : OutcomeKind.Failed,
        status,
        {
            code: error?.code,
            verdict,
            retryAfterSeconds: retryAfter === undefined ? undefined : Number(retryAfter),
            ticket: readHeader(headers[HeaderName.Ticket]),
            message: (error?.message ?? text).slice(0, maxMessageLength),
        },
    );
}

function readHeader(value: string | string[] | undefined): string | undefined {
    return Array.isArray(value) ? value[0] : value;
}
