import stringify from "safe-stable-stringify";
import { z } from "zod";
import { computeDigest } from "../base/ids.js";
import { DifferenceKind, diffObjects } from "./diff.js";
import { ConfigurationObjects, ObjectType } from "./objects.js";

/** Name of the log stream that holds the configuration. */
export const configurationStream = "config";

/** Type of a record in the configuration stream. */
export enum ConfigurationRecordType {
    ChangeSet = "change-set",
    Checkpoint = "checkpoint",
}

/** Operation of a change on its object. */
export enum ChangeOperation {
    Put = "put",
    Delete = "delete",
}

/** A change of one object. */
export interface Change {
    readonly op: ChangeOperation;
    readonly kind: ObjectType;
    readonly name: string;
    /** The complete new object; absent for a deletion. */
    readonly value?: unknown;
}

/** Changes that are accepted or rejected as a unit. */
export interface ChangeSet {
    /** Unique id. If several records have the same id, only the first takes effect. */
    readonly id: string;
    readonly author: string;
    /** Offset up to which the author had read the log. The change set conflicts if one of its objects changed later. */
    readonly base: number;
    /** Free text that is shown in the history. */
    readonly reason?: string;
    readonly changes: readonly Change[];
}

/** A change set as stored in the log, with a digest of its other fields. */
export interface ChangeSetRecord extends ChangeSet {
    readonly type: ConfigurationRecordType.ChangeSet;
    readonly digest: string;
}

const maxIdLength = 64;
const maxTextLength = 1024;
const nameSchema = z.string().min(1);

const changeSchema = z.discriminatedUnion("op", [
    z.strictObject({
        op: z.literal(ChangeOperation.Put),
        kind: z.enum(ObjectType),
        name: nameSchema,
        value: z.record(z.string(), z.unknown()),
    }),
    z.strictObject({ op: z.literal(ChangeOperation.Delete), kind: z.enum(ObjectType), name: nameSchema }),
]);

const changeSetSchema = z.strictObject({
    type: z.literal(ConfigurationRecordType.ChangeSet),
    id: z.string().min(1).max(maxIdLength),
    author: z.string().min(1).max(maxTextLength),
    base: z.number().int().min(-1),
    reason: z.string().max(maxTextLength).optional(),
    changes: z.array(changeSchema).min(1),
    digest: z.string(),
});

/**
 * Builds the changes that turn one set of objects into another.
 *
 * @param deleteMissing whether objects that are missing in `after` are deleted
 *
 * @example
 * buildChanges(before, after, true);
 */
export function buildChanges(
    before: ConfigurationObjects,
    after: ConfigurationObjects,
    deleteMissing: boolean,
): readonly Change[] {
    return diffObjects(before, after)
        .filter(difference => deleteMissing || difference.kind !== DifferenceKind.Removed)
        .map(({ kind, type, name, after: value }) =>
            kind === DifferenceKind.Removed
                ? { op: ChangeOperation.Delete, kind: type, name }
                : { op: ChangeOperation.Put, kind: type, name, value }
        );
}

/**
 * Creates the log record of a change set.
 *
 * @example
 * await logService.append(configurationStream, [makeChangeSetRecord(changeSet)]);
 */
export function makeChangeSetRecord(changeSet: ChangeSet): ChangeSetRecord {
    const content = { type: ConfigurationRecordType.ChangeSet as const, ...changeSet };
    // JSON omits undefined fields, so they must not be part of the digest.
    const serializable = JSON.parse(JSON.stringify(content)) as typeof content;
    return { ...serializable, digest: computeDigest(stringify(serializable)) };
}

/** Parses and verifies a change set record. Returns an error message if the value is not a valid record. */
export function parseChangeSetRecord(value: unknown): ChangeSetRecord | string {
    const parsed = changeSetSchema.safeParse(value);
    if (!parsed.success) {
        return parsed.error.issues.map(issue => `${issue.path.join(".")}: ${issue.message}`).join("; ");
    }
    const { digest, ...content } = parsed.data;
    return computeDigest(stringify(content)) === digest ? parsed.data : "the record does not match its digest";
}
