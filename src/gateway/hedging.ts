import { Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { TimerService } from "../base/timerService.js";
import { EngineProfile, Service } from "../ports/servingConfiguration.js";
import { createHedgeBudget, HedgeBudget } from "../retries/hedgeBudget.js";
import {
    ComparedRequest,
    computeHedgeDelayMs,
    decideHedge,
    HedgeDecision,
    HedgeState,
    isMostlyBehind,
} from "../retries/hedgePolicy.js";
import {
    createLatencyHistograms,
    defaultLatencyHistogramSettings,
    ObservedTimes,
} from "../retries/latencyHistogram.js";
import { RetryBudget } from "../retries/retryBudget.js";
import { computePassMs } from "../routing/engineTiming.js";
import { EngineNeeds } from "./place.js";

/** Share of extra sends and of extra engine time by name of the service, from 0 to 1. `*` holds for all others. */
export type HedgeShares = ReadonlyMap<string, number>;

/** Share for all services that `HedgeShares` does not name. */
export const allServices = "*";

/** A request as far as hedging depends on it. */
export interface HedgeableRequest {
    readonly route: string;
    readonly service: Service;
    /** Absent for a plain service. */
    readonly needs?: EngineNeeds;
    readonly bodyBytes: number;
    /** Whether the request may run more than once. */
    readonly isRepeatable: boolean;
}

/** State of a request and its attempts on which the decision depends. The rest is known here. */
export type RequestHedgeState = Pick<
    HedgeState,
    "endpointsRun" | "maxEndpoints" | "dispatches" | "remainingMs" | "isSuspect"
>;

/** Observes one attempt. Only the first call of `recordAnswer`, `recordAbandoned` or `dispose` has an effect. */
export interface AttemptObservation extends Disposable {
    /** Records that the first event or the complete answer was delivered. */
    recordAnswer(): void;
    /** Records that the attempt was cancelled. Its time so far is a lower bound of the time it needed. */
    recordAbandoned(): void;
}

/** Hedging of one request. */
export interface RequestHedging {
    /** Starts to observe an attempt. `onBehind` is called once it is behind, with the delay in milliseconds. */
    watchAttempt(endpoint: string, firstByteMs: number, onBehind: (delayMs: number) => void): AttemptObservation;
    /** Starts to observe a hedge, which counts as extra work. */
    watchHedge(endpoint: string): AttemptObservation;
    decide(state: RequestHedgeState, endpoint: string): HedgeDecision;
    /** Takes a hedge from the share of the service and a retry from the retry budget. */
    acquire(): boolean;
}

/** Decides about hedges for all requests of a gateway. */
export interface Hedging {
    /** Counts a request. Returns `undefined` if it is never hedged: its service has no share or it must not run twice. */
    startRequest(request: HedgeableRequest): RequestHedging | undefined;
    /** Records that an endpoint of a service was lost. */
    recordEndpointLoss(service: string): void;
    /** Logs the services that have a share and are not part of the configuration. */
    checkServices(configured: ReadonlySet<string>): void;
}

/** Load of a service. */
export interface ServiceLoad {
    /** Requests that wait for a place. */
    readonly waiting: number;
    /** Slots of the usable endpoints. */
    readonly slots: number;
    /** Requests and parts of prompts of all gateways at these endpoints. */
    readonly slotsTaken: number;
}

export interface HedgingOptions {
    /** Absent if hedging is off. */
    readonly shares?: HedgeShares;
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly retryBudget: RetryBudget;
    readonly placementQueue: { getLoad(service: Service): ServiceLoad };
}

/** Ended attempts that are kept for the comparison of requests. More than end in the median time of a request. */
const maxRecentEnds = 256;
/** Size classes grow by this factor. */
const sizeClassFactor = 4;
/** Share of an engine's slots that are assumed to be in use, for the share of a request in the decoding passes. */
const usualSlotShare = 0.5;

interface ServiceState {
    readonly budget: HedgeBudget;
    readonly inFlight: Set<SentAttempt>;
    recent: SentAttempt[];
    lostAtMs: number;
}

interface SentAttempt {
    readonly endpoint: string;
    readonly sentAtMs: number;
    readonly medianMs: number;
    readonly p95Ms: number;
    endedAtMs?: number;
}

/**
 * Predicts the engine time of a request, in milliseconds: its prefill and its share of the passes in which it decodes.
 *
 * @example
 * predictEngineWorkMs(service.engine, needs);
 */
export function predictEngineWorkMs(engine: EngineProfile, needs: EngineNeeds): number {
    const running = Math.max(1, engine.slots * usualSlotShare);
    const passMs = computePassMs(engine, running, running * needs.promptTokens);
    return needs.prefillMs + (needs.outputTokens / engine.stepsPerPass) * passMs / running;
}

function describeKind({ route, needs, bodyBytes }: HedgeableRequest): string {
    const size = needs ? needs.promptTokens : bodyBytes;
    return `${route}/${Math.floor(Math.log(size + 1) / Math.log(sizeClassFactor))}`;
}

/**
 * Creates the hedging of a gateway. Services without a share cost nothing: nothing is observed for them.
 *
 * @example
 * const hedging = createHedging({ shares: new Map([["desk", 0.05]]), ...options });
 * const requestHedging = hedging.startRequest(request);
 */
export function createHedging(options: HedgingOptions): Hedging {
    const { shares = new Map<string, number>(), timers, retryBudget } = options;
    const times = createLatencyHistograms(defaultLatencyHistogramSettings);
    const services = new Map<string, ServiceState>();
    let unknown: ReadonlySet<string> = new Set();

    function getState(service: string): ServiceState | undefined {
        const share = shares.get(service) ?? shares.get(allServices) ?? 0;
        let state = services.get(service);
        if (!state && share > 0) {
            state = { budget: createHedgeBudget(share), inFlight: new Set(), recent: [], lostAtMs: -Infinity };
            services.set(service, state);
        }
        return state;
    }

    function listCompared(state: ServiceState, except: string, nowMs: number): ComparedRequest[] {
        return [...state.inFlight, ...state.recent].filter(({ endpoint }) => endpoint !== except).map(sent => ({
            endpoint: sent.endpoint,
            ageMs: nowMs - sent.sentAtMs,
            medianMs: sent.medianMs,
            p95Ms: sent.p95Ms,
            endedForMs: sent.endedAtMs === undefined ? undefined : nowMs - sent.endedAtMs,
        }));
    }

    function observe(
        state: ServiceState,
        kind: string,
        endpoint: string,
        observed: ObservedTimes | undefined,
        onEnd: (elapsedMs: number) => void,
    ): AttemptObservation {
        const { medianMs = Infinity, p95Ms = Infinity } = observed ?? {};
        const sent: SentAttempt = { endpoint, sentAtMs: timers.now(), medianMs, p95Ms };
        state.inFlight.add(sent);

        function end(isTimed: boolean): void {
            if (!state.inFlight.delete(sent)) {
                return;
            }
            const nowMs = timers.now();
            onEnd(nowMs - sent.sentAtMs);
            if (isTimed) {
                times.record(kind, nowMs - sent.sentAtMs, nowMs);
                sent.endedAtMs = nowMs;
                state.recent.push(sent);
                if (state.recent.length > 2 * maxRecentEnds) {
                    state.recent = state.recent.slice(-maxRecentEnds);
                }
            }
        }

        return {
            recordAnswer: () => end(true),
            recordAbandoned: () => end(true),
            dispose: () => end(false),
        };
    }

    function makeRequestHedging(request: HedgeableRequest, state: ServiceState): RequestHedging {
        const { budget } = state;
        const { engine } = request.service;
        const kind = describeKind(request);
        const engineWorkMs = engine && request.needs ? predictEngineWorkMs(engine, request.needs) : undefined;
        const getMedianMs = () => times.summarize(kind, timers.now())?.medianMs ?? 0;
        /** Predicted engine time of the hedge. A plain service has no prediction but the usual time. */
        const predictWorkMs = () => engineWorkMs ?? getMedianMs();
        let hedgeWorkMs = 0;
        return {
            watchAttempt(endpoint, firstByteMs, onBehind) {
                const observed = times.summarize(kind, timers.now());
                const delayMs = computeHedgeDelayMs(observed, firstByteMs);
                const timer = delayMs === undefined ? undefined : timers.schedule(delayMs, () => onBehind(delayMs));
                return observe(state, kind, endpoint, observed, elapsedMs => {
                    timer?.dispose();
                    budget.recordWork(engineWorkMs ?? elapsedMs, timers.now());
                });
            },
            watchHedge(endpoint) {
                const observed = times.summarize(kind, timers.now());
                return observe(state, kind, endpoint, observed, elapsedMs => {
                    const excessMs = engineWorkMs === undefined ? elapsedMs - hedgeWorkMs : 0;
                    budget.recordExcess(Math.max(0, excessMs), timers.now());
                });
            },
            decide(requestState, endpoint) {
                const nowMs = timers.now();
                return decideHedge({
                    ...requestState,
                    ...options.placementQueue.getLoad(request.service),
                    isRepeatable: request.isRepeatable,
                    medianMs: getMedianMs(),
                    sinceLossMs: nowMs - state.lostAtMs,
                    isMostlyBehind: isMostlyBehind(endpoint, listCompared(state, endpoint, nowMs)),
                    hasShareLeft: budget.hasRoom(predictWorkMs(), nowMs),
                    retryBalance: retryBudget.getBalance(),
                });
            },
            acquire() {
                hedgeWorkMs = predictWorkMs();
                const nowMs = timers.now();
                return budget.hasRoom(hedgeWorkMs, nowMs) && retryBudget.acquire()
                    && budget.acquire(hedgeWorkMs, nowMs);
            },
        };
    }

    return {
        startRequest(request) {
            const state = getState(request.service.name);
            state?.budget.recordRequest(timers.now());
            return state && request.isRepeatable ? makeRequestHedging(request, state) : undefined;
        },
        recordEndpointLoss(service) {
            const state = getState(service);
            if (state) {
                state.lostAtMs = timers.now();
            }
        },
        checkServices(configured) {
            const missing = [...shares.keys()].filter(name => name !== allServices && !configured.has(name));
            missing.filter(name => !unknown.has(name)).forEach(service =>
                options.log(LogEvent.HedgeServiceUnknown, { service, share: shares.get(service) })
            );
            unknown = new Set(missing);
        },
    };
}
