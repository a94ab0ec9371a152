import { CommandModule } from "yargs";
import { z } from "zod";
import { createSystemTimerService } from "../base/systemTimerService.js";
import { emulatedEngineDefaults, startEmulatedEngine } from "../emulator/engine/engineServer.js";
import { startEmulatedHostList } from "../emulator/hostListServer.js";
import { RunningServer } from "../emulator/httpServer.js";
import { defaultLogModelSettings } from "../emulator/log/logModel.js";
import { startEmulatedLog } from "../emulator/log/logServer.js";
import { startEmulatedService } from "../emulator/serviceServer.js";
import { startEmulatedWeightStore } from "../emulator/weightStoreServer.js";
import { waitForStopSignal } from "./process.js";
import { durationSchema, parseSettings, portSchema } from "./settings.js";

async function serve(server: RunningServer, drain?: () => Promise<void>): Promise<void> {
    process.stdout.write(`listening on ${server.url}\n`);
    await waitForStopSignal();
    await drain?.();
    await server.close();
    process.exit(0);
}

const portOption = { type: "number", default: 0, describe: "port on loopback; 0 takes a free one" } as const;

const engineSchema = z.object({
    port: portSchema,
    model: z.string().min(1),
    modelVersion: z.string().min(1),
    checksFencing: z.boolean(),
    memoryTokens: z.number().int().positive(),
    prefillTokensPerSecond: z.number().positive(),
    decodeTokensPerSecond: z.number().positive(),
    maxBatch: z.number().int().positive(),
    cacheTokens: z.number().int().min(0),
    reportLagMs: z.number().min(0),
    cacheEventDelayMs: z.number().min(0),
    cacheEventGapEvery: z.number().int().min(0),
    loadingMs: z.number().min(0),
    adapterLoadingMs: z.number().min(0),
    retentionMs: z.number().min(0),
    poison: z.string(),
});

const crashExitCode = 134;

const emulateEngine: CommandModule = {
    command: "engine",
    describe: "run an emulated model engine",
    builder: yargs =>
        yargs.options({
            port: portOption,
            model: { type: "string", demandOption: true },
            "model-version": { type: "string", demandOption: true, describe: "version that is loaded at startup" },
            "checks-fencing": { type: "boolean", default: true, describe: "refuse commands with an old fencing token" },
            "memory-tokens": { type: "number", default: 400_000 },
            "prefill-tokens-per-second": { type: "number", default: 20_000 },
            "decode-tokens-per-second": { type: "number", default: 40, describe: "output rate of one sequence" },
            "max-batch": { type: "number", default: 64 },
            "cache-tokens": { type: "number", default: emulatedEngineDefaults.cacheTokens },
            "report-lag-ms": { type: "number", default: emulatedEngineDefaults.reportLagMs },
            "cache-event-delay-ms": { type: "number", default: emulatedEngineDefaults.cacheEventDelayMs },
            "cache-event-gap-every": {
                type: "number",
                default: emulatedEngineDefaults.cacheEventGapEvery,
                describe: "drop every n-th cache event; 0 drops none",
            },
            "loading-ms": {
                type: "number",
                default: emulatedEngineDefaults.loadingMs,
                describe: "time that a version takes to load",
            },
            "adapter-loading-ms": { type: "number", default: emulatedEngineDefaults.adapterLoadingMs },
            "retention-ms": {
                type: "number",
                default: emulatedEngineDefaults.retentionMs,
                describe: "time that an ended stream stays readable",
            },
            poison: { type: "string", default: "", describe: "text in a prompt that crashes the engine" },
        }),
    handler: async argv => {
        const settings = parseSettings(engineSchema, argv);
        const engine = await startEmulatedEngine({
            ...settings,
            version: settings.modelVersion,
            exitProcess: () => process.exit(crashExitCode),
        }, createSystemTimerService());
        await serve(engine, () => engine.drain());
    },
};

const emulateService: CommandModule = {
    command: "service",
    describe: "run an emulated plain service that records its calls",
    builder: yargs =>
        yargs.options({
            port: portOption,
            "delay-ms": { type: "number", default: 5, describe: "time that a call takes" },
        }),
    handler: async argv => {
        const settings = parseSettings(z.object({ port: portSchema, delayMs: z.number().min(0) }), argv);
        const service = await startEmulatedService(settings, createSystemTimerService());
        await serve(service, () => service.drain());
    },
};

const emulateHosts: CommandModule = {
    command: "hosts",
    describe: "run an emulated host list",
    builder: yargs =>
        yargs.options({
            port: portOption,
            "lag-ms": { type: "number", default: 0, describe: "time until a change appears in the list" },
        }),
    handler: async argv => {
        const settings = parseSettings(z.object({ port: portSchema, lagMs: z.number().min(0) }), argv);
        await serve(await startEmulatedHostList(settings, createSystemTimerService()));
    },
};

const logSchema = z.object({
    port: portSchema,
    retentionMs: durationSchema,
    maxRecords: z.number().int().positive(),
    appendsPerSecond: z.number().positive(),
});

const emulateLog: CommandModule = {
    command: "log",
    describe: "run an emulated append-only log service",
    builder: yargs =>
        yargs.options({
            port: portOption,
            "retention-ms": { type: "number", default: defaultLogModelSettings.retentionMs },
            "max-records": {
                type: "number",
                default: defaultLogModelSettings.maxRecords,
                describe: "records that each stream keeps",
            },
            "appends-per-second": { type: "number", default: defaultLogModelSettings.appendsPerSecond },
        }),
    handler: async argv => {
        const settings = parseSettings(logSchema, argv);
        await serve(await startEmulatedLog(settings, createSystemTimerService()));
    },
};

const emulateWeights: CommandModule = {
    command: "weights",
    describe: "run an emulated weight store with a rate limit",
    builder: yargs =>
        yargs.options({
            port: portOption,
            "grants-per-second": { type: "number", default: 2, describe: "weight read permissions granted per second" },
        }),
    handler: async argv => {
        const settings = parseSettings(z.object({ port: portSchema, grantsPerSecond: z.number().positive() }), argv);
        await serve(await startEmulatedWeightStore(settings, createSystemTimerService()));
    },
};

/** `jujubelane emulate` */
export const emulateCommand: CommandModule = {
    command: "emulate",
    describe: "run an emulator of an external system",
    builder: yargs =>
        yargs.command(emulateEngine).command(emulateService).command(emulateHosts).command(emulateLog)
            .command(emulateWeights).demandCommand(1),
    handler: () => undefined,
};
