import { TimerService } from "../base/timerService.js";
import { Customer, Route, Service, ServiceShare } from "../ports/servingConfiguration.js";
import { Treatment } from "../quarantine/quarantine.js";
import { isIdempotent } from "../retries/dispatchDecision.js";
import { PlacementStage } from "../routing/enginePlacement.js";
import { RouteTable } from "../routing/routeTable.js";
import { UsedShare } from "../scheduling/customerUsage.js";
import { DrainStep } from "../scheduling/drainAdmission.js";
import { computeQuarantineRetryAfterMs, computeRetryAfterMs } from "../scheduling/retryAfter.js";
import { AcceptedRequest, computeCustomerTerms, computeTimes, makePlacementTerms } from "./acceptedRequest.js";
import { CandidateList, explainCandidates } from "./candidateExplanation.js";
import { DrainControl } from "./drainControl.js";
import { ListEndpointFacts } from "./endpointFacts.js";
import { EndpointQuota } from "./endpointQuota.js";
import { ExplainQuery } from "./explainQuery.js";
import { PlacementQueue } from "./placementQueue.js";
import { makePlacementRequest } from "./placementRequest.js";
import { PlacementTrial, tryPlacement } from "./placementTrial.js";
import { listTraits, QuarantineRegistry } from "./quarantineRegistry.js";
import { createServiceAvailability } from "./serviceAvailability.js";

/** What a gateway would do with a request. */
export enum PlacementOutcome {
    Placed = "placed",
    Waits = "waits",
    Refused = "refused",
}

/** Why a request would be refused. */
export enum RefusalReason {
    NoService = "no-service",
    Quarantined = "quarantined",
    /** The request would outlast this process, which is stopping. */
    Draining = "draining",
    /** No endpoint that the request may run on is left. */
    NoEndpoint = "no-endpoint",
    /** All endpoints are closed until the request can no longer start in time. */
    Closed = "closed",
    /** The limits of all endpoints allow the request only when it can no longer start in time. */
    Limits = "limits",
    /** Too much work comes before the request. */
    TooLate = "too-late",
}

/** Decision about a request. Times are in milliseconds. */
export interface ExplainedDecision {
    readonly outcome: PlacementOutcome;
    readonly endpoint?: string;
    readonly helpers?: readonly string[];
    /** Predicted time to the first event at the chosen endpoint. */
    readonly firstEventMs?: number;
    /** Position in the queue of this gateway, 1 for the next request of the service. */
    readonly position?: number;
    readonly aheadElsewhere?: number;
    readonly startMs?: number;
    /** Engines that would be kept free for the request. */
    readonly claimed?: readonly string[];
    readonly reason?: RefusalReason;
    /** `Retry-After` without and with the largest jitter. */
    readonly retryAfterMs?: readonly [least: number, most: number];
}

/** Where a gateway would place a request now, and why. */
export interface PlacementExplanation extends CandidateList {
    readonly version: number;
    readonly route: string;
    readonly customer: string;
    readonly service?: string;
    /** Other services of the route, which get the rest of its requests. */
    readonly otherServices: readonly string[];
    readonly prefillMs?: number;
    readonly decision: ExplainedDecision;
    /** Absent if the service is not divided between customers. */
    readonly share?: UsedShare & { readonly isAbove: boolean };
    readonly quarantine: { readonly treatment: Treatment; readonly trait?: string; readonly remainingMs?: number };
}

/** Answer to a query: an explanation, or the reason why there is none. */
export type ExplainResult =
    | { readonly status: 200; readonly explanation: PlacementExplanation }
    | { readonly status: 404 | 503; readonly error: string };

export interface PlacementExplainerOptions {
    readonly timers: TimerService;
    readonly placementQueue: Pick<PlacementQueue, "copy">;
    readonly endpointQuota: Pick<EndpointQuota, "peekOpen">;
    readonly quarantineRegistry: Pick<QuarantineRegistry, "findQuarantine" | "decideTreatment">;
    readonly listFacts: ListEndpointFacts;
    readonly getTable: () => RouteTable | undefined;
    readonly drainControl: Pick<DrainControl, "isStepAllowed" | "getReturnMs">;
}

