// Starts the gateway from its bundle with the code that the build has compiled.
"use strict";

const { existsSync, readFileSync, writeFileSync } = require("node:fs");
const { createRequire } = require("node:module");
const { join } = require("node:path");
const { Script } = require("node:vm");

const bundlePath = join(__dirname, "gateway.cjs");
const cachePath = join(__dirname, "gateway.cache");
const isBuild = process.argv.includes("--write-cache");

const script = new Script(`(function (require, module, exports) {${readFileSync(bundlePath, "latin1")}\n})`, {
    filename: bundlePath,
    cachedData: existsSync(cachePath) ? readFileSync(cachePath) : undefined,
});
// V8 takes code only from its own version and under the same options; without it the bundle is compiled, more slowly.
if (!isBuild && script.cachedDataRejected !== false) {
    process.stderr.write("jujubelane: no compiled code was used; build with the Node.js and the options that run it\n");
}
const bundle = { exports: {} };
script.runInThisContext()(createRequire(bundlePath), bundle, bundle.exports);
if (isBuild) {
    process.on("exit", () => writeFileSync(cachePath, script.createCachedData()));
}
