import { CommandModule } from "yargs";
import { z } from "zod";
import { createHttpLogService } from "../adapters/httpLogService.js";
import { createHttpModelEngine } from "../adapters/httpModelEngine.js";
import { createHttpPlainService } from "../adapters/httpPlainService.js";
import { createHttpWeightStore } from "../adapters/httpWeightStore.js";
import { createServiceProbe } from "../adapters/serviceProbe.js";
import { createEventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { createSystemRandomSource } from "../base/systemRandomSource.js";
import { createSystemTimerService } from "../base/systemTimerService.js";
import { TimerService } from "../base/timerService.js";
import { createFairScheduler } from "../scheduling/fairScheduler.js";
import { createFirstComeScheduler } from "../scheduling/firstComeScheduler.js";
import { createClaimRunner } from "../sidecar/claims/claimRunner.js";
import { ClaimTask } from "../sidecar/claims/claimTask.js";
import { createEngineSupervisor } from "../sidecar/engineSupervisor.js";
import { createModelRunner, defaultModelRunnerSettings } from "../sidecar/modelRunner.js";
import { createSidecar, Sidecar, SidecarSettings } from "../sidecar/sidecar.js";
import {
    buildClaims,
    claimOptions,
    claimSettingsSchema,
    claimWindowIssue,
    isClaimWindowWithinRetention,
} from "./claimSettings.js";
import { linkDefaults, sidecarDefaults } from "./defaults.js";
import { linkSecurityOptions, linkSecuritySchema, loadLinkTransport } from "./linkSecurity.js";
import { listen } from "./listen.js";
import { logUnhandledErrors, waitForStopSignal } from "./process.js";
import { applyLogSetting, durationSchema, logOption, parseSettings, portSchema, urlSchema } from "./settings.js";

/** Names of the schedulers that `--scheduler` selects. */
enum SchedulerName {
    Fair = "fair",
    FirstCome = "first-come",
}

const schedulers = { [SchedulerName.Fair]: createFairScheduler, [SchedulerName.FirstCome]: createFirstComeScheduler };

const settingsSchema = z.object({
    endpoint: z.string().min(1),
    dataCentre: z.string().min(1),
    address: z.ipv4().or(z.ipv6()),
    port: portSchema,
    engine: urlSchema.optional(),
    service: urlSchema.optional(),
    weights: urlSchema.optional(),
    ...linkSecuritySchema,
    heartbeatIntervalMs: durationSchema,
    maxQueuedRequests: z.number().int().positive(),
    maxQueuedBytes: z.number().int().positive(),
    chunkIntervalMs: z.number().min(0),
    maxConnections: z.number().int().positive(),
    ...claimSettingsSchema,
    scheduler: z.enum(SchedulerName),
    log: z.string(),
}).refine(isClaimWindowWithinRetention, claimWindowIssue).refine(
    settings => (settings.engine === undefined) !== (settings.service === undefined),
    {
        message: "expected exactly one of --engine and --service",
        path: ["engine"],
    },
);

/** Time that a stopping sidecar waits until its last claim records are written to the log, in milliseconds. */
const claimDrainMs = 3_000;

type ParsedSettings = z.infer<typeof settingsSchema>;

/** `jujubelane sidecar` */
export const sidecarCommand: CommandModule = {
    command: "sidecar",
    describe: "run the sidecar of one endpoint: queue, reservations and commands",
    builder: yargs =>
        yargs.options({
            endpoint: { type: "string", demandOption: true, describe: "name of the endpoint in the configuration" },
            dataCentre: { type: "string", demandOption: true, describe: "data centre of this host" },
            address: { type: "string", default: "127.0.0.1", describe: "IP address to listen on for links" },
            port: { type: "number", default: 7000, describe: "port for links; 0 takes a free one" },
            engine: { type: "string", describe: "root URL of the model engine beside this process" },
            service: { type: "string", describe: "root URL of the plain service beside this process" },
            weights: { type: "string", describe: "root URL of the platform's weight store" },
            ...linkSecurityOptions,
            "heartbeat-interval-ms": {
                type: "number",
                default: linkDefaults.heartbeatIntervalMs,
                describe: "interval of heartbeats on links; after three missed ones a link is closed",
            },
            "max-queued-requests": {
                type: "number",
                default: sidecarDefaults.maxQueuedRequests,
                describe: "maximum number of requests that wait for the endpoint",
            },
            "max-queued-bytes": {
                type: "number",
                default: sidecarDefaults.maxQueuedBytes,
                describe: "maximum total bytes of the requests that wait for the endpoint",
            },
            "chunk-interval-ms": {
                type: "number",
                default: sidecarDefaults.chunkIntervalMs,
                describe: "least time between two chunks of a stream; 0 sends each token as it comes",
            },
            "max-connections": {
                type: "number",
                default: sidecarDefaults.maxConnections,
                describe: "connections of entries",
            },
            ...claimOptions,
            scheduler: {
                choices: Object.values(SchedulerName),
                default: SchedulerName.Fair,
                describe: "order of queued work; first-come is a baseline for measurements",
            },
            log: logOption,
        }),
    handler: async argv => {
        const settings = parseSettings(settingsSchema, argv);
        applyLogSetting(settings.log);
        const log = createEventLog("sidecar");
        logUnhandledErrors(log);
        const timers = createSystemTimerService();
        const claims = buildClaims(settings, timers, log);
        const sidecar = buildSidecar({ ...linkDefaults, ...sidecarDefaults, ...settings }, settings, timers, claims);
        const transport = await loadLinkTransport(settings, settings.address, log);
        const server = transport.createServer(
            socket => sidecar.accept(socket),
            error => log(LogEvent.LinkRefused, { message: error.message }),
        );
        server.maxConnections = settings.maxConnections;
        const port = await listen(server, settings.port, settings.address);
        log(LogEvent.ProcessStarted, { role: "sidecar", name: settings.endpoint, port });
        process.stdout.write(`listening on ${settings.address}:${port}\n`);
        const signal = await waitForStopSignal();
        await sidecar.drain();
        await claims?.drain(claimDrainMs);
        server.close();
        sidecar.dispose();
        log(LogEvent.ProcessStopped, { role: "sidecar", name: settings.endpoint, signal });
        process.exit(0);
    },
};

function buildSidecar(
    settings: SidecarSettings,
    parsed: Pick<ParsedSettings, "engine" | "service" | "scheduler" | "logService" | "weights">,
    timers: TimerService,
    claims: ClaimTask | undefined,
): Sidecar {
    const log = createEventLog("sidecar");
    const createScheduler = schedulers[parsed.scheduler];
    if (parsed.service !== undefined) {
        const runner = createClaimRunner(createHttpPlainService(parsed.service), claims, timers);
        const isServiceRunning = createServiceProbe(parsed.service);
        return createSidecar(settings, { timers, log, runner, createScheduler, isServiceRunning });
    }
    const engineSupervisor = createEngineSupervisor({
        endpoint: settings.endpoint,
        timers,
        random: createSystemRandomSource(),
        log,
        engine: createHttpModelEngine(parsed.engine!),
        logService: parsed.logService === undefined ? undefined : createHttpLogService(parsed.logService, timers),
        weightStore: parsed.weights === undefined ? undefined : createHttpWeightStore(parsed.weights),
    });
    const runner = createModelRunner(
        engineSupervisor.engine,
        timers,
        work => work.priority,
        defaultModelRunnerSettings,
    );
    return createSidecar(settings, { timers, log, runner, createScheduler, engineSupervisor });
}
