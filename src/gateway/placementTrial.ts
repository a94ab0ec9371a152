import { createDisposable } from "../base/disposable.js";
import { PlacementRequest, PlacementStage } from "../routing/enginePlacement.js";
import { createReturningRequests } from "../scheduling/returningRequests.js";
import { PlacementTerms } from "./acceptedRequest.js";
import { EndpointQuota } from "./endpointQuota.js";
import { ClaimReport, Place, PlacementJob, PlacementRefusal } from "./place.js";
import { PlacementQueue, PlacementQueueOptions } from "./placementQueue.js";
import { StartPrediction } from "./queueFairness.js";

/** What the placement queue would do with a request now. */
export interface PlacementTrial {
    readonly job: PlacementJob;
    readonly place?: Place;
    readonly refusal?: PlacementRefusal;
    /** Engines that would be kept free for the request while it waits. */
    readonly claim?: ClaimReport;
    /** Absent unless the request would wait. */
    readonly start?: StartPrediction;
    /** Predicted wait from which the `Retry-After` of a refusal is computed, in milliseconds; 0 for other requests. */
    readonly waitMs: number;
    /** Request and stage with which engines were searched; absent if none were, or for a plain service. */
    readonly engineSearch?: { readonly request: PlacementRequest; readonly stage: PlacementStage };
    /** Options of the copy of the queue. */
    readonly options: PlacementQueueOptions;
}

const ignore = () => undefined;

/**
 * Makes the options of a copy of the queue whose decisions have no effect: the copy reads the same state as the queue,
 * and what it would record or send is dropped or goes to a copy of the state.
 */
function removeEffects(
    options: PlacementQueueOptions,
    service: string,
    peekOpen: EndpointQuota["peekOpen"],
): PlacementQueueOptions {
    const { timers, ledger, health, quota, fairness } = options;
    return {
        ...options,
        timers: { ...timers, schedule: () => createDisposable(ignore) },
        random: () => 0,
        ledger: { ...ledger, add: ignore, remove: ignore, startDecode: ignore },
        health: { ...health, startTrial: ignore },
        quota: {
            isOpen: peekOpen,
            isLastChoice: endpoint => quota.isLastChoice(endpoint),
            getShare: endpoint => quota.getShare(endpoint),
            recordDispatch: ignore,
        },
        reportChange: ignore,
        fairness: {
            state: {
                ...fairness.state,
                // The arrival of a request makes its customer one of those that share the service.
                usage: fairness.state.usage.copyService(service),
                returning: createReturningRequests(),
            },
            countSharingGroups: name => fairness.countSharingGroups(name),
            reportWaiting: ignore,
            reportYield: ignore,
        },
    };
}

/**
 * Submits a request to a copy of the placement queue, which decides as the queue would and has no effect. It costs as
 * much as the submission of a request that must wait.
 *
 * @param peekOpen returns whether an endpoint may be sent a request, without changing any state
 *
 * @example
 * tryPlacement(placementQueue, terms, false, endpoint => endpointQuota.peekOpen(endpoint)).place?.endpoint.id;
 */
export function tryPlacement(
    placementQueue: Pick<PlacementQueue, "copy">,
    terms: PlacementTerms,
    isSuspect: boolean,
    peekOpen: EndpointQuota["peekOpen"],
): PlacementTrial {
    let place: Place | undefined;
    let refusal: PlacementRefusal | undefined;
    let claim: ClaimReport | undefined;
    let engineSearch: PlacementTrial["engineSearch"];
    let options!: PlacementQueueOptions;
    const copy = placementQueue.copy(original => {
        options = removeEffects(original, terms.service.name, peekOpen);
        return {
            ...options,
            placeOnEngines(request, views, slots, nowMs, stage, settings) {
                engineSearch = { request, stage };
                return options.placeOnEngines(request, views, slots, nowMs, stage, settings);
            },
        };
    });
    const job: PlacementJob = {
        ...terms,
        isSuspect,
        onPlaced: found => void (place = found),
        onWaiting: ignore,
        onClaimed: made => void (claim = made),
        onExpired: reason => void (refusal = reason),
    };
    copy.submit(job);
    const start = copy.predictStart(job);
    const waitMs = refusal ? copy.predictWaitMs(job.service, job.needs) : 0;
    copy.dispose();
    return { job, place, refusal, claim, start, waitMs, engineSearch, options };
}
