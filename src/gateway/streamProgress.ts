import { SlowdownEstimate } from "../routing/slowdownEstimate.js";
import { Place } from "./place.js";

/** Tracks the events of one request across its attempts. */
export interface StreamProgress {
    /** Starts the next attempt, at the given place. */
    startAttempt(place: Place): void;
    /** Records that one or more events were received. Returns whether they are the first of the attempt. */
    recordEvent(nowMs: number): boolean;
    /** Disregards the pause before the next event, in which no events were received. */
    skipPause(): void;
    /** Predicts the time between two events of the current attempt, in milliseconds. */
    predictPassMs(nowMs: number): number;
    /** Returns the time of the newest event of the current attempt. */
    getLastEventMs(): number | undefined;
    /** Returns the time of the first event of any attempt. */
    getFirstEventMs(): number | undefined;
    getLongestPauseMs(): number;
}

/** Age up to which a predicted pass duration is reused. The duration changes little between two events. */
const maxPassPredictionAgeMs = 400;

/**
 * Creates the progress of one request. Pauses between events are used to estimate the slowdown of the endpoint.
 *
 * @example
 * progress.startAttempt(place);
 * const isFirst = progress.recordEvent(timers.now());
 */
export function createStreamProgress(slowdownEstimate: SlowdownEstimate): StreamProgress {
    let place: Place | undefined;
    let lastEventMs: number | undefined;
    let firstEventMs: number | undefined;
    let longestPauseMs = 0;
    let isPauseSkipped = false;
    let passMs = 0;
    let passPredictedAtMs = Number.NEGATIVE_INFINITY;

    function predictPassMs(nowMs: number): number {
        if (place && nowMs - passPredictedAtMs > maxPassPredictionAgeMs) {
            passMs = place.predictPassMs();
            passPredictedAtMs = nowMs;
        }
        return passMs;
    }

    function recordPause(current: Place, pauseMs: number, nowMs: number): void {
        longestPauseMs = Math.max(longestPauseMs, pauseMs);
        slowdownEstimate.record(current.endpoint.id, pauseMs, predictPassMs(nowMs), nowMs);
    }

    return {
        startAttempt(next) {
            place = next;
            lastEventMs = undefined;
            passPredictedAtMs = Number.NEGATIVE_INFINITY;
        },
        recordEvent(nowMs) {
            const isFirst = lastEventMs === undefined;
            if (place && lastEventMs !== undefined && !isPauseSkipped) {
                recordPause(place, nowMs - lastEventMs, nowMs);
            }
            isPauseSkipped = false;
            firstEventMs ??= nowMs;
            lastEventMs = nowMs;
            return isFirst;
        },
        skipPause() {
            isPauseSkipped = true;
        },
        predictPassMs,
        getLastEventMs: () => lastEventMs,
        getFirstEventMs: () => firstEventMs,
        getLongestPauseMs: () => longestPauseMs,
    };
}
