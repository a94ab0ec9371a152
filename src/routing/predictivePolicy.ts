import { RandomSource } from "../base/randomSource.js";
import { isShortPrompt, predictFirstTokenMs } from "./predictFirstToken.js";
import { createPrefixDirectory } from "./prefixDirectory.js";
import { pickByRendezvous } from "./rendezvous.js";
import { EndpointView, RouteChoice, RouteContext, RouteRequest, RoutingPolicy, selectAvailable } from "./routing.js";
import { createShortDemand, pickShortEndpoints, ShortDemand } from "./shortEndpoints.js";

export interface PredictiveSettings {
    /** Number of random candidates from the entry's own data centre per decision. */
    readonly ownDataCentreChoices: number;
    /** Number of random candidates from other data centres per decision. */
    readonly otherDataCentreChoices: number;
    /** Endpoints are preferred for their prefix cache up to this multiple of the mean requests in progress. */
    readonly warmLoadFactor: number;
    /** An endpoint in another data centre is chosen only if its prediction is lower by this many milliseconds. */
    readonly dataCentreMarginMs: number;
    readonly maxPrefixes: number;
}

export const defaultPredictiveSettings: PredictiveSettings = {
    ownDataCentreChoices: 3,
    otherDataCentreChoices: 2,
    warmLoadFactor: 1.25,
    dataCentreMarginMs: 10,
    maxPrefixes: 20_000,
};

/** A routing policy that learns cache hits from the usage figures of its requests. */
export interface PredictivePolicy {
    readonly choose: RoutingPolicy;
    readonly recordUsage: (prefixDigest: string, cachedTokens: number) => void;
}

interface Candidate {
    readonly view: EndpointView;
    readonly reason: string;
    readonly predictedMs: number;
}

/**
 * Creates a policy that predicts the time to first token at a few candidates and chooses the lowest. The candidates are
 * endpoints that probably have the prompt's prefix cached and are within the load bound, or else one endpoint by
 * rendezvous hash of the prefix, and a few random endpoints.
 *
 * @example
 * const policy = createPredictivePolicy(defaultPredictiveSettings);
 * policy.choose(request, views, context);
 */
export function createPredictivePolicy(settings: PredictiveSettings): PredictivePolicy {
    const prefixes = createPrefixDirectory(settings.maxPrefixes);
    const demand = new Map<string, ShortDemand>();

    function getDemand(model: string): ShortDemand {
        let found = demand.get(model);
        if (!found) {
            found = createShortDemand();
            demand.set(model, found);
        }
        return found;
    }

    function selectByLength(request: RouteRequest, available: readonly EndpointView[]) {
        const shortDemand = getDemand(request.model ?? "");
        if (request.excluded.size === 0) {
            shortDemand.record(request.promptTokens);
        }
        const count = shortDemand.computeCount(available.length);
        const kept = pickShortEndpoints(available.map(view => view.name), count);
        const isShort = isShortPrompt(request.promptTokens);
        const preferred = available.filter(view => kept.has(view.name) === isShort);
        return { preferred: preferred.length > 0 ? preferred : available, isShort };
    }

    /** Selects the endpoints within the load bound, so that prefix affinity does not overload an endpoint. */
    function selectBounded(available: readonly EndpointView[]): readonly EndpointView[] {
        const mean = available.reduce((sum, view) => sum + view.outstandingRequests, 0) / available.length;
        const bound = Math.ceil(mean * settings.warmLoadFactor) + 1;
        return available.filter(view => view.outstandingRequests < bound);
    }

    function collectCandidates(
        request: RouteRequest,
        available: readonly EndpointView[],
        context: RouteContext,
    ): readonly Candidate[] {
        const { preferred, isShort } = selectByLength(request, available);
        const bounded = selectBounded(preferred);
        const known = new Set(prefixes.list(request.prefixDigest));
        const warm = bounded.filter(view => known.has(view.name) || view.warmPrefixes.has(request.prefixDigest));
        const candidates = new Map<string, Candidate>();

        function append(views: readonly EndpointView[], reason: string, cachedTokens: number) {
            for (const view of views) {
                if (!candidates.has(view.name)) {
                    const predictedMs = predictFirstTokenMs(request, view, cachedTokens);
                    candidates.set(view.name, { view, reason, predictedMs });
                }
            }
        }

        append(warm, "warm", prefixes.getCachedTokens(request.prefixDigest));
        if (warm.length === 0) {
            append(pickByRendezvous(request.prefixDigest, bounded, view => view.name, 1), "prefix", 0);
        }
        // Short prompts prefer endpoints that get no long prompts but may use all. Long prompts use only the other
        // endpoints.
        for (const pool of isShort ? [preferred, available] : [preferred]) {
            const near = pool.filter(view => view.dataCentre === context.dataCentre);
            const far = pool.filter(view => view.dataCentre !== context.dataCentre);
            append(pickRandom(near, settings.ownDataCentreChoices, context.random), "random", 0);
            append(pickRandom(far, settings.otherDataCentreChoices, context.random), "random", 0);
        }
        return [...candidates.values()];
    }

    function pickBest(candidates: readonly Candidate[], dataCentre: string): Candidate | undefined {
        let near: Candidate | undefined;
        let far: Candidate | undefined;
        for (const candidate of candidates) {
            const isNear = candidate.view.dataCentre === dataCentre;
            const best = isNear ? near : far;
            if (!best || candidate.predictedMs < best.predictedMs) {
                near = isNear ? candidate : near;
                far = isNear ? far : candidate;
            }
        }
        const isFarBetter = !near || (far && far.predictedMs + settings.dataCentreMarginMs < near.predictedMs);
        return isFarBetter ? far : near;
    }

    return {
        choose(request, views, context): RouteChoice | undefined {
            const available = selectAvailable(request, views);
            if (available.length === 0) {
                return undefined;
            }
            if (request.promptTokens === 0) {
                return chooseForServiceCall(request, available, context);
            }
            const best = pickBest(collectCandidates(request, available, context), context.dataCentre)!;
            prefixes.record(request.prefixDigest, best.view.name);
            return { endpoint: best.view.name, reason: best.reason, predictedMs: best.predictedMs };
        },
        recordUsage: (prefixDigest, cachedTokens) => prefixes.recordCached(prefixDigest, cachedTokens),
    };
}

/**
 * Chooses an endpoint for a call of a plain service. Calls with an affinity key go by rendezvous hash, so that repeated
 * calls reach the same endpoint. Others go to the less loaded of two random endpoints, from the own data centre if
 * possible.
 */
function chooseForServiceCall(
    request: RouteRequest,
    available: readonly EndpointView[],
    context: RouteContext,
): RouteChoice {
    if (request.affinityKey !== undefined) {
        const [view] = pickByRendezvous(request.affinityKey, available, candidate => candidate.name, 1);
        return { endpoint: view!.name, reason: "affinity" };
    }
    const near = available.filter(view => view.dataCentre === context.dataCentre);
    const pool = pickRandom(near.length > 0 ? near : available, 2, context.random);
    const computeLoad = (view: EndpointView) => view.outstandingRequests + (view.load?.queued ?? 0);
    const best = pool.reduce((left, right) => computeLoad(right) < computeLoad(left) ? right : left);
    return { endpoint: best.name, reason: "least-loaded" };
}

function pickRandom<Member>(members: readonly Member[], count: number, random: RandomSource): readonly Member[] {
    if (members.length <= count) {
        return members;
    }
    const picked = new Set<Member>();
    while (picked.size < count) {
        picked.add(members[Math.min(members.length - 1, Math.floor(random() * members.length))]!);
    }
    return [...picked];
}
