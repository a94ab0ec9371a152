import { TimerService } from "../base/timerService.js";
import { EndpointDirectory } from "../membership/endpointDirectory.js";
import { EngineProfile } from "../ports/servingConfiguration.js";
import { EngineClaim } from "../routing/engineClaim.js";
import { isAnnouncementNeeded, isFitting, makeTentativeKey, settleMs } from "../routing/engineMemory.js";
import { Placement, PlacementStage } from "../routing/enginePlacement.js";
import { buildEngineView, EngineView } from "../routing/engineView.js";
import { LoadLedger, WorkItem, WorkPhase } from "../routing/loadLedger.js";
import { PlainView } from "../routing/plainPlacement.js";
import { makeWorkKey } from "../routing/workKey.js";
import { Place, PlacementJob } from "./place.js";
import { computeMemoryTokens } from "./placementRequest.js";

/** Assigns endpoint capacity to requests according to placement decisions. */
export interface PlaceAllocator {
    assignEngines(
        job: PlacementJob,
        engine: EngineProfile,
        placement: Placement,
        stage: PlacementStage,
        nowMs: number,
    ): Place;
    assignPlainEndpoint(job: PlacementJob, view: PlainView, nowMs: number): Place;
    /** Keeps other work off engines until they are free for a long prompt. */
    registerClaim(job: PlacementJob, claim: EngineClaim, nowMs: number): RegisteredClaim;
}

/** Claim on engines that are kept free for one long prompt. */
export interface RegisteredClaim {
    readonly engineIds: ReadonlySet<string>;
    /** Keys of the ledger items that represent the claim. */
    readonly keys: ReadonlySet<string>;
    /** When all engines are predicted to be free, on the monotonic clock. */
    readonly freeAtMs: number;
    release(): void;
}

export interface PlaceAllocatorOptions {
    readonly timers: TimerService;
    readonly directory: EndpointDirectory;
    readonly ledger: LoadLedger;
    /** Prefix of the keys of this process's work, unique among all gateways. */
    readonly keyPrefix: string;
    /** Reports a change to other gateways. `item` is absent for work that has ended. */
    readonly reportChange: (key: string, item: WorkItem | undefined) => void;
    /** Called for each endpoint that gets a request or a part of one. */
    readonly recordDispatch: (endpoint: string) => void;
    /** Called when a place was released or needs less than before. */
    readonly onCapacityFreed: () => void;
}

/** Shortest time in which a plain service answers, in milliseconds. */
export const minPlainAnswerMs = 20;

/** Time after which work is announced again, in milliseconds: soon enough to arrive before the place is settled. */
const announcementRepeatMs = 4;
/**
 * Share of an engine's memory below which the free memory is scarce. Work at an engine with more is not announced again: a
 * message costs small hosts more than the memory that a lost one hides until the next snapshot.
 */
const scarceMemoryShare = 0.5;

/**
 * Creates the allocator. Assigned places are recorded in the ledger and reported to the other gateways.
 *
 * @example
 * const place = allocator.assignPlainEndpoint(job, view, timers.now());
 * place.release();
 */
