// Runs the compiled fuzz files out/test/**/*.fuzz.js, each in a process of its own, with a seed and a number of runs
// from the environment (JUJUBELANE_FUZZ_SEED, JUJUBELANE_FUZZ_RUNS). Without a seed, a random one is chosen and printed, so
// that a failure can be reproduced. Arguments select the files whose path contains any of them.
import { spawnSync } from "node:child_process";
import { randomInt } from "node:crypto";
import { existsSync, readdirSync } from "node:fs";

process.chdir(new URL("..", import.meta.url).pathname);
const fileTimeoutMs = 30 * 60_000;
const defaultRuns = 2_000;
const maxSeed = 0x7fff_ffff;

const seed = process.env.JUJUBELANE_FUZZ_SEED ?? String(randomInt(maxSeed));
const runs = process.env.JUJUBELANE_FUZZ_RUNS ?? String(defaultRuns);
const filters = process.argv.slice(2);
const files = readdirSync("out/test", { recursive: true })
    .filter(name => name.endsWith(".fuzz.js"))
    // The compiled file of a deleted source may still exist.
    .filter(name => existsSync(`test/${name.replace(/\.js$/, ".ts")}`))
    .map(name => `out/test/${name}`)
    .filter(name => filters.length === 0 || filters.some(filter => name.includes(filter)))
    .sort();
if (files.length === 0) {
    console.error("no fuzz file found");
    process.exit(1);
}

let failed = 0;
for (const file of files) {
    console.log(`${file}: seed ${seed}, ${runs} runs`);
    const startedMs = Date.now();
    const result = spawnSync(process.execPath, [file], {
        stdio: "inherit",
        timeout: fileTimeoutMs,
        env: { ...process.env, JUJUBELANE_FUZZ_SEED: seed, JUJUBELANE_FUZZ_RUNS: runs },
    });
    const seconds = ((Date.now() - startedMs) / 1000).toFixed(1);
    const outcome = result.status === 0 ? "passed" : `failed (${result.signal ?? `exit code ${result.status}`})`;
    console.log(`${file}: ${outcome} in ${seconds} s`);
    failed += result.status === 0 ? 0 : 1;
}
console.log(`fuzz files: ${files.length - failed} passed, ${failed} failed; repeat with JUJUBELANE_FUZZ_SEED=${seed}`);
process.exitCode = failed === 0 ? 0 : 1;
