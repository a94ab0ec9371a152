import * as http from "node:http";
import * as net from "node:net";
import { CommandModule } from "yargs";
import { z } from "zod";
import { createHttpHostList } from "../adapters/httpHostList.js";
import { createHttpLogService } from "../adapters/httpLogService.js";
import { createHttpModelEngine } from "../adapters/httpModelEngine.js";
import { createHttpPlainService } from "../adapters/httpPlainService.js";
import { createServiceProbe } from "../adapters/serviceProbe.js";
import { computeDigest } from "../base/ids.js";
import { createEventLog } from "../base/log.js";
import { createSystemRandomSource } from "../base/systemRandomSource.js";
import { createSystemTimerService } from "../base/systemTimerService.js";
import { TimerService } from "../base/timerService.js";
import { ConfigurationObjects } from "../config/objects.js";
import { configurationSchema } from "../config/schema.js";
import { startEmulatedEngine } from "../emulator/engine/engineServer.js";
import { startEmulatedHostList } from "../emulator/hostListServer.js";
import { defaultLogModelSettings } from "../emulator/log/logModel.js";
import { startEmulatedLog } from "../emulator/log/logServer.js";
import { startEmulatedService } from "../emulator/serviceServer.js";
import { createEntry } from "../entry/entry.js";
import { createOperatorRoute } from "../entry/operatorRoute.js";
import { HostState } from "../ports/hostList.js";
import { createFairScheduler } from "../scheduling/fairScheduler.js";
import { createClaimRunner } from "../sidecar/claims/claimRunner.js";
import { defaultClaimTaskSettings, startClaims } from "../sidecar/claims/startClaims.js";
import { createEngineSupervisor } from "../sidecar/engineSupervisor.js";
import { createModelRunner, defaultModelRunnerSettings } from "../sidecar/modelRunner.js";
import { createSidecar, Sidecar, SidecarParts } from "../sidecar/sidecar.js";
import { entryDefaults, linkDefaults, sidecarDefaults } from "./defaults.js";
import { startDevConfiguration } from "./devConfiguration.js";
import { closeServer, listen } from "./listen.js";
import { logUnhandledErrors, waitForStopSignal } from "./process.js";
import { createRouting, routingDefaults } from "./routingSettings.js";
import { applyLogSetting, logOption, parseSettings, portSchema } from "./settings.js";

const settingsSchema = z.object({
    port: portSchema,
    engines: z.number().int().min(1).max(16),
    key: z.string().min(1),
    logUrl: z.boolean(),
    log: z.string(),
});

const dataCentre = "local";
const linkKey = "dev";
const engineSpeed = { memoryTokens: 400_000, prefillTokensPerSecond: 40_000, decodeTokensPerSecond: 60, maxBatch: 32 };
const closeTimeoutMs = 2_000;
/**
 * All parts of `dev` share one clock, so that no clock skew has to be allowed for. With an allowance, a new log would
 * refuse the idempotency keys of its first seconds.
 */
const devKeyAheadMs = 0;
const loopback = "127.0.0.1";

/**
 * Builds the configuration of `dev`: one model with emulated engines, one plain service, one customer who is also an
 * operator.
 */
function buildDevObjects(engines: number, key: string): ConfigurationObjects {
    const endpoints: Record<string, unknown> = {
        "booking-1": { host: "booking-1", dataCentre, service: "bookings", checksFencing: false },
    };
    for (let index = 1; index <= engines; index++) {
        endpoints[`engine-${index}`] = { host: `engine-${index}`, dataCentre, model: "demo", checksFencing: true };
    }
    return configurationSchema.parse({
        models: { demo: { version: "demo-v1" } },
        versions: { "demo-v1": { model: "demo", weights: "demo-v1" } },
        ranks: {
            urgent: { urgency: 0, timeLimitMs: 30_000 },
            normal: { urgency: 1, timeLimitMs: 300_000 },
            bulk: { urgency: 2, timeLimitMs: 3_600_000 },
        },
        kinds: { question: { rank: "normal" } },
        customers: { developer: { keyDigests: [computeDigest(key)], defaultKind: "question", operator: true } },
        services: { bookings: { rank: "urgent", repeatable: false, timeLimitMs: 10_000 } },
        endpoints,
    });
}

async function startSidecar(endpoint: string, parts: Omit<SidecarParts, "log" | "createScheduler">) {
    const settings = { ...linkDefaults, ...sidecarDefaults, endpoint, dataCentre, linkKey };
    const log = createEventLog("sidecar");
    const sidecar = createSidecar(settings, { ...parts, log, createScheduler: createFairScheduler });
    const server = net.createServer(socket => sidecar.accept(socket));
    const port = await listen(server, 0, loopback);
    return { sidecar, host: { name: endpoint, dataCentre, address: loopback, port, state: HostState.Live } };
}

