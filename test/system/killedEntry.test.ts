import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { waitUntil } from "../platform/support/deployment.js";
import { sendStrictly } from "../support/strictCustomer.js";

const mainPath = fileURLToPath(new URL("../../src/main.js", import.meta.url));

/** Guards against a stream of a killed entry that looks whole to its customer. */
for (const signal of ["SIGKILL", "SIGABRT"] as const) {
    test(`a stream of an entry that ends by ${signal} does not look whole`, { timeout: 60_000 }, async () => {
        const child = spawn(process.execPath, [mainPath, "dev", "--port", "0"], {
            stdio: ["ignore", "pipe", "ignore"],
        });
        try {
            let url: string | undefined;
            createInterface({ input: child.stdout }).on("line", line => {
                url ??= /http:\/\/[\d.:]+/u.exec(line)?.[0];
            });
            await waitUntil("the address", () => url !== undefined, 30_000);
            const headers = { "authorization": "Bearer dev-key", "content-type": "application/json" };
            const body = JSON.stringify({ model: "demo", prompt: "hello", max_tokens: 2_000, stream: true });
            const exchange = sendStrictly(url!, { method: "POST", path: "/v1/completions", headers, body });
            await waitUntil("the first tokens", () => exchange.countBodyBytes() > 0, 20_000);
            child.kill(signal);
            const answer = await exchange.answer;
            assert.equal(answer.status, 200);
            assert.equal(answer.isComplete, false);
            assert.ok(!answer.body.includes("[DONE]"));
        }
        finally {
            child.kill("SIGKILL");
            await (child.exitCode === null && child.signalCode === null ? once(child, "exit") : undefined);
        }
    });
}
