/** An error in a configuration, with the details that an operator needs to correct it. */
export interface ConfigurationProblem {
    /** File that contains the object; absent if the set was not read from files. */
    readonly file?: string;
    /** Section and name of the object, for example `endpoints.engine-1`. */
    readonly object?: string;
    readonly field?: string;
    /** Value found, as JSON; "nothing" if it is missing. */
    readonly found: string;
    /** Values that would be accepted. */
    readonly allowed: string;
}

/** Returns the file from which an object was read. */
export type FileLocator = (section: string, name: string) => string | undefined;

const maxFoundLength = 120;
const maxListedNames = 12;

/**
 * Formats a problem as one line.
 *
 * @example
 * formatProblem({ object: "models.m", field: "version", found: "\"v\"", allowed: "a version" });
 */
export function formatProblem(problem: ConfigurationProblem): string {
    const location = [problem.file, problem.object, problem.field].filter(part => part !== undefined).join(": ");
    return `${location}: found ${problem.found}; allowed: ${problem.allowed}`;
}

/** Formats a value as JSON, truncated to a maximum length. */
export function formatFound(value: unknown): string {
    const text = value === undefined ? "nothing" : JSON.stringify(value) ?? typeof value;
    return text.length > maxFoundLength ? `${text.slice(0, maxFoundLength)}...` : text;
}

/** Formats a list of allowed names, truncated to a maximum number of names. */
export function formatNames(names: Iterable<string>): string {
    const all = [...names];
    if (all.length === 0) {
        return "none is configured";
    }
    const rest = all.length - maxListedNames;
    return all.slice(0, maxListedNames).join(", ") + (rest > 0 ? ` and ${rest} more` : "");
}
