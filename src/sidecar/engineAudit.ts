import { createDisposableStore, Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { TimerService } from "../base/timerService.js";
import { EngineRequestState, ModelEngine } from "../ports/modelEngine.js";

/** Times of the audit, in milliseconds. */
export interface EngineAuditSettings {
    readonly intervalMs: number;
    /** Time after the start for which requests of an earlier sidecar process are kept for a resume. */
    readonly orphanGraceMs: number;
}

/** Default times of the audit; the grace is that of a lost link. */
export const defaultEngineAuditSettings: EngineAuditSettings = { intervalMs: 2_000, orphanGraceMs: 5_000 };

/** What a request that this sidecar process does not know is to the engine. */
export enum OrphanState {
    /** The engine has not answered yet. */
    Unknown = "unknown",
    Held = "held",
    Absent = "absent",
}

/** Compares what an engine holds with what its sidecar owns. */
export interface EngineAudit extends Disposable {
    /** Whether the engine holds a request of an earlier sidecar process. */
    getOrphanState(request: string): OrphanState;
    /** Tokens of the engine's memory that the sidecar's scheduler does not account for. */
    getUnaccountedTokens(): number;
    /** Compares now. */
    check(): Promise<void>;
}

/** What an audit needs of the sidecar. */
export interface EngineAuditParts {
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly engine: ModelEngine;
    /** Requests that are queued or running. */
    listOwned(): ReadonlySet<string>;
    /** Requests among them whose memory the scheduler has reserved. */
    listReserved(): ReadonlySet<string>;
    handleChange(): void;
    /** Hands over what the engine holds, so that streams that have stopped are noticed. */
    handleList(requests: readonly EngineRequestState[]): void;
}

/** Time for which a resume waits for the engine's first list, in milliseconds. */
const firstListTimeoutMs = 3_000;

/**
 * Creates the audit of one engine. What nobody owns in two audits in a row is cancelled or released, and again in each
 * later audit while the engine still holds it, so that a cancel that failed is repeated.
 *
 * @example
 * const audit = createEngineAudit(parts, defaultEngineAuditSettings);
 */
export function createEngineAudit(parts: EngineAuditParts, settings: EngineAuditSettings): EngineAudit {
    const { timers, log, engine } = parts;
    const store = createDisposableStore();
    const startMs = timers.now();
    let orphans: ReadonlySet<string> | undefined;
    let graceEndMs = Infinity;
    let previousUnowned: ReadonlySet<string> = new Set();
    let unaccountedTokens = 0;
    let running = false;
    let disposed = false;

    function markOrphans(requests: readonly EngineRequestState[], owned: ReadonlySet<string>) {
        if (!orphans) {
            orphans = new Set(requests.map(request => request.id).filter(id => !owned.has(id)));
            graceEndMs = timers.now() + settings.orphanGraceMs;
            if (orphans.size > 0) {
                log(LogEvent.EngineRequestsFound, { requests: orphans.size });
            }
        }
    }

    function isRetained(id: string): boolean {
        return timers.now() < graceEndMs && orphans?.has(id) === true;
    }

    async function releaseUnowned(requests: readonly string[], exports: readonly string[]) {
        const unowned = new Set([...requests, ...exports]);
        const due = (id: string) => previousUnowned.has(id);
        const calls = [
            ...requests.filter(due).map(id => ({ id, kind: "request", call: () => engine.cancel(id) })),
            ...exports.filter(due).map(id => ({ id, kind: "export", call: () => engine.releaseExport(id) })),
        ];
        previousUnowned = unowned;
        for (const { id, kind, call } of calls) {
            log(LogEvent.EngineMemoryReleased, { id, kind });
            await call();
        }
    }

    async function compare() {
        const ownedBefore = parts.listOwned();
        const reservedBefore = parts.listReserved();
        const [requests, exports] = await Promise.all([engine.list(), engine.listExports()]);
        if (disposed) {
            return;
        }
        const owned = parts.listOwned();
        const reserved = parts.listReserved();
        markOrphans(requests, owned);
        parts.handleList(requests);
        // What the scheduler has reserved is known exactly; only the rest is taken from the engine's figures.
        const unaccounted = requests.filter(({ id }) => !reservedBefore.has(id) && !reserved.has(id));
        unaccountedTokens = unaccounted.reduce((sum, request) => sum + request.memoryTokens, 0)
            + exports.reduce((sum, item) => sum + item.tokens, 0);
        parts.handleChange();
        await releaseUnowned(
            requests.map(request => request.id).filter(id => !ownedBefore.has(id) && !owned.has(id) && !isRetained(id)),
            exports.map(item => item.exportId),
        );
    }

    async function check() {
        if (running || disposed) {
            return;
        }
        running = true;
        try {
            await compare();
        }
        catch {
            // The engine does not answer; the next audit repeats what this one could not do.
        }
        running = false;
    }

    void check();
    store.register(timers.subscribe(settings.intervalMs, () => void check()));
    return {
        getOrphanState(request) {
            if (!orphans) {
                return timers.now() - startMs < firstListTimeoutMs ? OrphanState.Unknown : OrphanState.Absent;
            }
            return isRetained(request) ? OrphanState.Held : OrphanState.Absent;
        },
        getUnaccountedTokens: () => unaccountedTokens,
        check,
        dispose() {
            disposed = true;
            store.dispose();
        },
    };
}
