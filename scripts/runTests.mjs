// Runs the compiled test files. A failing test that KNOWN-RED.txt lists is printed but not counted; any other failure fails
// the run. Arguments select the files whose path contains any of them.
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { run } from "node:test";
import { spec } from "node:test/reporters";

process.chdir(new URL("..", import.meta.url).pathname);
const fileTimeoutMs = 120_000;

function listTestFiles() {
    return readdirSync("out/test", { recursive: true })
        .filter(name => name.endsWith(".test.js"))
        // The compiled test of a deleted source may still exist.
        .filter(name => existsSync(`test/${name.replace(/\.js$/, ".ts")}`))
        .map(name => `out/test/${name}`)
        .sort();
}

/** Reads the names of the known failing tests: the lines of KNOWN-RED.txt that start with "test: ". */
function readKnownRedTests() {
    if (!existsSync("KNOWN-RED.txt")) {
        return new Set();
    }
    const prefix = "test: ";
    return new Set(
        readFileSync("KNOWN-RED.txt", "utf8").split("\n")
            .filter(line => line.startsWith(prefix))
            .map(line => line.slice(prefix.length).trim()),
    );
}

const filters = process.argv.slice(2);
const files = listTestFiles().filter(name => filters.length === 0 || filters.some(filter => name.includes(filter)));
if (files.length === 0) {
    console.error("no test file found");
    process.exit(1);
}

const knownRed = readKnownRedTests();
const failures = [];
const knownRedFailures = [];
let passed = 0;
const stream = run({ files, concurrency: 4, timeout: fileTimeoutMs });
stream.on("test:fail", data => {
    // A file or a suite whose children fail is not counted, because each failing child is counted itself.
    if (data.details.error?.failureType === "subtestsFailed") {
        return;
    }
    (knownRed.has(data.name) ? knownRedFailures : failures).push(`${data.name} (${data.file ?? "unknown file"})`);
});
stream.on("test:pass", data => {
    if (data.details.type !== "suite") {
        passed++;
    }
});
stream.compose(new spec()).pipe(process.stdout);
stream.on("end", () => {
    setImmediate(() => {
        for (const name of knownRedFailures) {
            console.log(`known red, not counted: ${name}`);
        }
        for (const name of failures) {
            console.log(`failed: ${name}`);
        }
        console.log(`tests: ${passed} passed, ${failures.length} failed`);
        process.exitCode = failures.length === 0 && passed > 0 ? 0 : 1;
    });
});
