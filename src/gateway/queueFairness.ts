import { TimerService } from "../base/timerService.js";
import { EngineView } from "../routing/engineView.js";
import { computeEngineUseMs, predictFirstEventMs } from "../routing/placementStage.js";
import { countPlaces, PlainView } from "../routing/plainPlacement.js";
import {
    compareWaiting,
    computeOrderDelayMs,
    getWaitingClass,
    WaitingClass,
    WaitingWork,
} from "../scheduling/compareWaiting.js";
import { createCustomerUsage, CustomerUsage } from "../scheduling/customerUsage.js";
import {
    collectWaitingGroups,
    createPeerWaiting,
    isLeftToPeer,
    PeerWaiting,
    WaitingGroup,
} from "../scheduling/peerWaiting.js";
import {
    createResidenceEstimate,
    isStartExpected,
    predictStartMs,
    ResidenceEstimate,
} from "../scheduling/predictStart.js";
import { createReturningRequests, ReturningRequests } from "../scheduling/returningRequests.js";
import { Place, PlacementJob } from "./place.js";
import { minPlainAnswerMs } from "./placeAllocator.js";

/** Work in the placement queue. Its place in the order is computed anew for each placement run. */
export interface QueuedWork extends WaitingWork {
    readonly job: PlacementJob;
    orderDelayMs: number;
    isAboveShare: boolean;
    /** Time from the first arrival of a request that was refused and has come back, to this arrival. */
    readonly returnedMs: number;
    /** Whether the place that it could have taken was left to a request of another gateway before. */
    hasYielded: boolean;
}

/** Capacity of a service, from which the start of a further request is predicted. */
export interface ServiceCapacity {
    readonly running: number;
    /** Places that the request may use and no request has. Plain services only. */
    readonly freePlaces: number;
    /** Prefill that engines have not done yet, in milliseconds, on average. */
    readonly pendingPrefillMs: number;
    readonly endpoints: number;
}

/** Predicted start of a waiting request. */
export interface StartPrediction {
    /** Requests of the service that wait here and come before this one. */
    readonly ahead: number;
    /** Requests of the service that wait at other gateways and are expected to come before this one. */
    readonly aheadElsewhere: number;
    /** Time to the start, in milliseconds. */
    readonly startMs: number;
}

/**
 * Part of the time that a request of a plain service has its place, in relation to the average, that is left for it
 * before its deadline. With less, about half of those that start last would end after their deadlines.
 */
const residenceMargin = 1.5;

/** Facts on which the customers' shares and the prediction of starts are based. */
export interface FairnessState {
    readonly usage: CustomerUsage;
    readonly peerWaiting: PeerWaiting;
    readonly residence: ResidenceEstimate;
    readonly returning: ReturningRequests;
}

/** What the placement queue needs to divide places between customers. */
export interface PlacementFairness {
    readonly state: FairnessState;
    /** Counts the groups of gateways that use the same endpoints of a service and do not hear of each other's work. */
    countSharingGroups(service: string): number;
    /** Reports what waits after it has changed. */
    reportWaiting(groups: readonly WaitingGroup[]): void;
    /** Reports once for each request that a free place is left to a request of another gateway. */
    reportYield(service: string): void;
}

/**
 * Creates a state without facts.
 *
 * @example
 * const fairness = createQueueFairness(createFairnessState(), timers);
 */
export function createFairnessState(): FairnessState {
    return {
        usage: createCustomerUsage(),
        peerWaiting: createPeerWaiting(),
        residence: createResidenceEstimate(),
        returning: createReturningRequests(),
    };
}

/** Decisions about waiting requests of several customers. Requests without a customer are not affected. */
export interface QueueFairness {
    /** Records the arrival of a request and makes its entry in the queue. */
    addArrival(job: PlacementJob, nowMs: number): QueuedWork;
    /** Records the use of a slot when its place is released. */
    recordPlainUse(job: PlacementJob, place: Place): Place;
    recordEngineUse(job: PlacementJob, nowMs: number): void;
    refreshOrder(work: QueuedWork, nowMs: number): void;
    /** Returns whether a request must wait because others that wait here have a better claim to a place. */
    isBehind(work: QueuedWork, waiting: readonly QueuedWork[], nowMs: number): boolean;
    /** Returns whether a free place is to be left to a request that waits at another gateway. */
    isLeftToPeer(work: QueuedWork, nowMs: number): boolean;
    /**
     * Returns the predicted time to the start of a request that cannot start in time, in milliseconds, and `undefined`
     * if it is to be queued.
     */
    predictRefusal(
        work: QueuedWork,
        waiting: readonly QueuedWork[],
        capacity: ServiceCapacity,
        nowMs: number,
    ): number | undefined;
    /** Predicts when a request of the queue starts. */
    predictStart(
        work: QueuedWork,
        waiting: readonly QueuedWork[],
        capacity: ServiceCapacity,
        nowMs: number,
    ): StartPrediction;
    recordRefusal(work: QueuedWork, nowMs: number): void;
    listGroups(waiting: readonly QueuedWork[]): readonly WaitingGroup[];
}

