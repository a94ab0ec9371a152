import { AnswerHead } from "../ports/exchange.js";
import { AcceptedRequest } from "./acceptedRequest.js";
import { Exchange, SendFailureKind } from "./endpointConnections.js";
import { Place } from "./place.js";
import { RequestServices } from "./requestServices.js";
import { Reservation } from "./reservations.js";

/** One attempt to run a request at its assigned place. */
export interface Dispatch {
    readonly request: AcceptedRequest;
    readonly place: Place;
    /** Memory reserved at the helpers, in their order. Empty if the endpoint itself has enough. */
    readonly reservations: readonly Reservation[];
    readonly remainingMs: number;
    /** Id of the last event that was sent to the customer. */
    readonly lastEventId: number | undefined;
    /** Whether the request may run more than once. */
    readonly isRepeatable: boolean;
}

/** Receives the answer or failure of a dispatch. */
export interface DispatchListener {
    /** Returns whether the dispatch is still in progress. Once it is not, data that arrives for it is ignored. */
    isCurrent(): boolean;
    onHead(head: AnswerHead): void;
    onData(bytes: Buffer): void;
    onEnd(): void;
    onFailure(kind: SendFailureKind, reason: string): void;
}

/**
 * Sends a request to its assigned endpoint.
 *
 * @example
 * const exchange = sendDispatch(dispatch, services, listener);
 */
export function sendDispatch(dispatch: Dispatch, services: RequestServices, listener: DispatchListener): Exchange {
    const { request, place } = dispatch;
    const { codec, connections } = services;
    const headers = codec.encodeDispatch(request.head, {
        endpointId: place.endpoint.id,
        address: place.endpoint.address,
        remainingMs: dispatch.remainingMs,
        customer: request.customer,
        rank: request.rank,
        lastEventId: dispatch.lastEventId,
        helpers: place.helpers.map((helper, index) => ({
            address: helper.address,
            reservation: dispatch.reservations[index]?.id,
        })),
        host: request.host,
    });
    const callIfCurrent = (call: () => void) => {
        if (listener.isCurrent()) {
            call();
        }
    };
    return connections.send(place.endpoint.address, {
        method: request.method,
        path: request.path,
        headers,
        body: request.body,
        isSingleUse: !dispatch.isRepeatable,
    }, {
        onHead(status, rawHeaders) {
            const head = codec.decodeAnswer(status, rawHeaders);
            // What the endpoint says of itself counts also if the request has ended meanwhile.
            services.endpointNotices.recordAnswer(place.endpoint, head);
            callIfCurrent(() => listener.onHead(head));
        },
        onData: bytes => callIfCurrent(() => listener.onData(bytes)),
        onEnd: () => callIfCurrent(() => listener.onEnd()),
        onFailure: (kind, reason) => callIfCurrent(() => listener.onFailure(kind, reason)),
    });
}
