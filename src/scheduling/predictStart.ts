/** State of a service from which the start of a further request is predicted. */
export interface ServiceBacklog {
    /** Requests that wait at any gateway and come before the further one. */
    readonly ahead: number;
    /** Places that the request may use and no request has. */
    readonly freePlaces: number;
    /** Requests that endpoints have now. */
    readonly running: number;
    /** Time for which a request has its place, in milliseconds; absent until one has ended. */
    readonly residenceMs?: number;
}

/**
 * Share of the time to its latest start within which a request must be predicted to start. The rest is for errors of
 * the prediction, which assumes that each gateway gets an equal part of the places that become free.
 */
const usableTimeShare = 0.5;

/**
 * Predicts the time until a request of a plain service gets a place, in milliseconds. Places become free at the rate
 * of requests that run divided by the time that each of them takes. Zero while that time is not known.
 *
 * @example
 * predictStartMs({ ahead: 19, freePlaces: 0, running: 10, residenceMs: 100 }); // 200
 */
export function predictStartMs({ ahead, freePlaces, running, residenceMs }: ServiceBacklog): number {
    const before = ahead + 1 - freePlaces;
    return before <= 0 || residenceMs === undefined ? 0 : before * residenceMs / Math.max(1, running);
}

/**
 * Decides whether a request that finds no place is queued.
 *
 * @param leftMs time until the latest start that is accepted
 *
 * @example
 * isStartExpected(200, 1_900); // true
 */
export function isStartExpected(predictedMs: number, leftMs: number): boolean {
    return predictedMs === 0 || predictedMs <= usableTimeShare * leftMs;
}

/** Time for which requests of a service have their places, as a moving average. */
export interface ResidenceEstimate {
    record(service: string, residenceMs: number): void;
    /** Records the average that another gateway reports. It is used until this one has seen a request end. */
    recordReported(service: string, residenceMs: number): void;
    get(service: string): number | undefined;
}

/** Weight of a new value in the average: that of about twenty requests. */
const newValueWeight = 0.1;
const maxServices = 64;

/**
 * Creates an estimate without values.
 *
 * @example
 * residence.record("desk", 80);
 */
export function createResidenceEstimate(): ResidenceEstimate {
    const own = new Map<string, number>();
    const reported = new Map<string, number>();

    function set(values: Map<string, number>, service: string, value: number): void {
        const previous = values.get(service);
        if (previous !== undefined || values.size < maxServices) {
            values.set(service, previous === undefined ? value : previous + newValueWeight * (value - previous));
        }
    }

    return {
        record: (service, residenceMs) => set(own, service, residenceMs),
        recordReported: (service, residenceMs) => set(reported, service, residenceMs),
        get: service => own.get(service) ?? reported.get(service),
    };
}
