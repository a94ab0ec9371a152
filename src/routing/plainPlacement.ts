/** Snapshot of an endpoint of a plain service for placement decisions. */
export interface PlainView {
    readonly id: string;
    readonly address: string;
    readonly dataCentre: string;
    /** Whether the endpoint may get only one request, which tests whether it works again. */
    readonly isTrial: boolean;
    /** Requests of all gateways in progress at the endpoint. */
    readonly running: number;
    readonly slots: number;
}

/** A request for a plain service. */
export interface PlainRequest {
    /** Endpoints that this request must not be sent to. */
    readonly avoid: ReadonlySet<string>;
    /** The gateway's own data centre. */
    readonly dataCentre: string;
    /**
     * Whether the request must run at most once. It is used to test a failed endpoint only if there is no other
     * endpoint.
     */
    readonly isUnsafe: boolean;
}

/** Requests that may be queued at an endpoint in addition to those in its slots, as a share of its slots. */
const queueShare = 0.5;

/**
 * Chooses the endpoint with the largest share of free slots. Ties go to an endpoint in the gateway's own data centre.
 * Returns `undefined` if all endpoints are full.
 *
 * @example
 * placeOnPlainService({ avoid: new Set(), dataCentre: "larissa", isUnsafe: true }, views);
 */
export function placeOnPlainService(request: PlainRequest, views: readonly PlainView[]): PlainView | undefined {
    const usable = views.filter(view =>
        !request.avoid.has(view.id)
        && view.running < view.slots * (1 + queueShare)
        && !(view.isTrial && view.running > 0)
    );
    const compare = (left: PlainView, right: PlainView) =>
        (request.isUnsafe ? Number(left.isTrial) - Number(right.isTrial) : 0)
        || left.running / left.slots - right.running / right.slots
        || Number(right.dataCentre === request.dataCentre) - Number(left.dataCentre === request.dataCentre);
    return [...usable].sort(compare)[0];
}
