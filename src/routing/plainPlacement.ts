/** Snapshot of an endpoint of a plain service for placement decisions. */
export interface PlainView {
    readonly id: string;
    readonly address: string;
    readonly dataCentre: string;
    /** Whether the endpoint may get only one request, which tests whether it works again. */
    readonly isTrial: boolean;
    /** Whether it runs a request on which an endpoint has crashed. */
    readonly hasSuspect: boolean;
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
    /**
     * Whether an endpoint crashed while it ran the same request. Such requests do not run beside each other: all that
     * wait while no endpoint is left would otherwise reach the first one that is back, before its end shows the cause.
     */
    readonly isSuspect: boolean;
    /**
     * Number of groups of gateways that use the same endpoints and do not hear of each other's work. Set for a request
     * of a customer that uses more than its share: it leaves some places to others.
     */
    readonly aboveShareGroups?: number;
}

/** Requests that may be queued at an endpoint in addition to those in its slots, as a share of its slots. */
const queueShare = 0.5;
/**
 * The same share for customers that use more than their share. It is above zero, so that slots are not idle between
 * two requests.
 */
const aboveShareQueueShare = 0.25;

/**
 * Counts the requests that an endpoint may have before a further one is placed there. At least one place is left to
 * customers that use no more than their share, whose requests thereby wait for one slot to end at most.
 *
 * @example
 * countPlaces(4, undefined); // 6
 * countPlaces(4, 1); // 5
 */
export function countPlaces(slots: number, aboveShareGroups: number | undefined): number {
    const places = Math.ceil(slots * (1 + queueShare));
    return aboveShareGroups === undefined
        ? places
        : Math.max(1, Math.min(places - 1, Math.ceil(slots * (1 + aboveShareQueueShare) / aboveShareGroups)));
}

/**
 * Chooses the endpoint with the largest share of free slots. Ties go to an endpoint in the gateway's own data centre.
 * Returns `undefined` if all endpoints are full.
 *
 * @example
 * placeOnPlainService({ avoid: new Set(), dataCentre: "larissa", isUnsafe: true, isSuspect: false }, views);
 */
export function placeOnPlainService(request: PlainRequest, views: readonly PlainView[]): PlainView | undefined {
    const usable = views.filter(view =>
        !request.avoid.has(view.id)
        && view.running < countPlaces(view.slots, request.aboveShareGroups)
        && !(view.isTrial && view.running > 0)
        && !(request.isSuspect && view.hasSuspect)
    );
    const compare = (left: PlainView, right: PlainView) =>
        (request.isUnsafe ? Number(left.isTrial) - Number(right.isTrial) : 0)
        || left.running / left.slots - right.running / right.slots
        || Number(right.dataCentre === request.dataCentre) - Number(left.dataCentre === request.dataCentre);
    return [...usable].sort(compare)[0];
}
