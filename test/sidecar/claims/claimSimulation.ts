import { createLogAppender } from "../../../src/adapters/logAppender.js";
import { createManualTimerService, ManualTimerService } from "../../../src/base/manualTimerService.js";
import { createSeededRandomSource, RandomSource } from "../../../src/base/randomSource.js";
import { ErrorCode } from "../../../src/base/requestError.js";
import { TimerService, waitFor } from "../../../src/base/timerService.js";
import { Verdict } from "../../../src/base/verdict.js";
import { createLogModel, defaultLogModelSettings, LogModel } from "../../../src/emulator/log/logModel.js";
import { createMemoryLogService } from "../../../src/emulator/log/memoryLogService.js";
import { LinkMessageType, SidecarMessage } from "../../../src/link/messages.js";
import { LogService } from "../../../src/ports/logService.js";
import { PlainService, ServiceCall, ServiceResult, ServiceResultKind } from "../../../src/ports/plainService.js";
import { ClaimTaskSettings } from "../../../src/sidecar/claims/acquireClaim.js";
import { createClaimRunner } from "../../../src/sidecar/claims/claimRunner.js";
import { createClaimTask } from "../../../src/sidecar/claims/claimTask.js";
import { defaultClaimTaskSettings } from "../../../src/sidecar/claims/startClaims.js";
import { createServiceRunner } from "../../../src/sidecar/serviceRunner.js";
import { Work, WorkRunner, WorkState } from "../../../src/sidecar/work.js";

/** The result of one send as the customer sees it. */
export interface SendEnd {
    readonly request: string;
    readonly verdict: Verdict;
    readonly code: ErrorCode | undefined;
    readonly replayed: boolean;
    readonly body: string | undefined;
}

/** Steps of a node at which a test can inject a fault. */
export enum Step {
    AppendSent = "append-sent",
    AppendAnswered = "append-answered",
    ReadSent = "read-sent",
    ReadAnswered = "read-answered",
    CallSent = "call-sent",
    CallAnswered = "call-answered",
}

/** A send in progress. */
export interface TestSend {
    readonly request: string;
    readonly end: Promise<SendEnd>;
    readonly result: { value: SendEnd | undefined };
    cancel(): void;
}

/** The claim code of one sidecar, which can be paused and crashed. */
export interface TestNode {
    readonly name: string;
    send(key: string, options?: { body?: string; limitMs?: number; customer?: string }): TestSend;
    pause(): void;
    resume(): void;
    /** Stops the node permanently. Its pending timers and answers are never delivered. */
    crash(): void;
    refreshMarks(): Promise<void>;
}

/** Simulates sidecar nodes that share one log and one service, in virtual time. */
export interface ClaimSimulation {
    readonly timers: ManualTimerService;
    readonly model: LogModel;
    /** Calls that the service ran, from which tests check that no call runs twice. */
    readonly runs: readonly ServiceCall[];
    /** Delay and remaining faults of the service. */
    readonly service: { delayMs: number; lostAnswers: number; refusedConnections: number };
    /** Steps of all nodes so far, in order. They identify an interleaving. */
    readonly trace: string[];
    /** Called at each step of each node. */
    onStep: (node: TestNode, step: Step) => void;
    /** Adds a node whose wall clock differs from the log's by `clockOffsetMs`. */
    addNode(name: string, clockOffsetMs?: number): TestNode;
    /** Advances time in small steps and runs the timers and callbacks that are due. */
    advance(durationMs: number): Promise<void>;
    /** Advances time until a promise is settled. */
    settle<Value>(promise: Promise<Value>): Promise<Value>;
}

/** Settings of a claim simulation. */
export interface ClaimSimulationSettings {
    readonly claims?: Partial<ClaimTaskSettings>;
    readonly retentionMs?: number;
    /** Longest random delay of each message to or from the log, in milliseconds. */
    readonly maxLogDelayMs?: number;
    readonly seed?: number;
    /** Runs calls without claims, to show what the claims prevent. */
    readonly withoutClaims?: boolean;
}

/** Settings of claims in tests. */
export const testClaimSettings: ClaimTaskSettings = {
    ...defaultClaimTaskSettings,
    partitions: 1,
    windowMs: 60_000,
    maxKeyAheadMs: 0,
};

