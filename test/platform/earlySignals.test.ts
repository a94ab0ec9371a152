import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";

/** Guards against SIGHUP terminating a gateway that is still loading its modules, as the soak with seed 1 showed. */
test("signal handlers are installed before any other module is loaded", () => {
    const read = (name: string) => readFileSync(new URL(`../../../platform/${name}`, import.meta.url), "utf8");
    const imports = [...read("main.ts").matchAll(/^import .* from "(.*)";$/gm)].map(match => match[1]);
    assert.equal(imports[0], "./earlySignals.js");
    assert.doesNotMatch(read("earlySignals.ts"), /^import /m);
});
