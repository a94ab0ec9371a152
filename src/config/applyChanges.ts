import { makeFailure, makeSuccess, Result } from "../base/result.js";
import { Change, ChangeOperation } from "./changeSet.js";
import { ConfigurationObjects, ObjectType } from "./objects.js";
import { ConfigurationProblem } from "./problems.js";
import { findReferenceProblems, listAffectedSections } from "./references.js";
import { parseObject } from "./validate.js";

/**
 * Applies changes to a valid set of objects and validates the result. Unchanged sections are shared with the previous
 * set, only changed objects are checked against their schema, and only references that the changed sections can break
 * are checked again.
 *
 * @example
 * const result = applyChanges(objects, changeSet.changes);
 */
export function applyChanges(
    objects: ConfigurationObjects,
    changes: readonly Change[],
): Result<ConfigurationObjects, readonly ConfigurationProblem[]> {
    const problems: ConfigurationProblem[] = [];
    const next = { ...objects } as unknown as Record<string, Record<string, unknown>>;
    const changedSections = new Set<ObjectType>();
    for (const change of changes) {
        if (!changedSections.has(change.kind)) {
            changedSections.add(change.kind);
            next[change.kind] = { ...next[change.kind] };
        }
        const section = next[change.kind]!;
        if (change.op === ChangeOperation.Delete) {
            if (!Object.hasOwn(section, change.name)) {
                const object = `${change.kind}.${change.name}`;
                problems.push({ object, found: "a deletion", allowed: "the deletion of an object that exists" });
            }
            delete section[change.name];
            continue;
        }
        const parsed = parseObject(change.kind, change.name, change.value);
        if (Array.isArray(parsed)) {
            problems.push(...parsed as ConfigurationProblem[]);
        }
        else {
            section[change.name] = parsed;
        }
    }
    const result = next as unknown as ConfigurationObjects;
    if (problems.length === 0) {
        problems.push(...findReferenceProblems(result, result, listAffectedSections(changedSections)));
    }
    return problems.length === 0 ? makeSuccess(result) : makeFailure(problems);
}
