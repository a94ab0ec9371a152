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
    startAttempt(place: Place, events: number): AttemptQuarantineWatch;
    describe(): string;
    /** Computes the time after which the customer should retry, or `undefined` if the request is not quarantined. */
    computeRetryAfterMs(): number | undefined;
}

/** Follows one attempt. */
export interface AttemptQuarantineWatch {
    /** Records the number of events that all attempts have received. */
    recordEvents(events: number): void;
    /**
     * Records that the attempt has ended. `events` is the number of events that all attempts have received. Only the
     * first call has an effect.
     */
    recordEnd(end: AttemptEnd, events: number): void;
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
 * quarantineWatch.startAttempt(place, 0).recordEnd(AttemptEnd.Answered, 1);
 */
export function createQuarantineWatch(options: QuarantineWatchOptions): QuarantineWatch {
    const { traits, timers, quarantineRegistry, crashDetector } = options;
    let isAnswerRecorded = false;
    let test: Disposable | undefined;
    const subscription = quarantineRegistry.onQuarantine(trait => {
        if (!isAnswerRecorded && traits.includes(trait)) {
            options.onQuarantined();
        }
    });

    function startAttempt(place: Place, eventsBefore: number): AttemptQuarantineWatch {
        const { endpoint } = place;
        const sentAtMs = timers.now();
        let hasEnded = false;

        function recordAnswer(): void {
            if (!isAnswerRecorded) {
                isAnswerRecorded = true;
                crashDetector.recordEnd(endpoint, { end: AttemptEnd.Answered, traits, sentAtMs });
            }
        }

        function recordUnanswered(end: AttemptEnd, events: number): void {
            const isSuspect = isCrashSuspect({
                events: events - eventsBefore,
                elapsedMs: timers.now() - sentAtMs,
                // A plain service has no prompt to read and begins at once.
                predictedMs: place.partMs > 0 ? place.firstByteMs : 0,
            });
            crashDetector.recordEnd(endpoint, { end, traits: isSuspect ? traits : undefined, sentAtMs });
        }

        return {
            recordEvents(events) {
                if (events - eventsBefore >= progressEvents && !isAnswerRecorded) {
                    isAnswerRecorded = true;
                    quarantineRegistry.recordAnswer(traits);
                }
            },
            recordEnd(end, events) {
                if (hasEnded) {
                    return;
                }
                hasEnded = true;
                if (end === AttemptEnd.Answered) {
                    recordAnswer();
                }
                else {
                    recordUnanswered(end, events);
                }
            },
        };
    }

    return {
        decideTreatment() {
            const treatment = quarantineRegistry.decideTreatment(traits);
            if (treatment !== Treatment.Quarantined) {
                test ??= quarantineRegistry.startTest(traits);
            }
            return treatment;
        },
        startAttempt,
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
