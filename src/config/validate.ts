import { z } from "zod";
import { makeFailure, makeSuccess, Result } from "../base/result.js";
import { ConfigurationObjects, makeEmptyObjects, ObjectType } from "./objects.js";
import { ConfigurationProblem, FileLocator, formatFound, formatNames } from "./problems.js";
import { findReferenceProblems } from "./references.js";
import { objectSchemas } from "./schema.js";

const maxNameLength = 128;

/** Names that have a special meaning as keys of JavaScript objects, so that objects must not use them. */
const reservedNames: ReadonlySet<string> = new Set(["__proto__"]);

/** Whether a value is an object and neither `null` nor an array. */
export function isPlainObject(value: unknown): value is Readonly<Record<string, unknown>> {
    return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** Whether a string is the name of a section. */
export function isObjectType(text: string): text is ObjectType {
    return (Object.values(ObjectType) as string[]).includes(text);
}

/**
 * Validates a complete set of objects from files or a log: the schema of each object, then all references. All problems
 * are reported together.
 *
 * @param findFile returns the file of an object, which is reported with its problems
 *
 * @example
 * const result = validateObjects({ models: { demo: { version: "v1" } } });
 */
export function validateObjects(
    sections: unknown,
    findFile: FileLocator = () => undefined,
): Result<ConfigurationObjects, readonly ConfigurationProblem[]> {
    if (!isPlainObject(sections)) {
        const allowed = `a map with the sections ${formatNames(Object.values(ObjectType))}`;
        return makeFailure([{ found: formatFound(sections), allowed }]);
    }
    const problems: ConfigurationProblem[] = [];
    const parsed = makeEmptyObjects() as unknown as Record<ObjectType, Record<string, unknown>>;
    const names = makeEmptyObjects() as Record<ObjectType, object>;
    for (const [section, objects] of Object.entries(sections)) {
        if (!isObjectType(section)) {
            problems.push({ object: section, found: "this section", allowed: formatNames(Object.values(ObjectType)) });
        }
        else if (!isPlainObject(objects)) {
            problems.push({ object: section, found: formatFound(objects), allowed: "a map from names to objects" });
        }
        else {
            names[section] = objects;
            parsed[section] = parseSection(section, objects, problems);
        }
    }
    const objects = parsed as unknown as ConfigurationObjects;
    problems.push(...findReferenceProblems(objects, names));
    if (problems.length === 0) {
        return makeSuccess(objects);
    }
    return makeFailure(problems.map(problem => {
        const [section, ...rest] = problem.object?.split(".") ?? [];
        return { ...problem, file: section === undefined ? undefined : findFile(section, rest.join(".")) };
    }));
}

function parseSection(
    type: ObjectType,
    objects: Readonly<Record<string, unknown>>,
    problems: ConfigurationProblem[],
): Record<string, unknown> {
    const valid: Record<string, unknown> = {};
    for (const [name, value] of Object.entries(objects)) {
        const result = parseObject(type, name, value);
        if (Array.isArray(result)) {
            problems.push(...result as ConfigurationProblem[]);
        }
        else {
            valid[name] = result;
        }
    }
    return valid;
}

/**
 * Checks one object against its schema and fills in defaults. Returns the complete object or its problems.
 */
export function parseObject(type: ObjectType, name: string, value: unknown): object | readonly ConfigurationProblem[] {
    const object = `${type}.${name}`;
    if (name.length === 0 || name.length > maxNameLength || reservedNames.has(name)) {
        return [{ object, found: formatFound(name), allowed: `a name of 1 to ${maxNameLength} characters` }];
    }
    const schema: z.ZodType = objectSchemas[type];
    const result = schema.safeParse(value);
    return result.success
        ? result.data as object
        : result.error.issues.flatMap(issue => describeIssue(type, object, value, issue));
}

function describeIssue(
    type: ObjectType,
    object: string,
    value: unknown,
    issue: z.core.$ZodIssue,
): readonly ConfigurationProblem[] {
    if (issue.code === "unrecognized_keys") {
        const allowed = `the fields ${formatNames(Object.keys(objectSchemas[type].shape))}`;
        return issue.keys.map(key => ({ object, field: key, found: "this field", allowed }));
    }
    let found = value;
    for (const key of issue.path) {
        found = isPlainObject(found) || Array.isArray(found) ? (found as Record<PropertyKey, unknown>)[key] : undefined;
    }
    const field = issue.path.length > 0 ? issue.path.join(".") : undefined;
    return [{ object, field, found: formatFound(found), allowed: describeAllowed(issue) }];
}

function describeAllowed(issue: z.core.$ZodIssue): string {
    switch (issue.code) {
        case "invalid_type":
            return `a value of type ${issue.expected}`;
        case "invalid_value":
            return formatNames(issue.values.map(String));
        case "too_small":
            return `${issue.inclusive === false ? "more than" : "at least"} ${issue.minimum}`;
        case "too_big":
            return `${issue.inclusive === false ? "less than" : "at most"} ${issue.maximum}`;
        default:
            return issue.message.replace(/^expected /, "");
    }
}
