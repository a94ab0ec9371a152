import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { TimerService } from "../base/timerService.js";
import { createEndpointLimits, EndpointLimit } from "../membership/endpointLimits.js";
import { AnswerHead } from "../ports/exchange.js";
import { createLimitBudget, LimitSharing } from "../scheduling/limitBudget.js";

/** What an answer says about the limit of its endpoint. */
export type LimitAnswer = Pick<AnswerHead, "status" | "isSealed" | "isMisdirected" | "requestsPerSecond" | "coldMs">;

/** Keeps the requests of all gateways within the limits that endpoints name in their answers. */
export interface EndpointQuota {
    /** Records the limit that an answer names. Only an answer that is certainly the endpoint's says that it names none. */
    recordAnswer(endpoint: string, answer: LimitAnswer): void;
    /** Applies what another gateway knows. */
    applyNotice(limit: EndpointLimit): void;
    recordDispatch(endpoint: string): void;
    recordPeerDispatch(endpoint: string): void;
    /** Returns whether this gateway may send a request to an endpoint now. */
    isOpen(endpoint: string): boolean;
    /** Returns what `isOpen` would return, without changing any state. */
    peekOpen(endpoint: string): boolean;
    /** Returns the limit that an endpoint has named and where this gateway learned of it. */
    findLimit(endpoint: string): KnownLimit | undefined;
    /**
     * Returns whether an endpoint should get work only if no other one can take it. A limited endpoint that nobody has
     * sent a request to for some time is not: only its answers show whether it still has a limit.
     */
    isLastChoice(endpoint: string): boolean;
    /** Returns the requests a second that this gateway can expect to send; infinite without a limit. */
    getShare(endpoint: string): number;
    list(): readonly EndpointLimit[];
    countLimited(): number;
    forget(endpoint: string): void;
}

/** A limit that is in force. */
export interface KnownLimit extends EndpointLimit {
    readonly source?: LimitSource;
}

export interface EndpointQuotaOptions {
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly random: () => number;
    readonly getSharing: (endpoint: string) => LimitSharing;
    /** Tells the other gateways of a change that this gateway has observed. */
    readonly reportChange: (limit: EndpointLimit) => void;
}

/** Where a gateway learned of a limit, as logged. */
export enum LimitSource {
    Answer = "answer",
    Gateway = "gateway",
}

/** Time without a request after which a limited endpoint is asked whether it still has a limit, in milliseconds. */
const recheckMs = 2_000;

/**
 * Creates quotas without limits.
 *
 * @example
 * quota.recordAnswer("engine-1", answerHead);
 * quota.isOpen("engine-1"); // false until the first request may be sent, two seconds later at the earliest
 */
export function createEndpointQuota(options: EndpointQuotaOptions): EndpointQuota {
    const { timers, log, getSharing } = options;
    const limits = createEndpointLimits();
    const budget = createLimitBudget(options.random);
    /** Sources of the limits in force, by endpoint. */
    const sources = new Map<string, LimitSource>();

    function apply(limit: EndpointLimit, source: LimitSource): boolean {
        const { endpoint, perSecond, observedAtMs } = limit;
        const previous = limits.find(endpoint)?.perSecond;
        if (!limits.record(limit)) {
            return false;
        }
        const nowMs = timers.now();
        budget.setLimit(endpoint, perSecond, nowMs);
        if (perSecond === undefined) {
            sources.delete(endpoint);
        }
        else {
            sources.set(endpoint, source);
        }
        const { gateways, heard } = getSharing(endpoint);
        const ageMs = Math.round(nowMs - observedAtMs);
        log(LogEvent.EndpointLimitChanged, { endpoint, perSecond, previous, source, ageMs, gateways, heard });
        return true;
    }

    return {
        recordAnswer(endpoint, { status, isSealed, isMisdirected, requestsPerSecond: perSecond }) {
            const isOwn = isSealed && status < 300;
            if (isMisdirected || (!isOwn && perSecond === undefined)) {
                return;
            }
            const limit = { endpoint, perSecond, observedAtMs: timers.now() };
            if (apply(limit, LimitSource.Answer)) {
                options.reportChange(limit);
            }
        },
        applyNotice: limit => void apply(limit, LimitSource.Gateway),
        recordDispatch(endpoint) {
            if (budget.isLimited(endpoint)) {
                budget.recordDispatch(endpoint, true, getSharing(endpoint), timers.now());
            }
        },
        recordPeerDispatch(endpoint) {
            if (budget.isLimited(endpoint)) {
                budget.recordDispatch(endpoint, false, getSharing(endpoint), timers.now());
            }
        },
        isOpen: endpoint => !budget.isLimited(endpoint) || budget.canSend(endpoint, getSharing(endpoint), timers.now()),
        peekOpen: endpoint => budget.peekSend(endpoint, getSharing(endpoint), timers.now()),
        findLimit(endpoint) {
            const limit = limits.find(endpoint);
            return limit && { ...limit, source: sources.get(endpoint) };
        },
        isLastChoice: endpoint => budget.isLimited(endpoint) && budget.getIdleMs(endpoint, timers.now()) < recheckMs,
        getShare: endpoint => budget.isLimited(endpoint) ? budget.getShare(endpoint, getSharing(endpoint)) : Infinity,
        list: () => limits.list(timers.now()),
        countLimited: () => limits.countActive(),
        forget(endpoint) {
            limits.forget(endpoint);
            sources.delete(endpoint);
            budget.setLimit(endpoint, undefined, timers.now());
        },
    };
}
