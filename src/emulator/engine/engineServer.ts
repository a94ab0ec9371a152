import * as http from "node:http";
import { TimerService, waitFor } from "../../base/timerService.js";
import { readJson, RunningServer, sendJson, startHttpServer } from "../httpServer.js";
import { createEngineCore, EngineCoreSettings } from "./engineCore.js";
import { createEngineFaults, EngineFaults, FaultChange } from "./engineFaults.js";
import { createEngineRoutes } from "./engineRoutes.js";

/** Settings of an emulated engine that have a default. */
export const emulatedEngineDefaults = {
    retentionMs: 60_000,
    loadingMs: 200,
    adapterLoadingMs: 50,
    cacheEventDelayMs: 100,
    cacheEventGapEvery: 16,
    cacheTokens: 200_000,
    reportLagMs: 100,
    poison: "",
} as const;

type DefaultedName = keyof typeof emulatedEngineDefaults;

/** All settings of an emulated engine. */
export interface FullEngineSettings extends EngineCoreSettings {
    readonly port: number;
    /** Text that crashes the engine when a prompt contains it; empty for none. */
    readonly poison: string;
    /** Ends the process on a crash; absent for an engine that is embedded in another process. */
    readonly exitProcess?: () => void;
}

/** Settings of an emulated engine. */
export type EmulatedEngineSettings =
    & Omit<FullEngineSettings, DefaultedName>
    & Partial<Pick<FullEngineSettings, DefaultedName>>;

const batchIntervalMs = 5;

/** A running emulated engine. */
export interface EmulatedEngine extends RunningServer {
    getUsedTokens(): number;
    /** Output tokens of all generations that are running, waiting or still readable. */
    countOutputTokens(): number;
    /** Refuses new requests with status 503 and resolves when every stream has been read to its end. */
    drain(): Promise<void>;
    readonly faults: EngineFaults;
}

/**
 * Starts an emulated engine on loopback. `POST /emulator/faults` sets faults, and `GET /emulator/state` returns the
 * current state without the lag of the load report.
 *
 * @example
 * const engine = await startEmulatedEngine(settings, createSystemTimerService());
 */
export async function startEmulatedEngine(
    givenSettings: EmulatedEngineSettings,
    timers: TimerService,
): Promise<EmulatedEngine> {
    const settings: FullEngineSettings = { ...emulatedEngineDefaults, ...givenSettings };
    const createCore = () => createEngineCore(settings, timers.now(), response => faults.isSilent(response));
    const faults = createEngineFaults(
        {
            exitProcess: settings.exitProcess,
            restart: () => {
                core = createCore();
            },
        },
        timers,
        settings.poison,
    );
    let core = createCore();
    let isDraining = false;
    const batch = timers.subscribe(batchIntervalMs, () => {
        if (!faults.isFrozen()) {
            core.advance(timers.now(), faults.getSlowdown());
        }
    });

    const routes = createEngineRoutes(() => core, settings, faults, timers, () => isDraining);

    async function drain() {
        isDraining = true;
        const isBusy = () => {
            const { running, waiting } = core.model.countActive();
            return running + waiting + core.streams.countReaders() > 0;
        };
        while (isBusy()) {
            await waitFor(timers, batchIntervalMs);
        }
    }

    function makeState() {
        const { model, incarnation } = core;
        return {
            incarnation,
            usedTokens: model.getUsedTokens(),
            requests: model.list().length,
            exports: model.listExports().length,
            crashes: faults.countCrashes(),
            ...core.commands.get(timers.now()),
        };
    }

    async function handleControl(request: http.IncomingMessage, response: http.ServerResponse, path: string) {
        if (request.method === "POST" && path === "/emulator/faults") {
            const change = await readJson<FaultChange>(request);
            sendJson(response, 200, {});
            setImmediate(() => faults.apply(change));
        }
        else if (request.method === "GET" && path === "/emulator/state") {
            sendJson(response, 200, makeState());
        }
        else {
            sendJson(response, 404, { error: `no route ${request.method} ${path}` });
        }
    }

    async function handle(request: http.IncomingMessage, response: http.ServerResponse) {
        const url = new URL(request.url ?? "/", "http://engine");
        if (url.pathname.startsWith("/emulator/")) {
            return handleControl(request, response, url.pathname);
        }
        await faults.waitUntilRunning();
        const match = /^(\/v1\/(?:requests|exports))\/([^/]+)(\/stream)?$/.exec(url.pathname);
        const pattern = match ? `${match[1]}/ID${match[3] ?? ""}` : url.pathname;
        const handleRoute = routes.get(`${request.method} ${pattern}`);
        if (faults.isSilent(response)) {
            return;
        }
        if (!handleRoute) {
            sendJson(response, 404, { error: `no route ${request.method} ${url.pathname}` });
            return;
        }
        await handleRoute({ request, response, url, id: decodeURIComponent(match?.[2] ?? "") });
    }

    const server = await startHttpServer(settings.port, handle, socket => faults.registerSocket(socket));
    return {
        ...server,
        faults,
        drain,
        countOutputTokens: () => core.model.list().reduce((sum, sequence) => sum + sequence.output.length, 0),
        getUsedTokens: () => core.model.getUsedTokens(),
        close: () => {
            batch.dispose();
            faults.dispose();
            return server.close();
        },
    };
}
