/** Rate of requests that an endpoint accepts from all gateways together, as it has named it in its answers. */
export interface EndpointLimit {
    readonly endpoint: string;
    /** Requests a second; `undefined` once the endpoint has answered without naming a limit. */
    readonly perSecond: number | undefined;
    /** Time of the answer, on the monotonic clock. */
    readonly observedAtMs: number;
}

/** Limits that endpoints have named, from the answers that this gateway and others have received. */
export interface EndpointLimits {
    /**
     * Records what an answer says. Returns whether the known limit changes by it; an answer older than the one known
     * changes nothing.
     */
    record(limit: EndpointLimit): boolean;
    /** Returns the limit of an endpoint, or `undefined` if it has none. */
    find(endpoint: string): EndpointLimit | undefined;
    /** Lists limits, and for a while those that have ended, so that gateways that missed the end learn of it. */
    list(nowMs: number): readonly EndpointLimit[];
    countActive(): number;
    forget(endpoint: string): void;
}

/** Time for which an ended limit is remembered, in milliseconds. */
const endedMemoryMs = 10_000;

/**
 * Creates limits without entries.
 *
 * @example
 * limits.record({ endpoint: "engine-1", perSecond: 0.5, observedAtMs: timers.now() }); // true
 */
export function createEndpointLimits(): EndpointLimits {
    const limits = new Map<string, EndpointLimit>();
    return {
        record(limit) {
            const known = limits.get(limit.endpoint);
            if (known ? limit.observedAtMs < known.observedAtMs : limit.perSecond === undefined) {
                return false;
            }
            limits.set(limit.endpoint, limit);
            return known?.perSecond !== limit.perSecond;
        },
        find(endpoint) {
            const known = limits.get(endpoint);
            return known?.perSecond === undefined ? undefined : known;
        },
        list(nowMs) {
            for (const [endpoint, { perSecond, observedAtMs }] of limits) {
                if (perSecond === undefined && nowMs - observedAtMs > endedMemoryMs) {
                    limits.delete(endpoint);
                }
            }
            return [...limits.values()];
        },
        countActive: () => [...limits.values()].filter(limit => limit.perSecond !== undefined).length,
        forget: endpoint => void limits.delete(endpoint),
    };
}
