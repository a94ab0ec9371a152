import { TimerService } from "../base/timerService.js";
import { defaultPlacementSettings } from "../routing/enginePlacement.js";
import { predictEngineStartMs } from "../routing/engineShare.js";
import { computeEngineUseMs, predictFirstEventMs } from "../routing/placementStage.js";
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
import { createYieldCycle } from "../scheduling/yieldCycle.js";
import { Place, PlacementJob } from "./place.js";
import { minPlainAnswerMs } from "./placeAllocator.js";
import { ServiceCapacity } from "./serviceCapacity.js";

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
    /** Records the use of engines when a request is placed, and the time that it has its slot when it ends. */
    recordEngineUse(job: PlacementJob, place: Place, engines: number, nowMs: number): Place;
    /** Returns whether a request must not delay others, because work within its customer's share waits and can be on time. */
    isHeldBack(work: QueuedWork, waiting: readonly QueuedWork[], nowMs: number): boolean;
    refreshOrder(work: QueuedWork, nowMs: number): void;
    /** Returns whether a request must wait because others that wait here have a better claim to a place. */
    isBehind(work: QueuedWork, waiting: readonly QueuedWork[], nowMs: number): boolean;
    /** Returns whether a free place is to be left to a request that waits here or at another gateway. */
    isLeftToOthers(work: QueuedWork, waiting: readonly QueuedWork[], nowMs: number): boolean;
    /** Lists the customers whose running requests a request may delay while work waits. */
    getDelayable(work: QueuedWork, waiting: readonly QueuedWork[], nowMs: number): ReadonlySet<number> | undefined;
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
    const yieldCycle = createYieldCycle();

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

    /** Returns whether a long prompt waits here that comes before a request of a customer above its share. */
    function isLeftToLongPrompt(work: QueuedWork, waiting: readonly QueuedWork[]): boolean {
        return work.isAboveShare && waiting.some(other =>
            other.job.service.name === work.job.service.name
            && other.prefillMs > defaultPlacementSettings.shortPrefillMs && !other.isAboveShare
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
        const startMs = predictEngineStartMs({
            ...capacity,
            ahead: ahead + aheadElsewhere,
            aheadPrefillMs: selected.reduce((sum, other) => sum + other.prefillMs, 0),
            residenceMs: residence.get(work.job.service.name),
        });
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
     * Engines refuse only requests of customers above their share, and only while others wait: short prompts that would
     * start late, so that the slots go to work that is on time, and long ones if what comes before leaves no time for an
     * answer. Long prompts are few and worth most, and a refusal cannot be undone.
     */
    function predictEngineRefusal(
        work: QueuedWork,
        waiting: readonly QueuedWork[],
        capacity: ServiceCapacity,
        nowMs: number,
    ): number | undefined {
        if (!work.isAboveShare || !waiting.some(other => other.job.service.name === work.job.service.name)) {
            return undefined;
        }
        const { startMs } = predictStart(work, waiting, capacity, nowMs);
        const isShort = work.prefillMs <= defaultPlacementSettings.shortPrefillMs;
        return (isShort
                ? isStartExpected(startMs, work.softStartDeadlineMs - nowMs)
                : nowMs + startMs <= work.hardStartDeadlineMs)
            ? undefined
            : startMs;
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
        recordEngineUse({ service, share, needs }, place, engines, nowMs) {
            if (!share || !service.engine || !needs) {
                return place;
            }
            const usedMs = computeEngineUseMs(service.engine, needs.prefillMs, needs.outputTokens);
            usage.record(service.name, share.customer, usedMs, nowMs);
            usage.setEngines(service.name, engines);
            return {
                ...place,
                release() {
                    residence.record(service.name, timers.now() - nowMs);
                    place.release();
                },
            };
        },
        isHeldBack(work, waiting, nowMs) {
            const { share, service } = work.job;
            return share !== undefined && work.isAboveShare && (
                work.prefillMs <= defaultPlacementSettings.shortPrefillMs || waiting.some(other =>
                    other.job.service.name === service.name && getWaitingClass(other, nowMs) !== WaitingClass.Late
                ) || peerWaiting.list(service.name, nowMs).some(group =>
                    group.latestStartMs >= nowMs
                )
            );
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
        isLeftToOthers(work, waiting, nowMs) {
            const { share, service } = work.job;
            if (!share) {
                return false;
            }
            const isLeft = isLeftToPeer(
                getWaitingClass(work, nowMs),
                peerWaiting.list(service.name, nowMs),
                other => usage.isAboveShare(service.name, other, nowMs),
                nowMs,
            );
            return isPlain(work)
                ? isLeft
                : (isLeft || isLeftToLongPrompt(work, waiting)) && yieldCycle.isYielding(service.name, nowMs);
        },
        getDelayable(work, waiting, nowMs) {
            const { share, service } = work.job;
            return share && !work.isAboveShare && waiting.some(other => other.job.service.name === service.name)
                ? usage.getAboveShare(service.name, nowMs)
                : undefined;
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
 * Returns whether a request finds no place in a placement run in which one of its class and service has found none.
 *
 * @example
 * isAlikePlain(work);
 */
export function isAlikePlain({ job }: QueuedWork): boolean {
    return job.share !== undefined && !job.service.engine && job.avoid.size === 0 && !job.isSuspect;
}
