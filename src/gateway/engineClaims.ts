import { EngineProfile } from "../ports/servingConfiguration.js";
import { ClaimPolicy, defaultClaimSettings } from "../routing/engineClaim.js";
import { PlacementRequest, PlacementStage, placeOnClaimedEngines } from "../routing/enginePlacement.js";
import { EngineView } from "../routing/engineView.js";
import { Place } from "./place.js";
import { PlaceAllocator, RegisteredClaim } from "./placeAllocator.js";
import { QueuedWork } from "./queueFairness.js";
import { UsableEndpoints } from "./usableEndpoints.js";

/** Engines that are kept free for waiting requests with very long prompts. */
export interface EngineClaims {
    has(item: QueuedWork): boolean;
    list(): readonly QueuedWork[];
    /** Chooses engines for a request that none has capacity for, if it should have any. */
    claim(
        item: QueuedWork,
        request: PlacementRequest,
        engine: EngineProfile,
        views: readonly EngineView[],
        stage: PlacementStage,
        nowMs: number,
    ): void;
    /** Assigns the claimed engines once they are free. Drops a claim that is overdue or has lost an engine. */
    findPlace(item: QueuedWork, request: PlacementRequest, engine: EngineProfile, nowMs: number): Place | undefined;
    drop(item: QueuedWork): void;
}

/**
 * Time for which a claim waits for its engines beyond the predicted one. Answers that take even longer are longer than
 * expected, so the claim is dropped and the prompt is placed like any other.
 */
const claimOverdueToleranceMs = 500;

/**
 * Creates the claims of a queue, without any.
 *
 * @example
 * const claims = createEngineClaims(chooseClaim, allocator, usableEndpoints);
 */
export function createEngineClaims(
    chooseClaim: ClaimPolicy,
    allocator: Pick<PlaceAllocator, "assignEngines" | "registerClaim">,
    { listEngineViews }: Pick<UsableEndpoints, "listEngineViews">,
): EngineClaims {
    const claims = new Map<QueuedWork, RegisteredClaim>();

    function drop(item: QueuedWork): void {
        claims.get(item)?.release();
        claims.delete(item);
    }

    return {
        has: item => claims.has(item),
        list: () => [...claims.keys()],
        claim(item, request, engine, views, stage, nowMs) {
            // A request that can still be on time claims only engines that keep it so; a late one needs an answer before
            // its customer disconnects.
            const latestMs = stage === PlacementStage.InTime ? request.dueAtMs : request.customerTimeoutAtMs;
            const claimRequest = { ...request, deadlineAtMs: latestMs };
            const claim = chooseClaim(claimRequest, views, engine.slots, nowMs, defaultClaimSettings);
            if (claim) {
                claims.set(item, allocator.registerClaim(item.job, claim, nowMs));
                item.job.onClaimed({
                    engineIds: claim.engines.map(view => view.id),
                    freeInMs: Math.round(claim.freeInMs),
                    partMs: Math.round(claim.partMs),
                    stage,
                });
            }
        },
        findPlace(item, request, engine, nowMs) {
            const claim = claims.get(item)!;
            const { service, allowedRegions } = item.job;
            const views = listEngineViews(service, engine, nowMs, claim.keys, allowedRegions, claim.engineIds);
            const areAllUsable = views.length === claim.engineIds.size;
            const placement = areAllUsable ? placeOnClaimedEngines(request, views) : undefined;
            if (placement || !areAllUsable || nowMs > claim.freeAtMs + claimOverdueToleranceMs) {
                drop(item);
            }
            return placement && allocator.assignEngines(item.job, engine, placement, PlacementStage.Claimed, nowMs);
        },
        drop,
    };
}
