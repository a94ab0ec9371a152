import { Server } from "node:net";
import { createDisposableStore } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { createMetrics } from "../base/metrics.js";
import { TimerService, waitFor } from "../base/timerService.js";
import {
    createEndpointDirectory,
    defaultDirectorySettings,
    EndpointChange,
    EndpointChangeKind,
} from "../membership/endpointDirectory.js";
import { createEndpointHealth, ExchangeResult } from "../membership/endpointHealth.js";
import { createEndpointSubset } from "../membership/endpointSubset.js";
import { EndpointRecord, EndpointState } from "../ports/endpointRecord.js";
import { ExchangeCodec } from "../ports/exchange.js";
import { MemoryReservationService } from "../ports/memoryReservationService.js";
import { KeyedRecord, RecordFeed, WritableFeed } from "../ports/recordFeed.js";
import { ServingConfiguration } from "../ports/servingConfiguration.js";
import { computeBudgetBurst, computeBudgetRatio } from "../retries/budgetShare.js";
import { createRetryBudget } from "../retries/retryBudget.js";
import { chooseClaim } from "../routing/engineClaim.js";
import { placeOnEngines } from "../routing/enginePlacement.js";
import { countSharingGateways, decideCell, onlyCell, selectCellEndpoints } from "../routing/gatewayCell.js";
import { createLoadLedger } from "../routing/loadLedger.js";
import { pickByRendezvous } from "../routing/rendezvous.js";
import { buildRouteTable, RouteTable } from "../routing/routeTable.js";
import { createSlowdownEstimate } from "../routing/slowdownEstimate.js";
import { Drain } from "../scheduling/drainAdmission.js";
import { LimitSharing } from "../scheduling/limitBudget.js";
import { createCrashDetector, LossEvidence } from "./crashDetector.js";
import { createCustomerServer } from "./customerServer.js";
import { createEndpointConnections } from "./endpointConnections.js";
import { mergeGates } from "./endpointGate.js";
import { createEndpointQuota } from "./endpointQuota.js";
import { startFairnessExchange } from "./fairnessExchange.js";
import { followFeed } from "./feedFollower.js";
import { GatewaySettings } from "./gatewaySettings.js";
import { createLoadExchange } from "./loadExchange.js";
import { followPeers } from "./peerDiscovery.js";
import { createPlacementQueue } from "./placementQueue.js";
import { createQuarantineRegistry, QuarantineSource } from "./quarantineRegistry.js";
import { createQuarantineStore } from "./quarantineStore.js";
import { createRequestIntake } from "./requestIntake.js";
import { createReservations } from "./reservations.js";
import { createStartupGate } from "./startupGate.js";
import { serveText } from "./textServer.js";

/** External dependencies of a gateway: the store, the endpoints' protocol, time and randomness. */
export interface GatewayPorts {
    readonly configurationFeed: RecordFeed;
    readonly endpointFeed: RecordFeed;
    readonly gatewayFeed: WritableFeed;
    /** Quarantines, which all gateways read and write. */
    readonly quarantineFeed: WritableFeed;
    decodeConfiguration(record: KeyedRecord): ServingConfiguration | undefined;
    decodeEndpoint(record: KeyedRecord): EndpointRecord | undefined;
    readonly codec: ExchangeCodec;
    readonly memoryReservations: MemoryReservationService;
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly random: () => number;
    /** Unique id of this run of the process. */
    readonly incarnation: string;
    /** Server that already listens on the customers' address, if the process opened it before it loaded its modules. */
    readonly customerListener?: Server;
}

/** A running gateway. */
export interface Gateway {
    /**
     * Stops accepting connections, finishes the requests in progress and closes the gateway. Resolves when it is
     * closed.
     */
    drain(): Promise<void>;
}

/**
 * Wait time of one read, as a share of the time within which a new configuration must be in force. A connection to the
 * store can stall without an error; the rest of the time allows for detecting that and reading again.
 */
const configurationWaitShare = 0.55;
/**
 * Time between two reads of registrations, as a share of the time within which a leaving endpoint must be known.
 * Endpoints renew their registrations about every second and each call to the store has a cost, so one read collects
 * many renewals.
 */
const endpointReadPauseShare = 0.4;
const endpointWaitMs = 300;
/**
 * Time for which a request waits for the first configuration, in milliseconds. A store that is reachable answers the
 * first read within it; when the store is away, customers are told early enough to come back.
 */
