import { z } from "zod";
import { enableLogs } from "../base/log.js";

/** Thrown for invalid settings; the message lists every problem. */
export class SettingsError extends Error {
    constructor(message: string) {
        super(message);
        this.name = "SettingsError";
    }
}

/**
 * Checks flags and environment variables against a schema and reports all problems at once.
 *
 * @example
 * const settings = parseSettings(schema, argv);
 */
export function parseSettings<Schema extends z.ZodType>(schema: Schema, values: unknown): z.infer<Schema> {
    const parsed = schema.safeParse(values);
    if (!parsed.success) {
        const lines = parsed.error.issues.map(issue => {
            const name = issue.path.join(".").replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
            return `  --${name}: ${issue.message}`;
        });
        throw new SettingsError(`invalid settings:\n${lines.join("\n")}`);
    }
    return parsed.data;
}

const maxPort = 65_535;

/** Schema of a port; 0 takes a free one. */
export const portSchema = z.number().int().min(0).max(maxPort);

/** Schema of the root address of an HTTP service, without a slash at the end. */
export const urlSchema = z.url().transform(url => url.replace(/\/+$/, ""));

/** Schema of a duration in milliseconds. */
export const durationSchema = z.number().positive();

/** Flag that every daemon has: log namespaces in the syntax of `debug`. */
export const logOption = {
    type: "string",
    default: "jujubelane:*",
    describe: "log namespaces to write to standard error, in the syntax of debug",
} as const;

/** Enables the log namespaces that the flag selects. */
export function applyLogSetting(namespaces: string): void {
    enableLogs(namespaces);
}
