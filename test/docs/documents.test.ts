import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { readdirSync, readFileSync } from "node:fs";
import { describe, test } from "node:test";
import { fileURLToPath } from "node:url";
import { LogEvent } from "../../src/base/logEvents.js";
import { ErrorCode } from "../../src/base/requestError.js";

const root = new URL("../../../", import.meta.url);

function read(path: string): string {
    return readFileSync(new URL(path, root), "utf8");
}

function listSources(): string[] {
    return (readdirSync(new URL("src", root), { recursive: true }) as string[]).filter(name => name.endsWith(".ts"));
}

describe("documents and code agree", () => {
    test("the catalogue of log events lists each event once with its number and name", () => {
        const catalogue = [...read("docs/events.md").matchAll(/^\| (\d{4}) \| (\w+) \|/gm)]
            .map(match => `${match[1]} ${match[2]}`);
        const events = Object.entries(LogEvent).filter(([, value]) => typeof value === "number")
            .map(([name, value]) => `${value} ${name}`);
        assert.deepEqual(catalogue.sort(), events.sort());
    });

    test("every log event is used in the sources", () => {
        const sources = listSources().filter(name => !name.endsWith("logEvents.ts"))
            .map(name => read(`src/${name}`)).join("\n");
        const unused = Object.keys(LogEvent).filter(name => Number.isNaN(Number(name)))
            .filter(name => !sources.includes(`LogEvent.${name}`));
        assert.deepEqual(unused, []);
    });

    test("the customers' page lists each error code", () => {
        const page = read("docs/callers.md");
        assert.deepEqual(Object.values(ErrorCode).filter(code => !page.includes(`\`${code}\``)), []);
    });

    for (const command of ["entry", "sidecar"]) {
        test(`the operators' page lists each flag of ${command} and each has a description`, () => {
            const main = fileURLToPath(new URL("../../src/main.js", import.meta.url));
            const help = execFileSync(process.execPath, [main, command, "--help"], { encoding: "utf8" });
            const flags = [...help.matchAll(/^ +(--[a-z-]+)(.*)$/gm)].filter(match => match[1] !== "--version");
            const page = read("docs/operators.md");
            assert.ok(flags.length > 10);
            assert.deepEqual(
                flags.map(match => match[1]!).filter(flag => flag !== "--help" && !page.includes(flag)),
                [],
            );
            assert.deepEqual(flags.filter(match => /^\s*(\[|$)/.test(match[2]!)).map(match => match[1]), []);
        });
    }

    test("function names begin with a verb of docs/verbs.md", () => {
        const verbs = new Set([...read("docs/verbs.md").matchAll(/^\| `(\w+)` \|/gm)].map(match => match[1]));
        const wrong: string[] = [];
        for (const name of listSources()) {
            for (const match of read(`src/${name}`).matchAll(/^\s*(?:export )?(?:async )?function\*? (\w+)/gm)) {
                const verb = /^[a-z]+/.exec(match[1]!)?.[0] ?? "";
                if (!verbs.has(verb)) {
                    wrong.push(`${name}: ${match[1]}`);
                }
            }
        }
        assert.deepEqual(wrong, []);
    });
});
