import { ResultKind } from "../base/result.js";
import { LogRecord } from "../ports/logService.js";
import { applyChanges } from "./applyChanges.js";
import {
    Change,
    ChangeOperation,
    ChangeSetRecord,
    ConfigurationRecordType,
    parseChangeSetRecord,
} from "./changeSet.js";
import { ConfigurationObjects, makeEmptyObjects, ObjectType } from "./objects.js";
import { ConfigurationProblem, formatProblem } from "./problems.js";
import { isPlainObject } from "./validate.js";

/**
 * Number of offsets for which ids and deletions are retained: about one day at 4,900 changes a day. A change set with
 * an older base is rejected, so that dropping them never changes whether a change set is accepted.
 */
export const baseWindowOffsets = 5_000;

/** Result of folding the configuration stream up to an offset. It depends only on the records. */
export interface FoldState {
    /** Offset of the last folded record; -1 before the first. */
    readonly foldedOffset: number;
    /**
     * Offsets of this state minus offsets in the log stream. Not 0 after the log has lost its records and restarted at
     * offset 0, because generations must keep increasing.
     */
    readonly shift: number;
    /** Offset of the last accepted change set; -1 before the first. */
    readonly generation: number;
    readonly objects: ConfigurationObjects;
    /** Offset of the last change of each object that exists, by `type/name`. */
    readonly changed: ReadonlyMap<string, number>;
    /** Offset of the deletion of each object that was deleted within the base window, in order of offsets. */
    readonly deleted: ReadonlyMap<string, number>;
    /** Offset of the first record with each id within the base window, in order of offsets. */
    readonly ids: ReadonlyMap<string, number>;
}

/** Why a change set was rejected. */
export enum RejectionReason {
    /** One of its objects was changed after its base. */
    Conflict = "conflict",
    /** The resulting set of objects violates its schema or has invalid references. */
    Invalid = "invalid",
    /** An earlier record has the same id; only the first takes effect. */
    Duplicate = "duplicate",
    /** Its base is older than the base window. */
    BaseTooOld = "base-too-old",
    /** Its base is not lower than its own offset. */
    BaseInFuture = "base-in-future",
}

/** Tag of a {@link FoldOutcome}. */
export enum FoldOutcomeKind {
    Accepted = "accepted",
    Rejected = "rejected",
    Checkpoint = "checkpoint",
    /** The record is invalid and has no effect. */
    Ignored = "ignored",
}

/** Outcome of folding one record. */
export type FoldOutcome =
    | { readonly kind: FoldOutcomeKind.Accepted; readonly record: LogRecord; readonly changeSet: ChangeSetRecord }
    | {
        readonly kind: FoldOutcomeKind.Rejected;
        readonly record: LogRecord;
        readonly changeSet: ChangeSetRecord;
        readonly reason: RejectionReason;
        readonly message: string;
        readonly problems: readonly ConfigurationProblem[];
    }
    | { readonly kind: FoldOutcomeKind.Checkpoint; readonly record: LogRecord }
    | { readonly kind: FoldOutcomeKind.Ignored; readonly record: LogRecord; readonly message: string };

/** State after folding a record, and the outcome for the record. */
export interface FoldResult {
    readonly state: FoldState;
    readonly outcome: FoldOutcome;
}

interface Rejection {
    readonly reason: RejectionReason;
    readonly message: string;
    readonly problems: readonly ConfigurationProblem[];
}

/** Returns the state before the first record. */
export function makeEmptyFoldState(): FoldState {
    return {
        foldedOffset: -1,
        shift: 0,
        generation: -1,
        objects: makeEmptyObjects(),
        changed: new Map(),
        deleted: new Map(),
        ids: new Map(),
    };
}

/** Returns the key of an object in the maps of a state. */
export function makeObjectKey(type: ObjectType, name: string): string {
    return `${type}/${name}`;
}

/** Whether a log value has the type of a checkpoint. The checkpoint may still be invalid. */
export function isCheckpointValue(value: unknown): boolean {
    return isPlainObject(value) && value.type === ConfigurationRecordType.Checkpoint;
}

