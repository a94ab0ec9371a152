import * as http from "node:http";
import { z } from "zod";
import { TimerService } from "../../base/timerService.js";
import { readBody, RunningServer, sendJson, startHttpServer } from "../httpServer.js";
import { noLogFaults } from "./logFaults.js";
import { createLogModel, LogModel, LogModelSettings, LogReply, LogReplyKind } from "./logModel.js";
import { LogCopy } from "./logStreams.js";

/** Settings of an emulated log service over HTTP. */
export interface EmulatedLogSettings extends LogModelSettings {
    readonly port: number;
}

/** A running emulated log service. */
export interface EmulatedLog extends RunningServer {
    readonly model: LogModel;
}

/** The copy of the records that the emulated service can come back from; empty before the first one. */
interface LogCopies {
    last: LogCopy;
}

const faultsSchema = z.strictObject({
    unavailable: z.boolean(),
    unresponsive: z.boolean(),
    answerDelayMs: z.number().min(0),
    lostAnswers: z.number().int().min(0),
    lostAppends: z.number().int().min(0),
    lateAppends: z.number().int().min(0),
    lateAppendMs: z.number().min(0),
    duplicatedAppends: z.number().int().min(0),
}).partial();

const readSchema = z.object({
    from: z.coerce.number().int().min(0).default(0),
    limit: z.coerce.number().int().min(0).default(100),
    waitMs: z.coerce.number().min(0).max(60_000).default(0),
});

const maxBodyBytes = 4 * 1024 * 1024;
const recordsPattern = /^\/streams\/([^/]+)\/records$/;

const statusByKind = {
    [LogReplyKind.Unavailable]: 503,
    [LogReplyKind.RateLimited]: 429,
    [LogReplyKind.Refused]: 400,
} as const;

/**
 * Starts an emulated log service on loopback:
 *
 * - `POST /streams/NAME/records` with an array of values answers `{ offset }`;
 * - `GET /streams/NAME/records?from=&limit=&waitMs=` answers `{ records, firstOffset, endOffset, era }`;
 * - `GET` and `PUT /emulator/faults`, `DELETE /emulator/faults`, `POST /emulator/empty` with `{ resetsOffsets }`,
 *   `POST /emulator/copy`, which keeps a copy of all records, `POST /emulator/restore`, which comes back from it, and
 *   `GET /emulator/counters`.
 *
 * An error has the body `{ error, message }`, where `error` is a {@link LogReplyKind}.
 *
 * @example
 * const log = await startEmulatedLog({ ...defaultLogModelSettings, port: 0 }, timers);
 */
export async function startEmulatedLog(settings: EmulatedLogSettings, timers: TimerService): Promise<EmulatedLog> {
    const model = createLogModel(settings, timers);
    const copies: LogCopies = { last: new Map() };
    const server = await startHttpServer(settings.port, async (request, response) => {
        const url = new URL(request.url ?? "/", "http://127.0.0.1");
        const stream = recordsPattern.exec(url.pathname)?.[1];
        if (stream === undefined) {
            await handleControl(`${request.method} ${url.pathname}`, request, response, model, copies);
        }
        else if (request.method === "POST") {
            sendReply(response, await appendBody(request, stream, model), offset => ({ offset }));
        }
        else {
            const query = readSchema.safeParse(Object.fromEntries(url.searchParams));
            const reply = query.success
                ? await model.read(decodeURIComponent(stream), query.data.from, query.data.limit, query.data.waitMs)
                : { kind: LogReplyKind.Refused, message: z.prettifyError(query.error) } as const;
            sendReply(response, reply, page => page);
        }
    });
    return { ...server, model };
}

async function appendBody(
    request: http.IncomingMessage,
    stream: string,
    model: LogModel,
): Promise<LogReply<number>> {
    const body = await readBody(request);
    if (body.length > maxBodyBytes) {
        return { kind: LogReplyKind.Refused, message: `the body exceeds ${maxBodyBytes} bytes` };
    }
    const values = parseArray(body.toString("utf8"));
    return values
        ? model.append(decodeURIComponent(stream), values)
        : { kind: LogReplyKind.Refused, message: "expected a JSON array" };
}

function parseArray(text: string): unknown[] | undefined {
    try {
        const value: unknown = JSON.parse(text);
        return Array.isArray(value) ? value : undefined;
    }
    catch {
        return undefined;
    }
}

function sendReply<Answer>(
    response: http.ServerResponse,
    reply: LogReply<Answer>,
    format: (answer: Answer) => unknown,
): void {
    if (reply.kind === LogReplyKind.Answered) {
        sendJson(response, 200, format(reply.answer));
    }
    else if (reply.kind === LogReplyKind.Lost) {
        response.destroy();
    }
    else {
        sendJson(response, statusByKind[reply.kind], { error: reply.kind, message: reply.message });
    }
}

async function handleControl(
    route: string,
    request: http.IncomingMessage,
    response: http.ServerResponse,
    model: LogModel,
    copies: LogCopies,
): Promise<void> {
    const body = (await readBody(request)).toString("utf8");
    switch (route) {
        case "GET /emulator/faults":
            break;
        case "PUT /emulator/faults":
            model.updateFaults(faultsSchema.parse(JSON.parse(body)));
            break;
        case "DELETE /emulator/faults":
            model.updateFaults(noLogFaults);
            break;
        case "POST /emulator/empty":
            model.dropRecords(z.object({ resetsOffsets: z.boolean() }).parse(JSON.parse(body)).resetsOffsets);
            break;
        case "POST /emulator/copy":
            copies.last = model.makeCopy();
            break;
        case "POST /emulator/restore":
            model.restore(copies.last);
            break;
        case "GET /emulator/counters":
            return sendJson(response, 200, { appends: model.countAppends() });
        default:
            return sendJson(response, 404, { error: "not-found", message: `no route for ${route}` });
    }
    sendJson(response, 200, model.getFaults());
}
