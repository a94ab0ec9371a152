import murmurhash from "murmurhash";
import { createDisposable, Disposable } from "../base/disposable.js";
import { TimerService } from "../base/timerService.js";
import { EndpointDirectory } from "../membership/endpointDirectory.js";
import { EndpointHealth, HealthStatus } from "../membership/endpointHealth.js";
import { EndpointSubset } from "../membership/endpointSubset.js";
import { EndpointRecord } from "../ports/endpointRecord.js";
import { EngineProfile, Service } from "../ports/servingConfiguration.js";
import { ClaimPolicy, defaultClaimSettings } from "../routing/engineClaim.js";
import {
    defaultPlacementSettings,
    PlacementPolicy,
    PlacementRequest,
    PlacementStage,
    placeOnClaimedEngines,
} from "../routing/enginePlacement.js";
import { buildEngineView, EngineView } from "../routing/engineView.js";
import { LoadLedger, WorkItem } from "../routing/loadLedger.js";
import { decidePlacementStage, predictFirstEventMs } from "../routing/placementStage.js";
import { placeOnPlainService, PlainView } from "../routing/plainPlacement.js";
import { AllowedRegions, isRegionAllowed } from "../routing/regionRestriction.js";
import { SlowdownEstimate } from "../routing/slowdownEstimate.js";
import { compareWaiting, WaitingWork } from "../scheduling/compareWaiting.js";
import { EndpointGate } from "./endpointGate.js";
import { EndpointQuota } from "./endpointQuota.js";
import { ServiceLoad } from "./hedging.js";
import { EngineNeeds, Place, PlacementJob } from "./place.js";
import { createPlaceAllocator, minPlainAnswerMs, RegisteredClaim } from "./placeAllocator.js";
import { makePlacementRequest } from "./placementRequest.js";
import { createServiceAvailability } from "./serviceAvailability.js";

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
/**
 * Time for which a claim waits for its engines beyond the predicted one. Answers that take even longer are longer than
 * expected, so the claim is dropped and the prompt is placed like any other.
 */
const claimOverdueToleranceMs = 500;

const millisecondsPerSecond = 1_000;

/** Engine views by service name. An entry is deleted when work is assigned to the service. */
type ViewCache = Map<string, readonly EngineView[]>;

interface WaitingItem extends WaitingWork {
    readonly job: PlacementJob;
}

/** Endpoint that may receive requests. */
interface UsableEndpoint {
    readonly record: EndpointRecord;
    /** Whether only a single request may be sent, to test if the endpoint works again. */
    readonly isTrial: boolean;
}

/**
 * Creates an empty queue.
 *
 * @example
 * const waiting = queue.submit(job);
 * waiting.dispose(); // the customer has left
 */
