import { Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { TimerService } from "../base/timerService.js";
import { RawHeaders } from "../ports/exchange.js";
import { MemoryReservationService, ReservationOutcome } from "../ports/memoryReservationService.js";

/** Delay before refused reservations are retried, in which other gateways may release theirs, in milliseconds. */
export const reservationRetryMs = 150;

/** Memory reservation at one endpoint. */
export interface Reservation {
    readonly address: string;
    readonly id: string;
}

/** Reservations of one request, released by `dispose`. */
export interface ReservationSet extends Disposable {
    readonly reservations: readonly Reservation[];
}

/** Reserves engine memory for the parts of requests, renews reservations while they are in use and releases them. */
export interface Reservations {
    /** Reserves memory at all addresses. If one reservation fails, releases the others and returns `undefined`. */
    reserveAll(addresses: readonly string[], tokens: number): Promise<ReservationSet | undefined>;
    countHeld(): number;
}

export interface ReservationsOptions {
    readonly memoryReservations: MemoryReservationService;
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly maxLeaseMs: number;
    /** Prefix of reservation ids, unique for each run of each gateway. */
    readonly idPrefix: string;
    /** Called with the status and headers of each answer to a call. */
    readonly onAnswer?: (address: string, status: number, headers: RawHeaders) => void;
}

/** Lease of a reservation. Short, because only its expiry frees the memory if this gateway crashes. */
const defaultLeaseMs = 3_000;
const renewIntervalMs = 1_000;
/** A call without an answer can take effect up to 12 s later, so the release is repeated for slightly longer. */
const releaseRepeatIntervalMs = 1_500;
const releaseRepeatCount = 10;

interface HeldReservation extends Reservation {
    /** Whether a call had no answer and may still take effect. */
    isOutcomeUnknown: boolean;
}

/**
 * Creates the reservations of one process.
 *
 * @example
 * const held = await reservations.reserveAll(["10.2.64.3:8080"], 60_000);
 * held?.dispose();
 */
export function createReservations(options: ReservationsOptions): Reservations {
    const { memoryReservations, timers, log } = options;
    const leaseMs = Math.min(defaultLeaseMs, options.maxLeaseMs);
    let nextId = 0;
    let heldCount = 0;

    function handleAnswer(address: string) {
        return (status: number, headers: RawHeaders) => options.onAnswer?.(address, status, headers);
    }

    async function reserve(held: HeldReservation, tokens: number): Promise<ReservationOutcome> {
        const outcome = await memoryReservations.reserve(
            held.address,
            held.id,
            tokens,
            leaseMs,
            handleAnswer(held.address),
        );
        if (outcome !== ReservationOutcome.Done) {
            log(LogEvent.MemoryOrderFailed, { order: "reserve", address: held.address, id: held.id, outcome });
        }
        held.isOutcomeUnknown ||= outcome === ReservationOutcome.Unknown;
        return outcome;
    }

    async function release(held: HeldReservation): Promise<void> {
        const outcome = await memoryReservations.release(held.address, held.id, handleAnswer(held.address));
        if (outcome === ReservationOutcome.Unknown) {
            log(LogEvent.MemoryOrderFailed, { order: "release", address: held.address, id: held.id, outcome });
            held.isOutcomeUnknown = true;
        }
        if (held.isOutcomeUnknown) {
            releaseAgain(held, releaseRepeatCount);
        }
    }

    /** Repeats the release, because an unanswered call may take effect later and reserve the memory again. */
    function releaseAgain(held: HeldReservation, remaining: number): void {
        if (remaining > 0) {
            timers.schedule(releaseRepeatIntervalMs, () => {
                void memoryReservations.release(held.address, held.id, handleAnswer(held.address));
                releaseAgain(held, remaining - 1);
            });
        }
    }

    function releaseAll(all: readonly HeldReservation[]): void {
        heldCount -= all.length;
        all.forEach(held => void release(held));
    }

    return {
        async reserveAll(addresses, tokens) {
            const all = addresses.map(address => ({
                address,
                id: `${options.idPrefix}-${nextId++}`,
                isOutcomeUnknown: false,
            }));
            heldCount += all.length;
            const outcomes = await Promise.all(all.map(held => reserve(held, tokens)));
            if (outcomes.some(outcome => outcome !== ReservationOutcome.Done)) {
                // A refused call reserved nothing that would have to be released.
                heldCount -= outcomes.filter(outcome => outcome === ReservationOutcome.Refused).length;
                releaseAll(all.filter((unused, index) => outcomes[index] !== ReservationOutcome.Refused));
                return undefined;
            }
            const renewal = timers.subscribe(renewIntervalMs, () => all.forEach(held => void reserve(held, tokens)));
            let isDisposed = false;
            return {
                reservations: all,
                dispose() {
                    if (!isDisposed) {
                        isDisposed = true;
                        renewal.dispose();
                        releaseAll(all);
                    }
                },
            };
        },
        countHeld: () => heldCount,
    };
}
