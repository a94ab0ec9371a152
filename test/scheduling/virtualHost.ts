import {
    computeHostLimits,
    computePressure,
    createPressureTracker,
    decidePressureRefusal,
    HostCapacity,
    PressurePeers,
    PressureRefusal,
} from "../../src/scheduling/hostPressure.js";
import { createLoopDelay } from "../../src/scheduling/loopDelay.js";
import { createPressedIntake } from "../../src/scheduling/pressedIntake.js";

export const targetMs = 400;
const stepMs = 5;
const sampleMs = 100;
/** Processor time of a whole core that a request takes: its head, its dispatch and its answer. */
const headMs = 0.4;
const dispatchMs = 0.8;
const answerMs = 0.8;
/** Least time that an endpoint takes. */
export const leastServiceMs = 20;

interface Task {
    readonly costMs: number;
    run(nowMs: number): void;
}

/** A gateway in virtual time whose event loop runs tasks one after the other at the speed of its share of a core. */
export function createVirtualHost(address: string, cores: number, capacity: HostCapacity) {
    const limits = computeHostLimits(capacity, targetMs);
    const tracker = createPressureTracker(0);
    const loopDelay = createLoopDelay(sampleMs, 0);
    const intake = createPressedIntake();
    const result = { served: 0, late: 0, refused: 0, unreadyMs: 0, longestUnreadyMs: 0, changes: 0 };
    let measures = { loopDelayMs: 0, heldBytes: 0, waitingBytes: 0, descriptors: 0 };
    let running: { readonly endsAtMs: number; readonly task: Task }[] = [];
    let queue: Task[] = [];
    let budgetMs = 0;
    let processorMs = 0;
    let nextSampleMs = sampleMs;
    let unreadyNowMs = 0;

    function decide(arrivedAtMs: number, nowMs: number): PressureRefusal | undefined {
        const remainingMs = arrivedAtMs + targetMs - nowMs;
        return decidePressureRefusal(
            { state: tracker.getState(), capacity, limits, measures, currentDelayMs: loopDelay.getLastMs() },
            { isLong: false, bodyBytes: 0, remainingMs, leastServiceMs },
        );
    }

    function readHead(arrivedAtMs: number, serviceMs: number, nowMs: number): void {
        const refuse = () => void (result.refused += 1);
        const accept = () => queue.unshift({ costMs: dispatchMs, run: atMs => send(arrivedAtMs, serviceMs, atMs) });
        if (decide(nowMs, nowMs) !== undefined) {
            refuse();
        }
        else if (intake.isHolding(nowMs) || loopDelay.getOverdueMs(nowMs) >= limits.loopDelayMs) {
            const isTooLate = (atMs: number) => decide(nowMs, atMs) === PressureRefusal.TooLate;
            intake.add({ heldAtMs: nowMs, isTooLate, accept, refuse });
        }
        else {
            accept();
        }
    }

    function send(arrivedAtMs: number, serviceMs: number, nowMs: number): void {
        const run = (endedAtMs: number) => {
            result.served += 1;
            result.late += endedAtMs - arrivedAtMs > targetMs ? 1 : 0;
        };
        running.push({ endsAtMs: nowMs + serviceMs, task: { costMs: answerMs, run } });
    }

    function sample(peers: Omit<PressurePeers, "ownAddress">, nowMs: number): void {
        loopDelay.observe(nowMs, processorMs);
        const loopDelayMs = Math.max(loopDelay.getMeanMs(), intake.getOldestAgeMs(nowMs));
        measures = { ...measures, loopDelayMs };
        intake.observe(loopDelayMs >= limits.loopDelayMs, nowMs);
        const previous = tracker.getState();
        const state = tracker.advance(computePressure(measures, limits), { ownAddress: address, ...peers }, nowMs);
        result.changes += state === previous ? 0 : 1;
        intake.refuseLate(nowMs);
        nextSampleMs = nowMs + sampleMs;
    }

    return {
        address,
        result,
        tracker,
        arrive(nowMs: number, serviceMs: number) {
            queue.push({ costMs: headMs, run: atMs => readHead(nowMs, serviceMs, atMs) });
        },
        /** Runs what there is processor time for in one step, of `cores` unless the process is paused. */
        step(nowMs: number, peers: Omit<PressurePeers, "ownAddress">, isPaused = false) {
            unreadyNowMs = tracker.isUnready(nowMs) ? unreadyNowMs + stepMs : 0;
            result.unreadyMs += unreadyNowMs > 0 ? stepMs : 0;
            result.longestUnreadyMs = Math.max(result.longestUnreadyMs, unreadyNowMs);
            queue.push(...running.filter(item => item.endsAtMs <= nowMs).map(item => item.task));
            running = running.filter(item => item.endsAtMs > nowMs);
            if (isPaused) {
                return;
            }
            if (nowMs >= nextSampleMs) {
                nextSampleMs = Infinity;
                queue.push({ costMs: 0, run: atMs => sample(peers, atMs) });
            }
            budgetMs = Math.min(stepMs * cores, budgetMs) + stepMs * cores;
            for (;;) {
                if (queue.length === 0) {
                    intake.takeNewest(nowMs)?.accept();
                }
                const task = queue[0];
                if (!task || task.costMs > budgetMs) {
                    return;
                }
                queue = queue.slice(1);
                budgetMs -= task.costMs;
                processorMs += task.costMs;
                task.run(nowMs);
            }
        },
    };
}

export type VirtualHost = ReturnType<typeof createVirtualHost>;

/** Time after which the other gateways know of a state. */
const noticeMs = 20;

/**
 * Runs hosts that hear of each other, and gives each of them the same requests.
 *
 * @param computeRate requests a second that arrive at each host
 */
export function runHosts(
    hosts: readonly VirtualHost[],
    durationMs: number,
    computeRate: (nowMs: number) => number,
    random: () => number,
    options: { isPaused?: (nowMs: number) => boolean; onStep?: (nowMs: number) => void } = {},
): void {
    let notices: { readonly atMs: number; readonly pressed: PressurePeers["pressed"] }[] = [];
    for (let nowMs = 0; nowMs < durationMs; nowMs += stepMs) {
        const arrivals: number[] = [];
        const isNone = Math.exp(-computeRate(nowMs) * stepMs / 1_000);
        for (let product = random(); product > isNone; product *= random()) {
            // One in twenty endpoint answers is late by itself, as on a day with trouble.
            arrivals.push(random() < 0.05 ? 1.25 * targetMs : leastServiceMs + 100 * random());
        }
        notices.push({
            atMs: nowMs,
            pressed: hosts.map(host => ({ address: host.address, state: host.tracker.getState() })),
        });
        notices = notices.filter(({ atMs }) => atMs >= nowMs - noticeMs);
        for (const host of hosts) {
            arrivals.forEach(serviceMs => host.arrive(nowMs, serviceMs));
            const isOther = (address: string) => address !== host.address;
            const pressed = notices[0]!.pressed.filter(({ address }) => isOther(address));
            const heard = hosts.map(({ address }) => address).filter(isOther);
            host.step(nowMs, { heard, pressed }, options.isPaused?.(nowMs));
        }
        options.onStep?.(nowMs);
    }
}