/**
 * Creates the decisions.
 *
 * @example
 * const fairness = createQueueFairness(state, timers);
 * fairness.isBehind(work, waiting, timers.now());
 */
export function createQueueFairness(
    { usage, peerWaiting, residence, returning }: FairnessState,
    timers: TimerService,
): QueueFairness {
    function isPlain({ job }: QueuedWork): boolean {
        return !job.service.engine || !job.needs;
    }

    function refreshOrder(work: QueuedWork, nowMs: number): void {
        const { job } = work;
        if (job.share) {
            work.isAboveShare = usage.isAboveShare(job.service.name, job.share.customer, nowMs);
            const slackMs = work.softStartDeadlineMs - job.arrivedAtMs;
            work.orderDelayMs = computeOrderDelayMs(work.isAboveShare, slackMs, work.returnedMs);
        }
    }

    /** Returns the time since the first arrival of a request that was refused before, and 0 for others. */
    function takeReturnedMs({ share, arrivedAtMs }: PlacementJob, nowMs: number): number {
        const firstArrivalMs = share?.fingerprint === undefined
            ? undefined
            : returning.takeFirstArrival(share.fingerprint, nowMs);
        return firstArrivalMs === undefined ? 0 : arrivedAtMs - firstArrivalMs;
    }

    /** Predicts the time from the start of a request to its first byte, in milliseconds. */
    function predictAnswerMs({ service, needs, share, customerTimeoutAtMs }: PlacementJob, nowMs: number): number {
        if (service.engine && needs) {
            return predictFirstEventMs(service.engine, needs.prefillMs);
        }
        const residenceMs = !share ? 0 : residenceMargin * (residence.get(service.name) ?? 0);
        return Math.max(minPlainAnswerMs, Math.min(residenceMs, (customerTimeoutAtMs - nowMs) / 2));
    }

    function addArrival(job: PlacementJob, nowMs: number): QueuedWork {
        if (job.share) {
            usage.record(job.service.name, job.share.customer, 0, nowMs);
        }
        const answerMs = predictAnswerMs(job, nowMs);
        const work: QueuedWork = {
            job,
            rank: job.rank,
            softStartDeadlineMs: job.dueAtMs - answerMs,
            hardStartDeadlineMs: job.customerTimeoutAtMs - answerMs,
            prefillMs: job.needs?.prefillMs ?? 0,
            orderDelayMs: 0,
            isAboveShare: false,
            returnedMs: takeReturnedMs(job, nowMs),
            hasYielded: false,
        };
        refreshOrder(work, nowMs);
        return work;
    }

    /** Selects the requests of the same service that wait here and come before this one. */
    function selectAhead(work: QueuedWork, waiting: readonly QueuedWork[], nowMs: number): readonly QueuedWork[] {
        const ownClass = getWaitingClass(work, nowMs);
        return waiting.filter(other =>
            other !== work && other.job.service.name === work.job.service.name
            && getWaitingClass(other, nowMs) <= ownClass && compareWaiting(other, work, nowMs) < 0
        );
    }

    function countPeersAhead(work: QueuedWork, nowMs: number): number {
        const service = work.job.service.name;
        return peerWaiting.list(service, nowMs)
            .filter(group => work.isAboveShare || !usage.isAboveShare(service, group.customer, nowMs))
            .reduce((sum, group) => sum + group.count, 0);
    }

    function predictStart(
        work: QueuedWork,
        waiting: readonly QueuedWork[],
        capacity: ServiceCapacity,
        nowMs: number,
    ): StartPrediction {
        const selected = selectAhead(work, waiting, nowMs);
        const ahead = selected.length;
        const aheadElsewhere = work.job.share ? countPeersAhead(work, nowMs) : 0;
        if (isPlain(work)) {
            const residenceMs = residence.get(work.job.service.name);
            const startMs = predictStartMs({ ...capacity, ahead: ahead + aheadElsewhere, residenceMs });
            return { ahead, aheadElsewhere, startMs };
        }
        const aheadMs = selected.reduce((sum, other) => sum + other.prefillMs, 0);
        const startMs = capacity.pendingPrefillMs + aheadMs / Math.max(1, capacity.endpoints);
        return { ahead, aheadElsewhere, startMs };
    }

    function predictPlainRefusal(
        work: QueuedWork,
        waiting: readonly QueuedWork[],
        capacity: ServiceCapacity,
        nowMs: number,
    ): number | undefined {
        const { name } = work.job.service;
        const { startMs } = predictStart(work, waiting, capacity, nowMs);
        const isAnyInTime =
            waiting.some(other =>
                other.job.service.name === name && getWaitingClass(other, nowMs) !== WaitingClass.Late
            ) || peerWaiting.list(name, nowMs).some(group => group.latestStartMs > nowMs);
        // A late start is accepted only where it displaces nothing that can be on time.
        const latestMs = isAnyInTime ? work.softStartDeadlineMs : work.hardStartDeadlineMs;
        return isStartExpected(startMs, latestMs - nowMs) ? undefined : startMs;
    }

    /**
     * Engines refuse only requests of customers above their share, and only if the prefill that comes before leaves no
     * time for an answer: other requests may end early or become late themselves, and a refusal cannot be undone.
     */
    function predictEngineRefusal(
        work: QueuedWork,
        waiting: readonly QueuedWork[],
        capacity: ServiceCapacity,
        nowMs: number,
    ): number | undefined {
        if (!work.isAboveShare) {
            return undefined;
        }
        const { startMs } = predictStart(work, waiting, capacity, nowMs);
        return nowMs + startMs > work.hardStartDeadlineMs ? startMs : undefined;
    }

    return {
        addArrival,
        recordPlainUse(job, place) {
            const { service, share } = job;
            const placedAtMs = timers.now();
            return !share ? place : {
                ...place,
                release() {
                    const endedAtMs = timers.now();
                    residence.record(service.name, endedAtMs - placedAtMs);
                    usage.record(service.name, share.customer, endedAtMs - placedAtMs, endedAtMs);
                    place.release();
                },
            };
        },
        recordEngineUse({ service, share, needs }, nowMs) {
            if (share && service.engine && needs) {
                const usedMs = computeEngineUseMs(service.engine, needs.prefillMs, needs.outputTokens);
                usage.record(service.name, share.customer, usedMs, nowMs);
            }
        },
        refreshOrder,
        isBehind(work, waiting, nowMs) {
            if (!work.job.share) {
                return false;
            }
            const ahead = selectAhead(work, waiting, nowMs);
            // An engine takes requests in parallel as long as they make no other one late, so that only requests of a
            // better class keep one from trying. A request that avoids endpoints, or may run on none beside another
            // suspect, may wait for one while others are free.
            return isPlain(work)
                ? ahead.some(({ job }) => job.avoid.size === 0 && !job.isSuspect)
                : ahead.some(other => getWaitingClass(other, nowMs) < getWaitingClass(work, nowMs));
        },
        isLeftToPeer(work, nowMs) {
            const { share, service } = work.job;
            return share !== undefined && isLeftToPeer(
                getWaitingClass(work, nowMs),
                peerWaiting.list(service.name, nowMs),
                other => usage.isAboveShare(service.name, other, nowMs),
                nowMs,
            );
        },
        predictRefusal(work, waiting, capacity, nowMs) {
            if (!work.job.share) {
                return undefined;
            }
            return isPlain(work)
                ? predictPlainRefusal(work, waiting, capacity, nowMs)
                : predictEngineRefusal(work, waiting, capacity, nowMs);
        },
        predictStart,
        recordRefusal({ job, returnedMs }, nowMs) {
            if (job.share?.fingerprint !== undefined) {
                returning.recordRefusal(job.share.fingerprint, job.arrivedAtMs - returnedMs, nowMs);
            }
        },
        listGroups: waiting =>
            collectWaitingGroups(
                waiting.flatMap(({ job, rank, softStartDeadlineMs, prefillMs }) =>
                    !job.share ? [] : [{
                        service: job.service.name,
                        customer: job.share.customer,
                        rank,
                        latestStartMs: softStartDeadlineMs,
                        needMs: prefillMs,
                        count: 1,
                    }]
                ),
            ),
    };
}

