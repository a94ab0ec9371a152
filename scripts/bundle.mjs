// Bundles out/src/main.js and injects it into a copy of the Node.js binary (single executable application).
import esbuild from "esbuild";
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, rmSync, writeFileSync } from "node:fs";
import { readFileSync } from "node:fs";
import { inject } from "postject";

const root = new URL("..", import.meta.url).pathname;
process.chdir(root);
mkdirSync("dist", { recursive: true });
await esbuild.build({
    entryPoints: ["out/src/main.js"],
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    outfile: "dist/jujubelane.cjs",
    // A single executable cannot load native add-ons, so cbor-x must use its JavaScript implementation.
    define: {
        "process.env.CBOR_NATIVE_ACCELERATION_DISABLED": '"true"',
        "import.meta.url": "__moduleUrl",
    },
    banner: { js: 'const __moduleUrl = require("node:url").pathToFileURL(process.execPath).href;' },
    // The plot renderer is a development dependency, which only runs from the sources use.
    external: ["vega", "vega-lite"],
    logLevel: "warning",
});
writeFileSync(
    "dist/sea.json",
    JSON.stringify({
        main: "dist/jujubelane.cjs",
        output: "dist/jujubelane.blob",
        disableExperimentalSEAWarning: true,
    }),
);
execFileSync(process.execPath, ["--experimental-sea-config", "dist/sea.json"], { stdio: "ignore" });
rmSync("dist/jujubelane", { force: true });
copyFileSync(process.execPath, "dist/jujubelane");
chmodSync("dist/jujubelane", 0o755);
// postject prints its progress to the console.
const consoleLog = console.log;
console.log = () => {};
await inject("dist/jujubelane", "NODE_SEA_BLOB", readFileSync("dist/jujubelane.blob"), {
    sentinelFuse: "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2",
});
console.log = consoleLog;
console.log("built dist/jujubelane");
