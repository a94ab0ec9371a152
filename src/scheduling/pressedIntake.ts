import { minPressureStateMs } from "./hostPressure.js";

/** A request that waits until the event loop has time for it. */
export interface HeldRequest {
    readonly heldAtMs: number;
    /** Returns whether the request can no longer be on time. */
    isTooLate(nowMs: number): boolean;
    accept(): void;
    refuse(): void;
}

/** Requests that wait at a gateway under pressure before their bodies are read. */
export interface PressedIntake {
    /** Records whether the delay of the event loop exceeds its limit. */
    observe(isDelayed: boolean, nowMs: number): void;
    /** Returns whether a new request waits. It is handled at once otherwise. */
    isHolding(nowMs: number): boolean;
    add(request: HeldRequest): void;
    /** Removes and returns the newest request that can be on time, and refuses newer ones that cannot. */
    takeNewest(nowMs: number): HeldRequest | undefined;
    /** Refuses the requests that can no longer be on time. */
    refuseLate(nowMs: number): void;
    /** Returns for how long the oldest request has waited, in milliseconds; 0 if none waits. */
    getOldestAgeMs(nowMs: number): number;
    count(): number;
}

/**
 * Creates an intake without requests. The newest request comes first: if more arrives than the host can handle, the oldest
 * one has always waited until it is just too late, so that an order by age would make all of them late. Its size is bounded
 * by the connections, each of which has one request.
 *
 * Load pattern: steady load above what a host carries.
 *
 * @example
 * intake.add({ heldAtMs: timers.now(), isTooLate, accept, refuse });
 * intake.takeNewest(timers.now())?.accept();
 */
export function createPressedIntake(): PressedIntake {
    /** In order of arrival. */
    let held: HeldRequest[] = [];
    let holdsUntilMs = Number.NEGATIVE_INFINITY;

    return {
        observe(isDelayed, nowMs) {
            holdsUntilMs = isDelayed ? nowMs + minPressureStateMs : holdsUntilMs;
        },
        isHolding: nowMs => held.length > 0 || nowMs < holdsUntilMs,
        add: request => void held.push(request),
        takeNewest(nowMs) {
            for (let newest = held.pop(); newest; newest = held.pop()) {
                if (!newest.isTooLate(nowMs)) {
                    return newest;
                }
                newest.refuse();
            }
            return undefined;
        },
        refuseLate(nowMs) {
            const all = held;
            held = [];
            for (const request of all) {
                if (request.isTooLate(nowMs)) {
                    request.refuse();
                }
                else {
                    held.push(request);
                }
            }
        },
        getOldestAgeMs: nowMs => held.length === 0 ? 0 : nowMs - held[0]!.heldAtMs,
        count: () => held.length,
    };
}
