import { TimerService, waitFor } from "../base/timerService.js";
import { readBody, RunningServer, sendJson, startHttpServer } from "./httpServer.js";

/** Settings of an emulated plain service. */
export interface EmulatedServiceSettings {
    readonly port: number;
    /** Time that a call takes, in milliseconds. */
    readonly delayMs: number;
}

/** A call that the emulated service ran. */
export interface ServiceRun {
    readonly requestId: string;
    readonly method: string;
    readonly path: string;
    readonly body: string;
}

/** A running emulated service. */
export interface EmulatedService extends RunningServer {
    getRuns(): readonly ServiceRun[];
}

/**
 * Starts an emulated plain service on loopback. It records each call that it runs, so that a test can count runs from
 * outside with `GET /emulator/runs`.
 *
 * @example
 * const service = await startEmulatedService({ port: 0, delayMs: 5 }, timers);
 */
export async function startEmulatedService(
    settings: EmulatedServiceSettings,
    timers: TimerService,
): Promise<EmulatedService> {
    const runs: ServiceRun[] = [];
    const server = await startHttpServer(settings.port, async (request, response) => {
        if (request.method === "GET" && request.url === "/emulator/runs") {
            sendJson(response, 200, runs);
            return;
        }
        const body = (await readBody(request)).toString("utf8");
        const run = {
            requestId: String(request.headers["x-request-id"] ?? ""),
            method: request.method ?? "",
            path: request.url ?? "",
            body,
        };
        runs.push(run);
        await waitFor(timers, settings.delayMs);
        sendJson(response, 200, { run: runs.length, path: run.path, body });
    });
    return { ...server, getRuns: () => runs };
}
