/** Bound of the requests that a cold endpoint may get from all gateways together in any second. */
export interface ColdBound {
    /** Factor on the rate that a cold endpoint can sustain. */
    readonly overage: number;
    /** Requests in addition. */
    readonly slack: number;
}

/** Keeps the requests of all gateways to cold endpoints within what these can sustain. */
export interface ColdBudget {
    /**
     * Returns whether this gateway may send a request now.
     *
     * @param perSecond rate that the endpoint can sustain, in requests a second
     * @param gateways gateways that use the endpoint, this one included
     */
    canSend(endpoint: string, perSecond: number, gateways: number, nowMs: number): boolean;
    /** Returns what `canSend` would return, without starting or moving a turn. */
    peekSend(endpoint: string, perSecond: number, gateways: number, nowMs: number): boolean;
    /** Records a request of this gateway, or of another one that it has heard of. */
    recordDispatch(endpoint: string, isOwn: boolean, nowMs: number): void;
    forget(endpoint: string): void;
}

export const defaultColdBound: ColdBound = { overage: 1.5, slack: 5 };

/**
 * Share of the bound that gateways use at the same moment when all of them begin to send after a time without requests,
 * and share at which a gateway that hears of the others stops. Turns are random, so that the rest covers their spread.
 */
const simultaneousShare = 0.4;
const heardShare = 0.6;
/** Shortest time between two requests of a gateway, as a share of the time between its turns. */
const minSpacingShare = 0.5;
const windowMs = 1_000;
/** Times that are kept for each endpoint; far more than any bound allows in a second. */
const maxRecent = 256;

interface Turns {
    /** Start of the turn that is open or comes next. */
    startsAtMs: number;
    /** Time between two turns. */
    periodMs: number;
    /** Times of known requests in the last second. */
    recentMs: number[];
}

/**
 * Creates a budget. Each gateway has turns at its equal share of the rate, which begin at a random time and end unused
 * after a part of the time between them. No gateway thereby needs to hear of another to stay within its share, and
 * gateways that begin at the same moment do not all have a request left over from before.
 *
 * @example
 * const budget = createColdBudget(Math.random, defaultColdBound);
 * if (budget.canSend("engine-1", 4, 13, nowMs)) {
 *     budget.recordDispatch("engine-1", true, nowMs);
 * }
 */
export function createColdBudget(random: () => number, { overage, slack }: ColdBound): ColdBudget {
    const known = new Map<string, Turns>();

    function computePeriodMs(perSecond: number, gateways: number): number {
        return windowMs * gateways / Math.min(perSecond, heardShare * (overage * perSecond + slack));
    }

    /** Moves the turns to now. Returns whether one is open. */
    function updateTurns(turns: Turns, perSecond: number, gateways: number, nowMs: number): boolean {
        const allowed = overage * perSecond + slack;
        turns.periodMs = computePeriodMs(perSecond, gateways);
        turns.startsAtMs = Math.min(turns.startsAtMs, nowMs + turns.periodMs);
        const openMs = turns.periodMs * Math.min(1, simultaneousShare * allowed / gateways);
        const missedMs = nowMs - turns.startsAtMs - openMs;
        if (missedMs >= 0) {
            turns.startsAtMs += turns.periodMs * (Math.floor(missedMs / turns.periodMs) + 1);
        }
        turns.recentMs = turns.recentMs.filter(atMs => atMs > nowMs - windowMs);
        return nowMs >= turns.startsAtMs && turns.recentMs.length < Math.max(1, heardShare * allowed);
    }

    return {
        canSend(endpoint, perSecond, gateways, nowMs) {
            const periodMs = computePeriodMs(perSecond, gateways);
            const turns = known.get(endpoint) ?? { startsAtMs: nowMs + random() * periodMs, periodMs, recentMs: [] };
            known.set(endpoint, turns);
            return updateTurns(turns, perSecond, gateways, nowMs);
        },
        peekSend(endpoint, perSecond, gateways, nowMs) {
            // The first turn of an endpoint begins some time after the first request asks for it.
            const turns = known.get(endpoint);
            return turns !== undefined && updateTurns({ ...turns }, perSecond, gateways, nowMs);
        },
        recordDispatch(endpoint, isOwn, nowMs) {
            const turns = known.get(endpoint);
            if (!turns) {
                return;
            }
            turns.recentMs = [...turns.recentMs.slice(1 - maxRecent), nowMs];
            if (isOwn) {
                const { startsAtMs, periodMs } = turns;
                turns.startsAtMs = Math.max(startsAtMs + periodMs, nowMs + minSpacingShare * periodMs);
            }
        },
        forget: endpoint => void known.delete(endpoint),
    };
}
