import { Disposable } from "../base/disposable.js";
import { TimerService } from "../base/timerService.js";
import { isCrashSuspect, progressEvents } from "../quarantine/crashEvidence.js";
import { Treatment } from "../quarantine/quarantine.js";
import { computeQuarantineRetryAfterMs } from "../scheduling/retryAfter.js";
import { AttemptEnd, CrashDetector } from "./crashDetector.js";
import { Place } from "./place.js";
import { QuarantineRegistry } from "./quarantineRegistry.js";

/** Follows one request across its attempts, to find out whether requests like it crash endpoints. */
export interface QuarantineWatch extends Disposable {
    /** Decides how the next attempt may run. */
    decideTreatment(): Treatment;
    /** Starts an attempt. `events` is the number of events that earlier attempts have received. */
    startAttempt(place: Place, events: number): void;
    /** Records the number of events that all attempts have received. */
    recordEvents(events: number): void;
    /** Records that the attempt has ended. `events` is the number of events that all attempts have received. */
    recordEnd(end: AttemptEnd, events: number): void;
    describe(): string;
    /** Computes the time after which the customer should retry, or `undefined` if the request is not quarantined. */
    computeRetryAfterMs(): number | undefined;
}

export interface QuarantineWatchOptions {
    readonly traits: readonly string[];
    readonly timers: TimerService;
    readonly quarantineRegistry: QuarantineRegistry;
    readonly crashDetector: CrashDetector;
    /** Called when requests like this one are quarantined, unless this one was answered meanwhile. */
    readonly onQuarantined: () => void;
}

/**
 * Creates the watch of one request.
 *
 * @example
 * const quarantineWatch = createQuarantineWatch({ ...services, traits: request.traits, onQuarantined });
 * quarantineWatch.startAttempt(place, 0);
 */
export function createQuarantineWatch(options: QuarantineWatchOptions): QuarantineWatch {
    const { traits, timers, quarantineRegistry, crashDetector } = options;
    let place: Place | undefined;
    let sentAtMs = 0;
    let eventsBefore = 0;
    let isAnswerRecorded = false;
    let test: Disposable | undefined;
    const subscription = quarantineRegistry.onQuarantine(trait => {
        if (!isAnswerRecorded && traits.includes(trait)) {
            options.onQuarantined();
        }
    });

    function recordAnswer(current: Place): void {
        if (!isAnswerRecorded) {
            isAnswerRecorded = true;
            crashDetector.recordEnd(current.endpoint, { end: AttemptEnd.Answered, traits, sentAtMs });
        }
    }

    function recordUnanswered(end: AttemptEnd, current: Place, events: number): void {
        const isSuspect = isCrashSuspect({
            events: events - eventsBefore,
            elapsedMs: timers.now() - sentAtMs,
            // A plain service has no prompt to read and begins at once.
            predictedMs: current.partMs > 0 ? current.firstByteMs : 0,
        });
        crashDetector.recordEnd(current.endpoint, { end, traits: isSuspect ? traits : undefined, sentAtMs });
    }

    return {
        decideTreatment() {
            const treatment = quarantineRegistry.decideTreatment(traits);
            if (treatment !== Treatment.Quarantined) {
                test ??= quarantineRegistry.startTest(traits);
            }
            return treatment;
        },
        startAttempt(next, events) {
            place = next;
            sentAtMs = timers.now();
            eventsBefore = events;
        },
        recordEvents(events) {
            if (events - eventsBefore >= progressEvents && !isAnswerRecorded) {
                isAnswerRecorded = true;
                quarantineRegistry.recordAnswer(traits);
            }
        },
        recordEnd(end, events) {
            if (place && end === AttemptEnd.Answered) {
                recordAnswer(place);
            }
            else if (place) {
                recordUnanswered(end, place, events);
            }
            place = undefined;
        },
        describe: () => `${quarantineRegistry.findQuarantine(traits)?.trait ?? "the request"} crashes endpoints`,
        computeRetryAfterMs() {
            const quarantine = quarantineRegistry.findQuarantine(traits);
            return quarantine && computeQuarantineRetryAfterMs(quarantine.remainingMs);
        },
        dispose() {
            subscription.dispose();
            test?.dispose();
        },
    };
}
