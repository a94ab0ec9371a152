import { createDisposableStore, Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { TimerService } from "../base/timerService.js";
import { EngineRequestState, ModelEngine } from "../ports/modelEngine.js";

/** Settings of the memory audit, in milliseconds. */
export interface EngineAuditSettings {
    readonly intervalMs: number;
    /** Time after the first audit for which requests of an earlier sidecar process are kept for a resume. */
    readonly orphanGraceMs: number;
}

/** Default settings of the memory audit. The grace period equals that of a session whose link is lost. */
export const defaultEngineAuditSettings: EngineAuditSettings = { intervalMs: 2_000, orphanGraceMs: 5_000 };

/** Whether the engine holds a request that an earlier sidecar process started. */
export enum OrphanState {
    /** The engine's requests have not been listed yet. */
    Unknown = "unknown",
    Held = "held",
    Absent = "absent",
}

/** Compares the requests and exports that an engine holds with those that its sidecar owns. */
export interface EngineAudit extends Disposable {
    /** Whether the engine holds a request of an earlier sidecar process. */
    getOrphanState(request: string): OrphanState;
    /** Tokens of the engine's memory that are used by requests and exports unknown to the sidecar's scheduler. */
    getUnaccountedTokens(): number;
    /** Runs an audit now. */
    check(): Promise<void>;
}

/** Dependencies of an audit. */
export interface EngineAuditParts {
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly engine: ModelEngine;
    /** Returns the ids of the requests that are queued or running. */
    listOwned(): ReadonlySet<string>;
    /** Returns the ids of the owned requests whose memory the scheduler has reserved. */
    listReserved(): ReadonlySet<string>;
    handleChange(): void;
    /** Receives the engine's requests, so that stalled streams are detected. */
    handleList(requests: readonly EngineRequestState[]): void;
}

/** Time after which a resume no longer waits for the engine's first list of requests, in milliseconds. */
const firstListTimeoutMs = 3_000;

/**
 * Creates the memory audit of one engine. A request without an owner in two consecutive audits is cancelled, and an
 * export is released. Each later audit repeats this while the engine still holds it, in case a cancel failed.
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
        const wasUnowned = (id: string) => previousUnowned.has(id);
        const calls = [
            ...requests.filter(wasUnowned).map(id => ({ id, kind: "request", call: () => engine.cancel(id) })),
            ...exports.filter(wasUnowned).map(id => ({ id, kind: "export", call: () => engine.releaseExport(id) })),
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
        // The scheduler counts the memory that it has reserved. Only the memory of other requests is taken from the
        // engine's figures.
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
            // The engine did not answer. The next audit repeats the work.
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