/** Explains where a request would be placed now. */
export type PlacementExplainer = (query: ExplainQuery) => ExplainResult;

/**
 * Creates the explainer. It asks the functions that decide about real requests and changes no state.
 *
 * @example
 * const explain = createPlacementExplainer(options);
 * explain({ customer: "planner", route: "look", parts: [], deadlineMs: 10_000 });
 */
export function createPlacementExplainer(options: PlacementExplainerOptions): PlacementExplainer {
    const { timers, quarantineRegistry } = options;

    function explainRequest(
        query: ExplainQuery,
        table: RouteTable,
        route: Route,
        customer: Customer | undefined,
    ): PlacementExplanation {
        const service = pickMainService(route.shares, table);
        const shared = {
            version: table.version,
            route: route.name,
            customer: query.customer,
            service: service?.name,
            otherServices: route.shares.map(share => share.service).filter(name => name !== service?.name),
        };
        if (!service) {
            const decision = { outcome: PlacementOutcome.Refused, reason: RefusalReason.NoService };
            const quarantine = { treatment: Treatment.Free };
            return { ...shared, decision, quarantine, candidates: [], omitted: 0 };
        }
        const request = makeRequest(query, table, route, service, customer, timers.now());
        const treatment = quarantineRegistry.decideTreatment(request.traits);
        const terms = makePlacementTerms(request, new Set());
        const trial = tryPlacement(
            options.placementQueue,
            terms,
            treatment === Treatment.Isolated,
            endpoint => options.endpointQuota.peekOpen(endpoint),
        );
        const share = describeShare(trial);
        const quarantined = quarantineRegistry.findQuarantine(request.traits);
        const decision = decideEarlyRefusal(request, quarantined?.remainingMs) ?? describeDecision(request, trial);
        return {
            ...shared,
            prefillMs: terms.needs && Math.round(terms.needs.prefillMs),
            decision,
            share,
            quarantine: { treatment, ...quarantined },
            ...listCandidates(trial, share?.isAbove ?? false, decision, options.listFacts),
        };
    }

    /** Returns the refusal of a request that is refused before it is submitted for a place. */
    function decideEarlyRefusal(
        request: AcceptedRequest,
        quarantinedMs: number | undefined,
    ): ExplainedDecision | undefined {
        if (quarantinedMs !== undefined) {
            const retryAfterMs = computeQuarantineRetryAfterMs(quarantinedMs);
            return {
                outcome: PlacementOutcome.Refused,
                reason: RefusalReason.Quarantined,
                retryAfterMs: [retryAfterMs, retryAfterMs],
            };
        }
        const { drainControl } = options;
        const isUnsafe = !isIdempotent(request.route.kind, request.route.isResumable);
        return drainControl.isStepAllowed({ request, step: DrainStep.Arrival, isUnsafe }) ? undefined : {
            outcome: PlacementOutcome.Refused,
            reason: RefusalReason.Draining,
            retryAfterMs: computeRetryRange(request, drainControl.getReturnMs() ?? 0),
        };
    }

    function describeDecision(request: AcceptedRequest, trial: PlacementTrial): ExplainedDecision {
        const { place, refusal, start } = trial;
        if (place) {
            return {
                outcome: PlacementOutcome.Placed,
                endpoint: place.endpoint.id,
                helpers: place.helpers.map(helper => helper.id),
                firstEventMs: Math.round(place.firstByteMs),
                startMs: 0,
            };
        }
        if (refusal) {
            return {
                outcome: PlacementOutcome.Refused,
                reason: findRefusalReason(trial),
                startMs: refusal.startMs,
                retryAfterMs: computeRetryRange(request, refusal.startMs ?? trial.waitMs),
            };
        }
        return {
            outcome: PlacementOutcome.Waits,
            position: (start?.ahead ?? 0) + 1,
            aheadElsewhere: start?.aheadElsewhere ?? 0,
            startMs: Math.round(start?.startMs ?? 0),
            claimed: trial.claim?.engineIds,
        };
    }

    function computeRetryRange(request: AcceptedRequest, waitMs: number): [least: number, most: number] {
        const remainingMs = computeTimes(request).deadlineAtMs - timers.now();
        const [least, most] = [0, 1].map(random => Math.round(computeRetryAfterMs(waitMs, remainingMs, random)));
        return [least!, most!];
    }

    return query => {
        const table = options.getTable();
        if (!table) {
            return { status: 503, error: "no configuration yet" };
        }
        const { routes, customers } = table.configuration;
        const route = routes.find(({ name }) => name === query.route);
        if (!route) {
            return { status: 404, error: `unknown route ${query.route}` };
        }
        const customer = customers?.find(({ name }) => name === query.customer);
        // A configuration without customers accepts requests of anybody.
        if (customers && !customer) {
            return { status: 404, error: `unknown customer ${query.customer}` };
        }
        const explanation = explainRequest(query, table, route, route.isPublic ? undefined : customer);
        return { status: 200, explanation };
    };
}