async function startEndpoints(engines: number, logUrl: string, timers: TimerService) {
    const started: Awaited<ReturnType<typeof startSidecar>>[] = [];
    for (let index = 1; index <= engines; index++) {
        const emulated = await startEmulatedEngine(
            { ...engineSpeed, port: 0, model: "demo", version: "demo-v1", checksFencing: true },
            timers,
        );
        const endpoint = `engine-${index}`;
        const engine = createHttpModelEngine(emulated.url);
        const random = createSystemRandomSource();
        const log = createEventLog("sidecar");
        const engineSupervisor = createEngineSupervisor({ endpoint, timers, random, log, engine });
        const runner = createModelRunner(
            engineSupervisor.engine,
            timers,
            work => work.priority,
            defaultModelRunnerSettings,
        );
        started.push(await startSidecar(endpoint, { timers, runner, engineSupervisor }));
    }
    const service = await startEmulatedService({ port: 0, delayMs: 5 }, timers);
    const claims = startClaims({ ...defaultClaimTaskSettings, maxKeyAheadMs: devKeyAheadMs }, {
        service: createHttpLogService(logUrl, timers),
        timers,
        random: createSystemRandomSource(),
        log: createEventLog("sidecar"),
        endpoint: "booking-1",
    });
    await claims.refreshMarks();
    const runner = createClaimRunner(createHttpPlainService(service.url), claims, timers);
    const isServiceRunning = createServiceProbe(service.url);
    started.push(await startSidecar("booking-1", { timers, runner, isServiceRunning }));
    return started;
}

async function registerHosts(hostsUrl: string, hosts: readonly { readonly name: string }[]) {
    for (const host of hosts) {
        await fetch(`${hostsUrl}/hosts/${host.name}`, { method: "PUT", body: JSON.stringify(host) });
    }
}

async function drainAll(sidecars: readonly Sidecar[]) {
    await Promise.all(sidecars.map(sidecar => sidecar.drain()));
    sidecars.forEach(sidecar => sidecar.dispose());
}

/** `jujubelane dev` */
export const devCommand: CommandModule = {
    command: "dev",
    describe: "run an entry and sidecars on loopback in one process, with emulated endpoints",
    builder: yargs =>
        yargs.options({
            port: { type: "number", default: 8080, describe: "port for customers; 0 takes a free one" },
            engines: { type: "number", default: 2, describe: "number of emulated engines" },
            key: { type: "string", default: "dev-key", describe: "API key of the only customer" },
            "log-url": {
                type: "boolean",
                default: false,
                describe: "print the URL of the embedded log on a second line",
            },
            log: { ...logOption, default: "" },
        }),
    handler: async argv => {
        const settings = parseSettings(settingsSchema, argv);
        applyLogSetting(settings.log);
        const log = createEventLog("entry");
        logUnhandledErrors(log);
        const timers = createSystemTimerService();
        const hosts = await startEmulatedHostList({ port: 0, lagMs: 0 }, timers);
        const logServer = await startEmulatedLog({ ...defaultLogModelSettings, port: 0 }, timers);
        const endpoints = await startEndpoints(settings.engines, logServer.url, timers);
        await registerHosts(hosts.url, endpoints.map(endpoint => endpoint.host));
        const random = createSystemRandomSource();
        const objects = buildDevObjects(settings.engines, settings.key);
        const logService = createHttpLogService(logServer.url, timers);
        const configuration = await startDevConfiguration(objects, { timers, random, log, logService });
        const entry = createEntry({ ...linkDefaults, ...entryDefaults, name: "dev", dataCentre, linkKey }, {
            timers,
            random,
            log,
            hostList: createHttpHostList(hosts.url),
            configuration,
            ...createRouting({ ...routingDefaults, name: "dev", dataCentre }),
            connect: host => net.connect(host.port, host.address),
            createOperatorRoute: state => createOperatorRoute(state, configuration, log),
        });
        const server = http.createServer(entry.handler);
        const port = await listen(server, settings.port, loopback);
        process.stdout.write(`listening on http://${loopback}:${port}\n`);
        if (settings.logUrl) {
            process.stdout.write(`log service on ${logServer.url}\n`);
        }
        await waitForStopSignal(() => entry.interrupt());
        await entry.drain();
        await closeServer(server, closeTimeoutMs);
        entry.dispose();
        await drainAll(endpoints.map(endpoint => endpoint.sidecar));
        process.exit(0);
    },
};
