import * as http from "node:http";
import { CommandModule } from "yargs";
import { z } from "zod";
import { createHttpHostList } from "../adapters/httpHostList.js";
import { createHttpLogService } from "../adapters/httpLogService.js";
import { createEventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { createSystemRandomSource } from "../base/systemRandomSource.js";
import { createSystemTimerService } from "../base/systemTimerService.js";
import { createEntry } from "../entry/entry.js";
import { createOperatorRoute } from "../entry/operatorRoute.js";
import { HostRecord } from "../ports/hostList.js";
import { entryDefaults, linkDefaults } from "./defaults.js";
import { createEntryConfiguration, entryConfigurationOptions, entryConfigurationSchema } from "./entryConfiguration.js";
import { linkSecurityOptions, linkSecuritySchema, loadLinkTransport } from "./linkSecurity.js";
import { closeServer, listen } from "./listen.js";
import { logUnhandledErrors, waitForStopSignal } from "./process.js";
import { createRouting, routingOptions, routingSchema } from "./routingSettings.js";
import { applyLogSetting, durationSchema, logOption, parseSettings, portSchema, urlSchema } from "./settings.js";

const settingsSchema = z.object({
    name: z.string().min(1),
    dataCentre: z.string().min(1),
    address: z.ipv4().or(z.ipv6()),
    port: portSchema,
    hosts: urlSchema,
    ...entryConfigurationSchema,
    ...linkSecuritySchema,
    ...routingSchema,
    heartbeatIntervalMs: durationSchema,
    maxBodyBytes: z.number().int().positive(),
    maxRequests: z.number().int().positive(),
    maxHeldBytes: z.number().int().positive(),
    maxConnections: z.number().int().positive(),
    drainDelayMs: z.number().min(0),
    log: z.string(),
});

const closeTimeoutMs = 2_000;
const maxHeaderBytes = 16 * 1024;

/** `jujubelane entry` */
export const entryCommand: CommandModule = {
    command: "entry",
    describe: "run an entry, which accepts customers' HTTP requests, routes them and relays the answers",
    builder: yargs =>
        yargs.options({
            name: { type: "string", default: "entry", describe: "name of this entry in logs and status" },
            dataCentre: { type: "string", demandOption: true, describe: "data centre of this host" },
            address: { type: "string", default: "127.0.0.1", describe: "IP address to listen on" },
            port: { type: "number", default: 8080, describe: "port for customers; 0 takes a free one" },
            hosts: { type: "string", demandOption: true, describe: "root URL of the platform's host list" },
            ...entryConfigurationOptions,
            ...linkSecurityOptions,
            ...routingOptions,
            "heartbeat-interval-ms": {
                type: "number",
                default: linkDefaults.heartbeatIntervalMs,
                describe: "interval of heartbeats on links; after three missed ones a link is reopened",
            },
            "max-body-bytes": {
                type: "number",
                default: entryDefaults.maxBodyBytes,
                describe: "maximum size of a request body in bytes",
            },
            "max-requests": {
                type: "number",
                default: entryDefaults.maxRequests,
                describe: "maximum number of requests in progress; a part is reserved for urgent ranks",
            },
            "max-held-bytes": {
                type: "number",
                default: entryDefaults.maxHeldBytes,
                describe: "bytes of the bodies of all requests in progress",
            },
            "max-connections": {
                type: "number",
                default: entryDefaults.maxConnections,
                describe: "connections of customers",
            },
            "drain-delay-ms": {
                type: "number",
                default: entryDefaults.drainDelayMs,
                describe: "time for which a stopping entry still accepts requests",
            },
            log: logOption,
        }),
    handler: async argv => {
        const settings = parseSettings(settingsSchema, argv);
        applyLogSetting(settings.log);
        const log = createEventLog("entry");
        logUnhandledErrors(log);
        const transport = await loadLinkTransport(settings, settings.address, log);
        const shared = {
            timers: createSystemTimerService(),
            random: createSystemRandomSource(),
            log,
            hostList: createHttpHostList(settings.hosts),
            connect: (host: HostRecord) => transport.connect(host.port, host.address),
        };
        const configuration = await createEntryConfiguration(settings, shared);
        const entry = createEntry({ ...linkDefaults, ...entryDefaults, ...settings }, {
            ...shared,
            configuration,
            logService: settings.logService === undefined
                ? undefined
                : createHttpLogService(settings.logService, shared.timers),
            ...createRouting(settings),
            createOperatorRoute: state => createOperatorRoute(state, configuration, log),
        });
        const server = http.createServer({ maxHeaderSize: maxHeaderBytes }, entry.handler);
        server.maxConnections = settings.maxConnections;
        const port = await listen(server, settings.port, settings.address);
        log(LogEvent.ProcessStarted, { role: "entry", name: settings.name, port });
        process.stdout.write(`listening on http://${settings.address}:${port}\n`);
        const signal = await waitForStopSignal(() => entry.interrupt());
        const brokenOff = await entry.drain();
        await closeServer(server, closeTimeoutMs);
        entry.dispose();
        configuration.dispose();
        log(LogEvent.ProcessStopped, { role: "entry", name: settings.name, signal, brokenOff });
        process.exit(0);
    },
};
