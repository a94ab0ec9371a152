import { createDisposable, Disposable } from "../base/disposable.js";
import { TimerService } from "../base/timerService.js";
import { EndpointDirectory } from "../membership/endpointDirectory.js";
import { EndpointHealth } from "../membership/endpointHealth.js";
import { EndpointSubset } from "../membership/endpointSubset.js";
import { EngineProfile, Service } from "../ports/servingConfiguration.js";
import { ClaimPolicy } from "../routing/engineClaim.js";
import {
    defaultPlacementSettings,
    PlacementPolicy,
    PlacementRequest,
    PlacementStage,
} from "../routing/enginePlacement.js";
import { chooseStage } from "../routing/engineShare.js";
import { EngineView } from "../routing/engineView.js";
import { LoadLedger, WorkItem } from "../routing/loadLedger.js";
import { decidePlacementStage } from "../routing/placementStage.js";
import { placeOnPlainService } from "../routing/plainPlacement.js";
import { SlowdownEstimate } from "../routing/slowdownEstimate.js";
import { SpareEngine } from "../routing/spareEngines.js";
import { compareWaiting, getWaitingClass } from "../scheduling/compareWaiting.js";
import { EndpointGate } from "./endpointGate.js";
import { EndpointQuota } from "./endpointQuota.js";
import { createEngineBorrowing } from "./engineBorrowing.js";
import { createEngineClaims } from "./engineClaims.js";
import { EngineLending } from "./engineLending.js";
import { ServiceLoad } from "./hedging.js";
import { EngineNeeds, Place, PlacementJob } from "./place.js";
import { createPlaceAllocator } from "./placeAllocator.js";
import { makePlacementRequest } from "./placementRequest.js";
import { createQueueFairness, isAlikePlain, PlacementFairness, QueuedWork, StartPrediction } from "./queueFairness.js";
import { createServiceAvailability, EndpointTerms } from "./serviceAvailability.js";
import { describeEngineCapacity, describePlainCapacity, ServiceCapacity } from "./serviceCapacity.js";
import { createServiceLoads } from "./serviceLoad.js";
import { createUsableEndpoints } from "./usableEndpoints.js";
import { createWaitPrediction } from "./waitPrediction.js";

/** Places requests on endpoints, and queues those that no endpoint has capacity for. */
export interface PlacementQueue extends Disposable {
    /** Places a request at once or queues it. Disposing of the result removes it from the queue. */
    submit(job: PlacementJob): Disposable;
    /** Schedules an attempt to place the queued requests; to be called when load or endpoints have changed. */
    run(): void;
    countWaiting(): number;
    getLoad(service: Service): ServiceLoad;
    /** Estimates how long a further request of this size would wait for capacity of the service, in milliseconds. */
    predictWaitMs(service: Service, needs: EngineNeeds | undefined): number;
    /**
     * Returns whether none of the endpoints of a place has been closed for good since it was assigned; to be asked before
     * a request is sent that had to wait with its place.
     */
    isStillUsable(place: Place): boolean;
    /** Lists the engines that this cell can spare: none while a request of the service waits here. */
    listSpareEngines(service: Service): readonly SpareEngine[];
    /** Returns whether an endpoint is known that a request could run on and that is not closed for good. */
    hasEndpointLeft(terms: EndpointTerms): boolean;
    /** Predicts when a waiting request starts. */
    predictStart(job: PlacementJob): StartPrediction | undefined;
    /** Creates a queue with a copy of what waits here, to find out what it would decide. */
    copy(changeOptions: (options: PlacementQueueOptions) => PlacementQueueOptions): PlacementQueue;
}

export interface PlacementQueueOptions {
    readonly timers: TimerService;
    readonly directory: EndpointDirectory;
    /** Endpoints that this gateway uses. */
    readonly endpointSubset: EndpointSubset;
    readonly health: EndpointHealth;
    readonly slowdownEstimate: SlowdownEstimate;
    readonly ledger: LoadLedger;
    readonly dataCentre: string;
    /** Regions of the data centres, by name. */
    readonly regions?: ReadonlyMap<string, string>;
    /** Seed of the order in which engines are filled. Gateways with different seeds rarely choose the same engine. */
    readonly orderSeed: string;
    /** Prefix of the keys of this process's work, unique among all gateways. */
    readonly keyPrefix: string;
    readonly random: () => number;
    /** Chooses engines for a request. */
    readonly placeOnEngines: PlacementPolicy;
    /** Chooses engines to be kept free for a long prompt that no engines have capacity for. */
    readonly chooseClaim: ClaimPolicy;
    readonly reportChange: (key: string, item: WorkItem | undefined) => void;
    /** Limits that endpoints have named. */
    readonly quota: PlacementQuota;
    /** Facts beyond registrations that keep work off endpoints. */
    readonly gate: EndpointGate;
    /** Returns whether all endpoints of a service leave, so that a request would wait in vain. */
    readonly isServiceLeaving?: (service: string) => boolean;
    /** Division of places between customers. */
    readonly fairness: PlacementFairness;
    /** Engines of other cells; absent if gateways form only one. */
    readonly lending?: Pick<EngineLending, "listSpare" | "recordBorrowing">;
}

