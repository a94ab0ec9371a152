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

/** Settings of a claim fold. All sidecars that share a log must use the same window. */
export interface ClaimFoldSettings {
    /** Age at which a key expires, in milliseconds. Must be shorter than the log's retention. */
    readonly windowMs: number;
    /** Clock skew that is tolerated for a key with a time in the future, in milliseconds. */
    readonly maxKeyAheadMs: number;
    /**
     * Limit on the total size of the recorded bodies in memory. Beyond it, the bodies of the oldest outcomes are
     * dropped.
     */
    readonly maxBodyBytes: number;
}

/** Default settings of a claim fold. */
export const defaultClaimFoldSettings: ClaimFoldSettings = {
    windowMs: 60 * 60 * 1000,
    maxKeyAheadMs: 2_000,
    maxBodyBytes: 8 * 1024 * 1024,
};

/** The claim that currently owns a key. */
export interface LiveClaim {
    readonly id: string;
    readonly fingerprint: string;
    readonly holder: string;
    /** Time of the claim record by the log's clock, in milliseconds since the Unix epoch. */
    readonly timeMs: number;
    /** Time that the call had left when it was claimed, in milliseconds. */
    readonly limitMs: number;
    readonly outcome: RecordedOutcome | undefined;
}

/** Status of a claim, as decided by the order of the log. */
export enum ClaimStatus {
    /** The claim record has not been read, or has been forgotten. */
    Unseen = "unseen",
    /** The claim is the first for its key, so its holder may run the call. */
    First = "first",
    /** Another claim came first, the claim was released, or it came after its key had expired. */
    Void = "void",
}

/** State of the claims of one log stream, built by applying its records in order. It has no clock of its own. */
export interface ClaimFold {
    /**
     * Offset from which to read the next page. It is that of the last applied record, so that the overlap shows whether
     * the stream has been reset.
     */
    getReadOffset(): number;
    /** Offset of the first record that has not been applied yet. */
    getNextOffset(): number;
    /**
     * Applies a page that was read from `getReadOffset()`.
     *
     * @returns false if the stream has been reset, so that it has to be read again from its beginning
     */
    applyPage(page: LogPage): boolean;
    /** Applies the outcome of a claim before its record is in the log. Only the holder of the claim may call this. */
    applyOutcome(claim: string, outcome: RecordedOutcome): void;
    find(customer: string, key: string): LiveClaim | undefined;
    getStatus(claim: string): ClaimStatus;
    /**
     * Time since which every record has been applied, in milliseconds since the Unix epoch by the log's clock.
     * `undefined` before the first record.
     */
    getCompleteFrom(): number | undefined;
    /** Time of the last record by the log's clock, in milliseconds since the Unix epoch, or 0 if there is none. */
    getLastTime(): number;
    /** Returns a number of partitions that differs from `partitions` and that a record names, if there is one. */
    findConflictingPartitions(partitions: number): number | undefined;
    /** Advances the time and forgets expired keys. A time before the latest one is ignored. */
    advance(nowMs: number): void;
    /** Time before which keys are expired, in milliseconds since the Unix epoch. */
    getExpiryCutoff(): number;
    countKeys(): number;
}

interface ClaimState extends LiveClaim {
    readonly scope: string;
    readonly keyTimeMs: number;
    outcome: RecordedOutcome | undefined;
}

/** A claim that must not run, remembered so that a late copy of its record stays void. */
interface VoidClaim {
    readonly holder: string;
    readonly timeMs: number;
}

/** Time for which a void claim is remembered beyond the window, to tolerate clock skew. */
const voidRetentionMarginMs = 60_000;
/** Interval between searches for expired keys, as a share of the window. */
const pruneIntervalShare = 1 / 60;

/**
 * Creates a claim fold without records.
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
    /** Claims whose outcome has a body in memory, oldest first. */
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

    function forget(state: ClaimState) {
        byScope.delete(state.scope);
        byId.delete(state.id);
        removeBody(state);
    }

    function removeBody(state: ClaimState) {
        if (bodies.delete(state)) {
            bodyBytes -= state.outcome?.body?.length ?? 0;
        }
    }

    function setOutcome(state: ClaimState, outcome: RecordedOutcome) {
        if (state.outcome) {
            return;
        }
        state.outcome = outcome;
        if (outcome.body === undefined) {
            return;
        }
        bodies.add(state);
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
        // A claim after its key's window is void for every reader, since some may have forgotten an earlier claim of
        // the key.
        if (keyTimeMs === undefined || timeMs > keyTimeMs + settings.windowMs || byScope.has(scope)) {
            markVoid(record.id, record.holder, timeMs);
            return;
        }
        const { id, fingerprint, holder, limitMs } = record;
        const state: ClaimState = { id, fingerprint, holder, timeMs, limitMs, outcome: undefined, scope, keyTimeMs };
        byScope.set(scope, state);
        byId.set(id, state);
    }

    function applyOutcomeRecord(record: OutcomeRecord) {
        const state = byId.get(record.claim);
        if (state?.holder === record.holder) {
            setOutcome(state, record);
        }
    }

    function applyRelease(record: ReleaseRecord, timeMs: number) {
        const state = byId.get(record.claim);
        if (state && (state.holder !== record.holder || state.outcome)) {
            return;
        }
        if (state) {
            forget(state);
        }
        markVoid(record.claim, record.holder, timeMs);
    }

    function prune() {
        for (const state of byScope.values()) {
            if (state.keyTimeMs < expiryCutoffMs) {
                forget(state);
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

    /** Whether the page ends before the next offset or has another record at the offset of the last applied one. */
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
            // Without the last applied record in the page, nothing proves that the page continues the same stream.
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
            const state = byId.get(claim);
            if (state) {
                setOutcome(state, outcome);
            }
        },
        find: (customer, key) => byScope.get(computeKeyScope(customer, key)),
        getStatus(claim) {
            if (byId.has(claim)) {
                return ClaimStatus.First;
            }
            return voidClaims.has(claim) ? ClaimStatus.Void : ClaimStatus.Unseen;
        },
        getCompleteFrom: () => completeFromMs,
        getLastTime: () => last?.timeMs ?? 0,
        findConflictingPartitions: partitions => [...partitionCounts].find(count => count !== partitions),
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
