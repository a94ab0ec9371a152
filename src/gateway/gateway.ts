import { createDisposableStore } from "../base/disposable.js";
import { createMetrics } from "../base/metrics.js";
import { createEndpointDirectory, defaultDirectorySettings } from "../membership/endpointDirectory.js";
import { createEndpointHealth, ExchangeResult } from "../membership/endpointHealth.js";
import { createEndpointSubset } from "../membership/endpointSubset.js";
import { EvacuationChangeKind } from "../membership/evacuations.js";
import { EndpointRecord, EndpointState } from "../ports/endpointRecord.js";
import { computeBudgetBurst, computeBudgetRatio } from "../retries/budgetShare.js";
import { createRetryBudget } from "../retries/retryBudget.js";
import { chooseClaim } from "../routing/engineClaim.js";
import { placeOnEngines } from "../routing/enginePlacement.js";
import { computeIncarnationStartMs, createLoadLedger } from "../routing/loadLedger.js";
import { pickByRendezvous } from "../routing/rendezvous.js";
import { createSlowdownEstimate } from "../routing/slowdownEstimate.js";
import { createAnswerPace } from "../scheduling/answerPace.js";
import { defaultColdBound } from "../scheduling/coldBudget.js";
import { LimitSharing } from "../scheduling/limitBudget.js";
import { createSignalDelay } from "../scheduling/signalDelay.js";
import { createAnswerEndings } from "./answerEnding.js";
import { createColdWatch } from "./coldWatch.js";
import { createConfigurationWatch } from "./configurationWatch.js";
import { wrapFeed, wrapWritableFeed } from "./countedFeed.js";
import { createCrashDetector, LossEvidence } from "./crashDetector.js";
import { createCustomerAccess } from "./customerAccess.js";
import { createDrainControl } from "./drainControl.js";
import { createEndpointConnections } from "./endpointConnections.js";
import { followEndpoints } from "./endpointFeed.js";
import { mergeGates } from "./endpointGate.js";
import { createEndpointNoticeBoard } from "./endpointNoticeBoard.js";
import { createEndpointOwners } from "./endpointOwners.js";
import { createEndpointQuota } from "./endpointQuota.js";
import { EngineLending, startEngineLending } from "./engineLending.js";
import { createEvacuationWatch } from "./evacuationWatch.js";
import { startFairnessExchange } from "./fairnessExchange.js";
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
import { createPeerStops } from "./peerStops.js";
import { createPlacementQueue, PlacementQueue } from "./placementQueue.js";
import { createQuarantineRegistry, QuarantineSource } from "./quarantineRegistry.js";
import { createQuarantineStore } from "./quarantineStore.js";
import { RequestServices } from "./requestServices.js";
import { createReservations } from "./reservations.js";
import { createSocketMeter } from "./socketMeter.js";
import { createStartupGate } from "./startupGate.js";

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
    const signalDelay = createSignalDelay(expiryCheckIntervalMs, timers.now());
    const metrics = createMetrics();
    const directory = createEndpointDirectory(defaultDirectorySettings);
    const health = createEndpointHealth();
    const slowdownEstimate = createSlowdownEstimate();
    const ledger = createLoadLedger();
    const answerPace = createAnswerPace();
    const socketMeter = createSocketMeter(timers.now());
    const connections = createEndpointConnections(address => crashDetector.recordIdleClose(address), socketMeter);
    const keyPrefix = ports.incarnation.slice(-8);
    const exchangeAddress = `${settings.ip}:${settings.exchangePort}`;
    const endpointSubset = createEndpointSubset(
        directory,
        endpoints => cells.select(selectDivided(endpoints)),
    );

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
        listOwners: endpoint => endpointOwners.list(endpoint),
    }));
    const configurationWatch = disposables.register(createConfigurationWatch({
        timers,
        log,
        metrics,
        notices: exchange.notices,
        decode: record => ports.decodeConfiguration(record),
        onRead(configuration) {
            customers.setLimits(configuration.limits);
            hedging.checkServices(new Set(configuration.services.keys()));
            peerGreeting.wait(() => startupGate.open());
        },
    }));
    const cells = createGatewayCells({
        timers,
        log,
        exchangeAddress,
        getConfiguration: () => configurationWatch.getTable()?.configuration,
        countEndpoints: service => directory.listUsable(service).length,
        setPeers: (members, others) => exchange.setPeers(members, others),
        onChange: () => endpointSubset.invalidate(),
    });
    const endpointOwners = createEndpointOwners(directory, endpointSubset, cells, selectDivided);
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
        findService: name => configurationWatch.getTable()?.configuration.services.get(name),
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
    const placementQueue: PlacementQueue = disposables.register(createPlacementQueue({
        timers,
        directory,
        endpointSubset,
        health,
        slowdownEstimate,
        ledger,
        dataCentre: settings.dataCentre,
        regions: settings.regions,
        orderSeed: settings.host,
        keyPrefix,
        random: ports.random,
        placeOnEngines,
        chooseClaim,
        quota: endpointQuota,
        gate: mergeGates([evacuationWatch.gate, endpointNotices]),
        isServiceLeaving: service => endpointNotices.isServiceLeaving(service),
        fairness,
        lending: {
            listSpare: () => lending.listSpare(),
            recordBorrowing: (...args) => lending.recordBorrowing(...args),
        },
        reportChange: (key, item) => exchange.reportChange(key, item),
    }));
    const lending: EngineLending = disposables.register(startEngineLending({
        timers,
        log,
        metrics,
        notices: exchange.notices,
        address: exchangeAddress,
        listReceivers: () => cells.listReportReceivers(),
        listHeard: () => exchange.listHeard(maxPeerSilenceMs),
        listServices: () => [...configurationWatch.getTable()?.configuration.services.values() ?? []],
        placementQueue,
    }));
    const retryBudget = createRetryBudget({
        ratio: computeBudgetRatio(settings.retryRatio),
        burst: computeBudgetBurst(settings.retrySlack, 0),
    });
    const hedging = createHedging({ shares: settings.hedgeShares, timers, log, retryBudget, placementQueue });
    const startupGate = disposables.register(createStartupGate(timers, maxStartupWaitMs));
    const peerGreeting = disposables.register(createPeerGreeting(timers, exchange.notices));
    const peerStops = createPeerStops({
        timers,
        notices: exchange.notices,
        address: exchangeAddress,
        listHeard: maxSilenceMs => exchange.listHeard(maxSilenceMs),
    });
    const drainControl = createDrainControl({
        timers,
        log,
        metrics,
        answerPace,
        getProcessReturnMs: ownEndMs => peerStops.getReturnMs(ownEndMs),
        publishStop: getExpectedEndMs => peerStops.publish(getExpectedEndMs),
    });
    const reservations = createReservations({
        memoryReservations: ports.memoryReservations,
        timers,
        log,
        maxLeaseMs: settings.maxHoldMs,
        idPrefix: keyPrefix,
        onAnswer: (address, status, headers) =>
            endpointNotices.recordCallAnswer(address, ports.codec.decodeAnswer(status, headers)),
    });

    /** Selects the endpoints that are divided between cells. */
    function selectDivided(endpoints: readonly EndpointRecord[]): readonly EndpointRecord[] {
        return evacuationWatch.select(endpoints.filter(endpoint => !endpointNotices.isLeaving(endpoint)));
    }

    /** Counts the gateways that use an endpoint, and those of them whose requests are heard of. */
    function countSharing(endpoint: string, unlisted?: number): LimitSharing {
        const service = directory.find(endpoint)?.record.service;
        const endpoints = service === undefined ? 0 : evacuationWatch.select(directory.listUsable(service)).length;
        const heard = exchange.countHeard(maxPeerSilenceMs);
        return { gateways: Math.max(heard, cells.countSharing(endpoints, unlisted)), heard };
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
        answerPace,
        answerEndings: createAnswerEndings({ timers, log, metrics, connections, endpointNotices }),
        drainControl,
        reservations,
        crashDetector,
        quarantineRegistry,
        retryBudget,
        hedging,
        random: ports.random,
        endpointQuota,
        endpointNotices,
        onMisdirected(endpointId, answeredBy) {
            health.record(endpointId, ExchangeResult.Unreachable, timers.now());
            // An endpoint that answers under the intended id itself has not ended.
            if (answeredBy !== endpointId) {
                crashDetector.recordEndpointLoss(endpointId, LossEvidence.Gone);
            }
        },
    };
    const { customers, pressureWatch } = createCustomerAccess({
        settings,
        services,
        address: exchangeAddress,
        exchange,
        socketMeter,
        startupGate,
        getTable: () => configurationWatch.getTable(),
        disposables,
    });

    disposables.register(followOperators({
        feed: wrapFeed("configuration", ports.configurationFeed, metrics),
        sharing,
        settings,
        timers,
        log,
        evacuationWatch,
        configurationWatch,
    }));
    const endpointFeed = disposables.register(followEndpoints({
        feed: wrapFeed("endpoints", ports.endpointFeed, metrics),
        sharing,
        settings,
        timers,
        log,
        directory,
        decode: record => coldWatch.observeRegistration(ports.decodeEndpoint(record)),
        onLost(record) {
            if (record.state !== EndpointState.Draining && !endpointNotices.isLeaving(record)) {
                crashDetector.recordEndpointLoss(record.id, LossEvidence.Gone);
                hedging.recordEndpointLoss(record.service);
            }
            health.forget(record.id);
            slowdownEstimate.forget(record.id);
            answerPace.forgetEndpoint(record.id);
            endpointQuota.forget(record.id);
            ledger.forgetEndpoint(record.id, computeIncarnationStartMs(record.startedAtMs, timers));
            connections.replace(record.address);
        },
        onJoined: record => crashDetector.recordEndpointJoined(record),
        onChange() {
            cells.update();
            endpointSubset.invalidate();
            connections.keepOnly(new Set(directory.listAll().map(item => item.record.address)));
            placementQueue.run();
        },
        onRestored: () => peers.renewSoon(),
    }));
    disposables.register(
        timers.subscribe(expiryCheckIntervalMs, () => {
            signalDelay.observe(timers.now());
            endpointFeed.expire();
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

    const isReady = () =>
        configurationWatch.getTable() !== undefined && endpointFeed.isRead() && peerGreeting.isDone()
        && drainControl.getDrain() === undefined;
    try {
        await customers.listen(ports.customerListener);
        await serveGatewayStatus(
            { ...services, exchange, customers, directory, coldWatch, evacuationWatch, pressureWatch, settings },
            { isReady, getTable: () => configurationWatch.getTable() },
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

    async function drain(elapsedMs = 0): Promise<void> {
        const signalDelayMs = elapsedMs + signalDelay.getMaxMs(timers.now());
        await drainCustomers({ ...settings, timers, log, customers, signalDelayMs, control: drainControl });
        disposables.dispose();
        await connections.close();
    }

    return { drain };
}
