import murmurhash from "murmurhash";
import { EndpointView, RoutingPolicy, selectAvailable } from "./routing.js";

/**
 * Chooses the same endpoint for the same affinity key while that endpoint is available, by rendezvous hashing: the
 * endpoint with the highest hash for the key wins, so that a change of the endpoint set moves only the keys of
 * endpoints that joined or left. Requests without an affinity key are spread by their id.
 *
 * @example
 * chooseByAffinity({ ...request, affinityKey: "claims-3" }, candidates, context)?.endpoint;
 */
export const chooseByAffinity: RoutingPolicy = (request, candidates) => {
    const key = request.affinityKey ?? request.id;
    let best: { readonly endpoint: EndpointView; readonly weight: number } | undefined;
    for (const endpoint of selectAvailable(request, candidates)) {
        const weight = murmurhash.v3(`${key}\n${endpoint.name}`);
        const isHigher = !best || weight > best.weight
            || (weight === best.weight && endpoint.name < best.endpoint.name);
        if (isHigher) {
            best = { endpoint, weight };
        }
    }
    return best && { endpoint: best.endpoint.name, reason: "affinity" };
};
