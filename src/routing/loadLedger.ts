/** What an engine does for a piece of work. */
export enum WorkPhase {
    /** The prompt is read; no event has come yet. */
    Reading = "reading",
    /** The answer is written. */
    Writing = "writing",
}

/** A request, or a part of one, that a gateway has sent to an endpoint. Times are on the steady clock of this process. */
export interface WorkItem {
    /** Unique among all gateways. */
    readonly key: string;
    readonly endpoint: string;
    /** Predicted time that the endpoint needs to read its part of the prompt alone, in milliseconds. */
    readonly readMs: number;
    /** Memory that it takes there, in tokens. */
    readonly tokens: number;
    /** Longest pause between two events that is still on time; absent for work that writes nothing here. */
    readonly pauseAimMs?: number;
    /** When its first byte is due. */
    readonly dueAtMs: number;
    readonly phase: WorkPhase;
    readonly phaseSinceMs: number;
    /** When it should have ended; work of a silent gateway is forgotten then. */
    readonly endsAtMs: number;
    /** Whether an endpoint crashed while it ran the same request. */
    readonly isSuspect: boolean;
}

/** Work at all endpoints: that of this process exactly, that of other gateways as they report it. */
export interface LoadLedger {
    add(item: WorkItem): void;
    startWriting(key: string, nowMs: number): void;
    remove(key: string): void;
    /** Replaces all work of another gateway. */
    replacePeer(peer: string, items: readonly WorkItem[]): void;
    updatePeer(peer: string, changed: readonly WorkItem[], removed: readonly string[]): void;
    removePeer(peer: string): void;
    listAt(endpoint: string, nowMs: number): readonly WorkItem[];
    listOwn(): readonly WorkItem[];
    forgetEndpoint(endpoint: string): void;
    /** Forgets work of other gateways that should have ended long ago. */
    expire(nowMs: number): void;
}

/** Extra time before unfinished work of another gateway is forgotten: its predicted end may be off by as much. */
const overdueMs = 3_000;
const localOwner = "";

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
        startWriting(key, nowMs) {
            const item = owners.get(localOwner)!.get(key);
            if (item && item.phase === WorkPhase.Reading) {
                setItem(localOwner, { ...item, phase: WorkPhase.Writing, phaseSinceMs: nowMs });
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
        removePeer(peer) {
            dropAll(peer);
            owners.delete(peer);
        },
        listAt: (endpoint, nowMs) =>
            [...byEndpoint.get(endpoint)?.values() ?? []].filter(item => nowMs < item.endsAtMs + overdueMs),
        listOwn: () => [...owners.get(localOwner)!.values()],
        forgetEndpoint(endpoint) {
            for (const [owner, items] of owners) {
                [...items.values()].filter(item => item.endpoint === endpoint).forEach(item => drop(owner, item.key));
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
