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
 * Offsets for which ids and deletions are remembered: about a day of changes at 4,900 a day. A change set whose base
 * is older is rejected, so forgetting never changes a decision.
 */
export const baseWindow = 5_000;

/** Result of folding the configuration's stream up to an offset. A function of the records alone. */
export interface FoldState {
    /** Offset of the last folded record; -1 before the first. */
    readonly foldedOffset: number;
    /**
     * Difference between the offsets of this state and those of the log's stream. Not 0 after a log has lost its
     * records and started again at offset 0: generations go on from where they were.
     */
    readonly shift: number;
    /** Offset of the last accepted change set; -1 before the first. */
    readonly generation: number;
    readonly objects: ConfigurationObjects;
    /** Offset of the last change of each object that exists, by `type/name`. */
    readonly changed: ReadonlyMap<string, number>;
    /** Offset of the deletion of each object deleted within the window, in order of offsets. */
    readonly deleted: ReadonlyMap<string, number>;
    /** Offset of the first record with each id within the window, in order of offsets. */
    readonly ids: ReadonlyMap<string, number>;
}

/** Why a change set was rejected. */
export enum RejectionReason {
    /** An object that it touches changed after its base. */
    Conflict = "conflict",
    /** The resulting set fails its schema or references. */
    Invalid = "invalid",
    /** An earlier record has the same id; that one counts. */
    Duplicate = "duplicate",
    /** Its base is older than the window for which changes are remembered. */
    BaseTooOld = "base-too-old",
    /** Its base is not before its own offset. */
    BaseInFuture = "base-in-future",
}

/** Tag of a {@link FoldOutcome}. */
export enum FoldOutcomeKind {
    Accepted = "accepted",
    Rejected = "rejected",
    Checkpoint = "checkpoint",
    /** The record failed its check and has no effect. */
    Ignored = "ignored",
}

/** What became of one record. */
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

/** New state and what became of the record. */
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

/** Key of an object in the maps of a state. */
export function makeObjectKey(type: ObjectType, name: string): string {
    return `${type}/${name}`;
}

/** Whether a log value says that it is a checkpoint. */
export function isCheckpointValue(value: unknown): boolean {
    return isPlainObject(value) && value.type === ConfigurationRecordType.Checkpoint;
}

/**
 * Folds one record into the state. Records come in order of offsets; a record that was folded already has no effect.
 *
 * @example
 * const { state, outcome } = foldRecord(makeEmptyFoldState(), record);
 */
export function foldRecord(state: FoldState, record: LogRecord): FoldResult {
    if (record.offset <= state.foldedOffset) {
        return { state, outcome: { kind: FoldOutcomeKind.Ignored, record, message: "the record was folded already" } };
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
    const oldestOffset = record.offset - baseWindow;
    const ids = new Map(state.ids);
    if (!isDuplicate) {
        ids.set(changeSet.id, record.offset);
    }
    const next = { ...folded, ids: dropOld(ids, oldestOffset) };
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
    if (changeSet.base < offset - baseWindow) {
        return reject(
            RejectionReason.BaseTooOld,
            `base ${changeSet.base} is more than ${baseWindow} before offset ${offset}`,
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
        // Removal before insertion keeps the maps in order of offsets.
        changed.delete(key);
        deleted.delete(key);
        (change.op === ChangeOperation.Put ? changed : deleted).set(key, offset);
    }
    return { ...state, changed, deleted: dropOld(deleted, offset - baseWindow) };
}

/** Drops entries below an offset from the front of a map that is in order of offsets. */
function dropOld(entries: Map<string, number>, oldestOffset: number): ReadonlyMap<string, number> {
    for (const [key, offset] of entries) {
        if (offset >= oldestOffset) {
            break;
        }
        entries.delete(key);
    }
    return entries;
}
