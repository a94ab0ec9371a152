/** Result of an exchange with an endpoint, as evidence of the endpoint's health. */
export enum ExchangeResult {
    Answered = "answered",
    /** The endpoint returned a failure. */
    Failed = "failed",
    /** The endpoint returned that it has no capacity for more work at present. */
    Full = "full",
    /** No connection could be established. */
    Unreachable = "unreachable",
    /** The connection was lost before the response was complete. */
    Broken = "broken",
    /** The endpoint did not respond within the expected time. */
    Silent = "silent",
}

/** State of an endpoint's circuit breaker: closed, half-open or open. */
export enum HealthStatus {
    Good = "good",
    /** One request may test whether the endpoint works again. */
    Trial = "trial",
    Down = "down",
}

/** Circuit breakers for endpoints, based only on the exchanges of this process. */
export interface EndpointHealth {
    record(id: string, result: ExchangeResult, nowMs: number): void;
    getStatus(id: string, nowMs: number): HealthStatus;
    /** Records that a request now tests an endpoint whose status is `Trial`. */
    startTrial(id: string, nowMs: number): void;
    /** Returns when the last failure or lack of capacity was recorded, on the monotonic clock. */
    getLastFailureMs(id: string): number | undefined;
    forget(id: string): void;
}

/** First and longest time out of service, in milliseconds. It doubles; a restart of an endpoint takes some seconds. */
const firstBackoffMs = 400;
const maxBackoffMs = 3_000;
/** A trial without a result after this time, in milliseconds, is given to another request. */
const trialTimeoutMs = 1_000;
/** Time out of service of a full endpoint, in milliseconds. It frees a slot as soon as a request ends. */
const fullBackoffMs = 150;
/** Weight of the newest result in the moving average of failures, which covers about eight results. */
const failureWeight = 0.125;
/**
 * Share of failures above which an endpoint is out of service. Healthy endpoints fail at most about one in seven
 * requests.
 */
const failureLimit = 0.45;

interface HealthState {
    failures: number;
    failureShare: number;
    downUntilMs: number;
    lastFailureMs?: number;
    trialSinceMs?: number;
}

/**
 * Creates health tracking. Endpoints without results count as good.
 *
 * @example
 * health.record("engine-1", ExchangeResult.Broken, timers.now());
 * health.getStatus("engine-1", timers.now()); // HealthStatus.Down
 */
export function createEndpointHealth(): EndpointHealth {
    const states = new Map<string, HealthState>();

    function getState(id: string): HealthState {
        let state = states.get(id);
        if (!state) {
            state = { failures: 0, failureShare: 0, downUntilMs: Number.NEGATIVE_INFINITY };
            states.set(id, state);
        }
        return state;
    }

    function takeDown(state: HealthState, nowMs: number): void {
        state.failures += 1;
        state.trialSinceMs = undefined;
        const backoffMs = Math.min(maxBackoffMs, firstBackoffMs * 2 ** (state.failures - 1));
        state.downUntilMs = Math.max(state.downUntilMs, nowMs + backoffMs);
    }

    function record(id: string, result: ExchangeResult, nowMs: number): void {
        const state = getState(id);
        if (result !== ExchangeResult.Answered) {
            state.lastFailureMs = nowMs;
        }
        if (result === ExchangeResult.Full) {
            state.downUntilMs = Math.max(state.downUntilMs, nowMs + fullBackoffMs);
            state.trialSinceMs = undefined;
            return;
        }
        const isFailure = result !== ExchangeResult.Answered;
        state.failureShare += failureWeight * ((isFailure ? 1 : 0) - state.failureShare);
        if (result === ExchangeResult.Failed) {
            if (state.failureShare > failureLimit) {
                takeDown(state, nowMs);
            }
            return;
        }
        if (isFailure) {
            takeDown(state, nowMs);
            return;
        }
        state.failures = 0;
        state.trialSinceMs = undefined;
        if (state.failureShare <= failureLimit) {
            state.downUntilMs = Number.NEGATIVE_INFINITY;
        }
    }

    function getStatus(id: string, nowMs: number): HealthStatus {
        const state = states.get(id);
        if (!state || state.downUntilMs === Number.NEGATIVE_INFINITY) {
            return HealthStatus.Good;
        }
        if (nowMs < state.downUntilMs) {
            return HealthStatus.Down;
        }
        if (state.failures === 0 && state.failureShare <= failureLimit) {
            return HealthStatus.Good;
        }
        const isTrialRunning = state.trialSinceMs !== undefined && nowMs < state.trialSinceMs + trialTimeoutMs;
        return isTrialRunning ? HealthStatus.Down : HealthStatus.Trial;
    }

    return {
        record,
        getStatus,
        startTrial(id, nowMs) {
            getState(id).trialSinceMs = nowMs;
        },
        getLastFailureMs: id => states.get(id)?.lastFailureMs,
        forget: id => void states.delete(id),
    };
}
