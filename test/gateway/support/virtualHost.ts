import { createDisposable } from "../../../src/base/disposable.js";
import { createMetrics } from "../../../src/base/metrics.js";
import { RandomSource } from "../../../src/base/randomSource.js";
import { TimerService } from "../../../src/base/timerService.js";
import { createPeerNotices, PeerNotices } from "../../../src/gateway/peerNotices.js";
import { createPressureWatch } from "../../../src/gateway/pressureWatch.js";
import { RouteKind, ServingConfiguration } from "../../../src/ports/servingConfiguration.js";
import { HostCapacity } from "../../../src/scheduling/hostPressure.js";

export const targetMs = 400;
export const leastServiceMs = 20;
const stepMs = 5;
/** Processor time of a whole core that a request takes: its head, its dispatch and its answer. */
const headMs = 0.4;
const dispatchMs = 0.8;
const answerMs = 0.8;
const repeatMs = 500;
const configuration = {
    routes: [{ kind: RouteKind.Stream, firstByteTargetMs: targetMs }],
} as unknown as ServingConfiguration;

interface Task {
    readonly dueMs: number;
    readonly costMs: number;
    run(): void;
}

/** Starts gateways in virtual time. The event loop of each runs due tasks in order, at the speed of its share of a core. */
export function startVirtualHosts(cores: readonly number[], capacity: HostCapacity, random: RandomSource) {
    let nowMs = 0;

    function startHost(share: number, index: number) {
        const address = `10.0.0.${index}:7`;
        const result = { served: 0, late: 0, refused: 0, changes: 0, unreadyMs: 0, longestUnreadyMs: 0 };
        let tasks: Task[] = [];
        const queue: Task[] = [];
        let budgetMs = 0;
        let processorMs = 0;
        let unreadyNowMs = 0;

        const addTask = (delayMs: number, costMs: number, run: () => void) =>
            void tasks.push({ dueMs: nowMs + delayMs, costMs, run });
        const repeatTask = (intervalMs: number, run: () => void): void =>
            addTask(intervalMs, 0, () => {
                run();
                repeatTask(intervalMs, run);
            });
        const timers: TimerService = {
            now: () => nowMs,
            wallNow: () => nowMs,
            schedule(delayMs, callback) {
                addTask(delayMs, 0, callback);
                return createDisposable(() => undefined);
            },
            subscribe(intervalMs, callback) {
                repeatTask(intervalMs, callback);
                return createDisposable(() => undefined);
            },
        };
        const log = () => void (result.changes += 1);
        const send = (bytes: Buffer) => hosts.forEach(host => host.receive(bytes, address));
        const notices: PeerNotices = createPeerNotices({ host: address, address, incarnation: "1", log, send });
        const watch = createPressureWatch({
            capacity,
            address,
            exchange: { notices, listHeard: () => hosts.map(host => host.address).filter(other => other !== address) },
            sockets: { count: () => 0, sample: () => ({ unsentBytes: 0, sentBytes: 0, elapsedMs: repeatMs }) },
            getConfiguration: () => configuration,
            timers,
            log,
            metrics: createMetrics(),
            processUse: { getProcessorMs: () => processorMs, getMemoryBytes: () => 0 },
        });
        repeatTask(repeatMs, () => notices.repeat());

        /** Adds a request. The endpoint answers `serviceMs` after it was sent. */
        function receiveRequest(serviceMs: number): void {
            const arrivedAtMs = nowMs;
            const finish = () => {
                result.served += 1;
                result.late += nowMs - arrivedAtMs > targetMs ? 1 : 0;
            };
            const dispatch = { dueMs: 0, costMs: dispatchMs, run: () => addTask(serviceMs, answerMs, finish) };
            addTask(0, headMs, () => {
                const dueMs = nowMs + targetMs;
                watch.submit({
                    describe: atMs => ({ isLong: false, bodyBytes: 0, remainingMs: dueMs - atMs, leastServiceMs }),
                    accept: () => void queue.unshift(dispatch),
                    refuse: () => void (result.refused += 1),
                });
            });
        }

        function step(isPaused: boolean): void {
            unreadyNowMs = watch.isReady() ? 0 : unreadyNowMs + stepMs;
            result.unreadyMs += unreadyNowMs > 0 ? stepMs : 0;
            result.longestUnreadyMs = Math.max(result.longestUnreadyMs, unreadyNowMs);
            budgetMs = isPaused ? 0 : Math.min(stepMs * share, budgetMs) + stepMs * share;
            do {
                queue.push(...tasks.filter(task => task.dueMs <= nowMs));
                tasks = tasks.filter(task => task.dueMs > nowMs);
                for (let task = queue[0]; task && task.costMs <= budgetMs && !isPaused; task = queue[0]) {
                    queue.shift();
                    budgetMs -= task.costMs;
                    processorMs += task.costMs;
                    task.run();
                }
            }
            while (queue.length === 0 && tasks.some(task => task.dueMs <= nowMs));
        }

        const receive = (bytes: Buffer, from: string) => addTask(stepMs, 0, () => void notices.receive(bytes, from));
        return { address, result, isReady: () => watch.isReady(), receive, receiveRequest, step };
    }

    const hosts: readonly ReturnType<typeof startHost>[] = cores.map(startHost);
    /** Lets time pass in which `perSecond` requests a second arrive at each host, the same at all. */
    const run = (durationMs: number, perSecond: number, isPaused = false, onStep: () => void = () => undefined) => {
        for (const endMs = nowMs + durationMs; nowMs < endMs; nowMs += stepMs) {
            const noneShare = Math.exp(-perSecond * stepMs / 1_000);
            for (let product = random(); product > noneShare; product *= random()) {
                // One in twenty endpoint answers is late by itself, as on a day with trouble.
                const serviceMs = random() < 0.05 ? 1.25 * targetMs : leastServiceMs + 100 * random();
                hosts.forEach(host => host.receiveRequest(serviceMs));
            }
            hosts.forEach(host => host.step(isPaused));
            onStep();
        }
    };
    return { hosts, run };
}
