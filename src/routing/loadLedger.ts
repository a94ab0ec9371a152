import { TimerService } from "../base/timerService.js";

/** Phase of a request on an engine. */
export enum WorkPhase {
    /** The prompt is being prefilled. No event has arrived yet. */
    Prefill = "reading",
    /** The response is being generated. */
    Decode = "writing",
}

/**
 * A request or prompt part that a gateway has sent to an endpoint. Times are on the monotonic clock of this process.
 */
export interface WorkItem {
    /** Key of the item, unique among all gateways. */
    readonly key: string;
    readonly endpoint: string;
    /** Predicted time to prefill this part of the prompt on an idle endpoint, in milliseconds. */
    readonly prefillMs: number;
    /** Memory that the item uses at the endpoint, in tokens. */
    readonly tokens: number;
    /** Target for the longest gap between two events, in milliseconds. Absent for a part that only helps to prefill. */
    readonly gapTargetMs?: number;
    /** Target time of the first event. */
    readonly dueAtMs: number;
    readonly phase: WorkPhase;
    readonly phaseSinceMs: number;
    /** Predicted end. Work of a gateway that no longer reports expires some time after it. */
    readonly endsAtMs: number;
    /** Whether an endpoint crashed while it ran the same request. */
    readonly isSuspect: boolean;
    /** Hash of the customer's name, if the configuration names several. */
    readonly customer?: number;
}

/** Tracks the work at all endpoints: exactly for this process, and as last reported for other gateways. */
export interface LoadLedger {
    add(item: WorkItem): void;
    startDecode(key: string, nowMs: number): void;
    remove(key: string): void;
    /** Replaces all work of another gateway. */
    replacePeer(peer: string, items: readonly WorkItem[]): void;
    updatePeer(peer: string, changed: readonly WorkItem[], removed: readonly string[]): void;
    removePeer(peer: string): void;
    hasPeerItem(peer: string, key: string): boolean;
    /** Lists the work of all gateways at an endpoint. */
    listAt(endpoint: string, nowMs: number): readonly WorkItem[];
    /** Lists the work of this process at all endpoints. */
    listOwn(): readonly WorkItem[];
    /**
     * Removes work at an endpoint that began before a time on the monotonic clock, which ended with a restart. Later work
     * runs at the new incarnation.
     */
    forgetEndpoint(endpoint: string, beforeMs?: number): void;
    /** Number of gateways whose work is known, this one included. */
    countGateways(): number;
    /** Removes work of other gateways that is long past its predicted end. */
    expire(nowMs: number): void;
}

/**
 * Time after its predicted end at which unfinished work of another gateway expires. Predictions may be off by as much.
 */
const overdueMs = 3_000;
const localOwner = "";
/** Difference between the clocks of two hosts that is tolerated, in milliseconds. */
const clockToleranceMs = 500;

/**
 * Computes the time on the monotonic clock before which work at an endpoint belongs to its previous incarnation. What began
 * shortly before the start is kept: its gateways report its end.
 *
 * @example
 * ledger.forgetEndpoint(record.id, computeIncarnationStartMs(record.startedAtMs, timers));
 */
export function computeIncarnationStartMs(startedAtMs: number | undefined, timers: TimerService): number {
    return startedAtMs === undefined
        ? timers.now()
        : timers.now() - (timers.wallNow() - startedAtMs) - clockToleranceMs;
}

/**
 * Creates an empty ledger.
 *
 * @example
 * const ledger = createLoadLedger();
 * ledger.add(item);
 * ledger.listAt("engine-1", timers.now());
 */
export function createLoadLedger(): LoadLedger {
    const owners = new Map<string, Map<string, WorkItem>>([[localOwner, new Map()]]);
    const byEndpoint = new Map<string, Map<string, WorkItem>>();

    function getOwner(owner: string): Map<string, WorkItem> {
        let items = owners.get(owner);
        if (!items) {
            items = new Map();
            owners.set(owner, items);
        }
        return items;
    }

    function setItem(owner: string, item: WorkItem): void {
        drop(owner, item.key);
        getOwner(owner).set(item.key, item);
        const atEndpoint = byEndpoint.get(item.endpoint) ?? new Map<string, WorkItem>();
        atEndpoint.set(item.key, item);
        byEndpoint.set(item.endpoint, atEndpoint);
    }

    function drop(owner: string, key: string): void {
        const item = owners.get(owner)?.get(key);
        if (!item) {
            return;
        }
        owners.get(owner)!.delete(key);
        const atEndpoint = byEndpoint.get(item.endpoint);
        atEndpoint?.delete(key);
        if (atEndpoint?.size === 0) {
            byEndpoint.delete(item.endpoint);
        }
    }

    function dropAll(owner: string): void {
        [...getOwner(owner).keys()].forEach(key => drop(owner, key));
    }

    return {
        add: item => setItem(localOwner, item),
        startDecode(key, nowMs) {
            const item = owners.get(localOwner)!.get(key);
            if (item && item.phase === WorkPhase.Prefill) {
                setItem(localOwner, { ...item, phase: WorkPhase.Decode, phaseSinceMs: nowMs });
            }
        },
        remove: key => drop(localOwner, key),
        replacePeer(peer, items) {
            dropAll(peer);
            items.forEach(item => setItem(peer, item));
        },
        updatePeer(peer, changed, removed) {
            removed.forEach(key => drop(peer, key));
            changed.forEach(item => setItem(peer, item));
        },
        hasPeerItem: (peer, key) => owners.get(peer)?.has(key) ?? false,
        removePeer(peer) {
            dropAll(peer);
            owners.delete(peer);
        },
        listAt(endpoint, nowMs) {
            const items: WorkItem[] = [];
            byEndpoint.get(endpoint)?.forEach(item => {
                // Own work ends when it is removed, however long it takes.
                if (nowMs < item.endsAtMs + overdueMs || owners.get(localOwner)!.has(item.key)) {
                    items.push(item);
                }
            });
            return items;
        },
        listOwn: () => [...owners.get(localOwner)!.values()],
        countGateways: () => owners.size,
        forgetEndpoint(endpoint, beforeMs = Number.POSITIVE_INFINITY) {
            for (const [owner, items] of owners) {
                [...items.values()].filter(item => item.endpoint === endpoint && item.phaseSinceMs < beforeMs)
                    .forEach(item => drop(owner, item.key));
            }
        },
        expire(nowMs) {
            for (const [owner, items] of owners) {
                if (owner !== localOwner) {
                    [...items.values()].filter(item => nowMs >= item.endsAtMs + overdueMs)
                        .forEach(item => drop(owner, item.key));
                }
            }
        },
    };
}
