import { Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { TimerService } from "../base/timerService.js";
import { MemoryOrders, OrderOutcome } from "../ports/memoryOrders.js";

/** Memory that is reserved at one endpoint. */
export interface Reservation {
    readonly address: string;
    readonly id: string;
}

/** Reservations of one request. */
export interface ReservationSet extends Disposable {
    readonly reservations: readonly Reservation[];
}

/** Reserves memory of engines for the parts of one request, renews it while it is used and releases it afterwards. */
export interface Reservations {
    /** Reserves at all addresses or, where one refuses, at none. */
    reserveAll(addresses: readonly string[], tokens: number): Promise<ReservationSet | undefined>;
    countHeld(): number;
}

/** What reservations need. */
export interface ReservationsOptions {
    readonly orders: MemoryOrders;
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly maxLeaseMs: number;
    /** Prefix of ids, unique among all lives of all gateways. */
    readonly idPrefix: string;
}

/** Lease of a reservation. Short, because nothing else frees the memory after a crash of its owner. */
const defaultLeaseMs = 3_000;
const renewIntervalMs = 1_000;
/** An order without an answer takes effect up to 12 s later; the release is repeated for a little longer. */
const releaseRepeatIntervalMs = 1_500;
const releaseRepeatCount = 10;

interface HeldReservation extends Reservation {
    /** Whether an order had no answer and may take effect later. */
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
    const { orders, timers, log } = options;
    const leaseMs = Math.min(defaultLeaseMs, options.maxLeaseMs);
    let nextId = 0;
    let heldCount = 0;

    async function reserve(held: HeldReservation, tokens: number): Promise<OrderOutcome> {
        const outcome = await orders.reserve(held.address, held.id, tokens, leaseMs);
        if (outcome !== OrderOutcome.Done) {
            log(LogEvent.MemoryOrderFailed, { order: "reserve", address: held.address, id: held.id, outcome });
        }
        held.isOutcomeUnknown ||= outcome === OrderOutcome.Unknown;
        return outcome;
    }

    async function release(held: HeldReservation): Promise<void> {
        const outcome = await orders.release(held.address, held.id);
        if (outcome === OrderOutcome.Unknown) {
            log(LogEvent.MemoryOrderFailed, { order: "release", address: held.address, id: held.id, outcome });
            held.isOutcomeUnknown = true;
        }
        if (held.isOutcomeUnknown) {
            releaseAgain(held, releaseRepeatCount);
        }
    }

    /** Repeats the release, because an order that had no answer may reserve the memory again. */
    function releaseAgain(held: HeldReservation, remaining: number): void {
        if (remaining > 0) {
            timers.schedule(releaseRepeatIntervalMs, () => {
                void orders.release(held.address, held.id);
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
            if (outcomes.some(outcome => outcome !== OrderOutcome.Done)) {
                // A refused order holds nothing, so there is nothing to release for it.
                heldCount -= outcomes.filter(outcome => outcome === OrderOutcome.Refused).length;
                releaseAll(all.filter((unused, index) => outcomes[index] !== OrderOutcome.Refused));
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
