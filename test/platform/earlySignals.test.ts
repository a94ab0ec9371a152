import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";

/** Found by the soak (seed 1): a gateway that got SIGHUP while it loaded its modules was ended by it. */
test("signals are taken before any other module is loaded", () => {
    const read = (name: string) => readFileSync(new URL(`../../../platform/${name}`, import.meta.url), "utf8");
    const imports = [...read("main.ts").matchAll(/^import .* from "(.*)";$/gm)].map(match => match[1]);
    assert.equal(imports[0], "./earlySignals.js");
    assert.doesNotMatch(read("earlySignals.ts"), /^import /m);
});