/**
 * Describes the capacity of a service on engines.
 *
 * @example
 * describeEngineCapacity(views).pendingPrefillMs;
 */
export function describeEngineCapacity(views: readonly EngineView[]): ServiceCapacity {
    const pendingMs = views.reduce((sum, view) => sum + view.pendingPrefillMs, 0);
    return {
        running: views.reduce((sum, view) => sum + view.running, 0),
        freePlaces: 0,
        pendingPrefillMs: pendingMs / Math.max(1, views.length),
        endpoints: views.length,
    };
}

/**
 * Describes the capacity of a plain service for one request.
 *
 * @param aboveShareGroups see `countPlaces`
 *
 * @example
 * describePlainCapacity(views, new Set(), undefined).freePlaces;
 */
export function describePlainCapacity(
    views: readonly PlainView[],
    avoid: ReadonlySet<string>,
    aboveShareGroups: number | undefined,
): ServiceCapacity {
    return {
        running: views.reduce((sum, view) => sum + view.running, 0),
        freePlaces: views.filter(view => !avoid.has(view.id) && !view.isTrial)
            .reduce((sum, view) => sum + Math.max(0, countPlaces(view.slots, aboveShareGroups) - view.running), 0),
        pendingPrefillMs: 0,
        endpoints: views.length,
    };
}

/**
 * Returns whether a request finds no place in a placement run in which one of its class and service has found none.
 *
 * @example
 * isAlikePlain(work);
 */
export function isAlikePlain({ job }: QueuedWork): boolean {
    return job.share !== undefined && !job.service.engine && job.avoid.size === 0 && !job.isSuspect;
}
