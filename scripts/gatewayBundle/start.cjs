// Starts the gateway from its bundle with the V8 code cache that the build wrote, or writes that cache (--write-cache).
// Listens for customers before it loads the bundle, which takes some tenths of a second on a slow host: the kernel queues
// their connections meanwhile instead of refusing them.
"use strict";

const { existsSync, readFileSync, writeFileSync } = require("node:fs");
const { createRequire } = require("node:module");
const { createServer } = require("node:net");
const { join } = require("node:path");
const { Script } = require("node:vm");

const bundlePath = join(__dirname, "gateway.cjs");
const cachePath = join(__dirname, "gateway.cache");
const isBuild = process.argv.includes("--write-cache");

function loadBundle(customerListener) {
    const source = readFileSync(bundlePath, "latin1");
    const script = new Script(`(function (require, module, exports, customerListener) {${source}\n})`, {
        filename: bundlePath,
        cachedData: existsSync(cachePath) ? readFileSync(cachePath) : undefined,
    });
    // V8 rejects a code cache from another version or other options; the bundle is then compiled at start, which takes longer.
    if (!isBuild && script.cachedDataRejected !== false) {
        process.stderr.write("jujubelane: no compiled code was used; build with the Node.js and the options that run it\n");
    }
    const bundle = { exports: {} };
    script.runInThisContext()(createRequire(bundlePath), bundle, bundle.exports, customerListener);
    if (isBuild) {
        process.on("exit", () => writeFileSync(cachePath, script.createCachedData()));
    }
}

const [, host, port] = /^(.+):(\d+)$/u.exec(process.env.JUJUBELANE_CUSTOMER_ADDRESS ?? "") ?? [];
if (isBuild || host === undefined) {
    loadBundle(undefined);
}
else {
    const listener = createServer();
    // The bundle listens itself and reports the error if this address cannot be used.
    listener.once("error", () => loadBundle(undefined));
    listener.listen(Number(port), host, () => loadBundle(listener));
}