/**
 * Folds one record into the state. Records must be passed in order of offsets. A record that has already been folded
 * has no effect.
 *
 * @example
 * const { state, outcome } = foldRecord(makeEmptyFoldState(), record);
 */
export function foldRecord(state: FoldState, record: LogRecord): FoldResult {
    if (record.offset <= state.foldedOffset) {
        return {
            state,
            outcome: { kind: FoldOutcomeKind.Ignored, record, message: "the record has already been folded" },
        };
    }
    const folded: FoldState = { ...state, foldedOffset: record.offset };
    if (isCheckpointValue(record.value)) {
        return { state: folded, outcome: { kind: FoldOutcomeKind.Checkpoint, record } };
    }
    const changeSet = parseChangeSetRecord(record.value);
    if (typeof changeSet === "string") {
        return { state: folded, outcome: { kind: FoldOutcomeKind.Ignored, record, message: changeSet } };
    }
    const isDuplicate = state.ids.has(changeSet.id);
    const oldestOffset = record.offset - baseWindowOffsets;
    const ids = new Map(state.ids);
    if (!isDuplicate) {
        ids.set(changeSet.id, record.offset);
    }
    const next = { ...folded, ids: dropEntriesBefore(ids, oldestOffset) };
    const result = applyChangeSet(next, changeSet, record.offset, isDuplicate);
    return "reason" in result
        ? { state: next, outcome: { kind: FoldOutcomeKind.Rejected, record, changeSet, ...result } }
        : { state: result, outcome: { kind: FoldOutcomeKind.Accepted, record, changeSet } };
}

function applyChangeSet(
    state: FoldState,
    changeSet: ChangeSetRecord,
    offset: number,
    isDuplicate: boolean,
): FoldState | Rejection {
    if (isDuplicate) {
        return reject(RejectionReason.Duplicate, "an earlier record has the same id");
    }
    if (changeSet.base >= offset) {
        return reject(RejectionReason.BaseInFuture, `base ${changeSet.base} is not before offset ${offset}`);
    }
    if (changeSet.base < offset - baseWindowOffsets) {
        return reject(
            RejectionReason.BaseTooOld,
            `base ${changeSet.base} is more than ${baseWindowOffsets} before offset ${offset}`,
        );
    }
    const conflicts = changeSet.changes.flatMap(change => {
        const key = makeObjectKey(change.kind, change.name);
        const changedOffset = state.changed.get(key) ?? state.deleted.get(key) ?? -1;
        return changedOffset > changeSet.base ? [`${change.kind}.${change.name} at offset ${changedOffset}`] : [];
    });
    if (conflicts.length > 0) {
        return reject(RejectionReason.Conflict, `changed after base ${changeSet.base}: ${conflicts.join(", ")}`);
    }
    const objects = applyChanges(state.objects, changeSet.changes);
    if (objects.kind === ResultKind.Failure) {
        const problems = objects.error;
        return { ...reject(RejectionReason.Invalid, problems.map(formatProblem).join("; ")), problems };
    }
    return { ...recordChanges(state, changeSet.changes, offset), generation: offset, objects: objects.value };
}

function reject(reason: RejectionReason, message: string): Rejection {
    return { reason, message, problems: [] };
}

function recordChanges(state: FoldState, changes: readonly Change[], offset: number): FoldState {
    const changed = new Map(state.changed);
    const deleted = new Map(state.deleted);
    for (const change of changes) {
        const key = makeObjectKey(change.kind, change.name);
        // Deleting the key before setting it moves it to the end, which keeps the maps in order of offsets.
        changed.delete(key);
        deleted.delete(key);
        (change.op === ChangeOperation.Put ? changed : deleted).set(key, offset);
    }
    return { ...state, changed, deleted: dropEntriesBefore(deleted, offset - baseWindowOffsets) };
}

/** Drops the entries below an offset from a map that is in order of offsets. */
function dropEntriesBefore(entries: Map<string, number>, oldestOffset: number): ReadonlyMap<string, number> {
    for (const [key, offset] of entries) {
        if (offset >= oldestOffset) {
            break;
        }
        entries.delete(key);
    }
    return entries;
}
