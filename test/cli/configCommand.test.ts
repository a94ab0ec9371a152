import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { startProcess } from "../path/processes.js";

const mainPath = fileURLToPath(new URL("../../src/main.js", import.meta.url));

function run(args: readonly string[], env = process.env): Promise<{ readonly code: number; readonly output: string }> {
    return new Promise(resolve => {
        execFile(process.execPath, [mainPath, ...args], { timeout: 20_000, env }, (error, stdout, stderr) => {
            resolve({ code: typeof error?.code === "number" ? error.code : 0, output: stdout + stderr });
        });
    });
}

async function writeFiles(files: readonly string[]): Promise<readonly string[]> {
    const directory = await mkdtemp(join(tmpdir(), "jujubelane-"));
    return Promise.all(files.map(async (text, index) => {
        const path = join(directory, `${index}.yaml`);
        await writeFile(path, text);
        return path;
    }));
}

/** Time within which an accepted configuration is in force in every process. */
const inForceMs = 3_000;
const rank = "ranks: { urgent: { urgency: 0, timeLimitMs: 10 } }";

/** Contents of configuration files, with the exit code and the output that `config check` must give. */
const fileCases: readonly (readonly [string, readonly string[], number, RegExp])[] = [
    ["valid", [rank], 0, /^valid: 1 objects in 1 files$/m],
    ["valid JSON", [JSON.stringify({ ranks: { urgent: { urgency: 0, timeLimitMs: 10 } } })], 0, /^valid: 1 objects/m],
    [
        "empty",
        ["# nothing"],
        2,
        /0\.yaml: found an empty file; allowed: a map with at least one of the sections models/,
    ],
    ["empty beside a valid one", [rank, ""], 2, /1\.yaml: found an empty file/],
    ["a list at the top", ["- ranks"], 2, /0\.yaml: found \["ranks"\]; allowed: a map/],
    ["an unknown section", ["rank: {}"], 2, /0\.yaml: rank: found this section; allowed: models, /],
    [
        "an object in two files",
        [rank, rank],
        2,
        /1\.yaml: ranks\.urgent: found a second definition, the first is in .*0\.yaml/,
    ],
    ["an object twice in a file", ["ranks:\n  a: {}\n  a: {}"], 2, /0\.yaml: found Map keys must be unique/],
    ["damaged YAML", ["ranks: {"], 2, /0\.yaml: found .*; allowed: YAML without errors/],
    [
        "two files with one problem each",
        ["kinds: { k: { rank: x } }", "ranks: { r: { urgency: 1 } }"],
        2,
        /0\.yaml: kinds\.k: rank: found "x"[^]*1\.yaml: ranks\.r: timeLimitMs|1\.yaml: ranks\.r: timeLimitMs[^]*0\.yaml: kinds\.k: rank/,
    ],
];

for (const [name, files, code, expected] of fileCases) {
    test(`config check: ${name}`, async () => {
        const result = await run(["config", "check", ...await writeFiles(files)]);
        assert.match(result.output, expected);
        assert.equal(result.code, code);
    });
}

test("publishing a file with only new objects keeps the other objects of dev and reaches every process", async () => {
    const dev = await startProcess("dev", "--port", "0", "--log-url");
    // The child process does not keep the test process alive while it stops.
    const keepAlive = setInterval(() => undefined, 1_000);
    try {
        const [file] = await writeFiles(["kinds: { letter: { rank: bulk } }"]);
        for (let turn = 0; dev.outputLines.length < 2 && turn < 100; turn++) {
            await new Promise(resolve => setTimeout(resolve, 20));
        }
        const url = dev.outputLines[1]!.replace("log service on ", "");
        const result = await run(["config", "publish", file!, "--log-service", url, "--author", "test"]);
        assert.match(result.output, /^accepted at offset \d+ \(1 changes/);
        const acceptedAtMs = performance.now();
        const statusCommand = ["config", "status", "--entry", dev.address, "--key", "dev-key", "--log-service", url];
        let status: Awaited<ReturnType<typeof run>>;
        let askedAtMs: number;
        do {
            askedAtMs = performance.now();
            status = await run(statusCommand);
        }
        while (status.code !== 0 && askedAtMs - acceptedAtMs < inForceMs);
        assert.match(status.output, /all 4 are on generation \d+/);
        assert.equal(status.code, 0);
    }
    finally {
        assert.equal(await dev.stop(), 0);
        clearInterval(keepAlive);
    }
});

test("environment variables of other commands are ignored, but an unknown flag is an error", async () => {
    const environment = { ...process.env, JUJUBELANE_LINK_KEY: "k", JUJUBELANE_KEY: "k" };
    const files = await writeFiles([rank]);
    assert.equal((await run(["config", "check", ...files], environment)).code, 0);
    const result = await run(["config", "check", ...files, "--link-key", "k"], environment);
    assert.match(result.output, /Unknown arguments: link-key/);
    assert.equal(result.code, 2);
});

test("the help of each command shows the --json flag and the exit codes", async () => {
    const commands = ["check", "publish", "status", "diff", "history", "rollback"].map(name => ["config", name]);
    for (const command of [...commands, ["status"], ["drain"]]) {
        const result = await run([...command, "--help"]);
        assert.equal(result.code, 0);
        assert.match(result.output, /--json/);
        assert.match(result.output, /Exit codes: 0 success/);
        assert.doesNotMatch(result.output, /undefined/);
    }
});
