import { EndpointAvailability } from "../membership/endpointDirectory.js";
import { HealthStatus } from "../membership/endpointHealth.js";
import { EndpointRecord } from "../ports/endpointRecord.js";
import { EngineProfile } from "../ports/servingConfiguration.js";
import {
    defaultPlacementSettings,
    isUsable,
    makeUnsplitPlacement,
    PlacementRequest,
    PlacementStage,
    placeOnEngines,
} from "../routing/enginePlacement.js";
import { EngineView } from "../routing/engineView.js";
import { placeOnPlainService, PlainRequest, PlainView } from "../routing/plainPlacement.js";
import { isRegionAllowed } from "../routing/regionRestriction.js";
import { EndpointFact, FactKind, ListEndpointFacts } from "./endpointFacts.js";
import { PlacementJob } from "./place.js";
import { PlacementQueueOptions } from "./placementQueue.js";
import { createUsableEndpoints } from "./usableEndpoints.js";

/** Why an endpoint cannot take a request now. */
export enum ExclusionReason {
    Leaving = "leaving",
    Region = "region",
    /** Another group of gateways uses the endpoint. */
    OtherCell = "other-cell",
    Evacuated = "evacuated",
    Full = "full",
    Health = "health",
    Cold = "cold",
    Limit = "limit",
    /** All slots are taken. */
    Slots = "slots",
    /** A single request tests whether the endpoint works again, or the request must not run beside another one. */
    Isolation = "isolation",
    /** The places that are left are kept for customers within their share. */
    Share = "share",
    Memory = "memory",
    /** The request would miss its target there. */
    OwnTarget = "own-target",
    /** The request would make others miss their targets. */
    OtherTargets = "other-targets",
    /** Prompts that are being read leave no room. */
    PendingPrefill = "pending-prefill",
}

/** An endpoint of the service, with the inputs of the decision. Times are in milliseconds. */
export interface Candidate {
    readonly endpoint: string;
    readonly dataCentre: string;
    readonly running: number;
    readonly slots: number;
    /** Engines only, as the next ones. */
    readonly pendingPrefillMs?: number;
    readonly freeTokens?: number;
    /** Predicted time to the first event if the engine reads the whole prompt. */
    readonly firstEventMs?: number;
    readonly slowdown?: number;
    /** Whether it gets work only if no other endpoint can take it. */
    readonly isLastChoice: boolean;
    /** Whether the request, or a part of its prompt, would be sent there. */
    readonly isChosen: boolean;
    readonly excludedBy?: ExclusionReason;
    readonly facts: readonly EndpointFact[];
}

/** Inputs of the explanation of candidates. */
export interface CandidateInputs {
    readonly job: PlacementJob;
    /** Options under which the request was placed. */
    readonly options: PlacementQueueOptions;
    readonly listFacts: ListEndpointFacts;
    readonly plainRequest: PlainRequest;
    /** Absent for a plain service. */
    readonly engineRequest?: PlacementRequest;
    readonly stage: PlacementStage;
    /** Ids of the chosen endpoints. */
    readonly chosen: readonly string[];
}

/** Candidates, the best first. */
export interface CandidateList {
    readonly candidates: readonly Candidate[];
    readonly omitted: number;
}

/** Largest number of candidates that are listed. It bounds the size of an answer and the placements that are tried. */
const maxCandidates = 64;

/**
 * Explains which endpoints can take a request. What excludes an endpoint is found by trying the placement with this
 * endpoint alone, and again without one of the request's demands.
 *
 * @example
 * explainCandidates(inputs).candidates.find(candidate => candidate.isChosen)?.endpoint;
 */
export function explainCandidates(inputs: CandidateInputs): CandidateList {
    const { job, options, chosen } = inputs;
    const nowMs = options.timers.now();
    const { service, allowedRegions } = job;
    const endpoints = createUsableEndpoints(options);
    const healthy = new Set(
        endpoints.listHealthyEndpoints(service, nowMs, allowedRegions).map(({ record }) => record.id),
    );
    const usable = new Set(
        endpoints.listUsableEndpoints(service, nowMs, allowedRegions).map(({ record }) => record.id),
    );
    const known = options.directory.listAll().filter(({ record }) => record.service === service.name);
    const running = new Map(known.map(({ record }) => [record.id, options.ledger.listAt(record.id, nowMs).length]));
    const preferred = known.map(({ record }) => record).sort((left, right) =>
        Number(chosen.includes(right.id)) - Number(chosen.includes(left.id))
        || Number(usable.has(right.id)) - Number(usable.has(left.id))
        || running.get(left.id)! - running.get(right.id)!
    );
    const listed = preferred.slice(0, maxCandidates);
    const views = buildViews(inputs, listed, nowMs);
    const candidates = listed.map((record, index) => {
        const excludedBy = usable.has(record.id)
            ? views[index]!.excludedBy
            : findClosedReason(inputs, record, healthy.has(record.id), nowMs);
        return {
            endpoint: record.id,
            dataCentre: record.dataCentre,
            ...views[index]!.load,
            isLastChoice: endpoints.isLastChoice(record.id),
            isChosen: chosen.includes(record.id),
            ...(excludedBy !== undefined && { excludedBy }),
            facts: inputs.listFacts(record),
        };
    });
    return { candidates: candidates.sort(compareCandidates), omitted: known.length - listed.length };
}