const stepMs = 20;
const flushTurns = 3;
const longestSettleMs = 120_000;
const answerTimeoutMs = 500;

interface Gate {
    readonly timers: TimerService;
    pass<Value>(promise: Promise<Value>): Promise<Value>;
    close(): void;
    open(): void;
}

/** Creates a gate that holds back the timers and answers of a paused node until it is opened. */
function createGate(timers: TimerService): Gate {
    let pendingCallbacks: (() => void)[] | undefined;
    const deliver = (callback: () => void) => pendingCallbacks ? void pendingCallbacks.push(callback) : callback();
    return {
        timers: {
            ...timers,
            schedule: (delayMs, callback) => {
                let disposed = false;
                const timer = timers.schedule(delayMs, () => deliver(() => disposed || callback()));
                return {
                    dispose() {
                        disposed = true;
                        timer.dispose();
                    },
                };
            },
            subscribe: (intervalMs, callback) => timers.subscribe(intervalMs, () => deliver(callback)),
        },
        pass: promise =>
            new Promise((resolve, reject) => {
                promise.then(
                    value => deliver(() => resolve(value)),
                    (error: Error) => deliver(() => reject(error)),
                );
            }),
        close() {
            pendingCallbacks ??= [];
        },
        open() {
            const callbacks = pendingCallbacks ?? [];
            pendingCallbacks = undefined;
            callbacks.forEach(callback => callback());
        },
    };
}

/** Creates the work of a call to a service whose calls are not repeatable. */
export function makeWork(
    request: string,
    key: string | undefined,
    body: string,
    customer: string,
    deadlineMs: number,
): Work {
    const service = {
        service: "bookings",
        method: "POST",
        path: "/bookings",
        headers: {},
        body: Buffer.from(body),
        idempotencyKey: key,
        repeatable: false,
    };
    const common = { rank: "urgent", customer, kind: "booking", fingerprint: "" };
    return {
        dispatch: {
            type: LinkMessageType.Dispatch,
            request,
            incarnation: "",
            remainingMs: 0,
            waitedMs: 0,
            attempt: 1,
            service,
            ...common,
        },
        item: {
            id: request,
            promptTokens: 1,
            cachedTokens: 0,
            maxOutputTokens: 0,
            arrivedMs: 0,
            bodyBytes: 0,
            deadlineMs,
            ...common,
        },
        session: "",
        priority: 0,
        inherited: false,
        state: WorkState.Running,
        output: [],
        endMessages: [],
        run: undefined,
        retentionTimer: undefined,
    };
}

/** Derives the result that the customer sees from the messages to the entry. */
export function describeEnd(request: string, messages: readonly SidecarMessage[]): SendEnd {
    const answer = messages.find(message => message.type === LinkMessageType.ServiceAnswer);
    const end = messages.find(message => message.type === LinkMessageType.End);
    const rejected = messages.find(message => message.type === LinkMessageType.Rejected);
    return {
        request,
        verdict: end?.verdict ?? Verdict.NotRun,
        code: end ? end.code : rejected?.code,
        replayed: answer?.replayed ?? false,
        body: answer && Buffer.from(answer.body).toString(),
    };
}

