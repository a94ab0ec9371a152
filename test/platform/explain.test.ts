import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { describe, test } from "node:test";
import { fileURLToPath } from "node:url";
import { startDeployment, TestGateway } from "./support/deployment.js";

const main = fileURLToPath(new URL("../../src/main.js", import.meta.url));

function runExplain(options: readonly string[]): Promise<{ code: number; stdout: string; stderr: string }> {
    return new Promise(resolve =>
        execFile(
            process.execPath,
            [main, "explain", ...options],
            (error, stdout, stderr) => resolve({ code: error ? Number(error.code) : 0, stdout, stderr }),
        )
    );
}

function getMetricsUrl({ settings }: TestGateway): string {
    return `http://127.0.0.1:${settings.metricsPort}`;
}

async function readRequestMetrics(gateway: TestGateway): Promise<string> {
    const text = await (await fetch(`${getMetricsUrl(gateway)}/metrics`)).text();
    return text.split("\n").filter(line => !/_(store|feed)_/.test(line)).join("\n");
}

/** Guards against a command that sends or counts the request that it asks about, or that hides a refused query. */
describe("jujubelane explain", { concurrency: 1 }, () => {
    test("reports the placement without a request, and refuses malformed and unknown queries", async () => {
        const deployment = await startDeployment({ engines: 2, services: 1 });
        try {
            const gateway = deployment.gateways[0]!;
            const url = getMetricsUrl(gateway);
            const metrics = await readRequestMetrics(gateway);
            const options = ["--gateway", url, "--customer", "planner"];
            const model = [...options, "--route", "draft", "--tokens", "1000,100", "--parts", "a1:1000"];
            const text = await runExplain(model);
            assert.equal(text.code, 0, text.stderr);
            assert.match(text.stdout, /placed at engine-[01], first event in \d+ ms\n/);
            assert.match(text.stdout, /engine-\d +chosen +running 0\/8/);
            const { decision } = JSON.parse((await runExplain([...options, "--route", "look", "--json"])).stdout) as {
                decision: object;
            };
            assert.deepEqual({ ...decision, firstEventMs: 0 }, {
                outcome: "placed",
                endpoint: "desk-0",
                helpers: [],
                firstEventMs: 0,
                startMs: 0,
            });
            const unknown = await runExplain([...options, "--route", "absent"]);
            assert.deepEqual([unknown.code, unknown.stderr], [2, "unknown route absent\n"]);
            const malformed = await fetch(`${url}/jujubelane/explain?customer=planner&route=draft&tokens=x`);
            assert.equal(malformed.status, 400);
            assert.match(JSON.stringify(await malformed.json()), /^\{"error":"tokens: /);
            const incomplete = await runExplain(options);
            assert.equal(incomplete.code, 2);
            assert.match(incomplete.stderr, /--deadline-ms/, "the usage is printed");
            for (const endpoint of [...deployment.engines, ...deployment.services]) {
                assert.equal(endpoint.requests.length, 0);
            }
            assert.equal(await readRequestMetrics(gateway), metrics);
        }
        finally {
            await deployment.close();
        }
    });
});