export function createPlacementQueue(options: PlacementQueueOptions): PlacementQueue {
    const { timers, endpointSubset, health, slowdownEstimate, ledger, quota, gate } = options;
    let waiting: WaitingItem[] = [];
    let nextRun: Disposable | undefined;
    const claims = new Map<WaitingItem, RegisteredClaim>();
    const availability = createServiceAvailability(options);
    const allocator = createPlaceAllocator({
        ...options,
        recordDispatch: endpoint => quota.recordDispatch(endpoint),
        onCapacityFreed: run,
    });

    /** Lists the endpoints that may be sent a request now. */
    function listUsableEndpoints(service: Service, nowMs: number, allowed?: AllowedRegions): UsableEndpoint[] {
        return listHealthyEndpoints(service, nowMs, allowed).filter(({ record }) =>
            gate.isOpen(record, nowMs) && quota.isOpen(record.id)
        );
    }

    /**
     * Lists the endpoints of the own subset that a request may run on or, if its restriction leaves none of them, those of
     * all others.
     */
    function listAllowed(service: Service, allowed: AllowedRegions | undefined): readonly EndpointRecord[] {
        const own = endpointSubset.list(service.name);
        if (allowed === undefined) {
            return own;
        }
        const isAllowed = (record: EndpointRecord) => isRegionAllowed(allowed, record.dataCentre, options.regions);
        const allowedOwn = own.filter(isAllowed);
        return allowedOwn.length > 0 ? allowedOwn : options.directory.listUsable(service.name).filter(isAllowed);
    }

    function listHealthyEndpoints(service: Service, nowMs: number, allowed?: AllowedRegions): UsableEndpoint[] {
        return listAllowed(service, allowed)
            .map(record => ({ record, standing: health.getStatus(record.id, nowMs) }))
            .filter(({ standing }) => standing !== HealthStatus.Down)
            .map(({ record, standing }) => ({ record, isTrial: standing === HealthStatus.Trial }));
    }

    /** Lists views of the usable engines, without the work under `ignoredKeys`. */
    function listEngineViews(
        service: Service,
        engine: EngineProfile,
        nowMs: number,
        ignoredKeys?: ReadonlySet<string>,
        allowed?: AllowedRegions,
    ): EngineView[] {
        return listUsableEndpoints(service, nowMs, allowed).map(({ record, isTrial }) => {
            const properties = {
                id: record.id,
                address: record.address,
                order: murmurhash.v3(`${options.orderSeed} ${record.id}`),
                isTrial,
                slowdown: slowdownEstimate.getSlowdown(record.id, nowMs),
            };
            const items = ledger.listAt(record.id, nowMs).filter(item => !ignoredKeys?.has(item.key));
            return buildEngineView(properties, engine, items, nowMs);
        });
    }

    function listPlainViews({ service, allowedRegions }: PlacementJob, nowMs: number): PlainView[] {
        return listUsableEndpoints(service, nowMs, allowedRegions).map(({ record, isTrial }) => ({
            id: record.id,
            address: record.address,
            dataCentre: record.dataCentre,
            isTrial,
            running: ledger.listAt(record.id, nowMs).length,
            slots: record.slots,
        }));
    }

    function startTrials(views: readonly { readonly id: string; readonly isTrial: boolean }[], nowMs: number): void {
        views.filter(view => view.isTrial).forEach(view => health.startTrial(view.id, nowMs));
    }

    function findPlace(item: WaitingItem, views: ViewCache, nowMs: number): Place | undefined {
        const { job } = item;
        const { engine } = job.service;
        if (!engine || !job.needs) {
            const request = { avoid: job.avoid, dataCentre: options.dataCentre, isUnsafe: job.isUnsafe };
            const view = tryPreferredFirst(
                listPlainViews(job, nowMs)
                    // Beyond its slots, an endpoint queues requests.
                    .filter(view => !job.isImmediate || (view.running < view.slots && !view.isTrial)),
                views => placeOnPlainService(request, views),
            );
            startTrials(view ? [view] : [], nowMs);
            return view && allocator.assignPlainEndpoint(job, view, nowMs);
        }
        return findEnginePlace(item, makePlacementRequest(job, job.needs, nowMs), engine, views, nowMs);
    }

    function isLastChoice(id: string): boolean {
        const endpoint = options.directory.find(id)?.record;
        return quota.isLastChoice(id) || (endpoint !== undefined && gate.isLastChoice(endpoint, timers.now()));
    }

    /** Tries to place on endpoints that are not a last choice first, then on all. */
    function tryPreferredFirst<View extends { readonly id: string }, Result>(
        views: readonly View[],
        place: (views: readonly View[]) => Result | undefined,
    ): Result | undefined {
        const preferred = views.filter(view => !isLastChoice(view.id));
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
            const place = findClaimedPlace(item, request, engine, nowMs);
            if (place || claims.has(item)) {
                return place;
            }
            views.delete(job.service.name);
        }
        const known = getEngineViews(views, job, engine, nowMs);
        const stage = job.isImmediate ? PlacementStage.NonDisruptive : decidePlacementStage(item, nowMs);
        const placement = tryPreferredFirst(
            known,
            some => options.placeOnEngines(request, some, engine.slots, nowMs, stage, defaultPlacementSettings),
        );
        if (!placement && job.isImmediate) {
            return undefined;
        }
        if (!placement) {
            claimEngines(item, request, engine, known.filter(view => !isLastChoice(view.id)), stage, nowMs);
            if (claims.has(item)) {
                views.delete(job.service.name);
            }
            return undefined;
        }
        views.delete(job.service.name);
        startTrials([placement.endpoint, ...placement.helpers], nowMs);
        return allocator.assignEngines(job, engine, placement, stage, nowMs);
    }

    function claimEngines(
        item: WaitingItem,
        request: PlacementRequest,
        engine: EngineProfile,
        views: readonly EngineView[],
        stage: PlacementStage,
        nowMs: number,
    ): void {
        // A request that can still be on time claims only engines that keep it so; a late one needs an answer before
        // its customer disconnects.
        const latestMs = stage === PlacementStage.InTime ? request.dueAtMs : request.customerTimeoutAtMs;
        const claim = options.chooseClaim(
            { ...request, deadlineAtMs: latestMs },
            views,
            engine.slots,
            nowMs,
            defaultClaimSettings,
        );
        if (claim) {
            claims.set(item, allocator.registerClaim(item.job, claim, nowMs));
            item.job.onClaimed({
                engineIds: claim.engines.map(view => view.id),
                freeInMs: Math.round(claim.freeInMs),
                partMs: Math.round(claim.partMs),
                stage,
            });
        }
    }

    /** Assigns the claimed engines once they are free. Drops a claim that is overdue or has lost an engine. */
    function findClaimedPlace(
        item: WaitingItem,
        request: PlacementRequest,
        engine: EngineProfile,
        nowMs: number,
    ): Place | undefined {
        const claim = claims.get(item)!;
        const views = listEngineViews(item.job.service, engine, nowMs, claim.keys, item.job.allowedRegions)
            .filter(view => claim.engineIds.has(view.id));
        const areAllUsable = views.length === claim.engineIds.size;
        const placement = areAllUsable ? placeOnClaimedEngines(request, views) : undefined;
        if (placement || !areAllUsable || nowMs > claim.freeAtMs + claimOverdueToleranceMs) {
            dropClaim(item);
        }
        return placement && allocator.assignEngines(item.job, engine, placement, PlacementStage.Claimed, nowMs);
    }

    function dropClaim(item: WaitingItem): void {
        claims.get(item)?.release();
        claims.delete(item);
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
        waiting.sort((left, right) => compareWaiting(left, right, nowMs));
        const candidates = [...claims.keys(), ...waiting.filter(item => !claims.has(item)).slice(0, maxItemsPerRun)];
        for (const item of candidates) {
            const place = findPlace(item, views, nowMs);
            if (place) {
                waiting = waiting.filter(other => other !== item);
                item.job.onPlaced(place);
            }
        }
        const expired = waiting.filter(item =>
            ((nowMs > item.hardStartDeadlineMs || availability.isClosedTooLong(item, nowMs)) && !claims.has(item))
            || availability.hasNoneLeft(item.job, nowMs)
        );
        expired.forEach(dropClaim);
        waiting = waiting.filter(item => !expired.includes(item));
        expired.forEach(item => item.job.onExpired(describeLoad(item.job, nowMs)));
    }

    /**
     * Predicts the time until the limits of the endpoints allow the requests that wait and one more, in milliseconds.
     * Zero if an endpoint has no limit.
     */
    function predictLimitWaitMs(service: Service, nowMs: number): number {
        const healthy = listHealthyEndpoints(service, nowMs);
        const perSecond = healthy.reduce((sum, { record }) => sum + quota.getShare(record.id), 0);
        const ahead = waiting.filter(item => item.job.service.name === service.name).length;
        return healthy.length === 0 || perSecond === Infinity ? 0 : (ahead + 1) * millisecondsPerSecond / perSecond;
    }

    /** Returns whether the limits of all endpoints allow a request only when it can no longer start in time. */
    function isLimitedTooLong({ job, hardStartDeadlineMs }: WaitingItem, nowMs: number): boolean {
        return nowMs + predictLimitWaitMs(job.service, nowMs) > hardStartDeadlineMs;
    }

    /** Describes the load on which the decision to queue or refuse a request was based, for the log. */
    function describeLoad(job: PlacementJob, nowMs: number): string {
        const known = endpointSubset.list(job.service.name).length;
        const usable = listUsableEndpoints(job.service, nowMs);
        const running = usable.reduce((sum, { record }) => sum + ledger.listAt(record.id, nowMs).length, 0);
        return `endpoints=${known} usable=${usable.length} running=${running} waiting=${waiting.length}`;
    }

    function makeWaitingItem(job: PlacementJob): WaitingItem {
        const { engine } = job.service;
        const answerMs = engine && job.needs
            ? predictFirstEventMs(engine, job.needs.prefillMs)
            : minPlainAnswerMs;
        const softStartDeadlineMs = job.dueAtMs - answerMs;
        const hardStartDeadlineMs = job.customerTimeoutAtMs - answerMs;
        return {
            job,
            rank: job.rank,
            softStartDeadlineMs,
            hardStartDeadlineMs,
            prefillMs: job.needs?.prefillMs ?? 0,
        };
    }

    return {
        run,
        submit(job) {
            const item = makeWaitingItem(job);
            const place = findPlace(item, new Map(), timers.now());
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
                job.onExpired(describeLoad(job, timers.now()));
                return createDisposable(() => undefined);
            }
            waiting.push(item);
            job.onWaiting(describeLoad(job, timers.now()));
            run();
            return {
                dispose() {
                    waiting = waiting.filter(other => other !== item);
                    dropClaim(item);
                },
            };
        },
        countWaiting: () => waiting.length,
        isStillUsable: ({ endpoint, helpers }) =>
            [endpoint, ...helpers].every(record => gate.getOpensInMs(record, timers.now()) < Infinity),
        getLoad(service) {
            const nowMs = timers.now();
            const usable = listUsableEndpoints(service, nowMs);
            return {
                waiting: waiting.filter(item => item.job.service.name === service.name).length,
                slots: usable.reduce((sum, { record }) => sum + (service.engine?.slots ?? record.slots), 0),
                slotsTaken: usable.reduce((sum, { record }) => sum + ledger.listAt(record.id, nowMs).length, 0),
            };
        },
        predictWaitMs(service, needs) {
            const nowMs = timers.now();
            const queued = waiting.filter(item => item.job.service.name === service.name);
            const endpoints = listHealthyEndpoints(service, nowMs);
            const opensInMs = availability.getOpensInMs(service, new Set(), nowMs);
            if (endpoints.length === 0) {
                return opensInMs > 0 ? opensInMs : Number.POSITIVE_INFINITY;
            }
            const limitWaitMs = Math.max(opensInMs, predictLimitWaitMs(service, nowMs));
            const engine = service.engine;
            if (!engine || !needs) {
                return limitWaitMs;
            }
            const queuedPrefillMs = queued.reduce((sum, item) => sum + (item.job.needs?.prefillMs ?? 0), 0);
            const pendingPrefillMs = listEngineViews(service, engine, nowMs).reduce(
                (sum, view) => sum + view.pendingPrefillMs,
                0,
            );
            return Math.max(limitWaitMs, (queuedPrefillMs + pendingPrefillMs + needs.prefillMs) / endpoints.length);
        },
        dispose() {
            nextRun?.dispose();
            [...claims.keys()].forEach(dropClaim);
            waiting = [];
        },
    };
}
