import stringify from "safe-stable-stringify";
import { ConfigurationObjects, ObjectType } from "./objects.js";

/** Tag of an {@link ObjectDifference}. */
export enum DifferenceKind {
    Added = "added",
    Removed = "removed",
    Changed = "changed",
}

/** A field that differs between two versions of an object. */
export interface FieldDifference {
    readonly field: string;
    readonly before: unknown;
    readonly after: unknown;
}

/** An object that differs between two sets. */
export interface ObjectDifference {
    readonly kind: DifferenceKind;
    readonly type: ObjectType;
    readonly name: string;
    readonly before?: object;
    readonly after?: object;
    /** Fields that differ; empty if the object was added or removed. */
    readonly fields: readonly FieldDifference[];
}

/** Whether two JSON values are equal, regardless of key order. */
function isSameValue(left: unknown, right: unknown): boolean {
    return left === right || stringify(left) === stringify(right);
}

/**
 * Lists the objects that differ between two sets, ordered by type and name.
 *
 * @example
 * diffObjects(before, after).length === 0;
 */
export function diffObjects(before: ConfigurationObjects, after: ConfigurationObjects): readonly ObjectDifference[] {
    return Object.values(ObjectType).flatMap(type => diffSection(type, before[type], after[type]));
}

function diffSection(
    type: ObjectType,
    before: Readonly<Record<string, object>>,
    after: Readonly<Record<string, object>>,
): readonly ObjectDifference[] {
    if (before === after) {
        return [];
    }
    const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
    return names.flatMap(name => {
        const old = Object.hasOwn(before, name) ? before[name] : undefined;
        const current = Object.hasOwn(after, name) ? after[name] : undefined;
        if (isSameValue(old, current)) {
            return [];
        }
        const kind = !old ? DifferenceKind.Added : !current ? DifferenceKind.Removed : DifferenceKind.Changed;
        const fields = old && current ? diffFields(old, current) : [];
        return [{ kind, type, name, before: old, after: current, fields }];
    });
}

function diffFields(before: object, after: object): readonly FieldDifference[] {
    const old = before as Record<string, unknown>;
    const current = after as Record<string, unknown>;
    return [...new Set([...Object.keys(old), ...Object.keys(current)])]
        .filter(field => !isSameValue(old[field], current[field]))
        .map(field => ({ field, before: old[field], after: current[field] }));
}

/**
 * Formats differences as lines that start with `+` for an added object, `-` for a removed object and `~` for a changed
 * field.
 *
 * @example
 * formatDifferences(diffObjects(before, after)).join("\n");
 */
export function formatDifferences(differences: readonly ObjectDifference[]): readonly string[] {
    return differences.flatMap(difference => {
        const object = `${difference.type}.${difference.name}`;
        switch (difference.kind) {
            case DifferenceKind.Added:
                return [`+ ${object}: ${stringify(difference.after)}`];
            case DifferenceKind.Removed:
                return [`- ${object}: ${stringify(difference.before)}`];
            case DifferenceKind.Changed:
                return difference.fields.map(({ field, before, after }) =>
                    `~ ${object}: ${field}: ${stringify(before) ?? "nothing"} -> ${stringify(after) ?? "nothing"}`
                );
        }
    });
}
