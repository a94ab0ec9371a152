/** What placement knows of an endpoint of a plain service. */
export interface PlainView {
    readonly id: string;
    readonly address: string;
    readonly dataCentre: string;
    readonly isTrial: boolean;
    /** Requests that this and other gateways have there. */
    readonly running: number;
    readonly slots: number;
}

/** A request for a plain service. */
export interface PlainRequest {
    readonly avoid: ReadonlySet<string>;
    readonly dataCentre: string;
    /** Whether it runs at most once; such a request tries an endpoint that has failed only where there is no other. */
    readonly isUnsafe: boolean;
}

/** Requests beyond the slots that an endpoint may queue, as a share of its slots. */
const queueShare = 0.5;

/**
 * Chooses the endpoint with the largest share of free slots; among equals one in the gateway's own data centre.
 * Returns `undefined` if all are full.
 *
 * @example
 * placeOnPlainService({ avoid: new Set(), dataCentre: "larisa", isUnsafe: true }, views);
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