export function createPlaceAllocator(options: PlaceAllocatorOptions): PlaceAllocator {
    const { timers, directory, ledger } = options;
    let nextKey = 0;

    function addWork(
        item: Omit<WorkItem, "key" | "phase" | "phaseSinceMs">,
        nowMs: number,
        isTentative = false,
        phase = WorkPhase.Prefill,
    ): string {
        const plainKey = makeWorkKey(options.keyPrefix, nextKey++, item.customer);
        const key = isTentative ? makeTentativeKey(plainKey) : plainKey;
        const workItem: WorkItem = { ...item, key, phase, phaseSinceMs: nowMs };
        ledger.add(workItem);
        options.reportChange(key, workItem);
        return key;
    }

    function removeWork(key: string): void {
        ledger.remove(key);
        options.reportChange(key, undefined);
    }

    /** Repeats the announcement of work, since the message may be lost. */
    function publishAgain(keys: readonly string[]): void {
        timers.schedule(announcementRepeatMs, () =>
            ledger.listOwn().filter(item => keys.includes(item.key))
                .forEach(item => options.reportChange(item.key, item)));
    }

    /** Returns whether other gateways may be assigning the same memory of an engine now. */
    function isContested(view: EngineView, tokens: number, nowMs: number): boolean {
        const recent = ledger.listOwn().filter(item =>
            item.endpoint === view.id && item.phaseSinceMs > nowMs - settleMs
        );
        const recentTokens = recent.reduce((sum, item) => sum + item.tokens, 0);
        return isAnnouncementNeeded(tokens, view.freeTokens, recentTokens, ledger.countGateways());
    }

    function assignEngines(
        job: PlacementJob,
        engine: EngineProfile,
        placement: Placement,
        stage: PlacementStage,
        nowMs: number,
    ): Place {
        const needs = job.needs!;
        const { endpoint, helpers, partMs, reservedTokens } = placement;
        [endpoint, ...helpers].forEach(view => options.recordDispatch(view.id));
        const passes = needs.outputTokens / engine.stepsPerPass + 1;
        const endsAtMs = nowMs + placement.firstEventMs + passes * endpoint.passMs;
        const shared = {
            prefillMs: partMs,
            dueAtMs: job.dueAtMs,
            isSuspect: job.isSuspect,
            ...(job.share && { customer: job.share.customer }),
        };
        const memoryTokens = computeMemoryTokens(needs);
        const mainTokens = Math.max(0, memoryTokens - helpers.length * reservedTokens);
        const isTentative = isContested(endpoint, mainTokens, nowMs)
            || helpers.some(helper => reservedTokens > 0 && isContested(helper, reservedTokens, nowMs));
        // Memory beyond the expected output is a part of its own, because it slows down no pass.
        const spareTokens = Math.min(mainTokens, memoryTokens - needs.promptTokens - needs.outputTokens);
        const main = { ...shared, endpoint: endpoint.id, endsAtMs };
        const mainKey = addWork(
            { ...main, tokens: mainTokens - spareTokens, gapTargetMs: needs.gapTargetMs },
            nowMs,
            isTentative,
        );
        const spareKeys = spareTokens > 0
            ? [addWork({ ...main, prefillMs: 0, tokens: spareTokens }, nowMs, isTentative, WorkPhase.Decode)]
            : [];
        const helperKeys = helpers.map(helper =>
            addWork(
                {
                    ...shared,
                    endpoint: helper.id,
                    tokens: reservedTokens,
                    endsAtMs: reservedTokens > 0 ? endsAtMs : nowMs + placement.firstEventMs,
                },
                nowMs,
                isTentative,
            )
        );
        const isMemoryScarce = endpoint.freeTokens < endpoint.memoryTokens * scarceMemoryShare;
        if (ledger.countGateways() > 1 && (isTentative || isMemoryScarce)) {
            publishAgain([mainKey, ...spareKeys, ...helperKeys]);
        }
        const releaseHelpers = () => helperKeys.splice(0).forEach(removeWork);
        return {
            endpoint: directory.find(endpoint.id)!.record,
            helpers: helpers.map(helper => directory.find(helper.id)!.record),
            reservedTokens,
            partMs,
            firstByteMs: placement.firstEventMs,
            reason: `stage=${stage} running=${endpoint.running} unreadMs=${
                Math.round(endpoint.pendingPrefillMs)
            } pace=${endpoint.slowdown.toFixed(1)}`,
            startDecode() {
                ledger.startDecode(mainKey, timers.now());
                options.reportChange(mainKey, ledger.listOwn().find(item => item.key === mainKey));
                if (reservedTokens === 0) {
                    releaseHelpers();
                }
                options.onCapacityFreed();
            },
            predictPassMs() {
                const properties = {
                    id: endpoint.id,
                    address: endpoint.address,
                    order: 0,
                    isTrial: false,
                    slowdown: 1,
                };
                const items = ledger.listAt(endpoint.id, timers.now());
                return buildEngineView(properties, engine, items, timers.now()).passMs;
            },
            isTentative,
            hasMemory: () => hasMemoryFor([mainKey, ...spareKeys, ...helperKeys], engine),
            release() {
                [mainKey, ...spareKeys.splice(0)].forEach(removeWork);
                releaseHelpers();
                options.onCapacityFreed();
            },
        };
    }

    function hasMemoryFor(keys: readonly string[], engine: EngineProfile): boolean {
        const own = ledger.listOwn().filter(item => keys.includes(item.key));
        return own.every(item => isFitting(item, ledger.listAt(item.endpoint, timers.now()), engine.memoryTokens));
    }

    function assignPlainEndpoint(job: PlacementJob, view: PlainView, nowMs: number): Place {
        options.recordDispatch(view.id);
        const key = addWork({
            endpoint: view.id,
            prefillMs: 0,
            tokens: 0,
            dueAtMs: job.dueAtMs,
            endsAtMs: job.customerTimeoutAtMs,
            isSuspect: job.isSuspect,
        }, nowMs);
        return {
            endpoint: directory.find(view.id)!.record,
            helpers: [],
            reservedTokens: 0,
            partMs: 0,
            firstByteMs: minPlainAnswerMs,
            reason: `running=${view.running}`,
            startDecode: () => undefined,
            predictPassMs: () => 0,
            isTentative: false,
            hasMemory: () => true,
            release() {
                removeWork(key);
                options.onCapacityFreed();
            },
        };
    }

    /**
     * Records the claim in the ledger as prompt parts to prefill, so that every gateway treats the engines as busy
     * until the claim's predicted end.
     */
    function registerClaim(job: PlacementJob, claim: EngineClaim, nowMs: number): RegisteredClaim {
        const { engines, freeInMs, partMs } = claim;
        const needs = job.needs!;
        const keys = engines.map(engine =>
            addWork({
                endpoint: engine.id,
                prefillMs: (freeInMs + partMs) / engine.slowdown,
                tokens: computeMemoryTokens(needs) / engines.length,
                dueAtMs: job.dueAtMs,
                endsAtMs: nowMs + freeInMs + partMs,
                isSuspect: false,
            }, nowMs)
        );
        return {
            engineIds: new Set(engines.map(engine => engine.id)),
            keys: new Set(keys),
            freeAtMs: nowMs + freeInMs,
            release() {
                keys.splice(0).forEach(removeWork);
            },
        };
    }

    return { assignEngines, assignPlainEndpoint, registerClaim };
}
