import { createDisposableStore } from "../base/disposable.js";
import { LogEvent } from "../base/logEvents.js";
import { createMetrics } from "../base/metrics.js";
import {
    createEndpointDirectory,
    defaultDirectorySettings,
    EndpointChange,
    EndpointChangeKind,
} from "../membership/endpointDirectory.js";
import { createEndpointHealth, ExchangeResult } from "../membership/endpointHealth.js";
import { createEndpointSubset } from "../membership/endpointSubset.js";
import { EvacuationChangeKind } from "../membership/evacuations.js";
import { EndpointRecord, EndpointState } from "../ports/endpointRecord.js";
import { KeyedRecord } from "../ports/recordFeed.js";
import { computeBudgetBurst, computeBudgetRatio } from "../retries/budgetShare.js";
import { createRetryBudget } from "../retries/retryBudget.js";
import { chooseClaim } from "../routing/engineClaim.js";
import { placeOnEngines } from "../routing/enginePlacement.js";
import { createLoadLedger } from "../routing/loadLedger.js";
import { pickByRendezvous } from "../routing/rendezvous.js";
import { buildRouteTable, RouteTable } from "../routing/routeTable.js";
import { createSlowdownEstimate } from "../routing/slowdownEstimate.js";
import { defaultColdBound } from "../scheduling/coldBudget.js";
import { Drain } from "../scheduling/drainAdmission.js";
import { LimitSharing } from "../scheduling/limitBudget.js";
import { createColdWatch } from "./coldWatch.js";
import { wrapFeed, wrapWritableFeed } from "./countedFeed.js";
import { createCrashDetector, LossEvidence } from "./crashDetector.js";
import { createCustomerServer } from "./customerServer.js";
import { createEndpointConnections } from "./endpointConnections.js";
import { mergeGates } from "./endpointGate.js";
import { createEndpointNoticeBoard } from "./endpointNoticeBoard.js";
import { createEndpointQuota } from "./endpointQuota.js";
import { createEvacuationWatch } from "./evacuationWatch.js";
import { startFairnessExchange } from "./fairnessExchange.js";
import { followFeed } from "./feedFollower.js";
import { createFeedSharing } from "./feedSharing.js";
import { createGatewayCells } from "./gatewayCells.js";
import { drainCustomers } from "./gatewayDrain.js";
import { countIdleLoss } from "./gatewayGauges.js";
import { Gateway, GatewayPorts } from "./gatewayPorts.js";
import { GatewaySettings } from "./gatewaySettings.js";
import { serveGatewayStatus } from "./gatewayStatus.js";
import { createHedging } from "./hedging.js";
import { createLoadExchange } from "./loadExchange.js";
import { followOperators } from "./operatorFeed.js";
import { followPeers } from "./peerDiscovery.js";
import { createPeerGreeting } from "./peerGreeting.js";
import { createPlacementQueue } from "./placementQueue.js";
import { createQuarantineRegistry, QuarantineSource } from "./quarantineRegistry.js";
import { createQuarantineStore } from "./quarantineStore.js";
import { createRequestIntake } from "./requestIntake.js";
import { RequestServices } from "./requestServices.js";
import { createReservations } from "./reservations.js";
import { createStartupGate } from "./startupGate.js";

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
/** Gateways among which the rate of a cold endpoint is divided until the list of gateways has been read. */
const unlistedGateways = 16;
/** Share of the memory limit for request bodies. The rest is for the heap and for connection buffers. */
const bodyMemoryShare = 0.25;
/** Share of the file descriptors for customer connections. The rest is for endpoints and the store. */
const customerDescriptorShare = 0.6;
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
    const exchangeAddress = `${settings.ip}:${settings.exchangePort}`;
    const endpointSubset = createEndpointSubset(
        directory,
        endpoints =>
            cells.select(evacuationWatch.select(endpoints.filter(endpoint => !endpointNotices.isLeaving(endpoint)))),
    );
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
    const cells = createGatewayCells({
        timers,
        log,
        exchangeAddress,
        getConfiguration: () => routeTable?.configuration,
        countEndpoints: service => directory.listUsable(service).length,
        setPeers: (members, others) => exchange.setPeers(members, others),
        onChange: () => endpointSubset.invalidate(),
    });
    const sharing = disposables.register(createFeedSharing({
        address: exchangeAddress,
        exchange,
        countKnown: () => cells.listGateways().length,
        timers,
        log,
        metrics,
        random: ports.random,
    }));
    const coldWatch = createColdWatch({
        timers,
        log,
        metrics,
        random: ports.random,
        bound: settings.coldBound ?? defaultColdBound,
        directory,
        notices: exchange.notices,
        findService: name => routeTable?.configuration.services.get(name),
        countGateways: endpoint => countSharing(endpoint, unlistedGateways).gateways,
    });
    const endpointQuota = coldWatch.wrapQuota(createEndpointQuota({
        timers,
        log,
        random: ports.random,
        getSharing: endpoint => countSharing(endpoint),
        reportChange: limit => exchange.reportLimit(limit),
    }));
    const evacuationWatch = createEvacuationWatch({
        timers,
        log,
        metrics,
        decode: record => ports.decodeEvacuation(record),
        countEndpoints: dataCentre => directory.listAll().filter(item => item.record.dataCentre === dataCentre).length,
        onChange(changes) {
            changes.filter(({ kind }) => kind === EvacuationChangeKind.Ended)
                .forEach(({ dataCentre }) => coldWatch.observeReturn(dataCentre));
            endpointSubset.invalidate();
            placementQueue.run();
        },
    });
    const endpointNotices = disposables.register(createEndpointNoticeBoard({
        timers,
        log,
        directory,
        notices: exchange.notices,
        onChange() {
            endpointSubset.invalidate();
            placementQueue.run();
        },
    }));
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
            quarantineStore.isAvailable() && cells.listGateways().length > 0
            && pickByRendezvous(trait, cells.listGateways(), address => address, 1)[0] === exchangeAddress,
    });
    const quarantineStore = disposables.register(createQuarantineStore({
        feed: wrapWritableFeed("quarantines", ports.quarantineFeed, metrics),
        sharing,
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
        onIdleLoss: () => countIdleLoss(metrics),
    }));
    const fairness = disposables.register(startFairnessExchange({
        notices: exchange.notices,
        timers,
        log,
        metrics,
        countSharingGroups: service => cells.countSharingCells(directory.listUsable(service).length),
    }));
    const placementQueue = disposables.register(createPlacementQueue({
        timers,
        directory,
        endpointSubset,
        health,
        slowdownEstimate,
        ledger,
        dataCentre: settings.dataCentre,
        regions: settings.regions,
        orderSeed: settings.host,
        keyPrefix: ports.incarnation.slice(-8),
        random: ports.random,
        placeOnEngines,
        chooseClaim,
        quota: endpointQuota,
        gate: mergeGates([evacuationWatch.gate, endpointNotices]),
        isServiceLeaving: service => endpointNotices.isServiceLeaving(service),
        fairness,
        reportChange: (key, item) => exchange.reportChange(key, item),
    }));
    const retryBudget = createRetryBudget({
        ratio: computeBudgetRatio(settings.retryRatio),
        burst: computeBudgetBurst(settings.retrySlack, 0),
    });
    const hedging = createHedging({ shares: settings.hedgeShares, timers, log, retryBudget, placementQueue });
    const startupGate = disposables.register(createStartupGate(timers, maxStartupWaitMs));
    const peerGreeting = disposables.register(createPeerGreeting(timers, exchange.notices));
    const reservations = createReservations({
        memoryReservations: ports.memoryReservations,
        timers,
        log,
        maxLeaseMs: settings.maxHoldMs,
        idPrefix: ports.incarnation.slice(-8),
        onAnswer: (address, status, headers) =>
            endpointNotices.recordCallAnswer(address, ports.codec.decodeAnswer(status, headers)),
    });

    /** Counts the gateways that use an endpoint, and those of them whose requests are heard of. */
    function countSharing(endpoint: string, unlisted?: number): LimitSharing {
        const service = directory.find(endpoint)?.record.service;
        const endpoints = service === undefined ? 0 : evacuationWatch.select(directory.listUsable(service)).length;
        const heard = exchange.countHeard(maxPeerSilenceMs);
        return { gateways: Math.max(heard, cells.countSharing(endpoints, unlisted)), heard };
    }

    function applyConfiguration(records: readonly KeyedRecord[]): void {
        for (const record of records) {
            const configuration = ports.decodeConfiguration(record);
            const previous = routeTable?.version;
            if (!configuration || (previous !== undefined && configuration.version <= previous)) {
                continue;
            }
            routeTable = buildRouteTable(configuration);
            customers.setLimits(configuration.limits);
            hedging.checkServices(new Set(configuration.services.keys()));
            peerGreeting.wait(() => startupGate.open());
            log(LogEvent.ServingConfigurationInForce, {
                version: configuration.version,
                previous,
                routes: configuration.routes.length,
                customers: configuration.customers?.length,
            });
        }
    }

    function recordLoss(record: EndpointRecord): void {
        if (record.state !== EndpointState.Draining && !endpointNotices.isLeaving(record)) {
            crashDetector.recordEndpointLoss(record.id, LossEvidence.Gone);
            hedging.recordEndpointLoss(record.service);
        }
    }

    function applyChanges(changes: readonly EndpointChange[]): void {
        for (const { kind, record } of changes) {
            const { id: endpoint, service, address, dataCentre } = record;
            log(LogEvent.EndpointChanged, { change: kind, endpoint, service, address, dataCentre });
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
            cells.update();
            endpointSubset.invalidate();
            connections.keepOnly(new Set(directory.listAll().map(item => item.record.address)));
            placementQueue.run();
        }
    }

    const decodeEndpoint = (record: KeyedRecord) => coldWatch.observeRegistration(ports.decodeEndpoint(record));
    const decodeEndpoints = (records: readonly KeyedRecord[]) =>
        records.map(decodeEndpoint).filter(record => record !== undefined);

    function applyEndpointRecord(record: KeyedRecord): readonly EndpointChange[] {
        const nowMs = timers.now();
        const endpoint = decodeEndpoint(record);
        return endpoint ? directory.applyRecord(endpoint, nowMs) : directory.applyRemoval(record.key, nowMs);
    }

    const services: Omit<RequestServices, "customerMetrics"> = {
        timers,
        log,
        metrics,
        dataCentre: settings.dataCentre,
        codec: ports.codec,
        connections,
        placementQueue,
        health,
        slowdownEstimate,
        reservations,
        crashDetector,
        quarantineRegistry,
        retryBudget,
        hedging,
        random: ports.random,
        endpointQuota,
        endpointNotices,
        onMisdirected(endpointId) {
            health.record(endpointId, ExchangeResult.Unreachable, timers.now());
            crashDetector.recordEndpointLoss(endpointId, LossEvidence.Gone);
        },
    };
    const customers = createCustomerServer(
        settings.customerAddress,
        Math.floor(settings.maxDescriptors * customerDescriptorShare),
        createRequestIntake({
            services,
            getTable: () => routeTable,
            startupGate,
            getDrain: () => drainState,
            maxBufferedBytes: settings.memoryBytes * bodyMemoryShare,
        }),
    );

    disposables.register(followOperators({
        feed: wrapFeed("configuration", ports.configurationFeed, metrics),
        sharing,
        settings,
        timers,
        log,
        evacuationWatch,
        applyConfiguration,
    }));
    disposables.register(followFeed({
        name: "endpoints",
        feed: wrapFeed("endpoints", ports.endpointFeed, metrics),
        sharing,
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
        timers.subscribe(expiryCheckIntervalMs, () => {
            applyChanges(directory.expireLapses(timers.now()));
            evacuationWatch.expire();
            coldWatch.refresh();
        }),
    );
    const peers = disposables.register(followPeers({
        feed: wrapWritableFeed("gateways", ports.gatewayFeed, metrics),
        host: settings.host,
        address: exchangeAddress,
        timers,
        log,
        random: ports.random,
        onPeers(addresses) {
            cells.setGateways(addresses);
            peerGreeting.applyPeers(addresses.filter(address => address !== exchangeAddress).length);
            retryBudget.setBurst(computeBudgetBurst(settings.retrySlack, addresses.length));
        },
    }));

    const isReady = () => routeTable !== undefined && areEndpointsKnown && peerGreeting.isDone() && !drainState;
    try {
        await customers.listen(ports.customerListener);
        await serveGatewayStatus(
            { ...services, exchange, customers, directory, coldWatch, evacuationWatch, settings },
            { isReady, getTable: () => routeTable, getDrain: () => drainState },
            disposables,
        );
    }
    catch (error) {
        // A listen address is in use. Timers and sockets that stay open would keep the caller's process alive.
        customers.close();
        disposables.dispose();
        await connections.close();
        throw error;
    }

    async function drain(): Promise<void> {
        const onStarted = (started: Drain) => void (drainState = started);
        await drainCustomers({ timers, log, customers, graceMs: settings.graceMs, onStarted });
        disposables.dispose();
        await connections.close();
    }

    return { drain };
}
