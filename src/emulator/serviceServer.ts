import { IncomingMessage, ServerResponse } from "node:http";
import { TimerService, waitFor } from "../base/timerService.js";
import { readBody, RunningServer, sendJson, startHttpServer } from "./httpServer.js";

/** Settings of an emulated plain service. */
export interface EmulatedServiceSettings {
    readonly port: number;
    /** Time that a call takes, in milliseconds. */
    readonly delayMs: number;
    /** Text that ends the service when the path or the body of a call contains it; absent for none. */
    readonly poison?: string;
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
    countCrashes(): number;
    /** Accepts no connections; resolves when the calls in progress have been answered. */
    drain(): Promise<void>;
}

/** Time that the service needs to start again at the same port after it has ended, in milliseconds. */
const restartMs = 300;
const drainCheckIntervalMs = 10;

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
    const { poison } = settings;
    let crashes = 0;
    let isClosed = false;
    let isDraining = false;
    let running = 0;

    async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        running++;
        response.once("close", () => running--);
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
        if (poison !== undefined && (run.path + body).includes(poison)) {
            await crash();
            return;
        }
        response.shouldKeepAlive &&= !isDraining;
        sendJson(response, 200, { run: runs.length, path: run.path, body });
    }

    async function crash(): Promise<void> {
        crashes++;
        await server.close();
        await waitFor(timers, restartMs);
        if (!isClosed) {
            server = await startHttpServer(first.port, handle);
        }
    }

    const first = await startHttpServer(settings.port, handle);
    let server: RunningServer = first;
    return {
        ...first,
        getRuns: () => runs,
        countCrashes: () => crashes,
        async drain() {
            isDraining = true;
            server.stopAccepting();
            while (running > 0) {
                await waitFor(timers, drainCheckIntervalMs);
            }
        },
        async close() {
            isClosed = true;
            await server.close();
        },
    };
}
