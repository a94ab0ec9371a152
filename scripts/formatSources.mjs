// Formats the sources with the plugin and the rules that dprint.json names, or lists what is not formatted:
// `node scripts/formatSources.mjs [check|write]`. Uses dprint's WebAssembly library because the native program needs a
// newer C library than some of the supported hosts have.
import { createContext } from "@dprint/formatter";
import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";

const usageExitCode = 2;
const { lineWidth, indentWidth, newLineKind, typescript, includes, excludes, plugins } = JSON.parse(
    readFileSync("dprint.json", "utf8"),
);
const mode = process.argv[2] ?? "check";
if (mode !== "check" && mode !== "write") {
    console.error("usage: node scripts/formatSources.mjs [check|write]");
    process.exit(usageExitCode);
}

const sourcePatterns = includes.map(buildPattern);
const context = createContext({ lineWidth, indentWidth, newLineKind });
plugins.forEach(path => context.addPlugin(readFileSync(path), typescript));
const unformatted = listSources(".").filter(path => !formatFile(path));
if (mode === "check" && unformatted.length > 0) {
    unformatted.forEach(path => console.error(`not formatted: ${path}`));
    process.exitCode = 1;
}

/** Lists the files below a folder that `includes` names. */
function listSources(folder) {
    return readdirSync(folder, { withFileTypes: true }).flatMap(entry => {
        const path = join(folder, entry.name);
        if (entry.isDirectory()) {
            return excludes.includes(path) || entry.name.startsWith(".") ? [] : listSources(path);
        }
        return sourcePatterns.some(pattern => pattern.test(path)) ? [path] : [];
    });
}

/** Builds an expression for the paths that a pattern such as `src/**\/*.ts` names. */
function buildPattern(glob) {
    const escaped = glob.replace(/[.+?^${}()|[\]\\]/gu, "\\$&");
    return new RegExp(`^${escaped.replace(/\*\*\/|\*/gu, part => part === "*" ? "[^/]*" : "(?:.*/)?")}$`, "u");
}

/** Formats a file, on disk if the mode says so. Returns whether it was formatted already. */
function formatFile(path) {
    const text = readFileSync(path, "utf8");
    const formatted = context.formatText({ filePath: path, fileText: text });
    if (formatted !== text && mode === "write") {
        writeFileSync(path, formatted);
    }
    return formatted === text;
}
