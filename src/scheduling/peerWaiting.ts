import { WaitingClass } from "./compareWaiting.js";

/** Requests of one customer and rank that wait for a service at one gateway. */
export interface WaitingGroup {
    readonly service: string;
    /** Hash of the customer's name. */
    readonly customer: number;
    readonly rank: number;
    /** Latest start at which the first byte of the group's first request is on time, on the monotonic clock. */
    readonly latestStartMs: number;
    /** Time that engines need to prefill the prompts of the group, in milliseconds; 0 for plain services. */
    readonly needMs: number;
    readonly count: number;
}

/** Group of another gateway. */
export interface PeerGroup extends WaitingGroup {
    readonly receivedAtMs: number;
}

/** What waits at other gateways, as last reported. */
export interface PeerWaiting {
    apply(gateway: string, groups: readonly WaitingGroup[], nowMs: number): void;
    list(service: string, nowMs: number): readonly PeerGroup[];
    countAll(nowMs: number): number;
}

/** Groups of one gateway that are reported and kept. */
export const maxWaitingGroups = 8;
/** Time after which a group that has not been repeated has ended. */
const groupEndMs = 1_000;
const maxGateways = 64;
/**
 * Time after a report for which a free place is left to the reported request: a message and a placement run of the
 * other gateway take up to about 20 ms. The time is bounded, so that a lost gateway keeps no place free.
 */
const yieldMs = 40;

/**
 * Creates an empty record of what waits elsewhere.
 *
 * @example
 * peerWaiting.apply("10.0.0.2:7340", groups, timers.now());
 */
export function createPeerWaiting(): PeerWaiting {
    const gateways = new Map<string, Map<string, PeerGroup>>();

    function prune(nowMs: number): void {
        for (const [gateway, groups] of gateways) {
            [...groups].filter(([, group]) => nowMs - group.receivedAtMs > groupEndMs)
                .forEach(([key]) => groups.delete(key));
            if (groups.size === 0) {
                gateways.delete(gateway);
            }
        }
    }

    return {
        apply(gateway, received, nowMs) {
            prune(nowMs);
            const groups = gateways.get(gateway) ?? new Map<string, PeerGroup>();
            for (const group of received) {
                const key = getGroupKey(group);
                if (group.count === 0) {
                    groups.delete(key);
                }
                else if (groups.has(key) || groups.size < maxWaitingGroups) {
                    groups.set(key, { ...group, receivedAtMs: nowMs });
                }
            }
            if (groups.size > 0 && (gateways.has(gateway) || gateways.size < maxGateways)) {
                gateways.set(gateway, groups);
            }
        },
        list(service, nowMs) {
            prune(nowMs);
            return [...gateways.values()].flatMap(groups => [...groups.values()])
                .filter(group => group.service === service);
        },
        countAll(nowMs) {
            prune(nowMs);
            return [...gateways.values()].flatMap(groups => [...groups.values()])
                .reduce((sum, group) => sum + group.count, 0);
        },
    };
}

/** Returns the key of a group, unique among the groups of a gateway. */
export function getGroupKey({ service, customer, rank }: WaitingGroup): string {
    return `${service} ${customer} ${rank}`;
}

/**
 * Collects waiting requests in groups, and returns those with the earliest latest starts.
 *
 * @example
 * collectWaitingGroups(waiting.map(makeGroup));
 */
export function collectWaitingGroups(requests: readonly WaitingGroup[]): readonly WaitingGroup[] {
    const groups = new Map<string, WaitingGroup>();
    for (const request of requests) {
        const key = getGroupKey(request);
        const known = groups.get(key);
        groups.set(
            key,
            known
                ? {
                    ...known,
                    latestStartMs: Math.min(known.latestStartMs, request.latestStartMs),
                    needMs: known.needMs + request.needMs,
                    count: known.count + request.count,
                }
                : request,
        );
    }
    return [...groups.values()].sort((left, right) => left.latestStartMs - right.latestStartMs)
        .slice(0, maxWaitingGroups);
}

/**
 * Returns whether a free place is to be left to a request that waits at another gateway: one that can still be on time
 * before a late one, and one of a customer within its share before one above it.
 *
 * @param own class of the request that could take the place
 *
 * @example
 * isLeftToPeer(WaitingClass.AboveShare, groups, isAboveShare, timers.now());
 */
export function isLeftToPeer(
    own: WaitingClass,
    groups: readonly PeerGroup[],
    isAboveShare: (customer: number) => boolean,
    nowMs: number,
): boolean {
    return groups.some(group => {
        const isLate = group.latestStartMs < nowMs;
        const other = isLate
            ? WaitingClass.Late
            : isAboveShare(group.customer)
            ? WaitingClass.AboveShare
            : WaitingClass.WithinShare;
        return other < own && nowMs - group.receivedAtMs < yieldMs;
    });
}
