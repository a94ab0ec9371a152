import { EngineProfile } from "../ports/servingConfiguration.js";
import { computePassMs } from "../routing/engineTiming.js";
import { AnswerPace, PaceReading, PaceSource } from "../scheduling/answerPace.js";
import { PredictedDuration } from "../scheduling/drainAdmission.js";
import { AcceptedRequest, computeEngineNeeds, computeTimes } from "./acceptedRequest.js";
import { ServiceLoad } from "./hedging.js";
import { EngineNeeds, Place } from "./place.js";

/** Prediction of when an answer ends, and what it rests on. */
export interface AnswerForecast extends PredictedDuration {
    readonly pace: PaceReading;
}

/** Prediction of how long an answer takes, whatever limits it. */
type DurationForecast = Pick<AnswerForecast, "usualMs" | "longestMs" | "isMeasured" | "pace">;

/** Where a request stands when its answer is predicted. */
export interface ForecastState {
    /** Place that was chosen; absent before. */
    readonly place?: Place;
    /** Least time for which the request is expected to wait for a place, in milliseconds. */
    readonly waitMs?: number;
    /** Load of the service if the request waits behind all others. */
    readonly load?: ServiceLoad;
    /** Events of the answer that were received for this request. */
    readonly events?: number;
    /** Whether the customer has received a part of the answer. */
    readonly hasBegun?: boolean;
    /** Whether the request must not run twice. */
    readonly isUnsafe: boolean;
}

/** Assumed duration of a request to a plain service of which nothing was seen lately, in milliseconds. */
const plainAnswerMs = 500;
/** Longest duration of a plain answer that is expected, as a multiple of the duration that few answers exceed. */
const longestPlainFactor = 3;
/** The same for a request that must not run twice: if it is cut off, its customer cannot simply send it again. */
const longestUnsafeFactor = 5;
/** Time for which the prefill of a long prompt counts, in milliseconds: it is split among several engines. */
const maxCountedPrefillMs = 2_000;

/**
 * Predicts the time from now to the end of the answer to a request, from what is known of its place, or of the service
 * before it has one, and from the pace of the answers of the last seconds.
 *
 * @example
 * predictAnswer(request, pace, { place, isUnsafe: false }, timers.now()).longestMs;
 */
export function predictAnswer(
    request: AcceptedRequest,
    pace: AnswerPace,
    state: ForecastState,
    nowMs: number,
): AnswerForecast {
    const { engine } = request.service;
    const needs = computeEngineNeeds(request);
    const { deadlineAtMs, customerTimeoutAtMs } = computeTimes(request);
    const boundMs = Math.max(0, deadlineAtMs - nowMs);
    const predicted = engine && needs
        ? predictStream(request, engine, needs, pace, state, boundMs, nowMs)
        : predictPlainAnswer(request, pace, state, boundMs, nowMs);
    return {
        ...predicted,
        boundMs,
        customerTimeoutMs: Math.max(0, customerTimeoutAtMs - nowMs),
        hasBegun: state.hasBegun ?? false,
        arrivedAtMs: request.arrivedAtMs,
    };
}

function predictPlainAnswer(
    { service }: AcceptedRequest,
    pace: AnswerPace,
    { waitMs = 0, isUnsafe }: ForecastState,
    boundMs: number,
    nowMs: number,
): DurationForecast {
    const reading = pace.readPlainAnswers(service.name, nowMs);
    const durationMs = reading?.durationMs ?? plainAnswerMs;
    const longestMs = isUnsafe
        ? Math.max(plainAnswerMs, longestUnsafeFactor * durationMs)
        : longestPlainFactor * durationMs;
    return {
        usualMs: waitMs + durationMs,
        longestMs: reading === undefined && isUnsafe ? boundMs : waitMs + longestMs,
        isMeasured: reading !== undefined,
        pace: {
            factor: 1,
            source: reading?.source ?? PaceSource.Profile,
            samples: reading?.samples ?? 0,
            ageMs: reading?.ageMs,
        },
    };
}

/** Predicts the wait behind all others for a slot that each of them has for as long as an answer takes. */
function predictSlotWaitMs({ waiting, slots, slotsTaken }: ServiceLoad, answerMs: number): number {
    const ahead = waiting - Math.max(0, slots - slotsTaken);
    return Math.max(0, ahead) * answerMs / Math.max(1, slots);
}

function predictStream(
    { service, head }: AcceptedRequest,
    engine: EngineProfile,
    needs: EngineNeeds,
    pace: AnswerPace,
    { place, waitMs = 0, load, events = 0 }: ForecastState,
    boundMs: number,
    nowMs: number,
): DurationForecast {
    const gaps = pace.readGaps(service.name, place?.endpoint.id, nowMs);
    const firstEvents = pace.readFirstEvents(service.name, place?.endpoint.id, nowMs);
    // Before there is a place, only requests that could not end even on an idle engine are known to be too long.
    const passMs = gaps.factor * (place?.predictPassMs() ?? computePassMs(engine, 1, needs.promptTokens));
    const firstEventMs = firstEvents.factor * (place?.firstByteMs ?? Math.min(needs.prefillMs, maxCountedPrefillMs));
    const computeAnswerMs = (outputTokens: number) =>
        firstEventMs + Math.max(0, outputTokens / engine.stepsPerPass - received + 1) * passMs;
    const received = events + (head.lastEventId ?? 0);
    const maxOutputTokens = head.prompt!.maxOutputTokens;
    const answerMs = computeAnswerMs(needs.outputTokens);
    const startMs = Math.max(waitMs, load === undefined ? 0 : predictSlotWaitMs(load, answerMs));
    return {
        usualMs: startMs + answerMs,
        longestMs: maxOutputTokens > 0 ? startMs + computeAnswerMs(maxOutputTokens) : boundMs,
        isMeasured: gaps.samples > 0,
        pace: gaps,
    };
}