/** Picks the service that gets most of a route's requests; real requests are divided by their ids. */
function pickMainService(shares: readonly ServiceShare[], table: RouteTable): Service | undefined {
    const [main] = [...shares].sort((left, right) => right.weight - left.weight);
    return main && table.configuration.services.get(main.service);
}

function makeRequest(
    { promptTokens, outputTokens, parts, deadlineMs }: ExplainQuery,
    table: RouteTable,
    route: Route,
    service: Service,
    customer: Customer | undefined,
    arrivedAtMs: number,
): AcceptedRequest {
    const prompt = promptTokens === undefined
        ? undefined
        : { promptTokens, maxOutputTokens: outputTokens ?? 0, outputTokensHint: outputTokens };
    return {
        head: { deadlineMs, prompt, sharedPromptParts: parts, forwarded: [] },
        id: "",
        method: "",
        path: "",
        host: route.host,
        body: undefined,
        route,
        service,
        ...computeCustomerTerms(table.configuration, route, customer, undefined),
        arrivedAtMs,
        traits: listTraits(service.name, parts, ""),
        configurationVersion: table.version,
    };
}

function describeShare({ job, options }: PlacementTrial): PlacementExplanation["share"] {
    const { usage } = options.fairness.state;
    const nowMs = options.timers.now();
    return job.share && {
        ...usage.describeShare(job.service.name, job.share.customer, nowMs),
        isAbove: usage.isAboveShare(job.service.name, job.share.customer, nowMs),
    };
}

function findRefusalReason({ job, options, refusal }: PlacementTrial): RefusalReason {
    const nowMs = options.timers.now();
    const availability = createServiceAvailability(options);
    if (refusal?.startMs !== undefined) {
        return RefusalReason.TooLate;
    }
    if (availability.hasNoneLeft(job, nowMs)) {
        return RefusalReason.NoEndpoint;
    }
    return availability.getOpensInMs(job.service, job.avoid, nowMs) > 0 ? RefusalReason.Closed : RefusalReason.Limits;
}

function listCandidates(
    { job, place, options, engineSearch }: PlacementTrial,
    isAboveShare: boolean,
    { outcome }: ExplainedDecision,
    listFacts: ListEndpointFacts,
): CandidateList {
    const isPlaced = place !== undefined && outcome === PlacementOutcome.Placed;
    return explainCandidates({
        job,
        options,
        listFacts,
        plainRequest: {
            avoid: job.avoid,
            dataCentre: options.dataCentre,
            isUnsafe: job.isUnsafe,
            isSuspect: job.isSuspect,
            aboveShareGroups: isAboveShare ? options.fairness.countSharingGroups(job.service.name) : undefined,
        },
        engineRequest: engineSearch?.request
            ?? (job.needs && makePlacementRequest(job, job.needs, options.timers.now())),
        stage: engineSearch?.stage ?? PlacementStage.InTime,
        chosen: isPlaced ? [place.endpoint, ...place.helpers].map(endpoint => endpoint.id) : [],
    });
}
