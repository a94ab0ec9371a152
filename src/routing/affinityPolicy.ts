import murmurhash from "murmurhash";
import { EndpointView, RoutingPolicy, selectAvailable } from "./routing.js";

/**
 * Chooses the same endpoint for the same affinity key as long as it is available, by rendezvous hashing: each endpoint
 * gets a hash with the key and the highest wins, so that a change of the set moves only the keys of the endpoints that
 * left or joined. Without a key, any choice is as good and the request's id decides.
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
