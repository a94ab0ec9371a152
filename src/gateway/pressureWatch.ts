import { Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { Metrics } from "../base/metrics.js";
import { TimerService } from "../base/timerService.js";
import { RouteKind, ServingConfiguration } from "../ports/servingConfiguration.js";
import {
    computeHostLimits,
    computePressure,
    computeWaitingBytes,
    createPressureTracker,
    decidePressureRefusal,
    HostCapacity,
    HostMeasures,
    maxUnreadyMs,
    PressedRequest,
    PressurePeers,
    PressureRefusal,
    PressureState,
} from "../scheduling/hostPressure.js";
import { createLoopDelay } from "../scheduling/loopDelay.js";
import { createPressedIntake } from "../scheduling/pressedIntake.js";
import { LoadExchange } from "./loadExchange.js";
import { SocketMeter } from "./socketMeter.js";

/** A request whose head has passed all checks and whose body has not been read. */
export interface PressureCandidate {
    describe(nowMs: number): PressedRequest;
    accept(): void;
    refuse(reason: PressureRefusal): void;
}

/** Watches the host of this gateway, and decides what is accepted. */
export interface PressureWatch extends Disposable {
    /** Accepts or refuses a request, at once if there is no pressure. */
    submit(candidate: PressureCandidate): void;
    isReady(): boolean;
}

/** What this process uses of its host. */
export interface ProcessUse {
    /** Returns the processor time that the process has used, in milliseconds. */
    getProcessorMs(): number;
    getMemoryBytes(): number;
}

export interface PressureWatchOptions {
    /** Absent if nothing is known of the host. Then all requests are accepted. */
    readonly capacity: HostCapacity | undefined;
    /** Address at which this gateway receives messages. */
    readonly address: string;
    readonly exchange: Pick<LoadExchange, "notices" | "listHeard">;
    readonly sockets: Pick<SocketMeter, "count" | "sample">;
    readonly getConfiguration: () => ServingConfiguration | undefined;
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly metrics: Metrics;
    /** Absent for what the operating system reports. */
    readonly processUse?: ProcessUse;
}

/** State and the time for which it has lasted, in milliseconds. */
type PressureNotice = [state: PressureState, ageMs: number];

interface PeerState {
    readonly state: PressureState;
    readonly sinceMs: number;
    readonly heardAtMs: number;
}

/** Interval of the timer whose lateness is the delay of the event loop, in milliseconds. */
const checkIntervalMs = 100;
/** Number of checks after which memory and sockets are measured again, which costs more than the delay. */
const checksPerMeasurement = 5;
/** Time without a message, of two snapshots, after which another gateway is not heard of, in milliseconds. */
const maxPeerSilenceMs = 1_200;
/** Time beyond the longest unreadiness for which one that is still reported is believed, in milliseconds. */
const unreadyMarginMs = 1_000;
const maxAgeMs = 1e9;
const microsecondsPerMs = 1_000;

const systemUse: ProcessUse = {
    getProcessorMs() {
        const { user, system } = process.cpuUsage();
        return (user + system) / microsecondsPerMs;
    },
    getMemoryBytes: () => process.memoryUsage.rss(),
};

function isPressureNotice(value: unknown): value is PressureNotice {
    return Array.isArray(value) && typeof value[0] === "number" && PressureState[value[0]] !== undefined
        && typeof value[1] === "number" && value[1] >= 0 && value[1] <= maxAgeMs;
}

/**
 * Starts to watch the host, if anything is known of it.
 *
 * @example
 * const pressureWatch = createPressureWatch(options);
 * pressureWatch.submit({ describe, accept, refuse });
 */
export function createPressureWatch(options: PressureWatchOptions): PressureWatch {
    return options.capacity === undefined
        ? { submit: candidate => candidate.accept(), isReady: () => true, dispose: () => undefined }
        : watchHost(options, options.capacity);
}

function watchHost(options: PressureWatchOptions, capacity: HostCapacity): PressureWatch {
    const { timers, log, metrics, sockets, exchange, processUse = systemUse } = options;
    const tracker = createPressureTracker(timers.now());
    const loopDelay = createLoopDelay(checkIntervalMs, timers.now());
    const intake = createPressedIntake();
    const peers = new Map<string, PeerState>();
    let configuration: ServingConfiguration | undefined;
    let limits = computeHostLimits(capacity, undefined);
    let measures: HostMeasures = { loopDelayMs: 0, heldBytes: 0, waitingBytes: 0, descriptors: 0 };
    let checkCount = 0;
    let nextTake: Disposable | undefined;

    const publisher = exchange.notices.register<PressureNotice>({
        name: "pressure",
        isForAllCells: false,
        isValid: isPressureNotice,
        onReceived([notice], { address }) {
            const nowMs = timers.now();
            const [state, ageMs] = notice!;
            peers.set(address, { state, sinceMs: nowMs - ageMs, heardAtMs: nowMs });
        },
        listCurrent: () => tracker.getState() === PressureState.None ? [] : [makeNotice()],
    });

    function makeNotice(): PressureNotice {
        return [tracker.getState(), Math.round(timers.now() - tracker.getSinceMs())];
    }

    function listPeers(nowMs: number): PressurePeers {
        const pressed = [];
        for (const [address, { state, sinceMs, heardAtMs }] of peers) {
            const isTooLong = state === PressureState.Unready && nowMs - sinceMs > maxUnreadyMs + unreadyMarginMs;
            if (nowMs - heardAtMs > maxPeerSilenceMs) {
                peers.delete(address);
            }
            else if (!isTooLong) {
                pressed.push({ address, state });
            }
        }
        return { ownAddress: options.address, heard: exchange.listHeard(maxPeerSilenceMs), pressed };
    }

    function updateLimits(): void {
        const current = options.getConfiguration();
        if (current !== configuration) {
            configuration = current;
            const streams = current?.routes.filter(route => route.kind === RouteKind.Stream) ?? [];
            const targets = streams.flatMap(route => route.firstByteTargetMs ?? []);
            limits = computeHostLimits(capacity, targets.length > 0 ? Math.min(...targets) : undefined);
        }
    }

    function updateMeasures(nowMs: number): void {
        if (checkCount++ % checksPerMeasurement === 0) {
            measures = {
                ...measures,
                heldBytes: processUse.getMemoryBytes(),
                waitingBytes: computeWaitingBytes(sockets.sample(nowMs), capacity.linkBytesPerMs),
            };
        }
        const loopDelayMs = Math.max(loopDelay.getMeanMs(), intake.getOldestAgeMs(nowMs));
        measures = { ...measures, loopDelayMs, descriptors: sockets.count() };
    }

    function check(): void {
        const nowMs = timers.now();
        loopDelay.observe(nowMs, processUse.getProcessorMs());
        updateLimits();
        updateMeasures(nowMs);
        intake.observe(measures.loopDelayMs >= limits.loopDelayMs, nowMs);
        const previous = tracker.getState();
        const lastedMs = Math.round(nowMs - tracker.getSinceMs());
        const seen = listPeers(nowMs);
        if (tracker.advance(computePressure(measures, limits), seen, nowMs) !== previous) {
            publisher.publish([makeNotice()]);
            logChange(previous, lastedMs, seen);
        }
        intake.refuseLate(nowMs);
    }

    function logChange(previous: PressureState, lastedMs: number, { heard, pressed }: PressurePeers): void {
        log(LogEvent.HostPressureChanged, {
            state: PressureState[tracker.getState()],
            previous: PressureState[previous],
            ...(previous !== PressureState.None && { lastedMs }),
            loopDelayMs: Math.round(measures.loopDelayMs),
            heldBytes: measures.heldBytes,
            waitingBytes: measures.waitingBytes,
            descriptors: measures.descriptors,
            heard: heard.length + 1,
            unready: pressed.filter(peer => peer.state === PressureState.Unready).length,
        });
    }

    function decide(candidate: PressureCandidate, nowMs: number): PressureRefusal | undefined {
        const state = tracker.getState();
        if (state === PressureState.None) {
            return undefined;
        }
        const condition = { state, capacity, limits, measures, currentDelayMs: loopDelay.getLastMs() };
        return decidePressureRefusal(condition, candidate.describe(nowMs));
    }

    function refuse(candidate: PressureCandidate, reason: PressureRefusal): void {
        metrics.count("jujubelane_pressure_refusals_total", "Requests refused because of the host.", { reason });
        candidate.refuse(reason);
    }

    function takeNewest(): void {
        nextTake = undefined;
        const nowMs = timers.now();
        intake.takeNewest(nowMs)?.accept();
        scheduleTake();
    }

    /** Accepts one request in each turn of the event loop, so that answers to accepted ones are relayed in between. */
    function scheduleTake(): void {
        if (intake.count() > 0) {
            nextTake ??= timers.schedule(0, takeNewest);
        }
    }

    registerPressureGauges(metrics, () => measures, () => tracker.getState(), () => intake.count());
    const checks = timers.subscribe(checkIntervalMs, check);

    return {
        submit(candidate) {
            const nowMs = timers.now();
            const reason = decide(candidate, nowMs);
            if (reason !== undefined) {
                refuse(candidate, reason);
                return;
            }
            // The timer that shows a delay runs only at its end. Requests that arrive meanwhile wait at once.
            const isLate = loopDelay.getOverdueMs(nowMs) >= limits.loopDelayMs;
            if (!isLate && !intake.isHolding(nowMs)) {
                candidate.accept();
                return;
            }
            intake.add({
                heldAtMs: nowMs,
                isTooLate: atMs => decide(candidate, atMs) === PressureRefusal.TooLate,
                accept: () => candidate.accept(),
                refuse: () => refuse(candidate, PressureRefusal.TooLate),
            });
            scheduleTake();
        },
        isReady: () => !tracker.isUnready(timers.now()),
        dispose() {
            checks.dispose();
            nextTake?.dispose();
        },
    };
}

function registerPressureGauges(
    metrics: Metrics,
    getMeasures: () => HostMeasures,
    getState: () => PressureState,
    countHeld: () => number,
): void {
    const gauges: readonly (readonly [name: string, help: string, read: () => number])[] = [
        ["host_pressure_state", "What is accepted: 0 everything, 4 not ready.", getState],
        ["event_loop_delay_ms", "Average delay of the event loop.", () => getMeasures().loopDelayMs],
        ["memory_bytes", "Resident memory.", () => getMeasures().heldBytes],
        ["waiting_bytes", "Bytes that wait because the link is busy.", () => getMeasures().waitingBytes],
        ["connection_descriptors", "File descriptors of connections.", () => getMeasures().descriptors],
        ["held_requests", "Requests that wait for the event loop.", countHeld],
    ];
    gauges.forEach(([name, help, read]) => metrics.registerGauge(`jujubelane_${name}`, help, read));
}
