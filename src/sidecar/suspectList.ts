import { TimerService } from "../base/timerService.js";
import { QuarantineMessage } from "../link/messages.js";
import { defaultQuarantineSettings } from "../quarantine/quarantine.js";

/** The suspects that a sidecar has been told of, and those of its own engine's crashes. */
export interface SuspectList {
    add(message: Pick<QuarantineMessage, "fingerprint" | "untilMs" | "isolated">): void;
    /** Records a fingerprint that ran when this sidecar's engine crashed. */
    addCrash(fingerprint: string): void;
    isSuspect(fingerprint: string): boolean;
    isQuarantined(fingerprint: string): boolean;
}

interface ListedSuspect {
    readonly untilMs: number;
    readonly isolated: boolean;
}

/** Bound of the list; the oldest is dropped. Crashes are rare, so that a list this long means another fault. */
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
