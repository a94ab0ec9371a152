import { getIdTime } from "../base/ids.js";
import { LogPage, LogRecord } from "../ports/logService.js";
import { computeKeyScope } from "./claimKey.js";
import {
    ClaimRecord,
    ClaimRecordKind,
    OutcomeRecord,
    parseClaimRecord,
    RecordedOutcome,
    ReleaseRecord,
} from "./claimRecords.js";

/** Settings of a fold. Every sidecar of a log must use the same window. */
export interface ClaimFoldSettings {
    /** Age at which a key expires, in milliseconds. It must be shorter than the log's retention. */
    readonly windowMs: number;
    /** Time by which a key may be ahead of this process's clock, in milliseconds. */
    readonly maxKeyAheadMs: number;
    /** Size of all recorded bodies that the fold keeps; beyond it the oldest outcomes lose their bodies. */
    readonly maxBodyBytes: number;
}

/** Default settings of a fold. */
export const defaultClaimFoldSettings: ClaimFoldSettings = {
    windowMs: 60 * 60 * 1000,
    maxKeyAheadMs: 2_000,
    maxBodyBytes: 8 * 1024 * 1024,
};

/** The claim that holds a key. */
export interface LiveClaim {
    readonly id: string;
    readonly fingerprint: string;
    readonly holder: string;
    /** Time of the record by the log's clock, in milliseconds since the Unix epoch. */
    readonly timeMs: number;
    readonly limitMs: number;
    readonly outcome: RecordedOutcome | undefined;
}

/** Where a claim stands in the log's order. */
export enum ClaimStatus {
    /** The fold has not seen the claim. */
    Unseen = "unseen",
    /** The claim is the first for its key. */
    First = "first",
    /** Another claim came first, or the claim came after its release or its key's window. */
    Void = "void",
}

/** The state that the records of one claim stream add up to. Holds no clock. */
export interface ClaimFold {
    /** Offset from which the next page is to be read: the last record again, so that a log that started anew shows. */
    getReadOffset(): number;
    /** Offset of the first record that is not folded yet. */
    getNextOffset(): number;
    /**
     * Folds a page that was read from `getReadOffset()`.
     *
     * @returns false if the stream had started anew; then it has to be read again
     */
    applyPage(page: LogPage): boolean;
    /** Applies the outcome of a claim before its record is in the log; only its holder may do so. */
    applyOutcome(claim: string, outcome: RecordedOutcome): void;
    find(customer: string, key: string): LiveClaim | undefined;
    getStatus(claim: string): ClaimStatus;
    /**
     * Time from which on the fold has seen every record, in milliseconds since the Unix epoch by the log's clock;
     * `undefined` while it has seen none.
     */
    getKnownFrom(): number | undefined;
    /** Time of the last record by the log's clock, in milliseconds since the Unix epoch; 0 for none. */
    getLastTime(): number;
    /** Number of claim streams that a record names and that differs from `partitions`. */
    findOtherPartitions(partitions: number): number | undefined;
    /** Moves time forward and forgets expired keys. Time never goes back. */
    advance(nowMs: number): void;
    /** Keys made before this time are expired. */
    getExpiryCutoff(): number;
    countKeys(): number;
}

interface ClaimState extends LiveClaim {
    readonly scope: string;
    readonly keyTimeMs: number;
    outcome: RecordedOutcome | undefined;
}

interface VoidClaim {
    readonly holder: string;
    readonly timeMs: number;
}

/** Time for which a void claim id is remembered beyond the window, for differences between clocks. */
const voidRetentionMarginMs = 60_000;
/** Share of the window by which time moves before expired keys are looked for again. */
const pruneIntervalShare = 1 / 60;

/**
 * Creates an empty fold.
 *
 * @example
 * const fold = createClaimFold(defaultClaimFoldSettings);
 * fold.applyPage(await log.read("claims-0", fold.getReadOffset(), 500));
 */
