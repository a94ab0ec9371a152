import { z } from "zod";
import { createDisposableStore, Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { ResultKind } from "../base/result.js";
import { TimerService } from "../base/timerService.js";
import { KeyedRecord, WritableFeed } from "../ports/recordFeed.js";
import { isNewerTerm, QuarantineTerm } from "../quarantine/quarantineTerm.js";
import { followFeed } from "./feedFollower.js";
import { FeedSharing } from "./feedSharing.js";

/** Keeps quarantines in the store, from which gateways learn that start later or were cut off. */
export interface QuarantineStore extends Disposable {
    /** Stores a decision of this gateway. */
    writeDecision(term: QuarantineTerm): void;
    /** Stores what another gateway has decided, unless the store has it before long. */
    writeMissing(term: QuarantineTerm): void;
    /** Whether the last read succeeded, so that decisions of other gateways are known here. */
    isAvailable(): boolean;
}

export interface QuarantineStoreOptions {
    readonly feed: WritableFeed;
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly random: () => number;
    readonly onTerm: (term: QuarantineTerm) => void;
    /** Lists what this gateway knows, to write again what the store has lost. */
    readonly listTerms: () => readonly QuarantineTerm[];
    readonly sharing?: FeedSharing;
}

/**
 * Wait time of one read, in milliseconds. Messages between gateways are faster; a read is only missed on a connection
 * that has stalled.
 */
const readWaitMs = 10_000;
/** Delays before a write, in milliseconds. Gateways that decide the same at the same time then write it once. */
const decisionJitterMs = 200;
const missingDelayMs = 1_000;
const missingJitterMs = 2_000;
const retryDelayMs = 1_000;

const termSchema = z.object({
    isActive: z.boolean(),
    decidedAtMs: z.number(),
    untilMs: z.number(),
    crashes: z.number(),
    firstCrashAtMs: z.number(),
});

/** Decodes a stored term. Returns `undefined` for a record that is none. */
export function decodeTerm({ key, value }: KeyedRecord): QuarantineTerm | undefined {
    try {
        const parsed = termSchema.safeParse(JSON.parse(Buffer.from(value ?? []).toString("utf8")));
        return parsed.success ? { trait: key, ...parsed.data } : undefined;
    }
    catch {
        // Not JSON: deleted, or of another writer.
        return undefined;
    }
}

function encodeTerm(term: QuarantineTerm): Buffer {
    const { isActive, decidedAtMs, untilMs, crashes, firstCrashAtMs } = term;
    return Buffer.from(JSON.stringify({ isActive, decidedAtMs, untilMs, crashes, firstCrashAtMs }));
}

/**
 * Starts reading the quarantines of the store.
 *
 * @example
 * const store = createQuarantineStore({ feed, timers, log, random, onTerm: term => registry.applyTerm(term, source) });
 */
export function createQuarantineStore(options: QuarantineStoreOptions): QuarantineStore {
    const { feed, timers, log } = options;
    const stored = new Map<string, QuarantineTerm>();
    const pending = new Map<string, { readonly term: QuarantineTerm; readonly timer: Disposable }>();
    const disposables = createDisposableStore();
    let hasRead = false;
    let isReachable = true;
    let isDisposed = false;
    /** Whether the store has come back from an older copy, so that what it had stored may be missing. */
    let isRestored = false;

    function applyRecords(records: readonly KeyedRecord[]): void {
        hasRead = true;
        for (const record of records) {
            const term = decodeTerm(record);
            if (term && isNewerTerm(term, stored.get(term.trait))) {
                stored.set(term.trait, term);
                options.onTerm(term);
            }
        }
    }

    async function write(trait: string): Promise<void> {
        const term = pending.get(trait)?.term;
        pending.delete(trait);
        if (!term || !isNewerTerm(term, stored.get(trait))) {
            return;
        }
        const result = await feed.write(trait, encodeTerm(term));
        if (result.kind === ResultKind.Failure) {
            log(LogEvent.QuarantineNotStored, { trait, reason: result.error.reason });
            schedule(term, retryDelayMs + retryDelayMs * options.random());
        }
    }

    function schedule(term: QuarantineTerm, delayMs: number): void {
        // A write that was in progress may fail after the end.
        if (isDisposed) {
            return;
        }
        const known = pending.get(term.trait);
        if (isNewerTerm(term, known?.term)) {
            const timer = known?.timer ?? timers.schedule(delayMs, () => void write(term.trait));
            pending.set(term.trait, { term, timer });
        }
    }

    /** Writes a term after `delayMs` and some random time, unless the store has it by then. */
    function writeMissing(term: QuarantineTerm, delayMs: number): void {
        if (isNewerTerm(term, stored.get(term.trait))) {
            schedule(term, delayMs + missingJitterMs * options.random());
        }
    }

    disposables.register(followFeed({
        name: "quarantines",
        feed,
        timing: { waitMs: readWaitMs, pauseMs: 0 },
        timers,
        log,
        sharing: options.sharing,
        listener: {
            onSnapshot(records) {
                applyRecords(records);
                if (isRestored) {
                    isRestored = false;
                    options.listTerms().forEach(term => writeMissing(term, 0));
                }
            },
            onRestored() {
                stored.clear();
                isRestored = true;
            },
            onUpdate: applyRecords,
            onUnavailable() {
                isReachable = false;
            },
            onAvailable() {
                isReachable = true;
            },
        },
    }));

    return {
        writeDecision: term => schedule(term, decisionJitterMs * options.random()),
        writeMissing: term => writeMissing(term, missingDelayMs),
        isAvailable: () => hasRead && isReachable,
        dispose() {
            isDisposed = true;
            disposables.dispose();
            pending.forEach(({ timer }) => timer.dispose());
        },
    };
}