const maxStartupWaitMs = 400;
const expiryCheckIntervalMs = 100;
/** Time without a message, of two snapshots, after which the requests of another gateway are not heard of. */
const maxPeerSilenceMs = 1_200;
/** Gateways that are assumed until the list of gateways has been read. */
const assumedGateways = 4;
/** Share of the memory limit for request bodies. The rest is for the heap and for connection buffers. */
const bodyMemoryShare = 0.25;
/** Share of the file descriptors for customer connections. The rest is for endpoints and the store. */
const customerDescriptorShare = 0.6;
/**
 * Time after SIGTERM for which idle connections are kept and new ones accepted in any case, in milliseconds. The load
 * balancer notices the failing readiness check meanwhile, and customers move to other gateways.
 */
const minAcceptMs = 3_000;
/** Largest share of the time until SIGKILL that `minAcceptMs` may take. */
const maxAcceptShare = 0.4;
/** Time before SIGKILL at which the remaining requests are aborted, in milliseconds. */
const closeBeforeKillMs = 400;
const drainCheckIntervalMs = 50;

/**
 * Starts a gateway, the process between customers and endpoints. It persists no state.
 *
 * @example
 * const gateway = await startGateway(settings, ports);
 * process.on("SIGTERM", () => void gateway.drain());
 */