/** Creates a simulation without nodes. */
export function createClaimSimulation(settings: ClaimSimulationSettings = {}): ClaimSimulation {
    const timers = createManualTimerService();
    const random: RandomSource = createSeededRandomSource(settings.seed ?? 1);
    const model = createLogModel({
        ...defaultLogModelSettings,
        retentionMs: settings.retentionMs ?? defaultLogModelSettings.retentionMs,
    }, timers);
    const claimSettings = { ...testClaimSettings, ...settings.claims };
    const runs: ServiceCall[] = [];
    const service = { delayMs: 20, lostAnswers: 0, refusedConnections: 0 };
    let requests = 0;

    async function delay() {
        const delayMs = Math.floor(random() * (settings.maxLogDelayMs ?? 0));
        if (delayMs > 0) {
            await waitFor(timers, delayMs);
        }
    }

    async function runCall(call: ServiceCall): Promise<ServiceResult> {
        if (service.refusedConnections > 0) {
            service.refusedConnections--;
            return { kind: ServiceResultKind.NotSent, message: "connection refused" };
        }
        runs.push(call);
        const count = runs.length;
        const isLost = service.lostAnswers > 0;
        service.lostAnswers -= isLost ? 1 : 0;
        await waitFor(timers, service.delayMs);
        return isLost
            ? { kind: ServiceResultKind.Unknown, message: "connection reset" }
            : { kind: ServiceResultKind.Answered, status: 201, headers: {}, body: Buffer.from(`run ${count}`) };
    }

    function addNode(name: string, clockOffsetMs = 0): TestNode {
        const gate = createGate({ ...timers, wallNow: () => timers.wallNow() + clockOffsetMs });
        const shared = createMemoryLogService(model, timers, answerTimeoutMs);

        function step(at: Step) {
            simulation.trace.push(`${name} ${at}`);
            simulation.onStep(node, at);
        }

        async function observe<Value>(sent: Step, answered: Step, call: () => Promise<Value>): Promise<Value> {
            step(sent);
            const run = async () => {
                await delay();
                try {
                    return await call();
                }
                finally {
                    await delay();
                    step(answered);
                }
            };
            return gate.pass(run());
        }

        const logService: LogService = {
            append: (stream, values) =>
                observe(Step.AppendSent, Step.AppendAnswered, () => shared.append(stream, values)),
            read: (stream, from, limit, waitMs) =>
                observe(Step.ReadSent, Step.ReadAnswered, () => shared.read(stream, from, limit, waitMs)),
        };
        const plainService: PlainService = {
            call: call => observe(Step.CallSent, Step.CallAnswered, () => runCall(call)),
        };
        const claims = createClaimTask(claimSettings, {
            service: logService,
            appender: createLogAppender(logService, gate.timers),
            timers: gate.timers,
            log: () => undefined,
            holder: name,
        });
        const runner: WorkRunner = settings.withoutClaims
            ? createServiceRunner(plainService, gate.timers)
            : createClaimRunner(plainService, claims, gate.timers);
        const node: TestNode = {
            name,
            send(key, options = {}) {
                const request = `${name}-${++requests}`;
                const deadlineMs = timers.now() + (options.limitMs ?? 5_000);
                const work = makeWork(request, key, options.body ?? "body", options.customer ?? "kiosk", deadlineMs);
                const result: { value: SendEnd | undefined } = { value: undefined };
                let cancel = () => undefined as void;
                const end = new Promise<SendEnd>(resolve => {
                    const run = runner(work, {
                        handleItems: () => undefined,
                        handleEnd(messages) {
                            result.value = describeEnd(request, messages);
                            resolve(result.value);
                        },
                    });
                    cancel = () => run.cancel();
                });
                return { request, end, result, cancel: () => cancel() };
            },
            pause: () => gate.close(),
            resume: () => gate.open(),
            crash() {
                gate.close();
                node.resume = () => undefined;
            },
            refreshMarks: () => claims.refreshMarks(),
        };
        return node;
    }

    async function flush() {
        for (let turn = 0; turn < flushTurns; turn++) {
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    async function advance(durationMs: number) {
        const endMs = timers.now() + durationMs;
        await flush();
        while (timers.now() < endMs) {
            timers.advance(Math.min(stepMs, endMs - timers.now()));
            await flush();
        }
    }

    const simulation: ClaimSimulation = {
        timers,
        model,
        runs,
        service,
        trace: [],
        onStep: () => undefined,
        addNode,
        advance,
        async settle(promise) {
            let isSettled = false;
            const mark = () => {
                isSettled = true;
            };
            promise.then(mark, mark);
            const endMs = timers.now() + longestSettleMs;
            while (!isSettled) {
                if (timers.now() > endMs) {
                    throw new Error(`not settled within ${longestSettleMs} ms of virtual time`);
                }
                await advance(stepMs);
            }
            return promise;
        },
    };
    return simulation;
}

/** Creates a UUIDv7 key with the given time, so that the age of the key follows virtual time. */
export function makeKey(timeMs: number, index = 0): string {
    const time = Math.floor(timeMs).toString(16).padStart(12, "0");
    return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${index.toString(16).padStart(12, "0")}`;
}
