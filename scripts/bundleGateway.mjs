// Bundles the gateway for deployment into target/, together with a V8 code cache.
import esbuild from "esbuild";
import { spawnSync } from "node:child_process";
import { copyFileSync, existsSync, readFileSync, rmSync } from "node:fs";

/** Modules that the bundle replaces with smaller ones; the head of each replacement gives the reason. */
const replacements = [
    { filter: /^undici$/, importer: /./u, path: "scripts/gatewayBundle/undiciDispatchers.cjs" },
    { filter: /client-h2\.js$/, importer: /undici/u, path: "scripts/gatewayBundle/noHttp2.cjs" },
    { filter: /\/formatters$/, importer: /hdr-histogram-js/u, path: "scripts/gatewayBundle/printFormats.cjs" },
];

const replaceModules = {
    name: "replace modules",
    setup(build) {
        for (const { filter, importer, path } of replacements) {
            build.onResolve(
                { filter },
                resolved => importer.test(resolved.importer) ? { path: `${process.cwd()}/${path}` } : undefined,
            );
        }
    },
};

process.chdir(new URL("..", import.meta.url).pathname);
await esbuild.build({
    entryPoints: ["platform/main.ts"],
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    charset: "ascii",
    outfile: "target/gateway.cjs",
    // Less code to compile makes a process that starts during an outage ready sooner. Identifiers are kept for stack traces.
    minifyWhitespace: true,
    minifySyntax: true,
    define: { "process.env.CBOR_NATIVE_ACCELERATION_DISABLED": '"true"' },
    plugins: [replaceModules],
    logLevel: "warning",
});
copyFileSync("scripts/gatewayBundle/start.cjs", "target/jujubelane.cjs");
rmSync("target/gateway.cache", { force: true });
// V8 accepts a code cache only under the options that it was created with, so the gateway's own start command is used.
const [, startArguments] = /^run = "node (.+)"$/mu.exec(readFileSync("deploy/system.toml", "utf8"));
// Without a settings file the process exits by itself, and writes the cache on exit.
const environment = { ...process.env };
delete environment.JUJUBELANE_CONFIG;
spawnSync(process.execPath, [...startArguments.split(" "), "--write-cache"], { env: environment });
if (!existsSync("target/gateway.cache")) {
    throw new Error("the gateway did not write its code cache target/gateway.cache");
}
