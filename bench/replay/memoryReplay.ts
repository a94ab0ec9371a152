import { createManualTimerService } from "../../src/base/manualTimerService.js";
import { createSeededRandomSource } from "../../src/base/randomSource.js";
import { mergeGates } from "../../src/gateway/endpointGate.js";
import { decodeLoadMessage, encodeLoadMessage, LoadMessage } from "../../src/gateway/loadMessage.js";
import { Place } from "../../src/gateway/place.js";
import { createPlacementQueue } from "../../src/gateway/placementQueue.js";
import { createEndpointDirectory, defaultDirectorySettings } from "../../src/membership/endpointDirectory.js";
import { createEndpointHealth } from "../../src/membership/endpointHealth.js";
import { createEndpointSubset } from "../../src/membership/endpointSubset.js";
import { EndpointRecord, EndpointState } from "../../src/ports/endpointRecord.js";
import { EngineProfile, Service } from "../../src/ports/servingConfiguration.js";
import { chooseClaim } from "../../src/routing/engineClaim.js";
import { settleMs } from "../../src/routing/engineMemory.js";
import { placeOnEngines } from "../../src/routing/enginePlacement.js";
import { computePrefillMs } from "../../src/routing/engineTiming.js";
import { computeIncarnationStartMs, createLoadLedger, WorkItem } from "../../src/routing/loadLedger.js";
import { createSlowdownEstimate } from "../../src/routing/slowdownEstimate.js";
import { createSingleGroupFairness, replayEngine, unlimitedQuota } from "./replay.js";
import { createVirtualEngine, VirtualJob } from "./virtualEngine.js";

/** A load under which engines run out of memory before they run out of slots. */
export interface MemoryLoad {
    readonly gateways: number;
    readonly perSecond: number;
    /** Length of answers as a multiple of the expected one. The customer's limit allows it. */
    readonly outputFactor: number;
    /** Time between restarts of an engine, which come one after another; absent if none restarts. */
    readonly restartIntervalMs?: number;
    /** Gateways that get a request at the same time. */
    readonly burst: number;
}

export interface MemoryResult {
    /** Largest memory that the requests at one engine needed at any time, as a share of what it has. */
    readonly mostUsed: number;
    /** Times that an engine was sent, or came to hold, more than its memory. */
    readonly crashes: number;
    readonly served: number;
    readonly submitted: number;
}

const engine: EngineProfile = { ...replayEngine, memoryTokens: 100_000 };
const engineCount = 6;
const promptTokens = 18_000;
const expectedEvents = 30;
const durationMs = 15_000;
const messageMs = 4;
const snapshotMs = 500;
const lostMessages = 0.01;
/** Time within which a gateway reads the registration of an engine that has restarted, in milliseconds. */
const registrationReadMs = 500;

const emptyMessage: LoadMessage = {
    host: "",
    address: "10.0.0.1:1",
    incarnation: "",
    sequence: 0,
    isSnapshot: false,
    items: [],
    removed: [],
    crashes: [],
    quarantines: [],
    limits: [],
};

