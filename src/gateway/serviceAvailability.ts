import { EndpointDirectory } from "../membership/endpointDirectory.js";
import { EndpointSubset } from "../membership/endpointSubset.js";
import { EndpointRecord } from "../ports/endpointRecord.js";
import { Service } from "../ports/servingConfiguration.js";
import { isRegionAllowed } from "../routing/regionRestriction.js";
import { EndpointGate } from "./endpointGate.js";
import { PlacementJob } from "./place.js";

/** What decides on which endpoints a request may run. */
export type EndpointTerms = Pick<PlacementJob, "service" | "avoid" | "allowedRegions">;

/** Tells whether requests can still get an endpoint of their service. */
export interface ServiceAvailability {
    /** Returns whether an endpoint is known that a request could run on and that is not closed for good. */
    hasEndpointLeft(terms: EndpointTerms, nowMs: number): boolean;
    /** Returns whether endpoints are known that a request could run on and all of them are closed for good. */
    hasNoneLeft(job: EndpointTerms, nowMs: number): boolean;
    /** Returns the time until the first endpoint that a request may use opens, in milliseconds; infinite if all leave. */
    getOpensInMs(service: Service, avoid: ReadonlySet<string>, nowMs: number): number;
    /** Returns whether all endpoints are closed until the request can no longer start in time. */
    isClosedTooLong(item: { readonly job: PlacementJob; readonly hardStartDeadlineMs: number }, nowMs: number): boolean;
}

export interface ServiceAvailabilityOptions {
    readonly directory: EndpointDirectory;
    readonly endpointSubset: EndpointSubset;
    readonly gate: EndpointGate;
    readonly regions?: ReadonlyMap<string, string>;
    readonly isServiceLeaving?: (service: string) => boolean;
}

/**
 * Creates the check from the facts about endpoints.
 *
 * @example
 * createServiceAvailability(options).hasNoneLeft(job, timers.now());
 */
export function createServiceAvailability(options: ServiceAvailabilityOptions): ServiceAvailability {
    const { directory, endpointSubset, gate, regions } = options;

    function hasEndpointLeft({ service, avoid, allowedRegions }: EndpointTerms, nowMs: number): boolean {
        const isLeft = (record: EndpointRecord) =>
            !avoid.has(record.id) && gate.getOpensInMs(record, nowMs) < Infinity
            && isRegionAllowed(allowedRegions, record.dataCentre, regions);
        // Some endpoint of the own subset is left nearly always.
        return endpointSubset.list(service.name).some(isLeft) || directory.listUsable(service.name).some(isLeft);
    }

    /**
     * Returns whether endpoints are known that a request could run on and all of them are closed for good. No known
     * endpoint at all may only be a short loss, which the request waits for.
     */
    function hasNoneLeft(terms: EndpointTerms, nowMs: number): boolean {
        return !hasEndpointLeft(terms, nowMs)
            && directory.listUsable(terms.service.name).some(record => !terms.avoid.has(record.id));
    }

    /**
     * Returns the time until the gate opens for the first endpoint that a request may use, in milliseconds; infinite if
     * all endpoints leave. Zero if none is known, since one may register at any time.
     */
    function getOpensInMs(service: Service, avoid: ReadonlySet<string>, nowMs: number): number {
        const known = endpointSubset.list(service.name);
        if (known.length === 0) {
            return options.isServiceLeaving?.(service.name) ? Number.POSITIVE_INFINITY : 0;
        }
        const allowed = known.filter(record => !avoid.has(record.id));
        return (allowed.length > 0 ? allowed : known).reduce(
            (firstMs, record) => firstMs === 0 ? 0 : Math.min(firstMs, gate.getOpensInMs(record, nowMs)),
            Number.POSITIVE_INFINITY,
        );
    }

    /** Returns whether all endpoints are closed until the request can no longer start in time. */
    function isClosedTooLong(
        { job, hardStartDeadlineMs }: { readonly job: PlacementJob; readonly hardStartDeadlineMs: number },
        nowMs: number,
    ): boolean {
        return nowMs + getOpensInMs(job.service, job.avoid, nowMs) > Math.max(nowMs, hardStartDeadlineMs);
    }

    return { hasEndpointLeft, hasNoneLeft, getOpensInMs, isClosedTooLong };
}
