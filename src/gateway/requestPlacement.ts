import { Disposable } from "../base/disposable.js";
import { settleMs } from "../routing/engineMemory.js";
import { DrainStep } from "../scheduling/drainAdmission.js";
import { PlacementTerms } from "./acceptedRequest.js";
import { Place, PlacementRefusal } from "./place.js";
import { RequestDrain } from "./requestDrain.js";
import { RequestReport } from "./requestReport.js";
import { RequestServices } from "./requestServices.js";
import { reservationRetryMs, ReservationSet } from "./reservations.js";

/** Finds the place of one dispatch of a request, and reserves the memory that it needs at helpers. */
export interface RequestPlacement extends Disposable {
    /**
     * Queues the request for a place.
     *
     * @param attempt number of the dispatch, from 1
     */
    submit(isSuspect: boolean, attempt: number): void;
    /** Returns the place whose memory reservations are being made. */
    getReservingPlace(): Place | undefined;
}

export interface RequestPlacementOptions {
    readonly services: Pick<RequestServices, "timers" | "placementQueue" | "reservations" | "random">;
    readonly drain: RequestDrain;
    readonly report: RequestReport;
    readonly makeJob: () => PlacementTerms;
    /** Called with a place that the request is sent to now, and with the memory that is reserved at its helpers. */
    readonly onReady: (place: Place, reservationSet: ReservationSet | undefined) => void;
    /** Called when no endpoint has the capacity to serve the request in time. */
    readonly onExpired: (refusal: PlacementRefusal | undefined) => void;
    /** Called when the request is to be submitted again. */
    readonly onLost: () => void;
}

/**
 * Creates the placement of one request. Nothing is called any more once it is disposed of.
 *
 * @example
 * const placement = createRequestPlacement({ services, drain, report, makeJob, onReady: send, onExpired, onLost: submit });
 * placement.submit(false, 1);
 */
export function createRequestPlacement(options: RequestPlacementOptions): RequestPlacement {
    const { drain, report } = options;
    const { timers, placementQueue, reservations, random } = options.services;
    let waiting: Disposable | undefined;
    let reservingPlace: Place | undefined;
    let isDisposed = false;

    function handlePlaced(found: Place): void {
        waiting = undefined;
        drain.endWait();
        if (isDisposed) {
            found.release();
            return;
        }
        const place = drain.choosePlace(found);
        reservingPlace = place;
        if (place?.isTentative) {
            timers.schedule(settleMs, () => handleSettled(place));
        }
        else if (place) {
            reserveHelpers(place);
        }
    }

    /** Goes on with a place that other gateways have had the time to hear of. */
    function handleSettled(found: Place): void {
        if (reservingPlace !== found) {
            return;
        }
        if (found.hasMemory() && placementQueue.isStillUsable(found)) {
            reserveHelpers(found);
            return;
        }
        reservingPlace = undefined;
        found.release();
        report.recordMemoryTaken();
        waiting = timers.schedule(settleMs * random(), options.onLost);
    }

    function reserveHelpers(found: Place): void {
        if (found.reservedTokens === 0) {
            reservingPlace = undefined;
            options.onReady(found, undefined);
            return;
        }
        const addresses = found.helpers.map(helper => helper.address);
        reservations.reserveAll(addresses, found.reservedTokens).then(
            set => handleReserved(found, set),
            (error: unknown) => {
                report.recordTaskFailure("reservations", error);
                handleReserved(found, undefined);
            },
        );
    }

    function handleReserved(found: Place, set: ReservationSet | undefined): void {
        if (isDisposed) {
            set?.dispose();
            return;
        }
        reservingPlace = undefined;
        const isUsable = set !== undefined && placementQueue.isStillUsable(found);
        if (isUsable && drain.admitStep(DrainStep.Dispatch, found)) {
            options.onReady(found, set);
            return;
        }
        set?.dispose();
        found.release();
        if (!isDisposed) {
            waiting = timers.schedule(set ? 0 : reservationRetryMs, options.onLost);
        }
    }

    return {
        submit(isSuspect, attempt) {
            let isWaiting = true;
            // If an endpoint has capacity, `onPlaced` is called before `submit` returns.
            const submitted = placementQueue.submit({
                ...options.makeJob(),
                isSuspect,
                onPlaced(place) {
                    isWaiting = false;
                    handlePlaced(place);
                },
                onWaiting(inputs) {
                    report.recordWaiting(inputs, attempt);
                    drain.startWait();
                },
                onClaimed: claim => report.recordClaim(claim),
                onExpired(refusal) {
                    isWaiting = false;
                    options.onExpired(refusal);
                },
            });
            if (isDisposed) {
                submitted.dispose();
            }
            else if (isWaiting) {
                waiting = submitted;
            }
        },
        getReservingPlace: () => reservingPlace,
        dispose() {
            isDisposed = true;
            waiting?.dispose();
            reservingPlace?.release();
            reservingPlace = undefined;
        },
    };
}