/** Runs gateways that tell each other what they send in virtual time, and watches the memory of the engines. */
export function runMemoryReplay(load: MemoryLoad, seed: number): MemoryResult {
    const timers = createManualTimerService();
    const random = createSeededRandomSource(seed);
    const service: Service = { name: "models", engine };
    const engines = Array.from({ length: engineCount }, (unused, index) => ({
        id: `engine-${index}`,
        machine: createVirtualEngine(engine, timers),
        startedAtMs: 0,
        usedTokens: 0,
        resident: new Map<VirtualJob, () => void>(),
    }));
    type Engine = (typeof engines)[number];
    const counts = { mostUsed: 0, crashes: 0, served: 0, submitted: 0 };

    const makeRecord = ({ id, startedAtMs }: Engine): EndpointRecord => ({
        id,
        startedAtMs,
        service: service.name,
        address: `10.0.0.1:${id}`,
        dataCentre: "a",
        slots: engine.slots,
        state: EndpointState.Ready,
    });

    const gateways = Array.from({ length: load.gateways }, (unused, index) => createGateway(`gateway-${index}`));

    function createGateway(name: string) {
        const directory = createEndpointDirectory(defaultDirectorySettings);
        engines.forEach(item => directory.applyRecord(makeRecord(item), 0));
        const ledger = createLoadLedger();
        const arrivals = new Map<string, number>();
        const sendItems = (
            items: readonly WorkItem[],
            removed: readonly string[],
            apply: (
                other: ReturnType<typeof createGateway>,
                items: readonly WorkItem[],
                removed: readonly string[],
            ) => void,
        ) => {
            const message = encodeLoadMessage({ ...emptyMessage, items, removed }, timers.now());
            gateways.filter(other => other.name !== name && random() >= lostMessages).forEach(other => {
                // A message that a later one has overtaken would be ignored.
                const arrivesAtMs = Math.max(
                    arrivals.get(other.name) ?? 0,
                    timers.now() + messageMs * (0.5 + random()),
                );
                arrivals.set(other.name, arrivesAtMs);
                timers.schedule(
                    arrivesAtMs - timers.now(),
                    () => apply(other, decodeLoadMessage(message, timers.now())!.items, removed),
                );
            });
        };
        const queue = createPlacementQueue({
            timers,
            directory,
            health: createEndpointHealth(),
            slowdownEstimate: createSlowdownEstimate(),
            ledger,
            endpointSubset: createEndpointSubset(directory, endpoints => endpoints),
            dataCentre: "a",
            orderSeed: name,
            keyPrefix: name,
            random,
            placeOnEngines,
            chooseClaim,
            reportChange: (key, item) =>
                sendItems(item ? [item] : [], item ? [] : [key], (other, items, removed) => {
                    other.ledger.updatePeer(name, items, removed);
                    other.queue.run();
                }),
            quota: unlimitedQuota,
            gate: mergeGates([]),
            fairness: createSingleGroupFairness(),
        });
        timers.subscribe(
            snapshotMs,
            () => sendItems(ledger.listOwn(), [], (other, items) => other.ledger.replacePeer(name, items)),
        );
        return { name, directory, ledger, queue };
    }

    function addTokens(item: Engine, tokens: number): void {
        item.usedTokens += tokens;
        counts.mostUsed = Math.max(counts.mostUsed, item.usedTokens / engine.memoryTokens);
        counts.crashes += Number(
            item.usedTokens > engine.memoryTokens && item.usedTokens - tokens <= engine.memoryTokens,
        );
    }

    /** Follows the request task: a tentative place is kept until the other gateways have heard of it. */
    function settle(place: Place, resubmit: () => void): void {
        if (!place.isTentative) {
            run(place);
            return;
        }
        timers.schedule(settleMs, () => {
            if (place.hasMemory()) {
                run(place);
                return;
            }
            place.release();
            timers.schedule(settleMs * random(), resubmit);
        });
    }

    function run(place: Place): void {
        const used = [place.endpoint, ...place.helpers].map(record => engines.find(item => item.id === record.id)!);
        const main = used[0]!;
        const shares = used.map((unused, index) =>
            index > 0 ? place.reservedTokens : promptTokens - place.helpers.length * place.reservedTokens
        );
        let events = 0;
        let hasEnded = false;
        const end = () => {
            if (!hasEnded) {
                hasEnded = true;
                used.forEach((item, index) => {
                    addTokens(item, -shares[index]!);
                    item.resident.delete(job);
                });
                place.release();
            }
        };
        const job: VirtualJob = {
            events: Math.round(expectedEvents * load.outputFactor),
            promptTokens,
            pendingParts: used.length,
            onPrefilled: () => main.machine.wake(),
            onEvent() {
                if (hasEnded) {
                    return;
                }
                shares[0]! += engine.stepsPerPass;
                addTokens(main, engine.stepsPerPass);
                if (events++ === 0) {
                    place.startDecode();
                }
            },
            onEnd() {
                counts.served += Number(!hasEnded);
                end();
            },
        };
        used.forEach((item, index) => {
            addTokens(item, shares[index]!);
            item.resident.set(job, end);
        });
        main.machine.answer(job);
        used.forEach((item, index) => item.machine.prefill(job, place.partMs, index > 0));
    }

    function submit(gateway: (typeof gateways)[number], nowMs: number): void {
        gateway.queue.submit({
            service,
            rank: 0,
            arrivedAtMs: nowMs,
            dueAtMs: nowMs + 600,
            customerTimeoutAtMs: nowMs + 2_400,
            needs: {
                prefillMs: computePrefillMs(engine, promptTokens),
                promptTokens,
                outputTokens: expectedEvents * engine.stepsPerPass,
                maxOutputTokens: expectedEvents * engine.stepsPerPass * Math.max(1, load.outputFactor),
                gapTargetMs: 400,
            },
            isUnsafe: false,
            avoid: new Set(),
            isSuspect: false,
            onPlaced: place => settle(place, () => submit(gateway, nowMs)),
            onWaiting: () => undefined,
            onClaimed: () => undefined,
            onExpired: () => undefined,
        });
    }

    /** Ends what an engine runs, as a restart does, and lets each gateway learn of it at a time of its own. */
    function restart(item: Engine): void {
        item.startedAtMs = timers.wallNow();
        item.machine = createVirtualEngine(engine, timers);
        [...item.resident.values()].forEach(end => end());
        gateways.forEach(({ directory, ledger, queue }) =>
            timers.schedule(registrationReadMs * random(), () => {
                directory.applyRecord(makeRecord(item), timers.now());
                ledger.forgetEndpoint(item.id, computeIncarnationStartMs(item.startedAtMs, timers));
                queue.run();
            })
        );
    }

    for (let atMs = 0; atMs < durationMs;) {
        atMs += (-Math.log(1 - random()) * 1_000 * load.burst) / load.perSecond;
        const first = Math.floor(random() * load.gateways);
        for (let index = 0; index < load.burst; index++) {
            counts.submitted += 1;
            timers.schedule(atMs, () => submit(gateways[(first + index) % load.gateways]!, timers.now()));
        }
    }
    if (load.restartIntervalMs !== undefined) {
        let restarted = 0;
        timers.subscribe(load.restartIntervalMs, () => restart(engines[restarted++ % engineCount]!));
    }
    timers.advance(durationMs);
    gateways.forEach(({ queue }) => queue.dispose());
    return counts;
}