function compareCandidates(left: Candidate, right: Candidate): number {
    return Number(right.isChosen) - Number(left.isChosen)
        || Number(left.excludedBy !== undefined) - Number(right.excludedBy !== undefined)
        || Number(left.isLastChoice) - Number(right.isLastChoice)
        || (left.firstEventMs ?? 0) - (right.firstEventMs ?? 0)
        || left.running / left.slots - right.running / right.slots;
}

interface ExplainedView {
    readonly load: Pick<
        Candidate,
        "running" | "slots" | "pendingPrefillMs" | "freeTokens" | "firstEventMs" | "slowdown"
    >;
    readonly excludedBy?: ExclusionReason;
}

/** Builds the views of endpoints as if all of them were usable, in the same order. */
function buildViews(inputs: CandidateInputs, listed: readonly EndpointRecord[], nowMs: number): ExplainedView[] {
    const { job, options, engineRequest, stage } = inputs;
    const { health } = options;
    const all = createUsableEndpoints({
        ...options,
        endpointSubset: { list: () => listed, invalidate: () => undefined },
        health: {
            ...health,
            getStatus: id =>
                health.getStatus(id, nowMs) === HealthStatus.Trial ? HealthStatus.Trial : HealthStatus.Good,
        },
        gate: { isOpen: () => true, isLastChoice: () => false, getOpensInMs: () => 0 },
        quota: { ...options.quota, isOpen: () => true },
    });
    const { engine } = job.service;
    if (!engine || !engineRequest) {
        return all.listPlainViews({ ...job, allowedRegions: undefined }, nowMs).map(view => ({
            load: { running: view.running, slots: view.slots },
            excludedBy: explainPlainView(view, inputs.plainRequest),
        }));
    }
    return all.listEngineViews(job.service, engine, nowMs).map(view => ({
        load: {
            running: view.running,
            slots: engine.slots,
            pendingPrefillMs: Math.round(view.pendingPrefillMs),
            freeTokens: view.freeTokens,
            firstEventMs: Math.round(makeUnsplitPlacement(view, engineRequest).firstEventMs),
            slowdown: view.slowdown,
        },
        excludedBy: explainEngineView(view, engineRequest, engine, stage, nowMs),
    }));
}

/** Returns why an endpoint is not among the usable ones. */
function findClosedReason(
    { job, options, listFacts }: CandidateInputs,
    record: EndpointRecord,
    isHealthy: boolean,
    nowMs: number,
): ExclusionReason {
    const kinds = new Set(listFacts(record).map(fact => fact.kind));
    if (
        options.directory.find(record.id)?.availability === EndpointAvailability.Draining || kinds.has(FactKind.Leaving)
    ) {
        return ExclusionReason.Leaving;
    }
    if (!isRegionAllowed(job.allowedRegions, record.dataCentre, options.regions)) {
        return ExclusionReason.Region;
    }
    if (!options.gate.isOpen(record, nowMs)) {
        return kinds.has(FactKind.Evacuated) ? ExclusionReason.Evacuated : ExclusionReason.Full;
    }
    if (options.health.getStatus(record.id, nowMs) === HealthStatus.Down) {
        return ExclusionReason.Health;
    }
    if (!isHealthy) {
        return ExclusionReason.OtherCell;
    }
    return kinds.has(FactKind.Cold) ? ExclusionReason.Cold : ExclusionReason.Limit;
}

function explainPlainView(view: PlainView, request: PlainRequest): ExclusionReason | undefined {
    if (placeOnPlainService(request, [view])) {
        return undefined;
    }
    if (placeOnPlainService({ ...request, aboveShareGroups: undefined }, [view])) {
        return ExclusionReason.Share;
    }
    return placeOnPlainService(request, [{ ...view, isTrial: false, hasSuspect: false }])
        ? ExclusionReason.Isolation
        : ExclusionReason.Slots;
}

/** Reduces a long prompt to the part that one of the engines between which it is split would read. */
function makePartRequest(request: PlacementRequest): PlacementRequest {
    const { shortPrefillMs, partMs } = defaultPlacementSettings;
    return request.prefillMs <= Math.max(shortPrefillMs, partMs)
        ? request
        : { ...request, prefillMs: partMs, tokens: request.tokens * partMs / request.prefillMs };
}

function explainEngineView(
    view: EngineView,
    request: PlacementRequest,
    { slots }: EngineProfile,
    stage: PlacementStage,
    nowMs: number,
): ExclusionReason | undefined {
    const asked = makePartRequest(request);
    const canPlace = (changes: Partial<PlacementRequest>, tried: PlacementStage) =>
        placeOnEngines({ ...asked, ...changes }, [view], slots, nowMs, tried, defaultPlacementSettings) !== undefined;
    if (canPlace({}, stage)) {
        return undefined;
    }
    if (!isUsable(view, asked, slots)) {
        return isUsable(view, asked, Infinity) ? ExclusionReason.Slots : ExclusionReason.Isolation;
    }
    if (!canPlace({ tokens: 0 }, PlacementStage.LeastDisruptive)) {
        return ExclusionReason.PendingPrefill;
    }
    if (!canPlace({}, PlacementStage.LeastDisruptive)) {
        return ExclusionReason.Memory;
    }
    return canPlace({}, PlacementStage.NonDisruptive) ? ExclusionReason.OwnTarget : ExclusionReason.OtherTargets;
}
