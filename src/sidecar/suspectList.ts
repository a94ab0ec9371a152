import { TimerService } from "../base/timerService.js";
import { QuarantineMessage } from "../link/messages.js";
import { defaultQuarantineSettings } from "../quarantine/quarantine.js";

/** Fingerprints of requests that were running during a crash, from entries and from this sidecar's own engine. */
export interface SuspectList {
    add(message: Pick<QuarantineMessage, "fingerprint" | "untilMs" | "isolated">): void;
    /** Adds a fingerprint that was running when this sidecar's engine crashed. */
    addCrash(fingerprint: string): void;
    isSuspect(fingerprint: string): boolean;
    isQuarantined(fingerprint: string): boolean;
}

interface ListedSuspect {
    readonly untilMs: number;
    readonly isolated: boolean;
}

/** Maximum length of the list; the oldest suspect is evicted. Crashes are rare, so a full list means another fault. */
const maxSuspects = 1_000;

/**
 * Creates an empty list.
 *
 * @example
 * const suspects = createSuspectList(timers);
 */
export function createSuspectList(timers: TimerService): SuspectList {
    const suspects = new Map<string, ListedSuspect>();

    function get(fingerprint: string): ListedSuspect | undefined {
        const suspect = suspects.get(fingerprint);
        return suspect && suspect.untilMs > timers.wallNow() ? suspect : undefined;
    }

    function add(fingerprint: string, suspect: ListedSuspect) {
        suspects.delete(fingerprint);
        suspects.set(fingerprint, suspect);
        if (suspects.size > maxSuspects) {
            suspects.delete(suspects.keys().next().value!);
        }
    }

    return {
        add: ({ fingerprint, untilMs, isolated = false }) => add(fingerprint, { untilMs, isolated }),
        addCrash(fingerprint) {
            if (!get(fingerprint)) {
                const untilMs = timers.wallNow() + defaultQuarantineSettings.suspicionMs;
                add(fingerprint, { untilMs, isolated: true });
            }
        },
        isSuspect: fingerprint => get(fingerprint)?.isolated === true,
        isQuarantined: fingerprint => get(fingerprint)?.isolated === false,
    };
}
