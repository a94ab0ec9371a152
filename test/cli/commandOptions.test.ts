import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { describe, test } from "node:test";
import { fileURLToPath } from "node:url";

const commands = ["test/soak/main.js", "bench/run.js", "bench/capacity.js"];

function runCommand(path: string, option: string) {
    const file = fileURLToPath(new URL(`../../${path}`, import.meta.url));
    return spawnSync(process.execPath, [file, option], { encoding: "utf8", timeout: 20_000 });
}

/** Guards against commands that start a run of minutes, or print a stack trace, when asked how they are used. */
describe("commands of the repository", { concurrency: 1 }, () => {
    for (const path of commands) {
        test(`${path} --help prints the usage and ends with 0`, () => {
            const { status, stdout } = runCommand(path, "--help");
            assert.equal(status, 0);
            assert.match(stdout, /^npm run \w+ -- \[options\]/);
        });

        test(`${path} with an unknown option prints the usage and ends with 2`, () => {
            const { status, stdout, stderr } = runCommand(path, "--unknown-option");
            assert.equal(status, 2);
            assert.equal(stdout, "");
            assert.match(stderr, /^npm run \w+ -- \[options\]/);
            assert.match(stderr, /unknown-option/);
            assert.doesNotMatch(stderr, /^ +at /m);
        });
    }
});
