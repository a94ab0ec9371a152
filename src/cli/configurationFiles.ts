import { readFile } from "node:fs/promises";
import { parseDocument } from "yaml";
import { makeFailure, Result, ResultKind } from "../base/result.js";
import { ConfigurationObjects, ObjectType } from "../config/objects.js";
import { ConfigurationProblem, formatFound, formatNames, formatProblem } from "../config/problems.js";
import { isPlainObject, validateObjects } from "../config/validate.js";
import { SettingsError } from "./settings.js";

type Sections = Record<string, unknown>;

const sectionNames = formatNames(Object.values(ObjectType));

/**
 * Loads configuration files in YAML (or JSON, which YAML includes), merges their sections and checks the whole set.
 * All problems of all files are returned at once.
 *
 * @param base existing objects, kept unless a file names them; without it the files are the whole configuration
 *
 * @example
 * const result = await loadConfigurationFiles(["ranks.yaml", "endpoints.yaml"]);
 */
export async function loadConfigurationFiles(
    paths: readonly string[],
    base?: ConfigurationObjects,
): Promise<Result<ConfigurationObjects, readonly ConfigurationProblem[]>> {
    const problems: ConfigurationProblem[] = [];
    const merged: Record<string, Sections> = {};
    const files = new Map<string, string>();
    for (const path of paths) {
        const sections = await readSections(path, problems);
        for (const [section, objects] of Object.entries(sections)) {
            mergeSection(path, section, objects, merged, files, problems);
        }
    }
    const combined = base ? mergeWithBase(base, merged) : merged;
    const result = validateObjects(combined, (section, name) => files.get(`${section}.${name}`) ?? files.get(section));
    const failures = result.kind === ResultKind.Failure ? result.error : [];
    return problems.length > 0 ? makeFailure([...problems, ...failures]) : result;
}

function mergeWithBase(base: ConfigurationObjects, sections: Record<string, Sections>): Record<string, Sections> {
    const combined: Record<string, Sections> = { ...sections };
    for (const type of Object.values(ObjectType)) {
        combined[type] = { ...base[type], ...sections[type] };
    }
    return combined;
}

async function readSections(path: string, problems: ConfigurationProblem[]): Promise<Sections> {
    let text: string;
    try {
        text = await readFile(path, "utf8");
    }
    catch (error) {
        problems.push({ file: path, found: (error as Error).message, allowed: "a file that can be read" });
        return {};
    }
    const document = parseDocument(text);
    if (document.errors.length > 0) {
        problems.push(...document.errors.map(error => ({
            file: path,
            found: error.message.split("\n", 1)[0]!,
            allowed: "YAML without errors",
        })));
        return {};
    }
    const value = document.toJS() as unknown;
    if (!isPlainObject(value) || Object.keys(value).length === 0) {
        const found = value === null || value === undefined ? "an empty file" : formatFound(value);
        problems.push({ file: path, found, allowed: `a map with at least one of the sections ${sectionNames}` });
        return {};
    }
    return value;
}

function mergeSection(
    path: string,
    section: string,
    objects: unknown,
    merged: Record<string, Sections>,
    files: Map<string, string>,
    problems: ConfigurationProblem[],
) {
    files.set(section, files.get(section) ?? path);
    if (!isPlainObject(objects)) {
        const allowed = "a map from names to objects";
        problems.push({ file: path, object: section, found: formatFound(objects), allowed });
        return;
    }
    merged[section] ??= {};
    for (const [name, object] of Object.entries(objects)) {
        const key = `${section}.${name}`;
        const other = files.get(key);
        if (other !== undefined) {
            const allowed = "each object in only one file";
            problems.push({ file: path, object: key, found: `a second definition, the first is in ${other}`, allowed });
            continue;
        }
        files.set(key, path);
        merged[section][name] = object;
    }
}

/**
 * Loads configuration files and throws if they are not valid.
 *
 * @throws SettingsError if a file cannot be read or the configuration is not valid; the message lists every problem
 */
export async function readConfigurationFiles(
    paths: readonly string[],
    base?: ConfigurationObjects,
): Promise<ConfigurationObjects> {
    const result = await loadConfigurationFiles(paths, base);
    if (result.kind === ResultKind.Failure) {
        throw new SettingsError(`invalid configuration:\n${formatProblems(result.error)}`);
    }
    return result.value;
}

/** Formats problems as indented lines. */
export function formatProblems(problems: readonly ConfigurationProblem[]): string {
    return problems.map(problem => `  ${formatProblem(problem)}`).join("\n");
}
