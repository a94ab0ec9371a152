// Bundles the gateway for the prepared platform into one file under target/.
import esbuild from "esbuild";

process.chdir(new URL("..", import.meta.url).pathname);
await esbuild.build({
    entryPoints: ["platform/main.ts"],
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    outfile: "target/jujubelane.cjs",
    // A process that starts during an outage is ready sooner with less code to compile; names stay for stack traces.
    minifyWhitespace: true,
    minifySyntax: true,
    define: { "process.env.CBOR_NATIVE_ACCELERATION_DISABLED": '"true"' },
    logLevel: "warning",
});
