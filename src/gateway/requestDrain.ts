import { Disposable } from "../base/disposable.js";
import { isIdempotent } from "../retries/dispatchDecision.js";
import { DrainStep } from "../scheduling/drainAdmission.js";
import { AcceptedRequest, computeEngineNeeds, computeTimes } from "./acceptedRequest.js";
import { DrainEnding, DrainQuestion } from "./drainControl.js";
import { Place } from "./place.js";
import { RequestServices } from "./requestServices.js";

/** Follows a planned stop of the process on behalf of one request. */
export interface RequestDrain extends Disposable {
    /** Decides whether the request may take a step, and refuses it otherwise. */
    admitStep(step: DrainStep, place?: Place): boolean;
    /**
     * Chooses the place that a request is sent to: the one that was found, or one at another endpoint if the answer would not
     * end in time there. Releases a place that is not chosen. Refuses the request and returns `undefined` without one.
     */
    choosePlace(found: Place): Place | undefined;
    /** Returns whether the request may take a step. It goes on otherwise as if the step were not possible. */
    isStepAllowed(step: DrainStep, place?: Place): boolean;
    /**
     * Returns whether another endpoint than that of a place could answer the request now and in time. That is asked if the
     * answer has begun, which breaks off unless it goes on, and during a planned stop: a slow answer is better than none.
     */
    isRetryReady(place: Place): boolean;
    /** Decides again while the request waits for a place. */
    startWait(): void;
    endWait(): void;
}

export interface RequestDrainOptions {
    readonly request: AcceptedRequest;
    readonly services: Pick<RequestServices, "timers" | "drainControl" | "placementQueue">;
    /** Returns the number of events that were received for the request. */
    readonly countEvents: () => number;
    /** Returns whether the customer has received a part of the answer. */
    readonly hasBegun: () => boolean;
    /** Returns the place at which the request is running. */
    readonly getPlace: () => Place | undefined;
    /** Finds a place that is free now at another endpoint. */
    readonly findOtherPlace: (endpoint: string) => Place | undefined;
    /** Ends the request because of the stop. */
    readonly refuse: (reason: string) => void;
    readonly end: () => DrainEnding;
}

/** Interval at which a waiting request decides again, in milliseconds. */
const recheckIntervalMs = 200;

/**
 * Creates the part of a request task that follows a planned stop.
 *
 * @example
 * const drain = createRequestDrain(options);
 * if (drain.admitStep(DrainStep.Dispatch, place)) {
 *     send(place);
 * }
 */
export function createRequestDrain(options: RequestDrainOptions): RequestDrain {
    const { request } = options;
    const { timers, placementQueue, drainControl: control } = options.services;
    const isUnsafe = !isIdempotent(request.route.kind, request.route.isResumable);
    let recheck: Disposable | undefined;
    let isWaiting = false;

    const registration = control.add({
        id: request.id,
        onDrainStarted() {
            const place = options.getPlace();
            if (place) {
                control.recordRunning(makeQuestion(DrainStep.Dispatch, place));
            }
            else if (isWaiting) {
                admitWait(makeWaitQuestion());
            }
        },
        endByDrain: options.end,
    });

    function makeQuestion(step: DrainStep, place: Place | undefined): DrainQuestion {
        return { request, step, place, events: options.countEvents(), hasBegun: options.hasBegun(), isUnsafe };
    }

    /** Makes the question of a request that waits behind all others of its service. */
    function makeLastQuestion(): DrainQuestion {
        return {
            ...makeQuestion(DrainStep.Wait, undefined),
            waitMs: placementQueue.predictWaitMs(request.service, computeEngineNeeds(request)),
            load: placementQueue.getLoad(request.service),
        };
    }

    /** A request that cannot be on time any more waits behind all that can. Others may start at any moment. */
    function makeWaitQuestion(): DrainQuestion {
        return timers.now() > computeTimes(request).dueAtMs
            ? makeLastQuestion()
            : makeQuestion(DrainStep.Wait, undefined);
    }

    function checkStep(step: DrainStep, place?: Place): string | undefined {
        // An answer that has begun breaks off if it does not go on, however late it may be.
        const mustGoOn = options.hasBegun() && step !== DrainStep.Retry && step !== DrainStep.Hedge;
        if (!control.getDrain() || mustGoOn) {
            return undefined;
        }
        return control.checkStep(makeQuestion(step, place));
    }

    function refuse(reason: string | undefined): boolean {
        if (reason !== undefined) {
            options.refuse(reason);
        }
        return reason !== undefined;
    }

    function admitWait(question: DrainQuestion): void {
        if (!refuse(control.checkStep(question))) {
            scheduleRecheck();
        }
    }

    function scheduleRecheck(): void {
        recheck?.dispose();
        recheck = timers.schedule(recheckIntervalMs, () => {
            const question = makeWaitQuestion();
            if (control.isStepAllowed(question)) {
                scheduleRecheck();
            }
            else {
                admitWait(question);
            }
        });
    }

    function endWait(): void {
        isWaiting = false;
        recheck?.dispose();
    }

    return {
        admitStep: (step, place) => !refuse(checkStep(step, place)),
        choosePlace(found) {
            const reason = checkStep(DrainStep.Dispatch, found);
            if (reason === undefined) {
                return found;
            }
            const other = options.findOtherPlace(found.endpoint.id);
            found.release();
            if (other && checkStep(DrainStep.Dispatch, other) === undefined) {
                return other;
            }
            other?.release();
            refuse(reason);
            return undefined;
        },
        isStepAllowed: (step, place) => checkStep(step, place) === undefined,
        isRetryReady({ endpoint }) {
            if (!control.getDrain() && options.countEvents() === 0) {
                return true;
            }
            const other = options.findOtherPlace(endpoint.id);
            other?.release();
            return other !== undefined && checkStep(DrainStep.Retry, other) === undefined;
        },
        startWait() {
            isWaiting = !options.hasBegun();
            if (isWaiting && control.getDrain()) {
                admitWait(makeLastQuestion());
            }
        },
        endWait,
        dispose() {
            endWait();
            registration.dispose();
        },
    };
}