export function createClaimFold(settings: ClaimFoldSettings): ClaimFold {
    const byScope = new Map<string, ClaimState>();
    const byId = new Map<string, ClaimState>();
    const voidClaims = new Map<string, VoidClaim>();
    const partitionCounts = new Set<number>();
    /** Outcomes with a body, oldest first. */
    const bodies = new Set<ClaimState>();
    let bodyBytes = 0;
    let nextOffset = 0;
    let last: LogRecord | undefined;
    let completeFromMs: number | undefined;
    let expiryCutoffMs = 0;
    let prunedMs = 0;

    function markVoid(claim: string, holder: string, timeMs: number) {
        voidClaims.delete(claim);
        voidClaims.set(claim, { holder, timeMs });
    }

    function forget(held: ClaimState) {
        byScope.delete(held.scope);
        byId.delete(held.id);
        removeBody(held);
    }

    function removeBody(held: ClaimState) {
        if (bodies.delete(held)) {
            bodyBytes -= held.outcome?.body?.length ?? 0;
        }
    }

    function setOutcome(held: ClaimState, outcome: RecordedOutcome) {
        if (held.outcome) {
            return;
        }
        held.outcome = outcome;
        if (outcome.body === undefined) {
            return;
        }
        bodies.add(held);
        bodyBytes += outcome.body.length;
        for (const oldest of bodies) {
            if (bodyBytes <= settings.maxBodyBytes) {
                break;
            }
            removeBody(oldest);
            oldest.outcome = oldest.outcome && { ...oldest.outcome, body: undefined };
        }
    }

    function applyClaim(record: ClaimRecord, timeMs: number) {
        partitionCounts.add(record.partitions);
        const keyTimeMs = getIdTime(record.key);
        const released = voidClaims.get(record.id);
        if (byId.has(record.id) || (released && released.holder === record.holder)) {
            return;
        }
        const scope = computeKeyScope(record.customer, record.key);
        // A claim that arrives after its key's window could meet a fold that has forgotten the key's earlier claim.
        if (keyTimeMs === undefined || timeMs > keyTimeMs + settings.windowMs || byScope.has(scope)) {
            markVoid(record.id, record.holder, timeMs);
            return;
        }
        const { id, fingerprint, holder, limitMs } = record;
        const held: ClaimState = { id, fingerprint, holder, timeMs, limitMs, outcome: undefined, scope, keyTimeMs };
        byScope.set(scope, held);
        byId.set(id, held);
    }

    function applyOutcomeRecord(record: OutcomeRecord) {
        const held = byId.get(record.claim);
        if (held?.holder === record.holder) {
            setOutcome(held, record);
        }
    }

    function applyRelease(record: ReleaseRecord, timeMs: number) {
        const held = byId.get(record.claim);
        if (held && (held.holder !== record.holder || held.outcome)) {
            return;
        }
        if (held) {
            forget(held);
        }
        markVoid(record.claim, record.holder, timeMs);
    }

    function prune() {
        for (const held of byScope.values()) {
            if (held.keyTimeMs < expiryCutoffMs) {
                forget(held);
            }
        }
        const oldestVoidMs = expiryCutoffMs - settings.maxKeyAheadMs - voidRetentionMarginMs;
        for (const [claim, entry] of voidClaims) {
            if (entry.timeMs >= oldestVoidMs) {
                break;
            }
            voidClaims.delete(claim);
        }
    }

    function applyRecord(record: LogRecord) {
        const value = parseClaimRecord(record.value);
        switch (value?.kind) {
            case ClaimRecordKind.Claim:
                return applyClaim(value, record.timeMs);
            case ClaimRecordKind.Outcome:
                return applyOutcomeRecord(value);
            case ClaimRecordKind.Release:
                return applyRelease(value, record.timeMs);
            case ClaimRecordKind.Mark:
                partitionCounts.add(value.partitions);
                return;
            case undefined:
                return;
        }
    }

    /** Whether the page shows another record where this fold has seen its last one. */
    function isStreamReset(page: LogPage): boolean {
        const overlap = findOverlap(page);
        return page.endOffset < nextOffset
            || (last !== undefined && overlap !== undefined && !isSameRecord(last, overlap));
    }

    function findOverlap(page: LogPage): LogRecord | undefined {
        return page.records.find(record => record.offset === last?.offset);
    }

    return {
        getReadOffset: () => last?.offset ?? nextOffset,
        getNextOffset: () => nextOffset,
        applyPage(page) {
            if (isStreamReset(page)) {
                nextOffset = 0;
                last = undefined;
                completeFromMs = undefined;
                return false;
            }
            // Without the last record at its offset nothing shows that the records after it are the same stream's.
            const isContinuous = last === undefined || findOverlap(page) !== undefined;
            if (!isContinuous || page.firstOffset > nextOffset || completeFromMs === undefined) {
                completeFromMs = page.records[0]?.timeMs;
                nextOffset = Math.max(nextOffset, page.firstOffset);
                last = undefined;
            }
            for (const record of page.records) {
                if (record.offset >= nextOffset) {
                    applyRecord(record);
                    nextOffset = record.offset + 1;
                    last = record;
                }
            }
            return true;
        },
        applyOutcome(claim, outcome) {
            const held = byId.get(claim);
            if (held) {
                setOutcome(held, outcome);
            }
        },
        find: (customer, key) => byScope.get(computeKeyScope(customer, key)),
        getStatus(claim) {
            if (byId.has(claim)) {
                return ClaimStatus.First;
            }
            return voidClaims.has(claim) ? ClaimStatus.Void : ClaimStatus.Unseen;
        },
        getKnownFrom: () => completeFromMs,
        getLastTime: () => last?.timeMs ?? 0,
        findOtherPartitions: partitions => [...partitionCounts].find(count => count !== partitions),
        advance(nowMs) {
            const latestMs = Math.max(nowMs, last?.timeMs ?? 0);
            expiryCutoffMs = Math.max(expiryCutoffMs, latestMs - settings.windowMs);
            if (expiryCutoffMs - prunedMs >= settings.windowMs * pruneIntervalShare) {
                prunedMs = expiryCutoffMs;
                prune();
            }
        },
        getExpiryCutoff: () => expiryCutoffMs,
        countKeys: () => byScope.size,
    };
}

function isSameRecord(left: LogRecord, right: LogRecord): boolean {
    const getId = (record: LogRecord) => (record.value as { id?: unknown } | null)?.id;
    return left.timeMs === right.timeMs && getId(left) === getId(right);
}
