// Starts the gateway from its bundle with the V8 code cache that the build wrote, or writes that cache (--write-cache).
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
// V8 rejects a code cache from another version or other options; the bundle is then compiled at start, which takes longer.
if (!isBuild && script.cachedDataRejected !== false) {
    process.stderr.write("jujubelane: no compiled code was used; build with the Node.js and the options that run it\n");
}
const bundle = { exports: {} };
script.runInThisContext()(createRequire(bundlePath), bundle, bundle.exports);
if (isBuild) {
    process.on("exit", () => writeFileSync(cachePath, script.createCachedData()));
}
