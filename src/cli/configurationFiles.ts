import { readFile } from "node:fs/promises";
import { parse } from "yaml";
import { ConfigurationObjects } from "../config/objects.js";
import { configurationSchema } from "../config/schema.js";
import { SettingsError } from "./settings.js";

/**
 * Reads configuration files in YAML (or JSON, which YAML includes) and merges their sections.
 *
 * @throws SettingsError if a file cannot be read or does not satisfy the schema
 */
export async function readConfigurationFiles(paths: readonly string[]): Promise<ConfigurationObjects> {
    const merged: Record<string, Record<string, unknown>> = {};
    for (const path of paths) {
        const sections = parse(await readFile(path, "utf8")) as Record<string, Record<string, unknown>>;
        for (const [section, objects] of Object.entries(sections)) {
            merged[section] = { ...merged[section], ...objects };
        }
    }
    const parsed = configurationSchema.safeParse(merged);
    if (!parsed.success) {
        throw new SettingsError(
            parsed.error.issues.map(issue => `${issue.path.join(".")}: ${issue.message}`).join("\n"),
        );
    }
    return parsed.data;
}
