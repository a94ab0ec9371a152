import { createDisposable, Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { Metrics } from "../base/metrics.js";
import { TimerService } from "../base/timerService.js";
import { AnswerPace } from "../scheduling/answerPace.js";
import {
    computeDrainReturnMs,
    decideDrainStep,
    Drain,
    DrainDecision,
    DrainStep,
    isAnswerHeld,
} from "../scheduling/drainAdmission.js";
import { AcceptedRequest, computeTimes } from "./acceptedRequest.js";
import { AnswerForecast, ForecastState, predictAnswer } from "./answerForecast.js";

/** What became of a request that was unfinished when its process ended. */
export enum DrainEnding {
    /** Refused; it has not run. */
    Refused = "refused",
    /** Ended with an error of the gateway before an answer had begun; it may have run. */
    Failed = "failed",
    /** Broken off within its answer. */
    BrokenOff = "broken-off",
}

/** A request that a planned stop concerns. */
export interface DrainableRequest {
    readonly id: string | undefined;
    /** Called when the process begins to stop, so that the request decides anew whether it can end in time. */
    onDrainStarted(): void;
    /** Ends the request, because the process ends. */
    endByDrain(): DrainEnding;
}

/** A step of a request that is decided during a planned stop. */
export interface DrainQuestion extends ForecastState {
    readonly request: AcceptedRequest;
    readonly step: DrainStep;
}

/**
 * Planned stop of this gateway. It says for each step of each request whether the request may go on, and ends what is
 * unfinished when the process ends.
 */
export interface DrainControl {
    /** Returns the stop once it has begun. */
    getDrain(): Drain | undefined;
    /** Begins the stop. All requests decide anew whether they can end in time. */
    begin(drain: Drain): void;
    /** Adds a request until the result is disposed of. */
    add(request: DrainableRequest): Disposable;
    /** Returns whether the answer to a request must be held until it is whole. */
    mustHold(request: AcceptedRequest): boolean;
    /** Returns why a request may not take a step, or `undefined` if it may. Logged and counted during a stop. */
    checkStep(question: DrainQuestion): string | undefined;
    /** Returns whether a request may take a step, without a line in the log. */
    isStepAllowed(question: DrainQuestion): boolean;
    /** Returns the time after which refused customers should come back, in milliseconds; `undefined` without a stop. */
    getReturnMs(): number | undefined;
    /** Records a request that was running when the stop began. */
    recordRunning(question: DrainQuestion): void;
    /** Ends all requests that are left, and logs them. */
    endRequests(): void;
}

export interface DrainControlOptions {
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly answerPace: AnswerPace;
    /** Returns when a process that does not stop is expected to take requests, in milliseconds from now. */
    readonly getProcessReturnMs: (ownEndMs: number) => number;
    /** Tells other processes of the stop. */
    readonly publishStop: (getExpectedEndMs: () => number) => void;
}

/** Number of ids in the line about requests that were ended by the stop. */
const maxLoggedIds = 20;

/**
 * Creates the control of a process that is not stopping.
 *
 * @example
 * const control = createDrainControl(options);
 * control.begin({ startedAtMs: nowMs, lateFromMs: nowMs + 2_800, closesIdleAtMs: nowMs + 3_000, endsAtMs: nowMs + 7_600 });
 * control.checkStep({ request, step: DrainStep.Arrival, isUnsafe: false }); // a reason if it may not go on
 */
export function createDrainControl(options: DrainControlOptions): DrainControl {
    const { timers, log, metrics, answerPace } = options;
    const requests = new Set<DrainableRequest>();
    let drain: Drain | undefined;
    let expectedEndAtMs = 0;

    /** Returns the time until the last request is expected to end, in milliseconds. */
    function getExpectedEndMs(): number {
        const nowMs = timers.now();
        return Math.max(0, Math.min(expectedEndAtMs, drain?.endsAtMs ?? nowMs) - nowMs);
    }

    /** Customers that come back too early find nobody, so that the longest answer counts. */
    function recordExpectedEnd({ longestMs, boundMs }: AnswerForecast, nowMs: number): void {
        expectedEndAtMs = Math.max(expectedEndAtMs, nowMs + Math.min(longestMs, boundMs));
    }

    function decide(current: Drain, question: DrainQuestion, nowMs: number): [AnswerForecast, DrainDecision] {
        const forecast = predictAnswer(question.request, answerPace, question, nowMs);
        return [forecast, decideDrainStep(current, forecast, nowMs)];
    }

    function record(
        { request, step }: DrainQuestion,
        { isAllowed, neededMs, remainingMs, isHeld }: DrainDecision,
        { usualMs, longestMs, boundMs, pace }: AnswerForecast,
    ): void {
        log(LogEvent.DrainStepDecided, {
            request: request.id,
            route: request.route.name,
            step,
            isAllowed,
            remainingMs: Math.round(remainingMs),
            neededMs: Math.round(neededMs),
            usualMs: Math.round(usualMs),
            longestMs: Math.round(longestMs),
            boundMs: Math.round(boundMs),
            isHeld,
            pace: Number(pace.factor.toFixed(2)),
            paceSource: pace.source,
            paceSamples: pace.samples,
            paceAgeMs: pace.ageMs === undefined ? undefined : Math.round(pace.ageMs),
        });
        const result = isAllowed ? "allowed" : "refused";
        metrics.count("jujubelane_drain_decisions_total", "Decisions during a planned stop.", { step, result });
    }

    return {
        getDrain: () => drain,
        begin(started) {
            drain = started;
            // The process does not end before, even without requests.
            expectedEndAtMs = started.closesIdleAtMs;
            options.publishStop(getExpectedEndMs);
            [...requests].forEach(request => request.onDrainStarted());
        },
        add(request) {
            requests.add(request);
            return createDisposable(() => requests.delete(request));
        },
        mustHold: request =>
            drain !== undefined && isAnswerHeld(drain, request.arrivedAtMs, computeTimes(request).deadlineAtMs),
        checkStep(question) {
            if (!drain) {
                return undefined;
            }
            const nowMs = timers.now();
            const [forecast, decision] = decide(drain, question, nowMs);
            record(question, decision, forecast);
            if (decision.isAllowed) {
                recordExpectedEnd(forecast, nowMs);
                return undefined;
            }
            const [remainingMs, neededMs] = [decision.remainingMs, decision.neededMs].map(Math.round);
            const limit = decision.isHeld ? "this process or its customer" : "this process";
            return `would outlast ${limit}, which ends in ${remainingMs} ms: needs ${neededMs} ms`;
        },
        isStepAllowed: question => drain === undefined || decide(drain, question, timers.now())[1].isAllowed,
        getReturnMs: () =>
            drain && computeDrainReturnMs(drain, options.getProcessReturnMs(getExpectedEndMs()), timers.now()),
        recordRunning(question) {
            const nowMs = timers.now();
            recordExpectedEnd(predictAnswer(question.request, answerPace, question, nowMs), nowMs);
        },
        endRequests() {
            const left = [...requests];
            const endings = left.map(request => ({ id: request.id, ending: request.endByDrain() }));
            requests.clear();
            const listIds = (wanted: DrainEnding) =>
                endings.filter(({ ending }) => ending === wanted).map(({ id }) => id);
            const brokenOff = listIds(DrainEnding.BrokenOff);
            const failed = listIds(DrainEnding.Failed);
            const refused = listIds(DrainEnding.Refused);
            const ids = [...brokenOff, ...failed, ...refused].slice(0, maxLoggedIds);
            log(LogEvent.ProcessStopped, {
                brokenOff: brokenOff.length,
                failed: failed.length,
                refused: refused.length,
                requests: ids.join(",") || undefined,
            });
            endings.forEach(({ ending }) =>
                metrics.count("jujubelane_drain_endings_total", "Requests that a planned stop ended.", { ending })
            );
        },
    };
}