/** Limits of endpoints, as far as placement depends on them. */
export type PlacementQuota = Pick<EndpointQuota, "isOpen" | "isLastChoice" | "getShare" | "recordDispatch">;

/**
 * Delay between two placement runs while requests are queued. Runs are repeated because engines gain capacity as they
 * work through prompts, which causes no event here. The delay is random and its jitter longer than the latency of a
 * message, so that two gateways rarely choose the same engines that have just become free. Long prompts tolerate more
 * jitter.
 */
const minRunDelayMs = 2;
const runJitterMs = 14;
const longPromptRunJitterMs = 40;
/** Number of unclaimed queued requests per run, which bounds the time that a long queue takes on the event loop. */
const maxItemsPerRun = 40;
/** Engine views by service name. An entry is deleted when work is assigned to the service. */
type ViewCache = Map<string, readonly EngineView[]>;

type WaitingItem = QueuedWork;

/**
 * Creates a queue, an empty one unless `initial` requests wait.
 *
 * @example
 * const waiting = queue.submit(job);
 * waiting.dispose(); // the customer has left
 */
export function createPlacementQueue(
    options: PlacementQueueOptions,
    initial: readonly QueuedWork[] = [],
): PlacementQueue {
    const { timers, endpointSubset, ledger, quota, gate } = options;
    const usableEndpoints = createUsableEndpoints(options);
    const { listEngineViews, listPlainViews, startTrials, isLastChoice } = usableEndpoints;
    let waiting: WaitingItem[] = initial.map(item => ({ ...item }));
    let nextRun: Disposable | undefined;
    let isNextRunLong = false;
    /** Results of `selectPreferred`. */
    const preferredViews = new WeakMap<readonly unknown[], readonly unknown[]>();
    const availability = createServiceAvailability(options);
    const serviceLoads = createServiceLoads(usableEndpoints, endpointSubset, ledger);
    const waitPrediction = createWaitPrediction(usableEndpoints, availability, quota);
    const fairness = createQueueFairness(options.fairness.state, timers);
    const allocator = createPlaceAllocator({
        ...options,
        recordDispatch: endpoint => quota.recordDispatch(endpoint),
        onCapacityFreed: run,
    });
    const claims = createEngineClaims(options.chooseClaim, allocator, usableEndpoints);
    const engineBorrowing = createEngineBorrowing(options, usableEndpoints, allocator);

    function findPlace(item: WaitingItem, views: ViewCache, nowMs: number): Place | undefined {
        const { job } = item;
        const { engine } = job.service;
        if (!engine || !job.needs) {
            const request = {
                avoid: job.avoid,
                dataCentre: options.dataCentre,
                isUnsafe: job.isUnsafe,
                isSuspect: job.isSuspect,
                aboveShareGroups: getAboveShareGroups(item),
            };
            const view = tryPreferredFirst(
                listPlainViews(job, nowMs)
                    // Beyond its slots, an endpoint queues requests.
                    .filter(view => !job.isImmediate || (view.running < view.slots && !view.isTrial)),
                views => placeOnPlainService(request, views),
            );
            startTrials(view ? [view] : [], nowMs);
            return view && fairness.recordPlainUse(job, allocator.assignPlainEndpoint(job, view, nowMs));
        }
        const delayable = fairness.getDelayable(item, waiting, nowMs);
        const request = makePlacementRequest(job, job.needs, nowMs, delayable);
        const place = findEnginePlace(item, request, engine, views, nowMs);
        return place && fairness.recordEngineUse(job, place, countOwnEngines(job), nowMs);
    }

    /** Counts the engines that the customers of this group of gateways divide. */
    function countOwnEngines({ service, share }: PlacementJob): number {
        return share === undefined
            ? 0
            : endpointSubset.list(service.name).length / Math.max(1, options.fairness.countSharingGroups(service.name));
    }

    function getAboveShareGroups({ job, isAboveShare }: WaitingItem): number | undefined {
        return isAboveShare ? options.fairness.countSharingGroups(job.service.name) : undefined;
    }

    /** Selects the endpoints that are not a last choice, once for each list: requests of a run share the list of engines. */
    function selectPreferred<View extends { readonly id: string }>(views: readonly View[]): readonly View[] {
        const preferred = preferredViews.get(views) as readonly View[] | undefined
            ?? views.filter(view => !isLastChoice(view.id));
        preferredViews.set(views, preferred);
        return preferred;
    }

    /** Tries to place on endpoints that are not a last choice first, then on all. */
    function tryPreferredFirst<View extends { readonly id: string }, Result>(
        views: readonly View[],
        place: (views: readonly View[]) => Result | undefined,
    ): Result | undefined {
        const preferred = selectPreferred(views);
        const found = place(preferred);
        return found === undefined && preferred.length < views.length ? place(views) : found;
    }

    function findEnginePlace(
        item: WaitingItem,
        request: PlacementRequest,
        engine: EngineProfile,
        views: ViewCache,
        nowMs: number,
    ): Place | undefined {
        const { job } = item;
        if (claims.has(item)) {
            const place = claims.findPlace(item, request, engine, nowMs);
            if (place || claims.has(item)) {
                return place;
            }
            views.delete(job.service.name);
        }
        const known = getEngineViews(views, job, engine, nowMs);
        const stage = job.isImmediate
            ? PlacementStage.NonDisruptive
            : chooseStage(decidePlacementStage(item, nowMs), fairness.isHeldBack(item, waiting, nowMs));
        const placement = tryPreferredFirst(
            known,
            some => options.placeOnEngines(request, some, engine.slots, nowMs, stage, defaultPlacementSettings),
        );
        if (!placement && job.isImmediate) {
            return undefined;
        }
        if (!placement) {
            const borrowed = engineBorrowing.findPlace(job, request, engine, selectPreferred(known), stage, nowMs);
            if (!borrowed) {
                claims.claim(item, request, engine, selectPreferred(known), stage, nowMs);
            }
            if (borrowed || claims.has(item)) {
                views.delete(job.service.name);
            }
            return borrowed;
        }
        views.delete(job.service.name);
        startTrials([placement.endpoint, ...placement.helpers], nowMs);
        return allocator.assignEngines(job, engine, placement, stage, nowMs);
    }

    function getEngineViews(
        views: ViewCache,
        { service, allowedRegions }: PlacementJob,
        engine: EngineProfile,
        nowMs: number,
    ): readonly EngineView[] {
        if (allowedRegions) {
            return listEngineViews(service, engine, nowMs, undefined, allowedRegions);
        }
        const known = views.get(service.name) ?? listEngineViews(service, engine, nowMs);
        views.set(service.name, known);
        return known;
    }

    /** Schedules a placement run unless one is scheduled, so that changes at about the same time share a run. */
    function run(): void {
        if (waiting.length > 0) {
            const isLongOnly = waiting.every(item => item.prefillMs > defaultPlacementSettings.shortPrefillMs);
            const jitterMs = isLongOnly ? longPromptRunJitterMs : runJitterMs;
            // A request that was left waiting for the sake of a long prompt finds a free slot soon.
            if (isNextRunLong && !isLongOnly && waiting.some(item => item.job.share)) {
                nextRun?.dispose();
                nextRun = undefined;
            }
            isNextRunLong = isLongOnly;
            nextRun ??= timers.schedule(minRunDelayMs + jitterMs * options.random(), runNow);
        }
    }

    function runNow(): void {
        nextRun?.dispose();
        nextRun = undefined;
        placeWaiting();
        if (waiting.length > 0) {
            run();
        }
    }

    function placeWaiting(): void {
        const nowMs = timers.now();
        const views: ViewCache = new Map();
        waiting.forEach(item => fairness.refreshOrder(item, nowMs));
        waiting.sort((left, right) => compareWaiting(left, right, nowMs));
        const candidates = [...claims.list(), ...selectCandidates()];
        const fullClasses = new Set<string>();
        for (const item of candidates) {
            const key = `${getWaitingClass(item, nowMs)} ${item.job.service.name}`;
            if (isStartMissed(item, nowMs) || (fullClasses.has(key) && isAlikePlain(item))) {
                continue;
            }
            const place = claims.has(item) || !isYielding(item, nowMs) ? findPlace(item, views, nowMs) : undefined;
            if (place) {
                removeWaiting([item]);
                item.job.onPlaced(place);
            }
            else if (isAlikePlain(item)) {
                fullClasses.add(key);
            }
        }
        const expired = waiting.filter(item =>
            ((nowMs > item.hardStartDeadlineMs || availability.isClosedTooLong(item, nowMs)) && !claims.has(item))
            || availability.hasNoneLeft(item.job, nowMs)
        );
        expired.forEach(item => claims.drop(item));
        removeWaiting(expired);
        expired.forEach(item => item.job.onExpired({ inputs: describeLoad(item.job, nowMs) }));
    }

    /**
     * Returns whether a request of a plain service has passed its latest start since the last run. A place would be used
     * for an answer that comes after the deadline. The latest start on engines rests on a predicted time, which may be too
     * long.
     */
    function isStartMissed({ job, hardStartDeadlineMs }: WaitingItem, nowMs: number): boolean {
        return !job.service.engine && nowMs > hardStartDeadlineMs;
    }

    function removeWaiting(items: readonly WaitingItem[]): void {
        waiting = waiting.filter(item => !items.includes(item));
        reportWaiting(items);
    }

    function reportWaiting(changed: readonly WaitingItem[]): void {
        if (changed.some(item => item.job.share)) {
            options.fairness.reportWaiting(fairness.listGroups(waiting));
        }
    }

    function isYielding(item: WaitingItem, nowMs: number): boolean {
        const isLeft = fairness.isLeftToOthers(item, waiting, nowMs);
        if (isLeft && !item.hasYielded) {
            item.hasYielded = true;
            options.fairness.reportYield(item.job.service.name);
        }
        return isLeft;
    }

    /** Selects the requests that a placement run tries to place. Those that may be skipped cost no time. */
    function selectCandidates(): readonly WaitingItem[] {
        let count = 0;
        return waiting.filter(item => !claims.has(item) && (isAlikePlain(item) || count++ < maxItemsPerRun));
    }

    /** Returns whether the limits of all endpoints allow a request only when it can no longer start in time. */
    function isLimitedTooLong({ job, hardStartDeadlineMs }: WaitingItem, nowMs: number): boolean {
        return nowMs + waitPrediction.predictLimitWaitMs(job.service, waiting, nowMs) > hardStartDeadlineMs;
    }

    function describeLoad(job: PlacementJob, nowMs: number): string {
        return serviceLoads.describe(job.service, waiting, nowMs);
    }

    function describeCapacity(item: WaitingItem, nowMs: number): ServiceCapacity {
        const { service, avoid } = item.job;
        return service.engine
            ? describeEngineCapacity(listEngineViews(service, service.engine, nowMs))
            : describePlainCapacity(listPlainViews(item.job, nowMs), avoid, getAboveShareGroups(item));
    }

    /** Refuses a request that cannot start in time. Returns whether it did. */
    function refuseLate(item: WaitingItem, nowMs: number): boolean {
        waiting.forEach(other => fairness.refreshOrder(other, nowMs));
        const startMs = fairness.predictRefusal(item, waiting, describeCapacity(item, nowMs), nowMs);
        if (startMs !== undefined) {
            fairness.recordRefusal(item, nowMs);
            const inputs = `${describeLoad(item.job, nowMs)} aboveShare=${item.isAboveShare}`;
            item.job.onExpired({ inputs, startMs });
        }
        return startMs !== undefined;
    }

    return {
        run,
        submit(job) {
            const item = fairness.addArrival(job, timers.now());
            const mustWait = fairness.isBehind(item, waiting, timers.now()) || isYielding(item, timers.now());
            const place = mustWait ? undefined : findPlace(item, new Map(), timers.now());
            if (place) {
                job.onPlaced(place);
                return createDisposable(() => undefined);
            }
            if (job.isImmediate) {
                return createDisposable(() => undefined);
            }
            if (
                availability.hasNoneLeft(job, timers.now()) || isLimitedTooLong(item, timers.now())
                || availability.isClosedTooLong(item, timers.now())
            ) {
                job.onExpired({ inputs: describeLoad(job, timers.now()) });
                return createDisposable(() => undefined);
            }
            if (job.share && refuseLate(item, timers.now())) {
                return createDisposable(() => undefined);
            }
            waiting.push(item);
            reportWaiting([item]);
            job.onWaiting(describeLoad(job, timers.now()));
            run();
            return {
                dispose() {
                    removeWaiting([item]);
                    claims.drop(item);
                },
            };
        },
        countWaiting: () => waiting.length,
        isStillUsable: ({ endpoint, helpers }) =>
            [endpoint, ...helpers].every(record => gate.getOpensInMs(record, timers.now()) < Infinity),
        hasEndpointLeft: terms => availability.hasEndpointLeft(terms, timers.now()),
        getLoad: service => serviceLoads.get(service, waiting, timers.now()),
        predictWaitMs: (service, needs) => waitPrediction.predictWaitMs(service, needs, waiting, timers.now()),
        listSpareEngines: service => engineBorrowing.listOwnSpare(service, waiting),
        predictStart(job) {
            const nowMs = timers.now();
            const item = waiting.find(other => other.job === job);
            return item && fairness.predictStart(item, waiting, describeCapacity(item, nowMs), nowMs);
        },
        copy: changeOptions => createPlacementQueue(changeOptions(options), waiting),
        dispose() {
            nextRun?.dispose();
            claims.list().forEach(item => claims.drop(item));
            waiting = [];
        },
    };
}
