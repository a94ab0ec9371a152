/** How an exchange with an endpoint went, as far as it says something of the endpoint. */
export enum ExchangeResult {
    Answered = "answered",
    /** The endpoint answered that it failed. */
    Failed = "failed",
    /** The endpoint answered that it takes no more work now. */
    Full = "full",
    /** No connection could be made. */
    Unreachable = "unreachable",
    /** The connection broke before the answer was complete. */
    Broken = "broken",
    /** Nothing came within the time that the endpoint should have needed. */
    Silent = "silent",
}

/** Whether an endpoint is given work. */
export enum Standing {
    Good = "good",
    /** One request may try whether the endpoint works again. */
    Trial = "trial",
    Down = "down",
}

/** Judges endpoints by the exchanges of this process alone. */
export interface EndpointHealth {
    record(id: string, result: ExchangeResult, nowMs: number): void;
    getStanding(id: string, nowMs: number): Standing;
    /** Marks that a request now tries an endpoint whose standing is `Trial`. */
    startTrial(id: string, nowMs: number): void;
    forget(id: string): void;
}

/** First time out of service; an endpoint that restarts is back after some seconds. */
const firstBackoffMs = 400;
const maxBackoffMs = 3_000;
/** A trial that has no result by then is given to another request. */
const trialTimeoutMs = 1_000;
/** A full endpoint frees a slot with its next finished request. */
const fullBackoffMs = 150;
/** Weight of the newest result in the failure share: about eight results matter. */
const failureWeight = 0.125;
/** Share of failures above which an endpoint is out of service; sound ones fail about one in seven at most. */
const failureLimit = 0.45;

interface HealthState {
    failures: number;
    failureShare: number;
    downUntilMs: number;
    trialSinceMs?: number;
}

/**
 * Creates the health of endpoints that have not been used yet; they count as good.
 *
 * @example
 * health.record("engine-1", ExchangeResult.Broken, timers.now());
 * health.getStanding("engine-1", timers.now()); // Standing.Down
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

    function getStatus(id: string, nowMs: number): Standing {
        const state = states.get(id);
        if (!state || state.downUntilMs === Number.NEGATIVE_INFINITY) {
            return Standing.Good;
        }
        if (nowMs < state.downUntilMs) {
            return Standing.Down;
        }
        if (state.failures === 0 && state.failureShare <= failureLimit) {
            return Standing.Good;
        }
        const isTrialRunning = state.trialSinceMs !== undefined && nowMs < state.trialSinceMs + trialTimeoutMs;
        return isTrialRunning ? Standing.Down : Standing.Trial;
    }

    return {
        record,
        getStanding: getStatus,
        startTrial(id, nowMs) {
            getState(id).trialSinceMs = nowMs;
        },
        forget: id => void states.delete(id),
    };
}