export async function startGateway(settings: GatewaySettings, ports: GatewayPorts): Promise<Gateway> {
    const { timers, log } = ports;
    const disposables = createDisposableStore();
    const metrics = createMetrics();
    const directory = createEndpointDirectory(defaultDirectorySettings);
    const health = createEndpointHealth();
    const slowdownEstimate = createSlowdownEstimate();
    const ledger = createLoadLedger();
    const connections = createEndpointConnections(address => crashDetector.recordIdleClose(address));
    const keyPrefix = ports.incarnation.slice(-8);
    const exchangeAddress = `${settings.ip}:${settings.exchangePort}`;
    let cell = onlyCell;
    /** Exchange addresses of all gateways that the store lists. */
    let gatewayAddresses: readonly string[] = [];
    const endpointSubset = createEndpointSubset(directory, endpoints => selectCellEndpoints(cell, endpoints));
    let routeTable: RouteTable | undefined;
    let areEndpointsKnown = false;
    let drainState: Drain | undefined;

    const exchange = disposables.register(createLoadExchange({
        host: settings.host,
        ip: settings.ip,
        port: settings.exchangePort,
        incarnation: ports.incarnation,
        timers,
        ledger,
        log,
        onChange: () => placementQueue.run(),
        onCrash: report => quarantineRegistry.applyCrash(report, false),
        onQuarantine(term) {
            quarantineRegistry.applyTerm(term, QuarantineSource.Gateway);
            quarantineStore.writeMissing(term);
        },
        listQuarantines: () => quarantineRegistry.listTerms(),
        onLimit: limit => endpointQuota.applyNotice(limit),
        listLimits: () => endpointQuota.list(),
        onPeerDispatch: endpoint => endpointQuota.recordPeerDispatch(endpoint),
    }));
    const endpointQuota = createEndpointQuota({
        timers,
        log,
        random: ports.random,
        getSharing: countSharing,
        reportChange: limit => exchange.reportLimit(limit),
    });
    const quarantineRegistry = createQuarantineRegistry({
        timers,
        log,
        metrics,
        reportCrash: report => exchange.reportCrash(report),
        reportTerm(term) {
            exchange.reportQuarantine(term);
            quarantineStore.writeDecision(term);
        },
        isTester: trait =>
            quarantineStore.isAvailable() && gatewayAddresses.length > 0
            && pickByRendezvous(trait, gatewayAddresses, address => address, 1)[0] === exchangeAddress,
    });
    const quarantineStore = disposables.register(createQuarantineStore({
        feed: ports.quarantineFeed,
        timers,
        log,
        random: ports.random,
        onTerm: term => quarantineRegistry.applyTerm(term, QuarantineSource.Store),
        listTerms: () => quarantineRegistry.listTerms(),
    }));
    const crashDetector = disposables.register(createCrashDetector({
        timers,
        connect: address => connections.tryConnect(address),
        onCrash: report => quarantineRegistry.applyCrash(report, true),
        onAnswer: (traits, ageMs) => quarantineRegistry.recordAnswer(traits, ageMs),
        onIdleLoss: () =>
            metrics.count(
                "jujubelane_idle_endpoint_losses_total",
                "Endpoints lost without notice on which no request of this gateway had ended unanswered.",
            ),
    }));
    const fairness = disposables.register(startFairnessExchange({
        notices: exchange.notices,
        timers,
        log,
        metrics,
        countSharingGroups: service => countSharingGateways(cell, cell.count, directory.listUsable(service).length),
    }));
    const placementQueue = disposables.register(createPlacementQueue({
        timers,
        directory,
        endpointSubset,
        health,
        slowdownEstimate,
        ledger,
        dataCentre: settings.dataCentre,
        orderSeed: settings.host,
        keyPrefix,
        random: ports.random,
        placeOnEngines,
        chooseClaim,
        quota: endpointQuota,
        gate: mergeGates([]),
        fairness,
        reportChange: (key, item) => exchange.reportChange(key, item),
    }));
    const retryBudget = createRetryBudget({
        ratio: computeBudgetRatio(settings.retryRatio),
        burst: computeBudgetBurst(settings.retrySlack, 0),
    });
    const startupGate = disposables.register(createStartupGate(timers, maxStartupWaitMs));
    const reservations = createReservations({
        memoryReservations: ports.memoryReservations,
        timers,
        log,
        maxLeaseMs: settings.maxHoldMs,
        idPrefix: keyPrefix,
    });

    /** Counts the gateways that use an endpoint, and those of them whose requests are heard of. */
    function countSharing(endpoint: string): LimitSharing {
        const service = directory.find(endpoint)?.record.service;
        const endpoints = service === undefined ? 0 : directory.listUsable(service).length;
        const heard = exchange.countHeard(maxPeerSilenceMs);
        const known = gatewayAddresses.length > 0 ? gatewayAddresses.length : assumedGateways;
        const gateways = Math.max(heard, countSharingGateways(cell, known, endpoints));
        return { gateways, heard };
    }

    function applyConfiguration(records: readonly KeyedRecord[]): void {
        for (const record of records) {
            const configuration = ports.decodeConfiguration(record);
            if (!configuration) {
                continue;
            }
            const previous = routeTable?.version;
            if (previous !== undefined && configuration.version <= previous) {
                continue;
            }
            routeTable = buildRouteTable(configuration);
            customers.setLimits(configuration.limits);
            startupGate.open();
            log(LogEvent.ServingConfigurationInForce, {
                version: configuration.version,
                previous,
                routes: configuration.routes.length,
                customers: configuration.customers?.length,
            });
        }
    }

    function recordLoss(record: EndpointRecord): void {
        if (record.state !== EndpointState.Draining) {
            crashDetector.recordEndpointLoss(record.id, LossEvidence.Gone);
        }
    }

    function applyChanges(changes: readonly EndpointChange[]): void {
        for (const { kind, record } of changes) {
            log(LogEvent.EndpointChanged, {
                change: kind,
                endpoint: record.id,
                service: record.service,
                address: record.address,
                dataCentre: record.dataCentre,
            });
            if (kind === EndpointChangeKind.Joined) {
                crashDetector.recordEndpointJoined(record);
            }
            if (kind === EndpointChangeKind.Restarted || kind === EndpointChangeKind.Left) {
                recordLoss(record);
                health.forget(record.id);
                slowdownEstimate.forget(record.id);
                endpointQuota.forget(record.id);
                ledger.forgetEndpoint(record.id);
                connections.replace(record.address);
            }
        }
        if (changes.length > 0) {
            endpointSubset.invalidate();
            connections.keepOnly(new Set(directory.listAll().map(item => item.record.address)));
            placementQueue.run();
        }
    }

    function applyCell(addresses: readonly string[]): void {
        const previous = cell;
        const { cell: decided, members, others } = decideCell(exchangeAddress, addresses);
        cell = decided;
        exchange.setPeers(members, others);
        if (cell.index !== previous.index || cell.count !== previous.count) {
            endpointSubset.invalidate();
            log(LogEvent.CellChanged, { cell: cell.index, cells: cell.count, members: members.length + 1 });
        }
    }

    function decodeEndpoints(records: readonly KeyedRecord[]): EndpointRecord[] {
        return records.map(record => ports.decodeEndpoint(record)).filter(record => record !== undefined);
    }

    function applyEndpointRecord(record: KeyedRecord): readonly EndpointChange[] {
        const nowMs = timers.now();
        const endpoint = ports.decodeEndpoint(record);
        return endpoint ? directory.applyRecord(endpoint, nowMs) : directory.applyRemoval(record.key, nowMs);
    }

    const customers = createCustomerServer(
        settings.customerAddress,
        Math.floor(settings.maxDescriptors * customerDescriptorShare),
        createRequestIntake({
            services: {
                timers,
                log,
                metrics,
                codec: ports.codec,
                connections,
                placementQueue,
                health,
                slowdownEstimate,
                reservations,
                crashDetector,
                quarantineRegistry,
                retryBudget,
                random: ports.random,
                endpointQuota,
                onMisdirected(endpointId) {
                    health.record(endpointId, ExchangeResult.Unreachable, timers.now());
                    crashDetector.recordEndpointLoss(endpointId, LossEvidence.Gone);
                },
            },
            getTable: () => routeTable,
            startupGate,
            getDrain: () => drainState,
            maxBufferedBytes: settings.memoryBytes * bodyMemoryShare,
        }),
    );

    disposables.register(followFeed({
        name: "configuration",
        feed: ports.configurationFeed,
        timing: { waitMs: Math.round(settings.configurationNoticeMs * configurationWaitShare), pauseMs: 0 },
        timers,
        log,
        listener: {
            onSnapshot: applyConfiguration,
            // The version in force stays until a newer one is read.
            onRestored() {},
            onUpdate: applyConfiguration,
            onUnavailable() {},
            onAvailable() {},
        },
    }));
    disposables.register(followFeed({
        name: "endpoints",
        feed: ports.endpointFeed,
        timing: { waitMs: endpointWaitMs, pauseMs: settings.leavingNoticeMs * endpointReadPauseShare },
        timers,
        log,
        listener: {
            onSnapshot(records) {
                areEndpointsKnown = true;
                applyChanges(directory.applyAll(decodeEndpoints(records), timers.now()));
            },
            onRestored() {
                directory.markStoreRestored(timers.now());
                peers.renewSoon();
            },
            onUpdate: records => applyChanges(records.flatMap(applyEndpointRecord)),
            onUnavailable: () => directory.markStoreUnreachable(),
            onAvailable: () => directory.markStoreReachable(timers.now()),
        },
    }));
    disposables.register(
        timers.subscribe(expiryCheckIntervalMs, () => applyChanges(directory.expireLapses(timers.now()))),
    );
    const peers = disposables.register(followPeers({
        feed: ports.gatewayFeed,
        host: settings.host,
        address: exchangeAddress,
        timers,
        log,
        random: ports.random,
        onPeers(addresses) {
            gatewayAddresses = addresses;
            applyCell(addresses);
            retryBudget.setBurst(computeBudgetBurst(settings.retrySlack, addresses.length));
        },
    }));

    metrics.registerGauge("jujubelane_waiting_requests", "Requests that wait.", () => placementQueue.countWaiting());
    metrics.registerGauge(
        "jujubelane_limited_endpoints",
        "Endpoints that name a limit of requests a second.",
        () => endpointQuota.countLimited(),
    );
    metrics.registerGauge(
        "jujubelane_quarantines",
        "Prompt parts and requests that are refused because they crash endpoints.",
        () => quarantineRegistry.countActive(),
    );
    metrics.registerGauge("jujubelane_reservations", "Memory reservations held.", () => reservations.countHeld());
    metrics.registerGauge(
        "jujubelane_gateways",
        "Gateways heard of, this one included.",
        () => exchange.countGateways(),
    );
    metrics.registerGauge("jujubelane_connections", "Customers' connections.", () => customers.countConnections());
    metrics.registerGauge("jujubelane_configuration_version", "Version in force.", () => routeTable?.version ?? 0);

    const isReady = () => routeTable !== undefined && areEndpointsKnown && !drainState;
    try {
        await customers.listen(ports.customerListener);
        const metricsAddress = { ip: settings.ip, port: settings.metricsPort };
        await serveText(settings.readyAddress, () => ({ status: isReady() ? 200 : 503, text: "" }), disposables);
        await serveText(metricsAddress, () => ({ status: 200, text: metrics.render() }), disposables);
    }
    catch (error) {
        // A listen address is in use. Timers and sockets that stay open would keep the caller's process alive.
        customers.close();
        disposables.dispose();
        await connections.close();
        throw error;
    }

    async function drain(): Promise<void> {
        const startedAtMs = timers.now();
        const endsAtMs = startedAtMs + settings.graceMs - closeBeforeKillMs;
        log(LogEvent.ProcessDraining, { requests: customers.countRequests() });
        drainState = { startedAtMs, endsAtMs };
        await waitFor(timers, Math.min(minAcceptMs, settings.graceMs * maxAcceptShare));
        customers.closeIdleConnections();
        // Connections are accepted to the end: if other gateways stop too, customers have nowhere else to go.
        while (customers.countRequests() > 0 && timers.now() < endsAtMs) {
            await waitFor(timers, drainCheckIntervalMs);
        }
        log(LogEvent.ProcessStopped, { brokenOff: customers.countRequests() });
        customers.stopAccepting();
        customers.close();
        disposables.dispose();
        await connections.close();
    }

    return { drain };
}
