import assert from "node:assert/strict";
import * as http from "node:http";
import { AddressInfo } from "node:net";
import { after, test } from "node:test";
import { createSystemTimerService } from "../../src/base/systemTimerService.js";
import { makeExpectedOutput } from "../../src/emulator/engine/tokens.js";
import { buildArrivals } from "../../src/load/arrivals.js";
import { loadPlanSchema } from "../../src/load/loadPlan.js";
import { runLoad } from "../../src/load/loadRunner.js";
import { OutcomeKind } from "../../src/load/outcome.js";
import { computeLoadSummary } from "../../src/load/summary.js";

const timers = createSystemTimerService();
const noFaults = { processes: {}, controls: {} };
const servers: http.Server[] = [];
after(() =>
    servers.forEach(server => {
        server.close();
        server.closeAllConnections();
    })
);

function makePlan(changes: object = {}) {
    return loadPlanSchema.parse({
        name: "test",
        model: "demo",
        keys: { small: "k1", large: "k2" },
        streams: {
            short: {
                rank: "urgent",
                customers: { small: 1, large: 20 },
                prompt: [{ weight: 49, minTokens: 100, maxTokens: 1_000 }, {
                    weight: 1,
                    minTokens: 2_000,
                    maxTokens: 9_000,
                }],
                minOutputTokens: 2,
                maxOutputTokens: 4,
                timeLimitMs: 300,
            },
        },
        phases: [
            { name: "steady", seconds: 0.2, rates: { short: 50 } },
            { name: "surge", seconds: 0.1, surges: [{ stream: "short", atSeconds: 0, count: 5, overSeconds: 0.01 }] },
        ],
        drainSeconds: 4,
        ...changes,
    });
}

/** Starts an entry that answers each completion with what `answer` returns, or never if that is undefined. */
async function startEntry(answer: (prompt: string, tokens: number) => string | undefined): Promise<string> {
    const server = http.createServer((request, response) => {
        const parts: Buffer[] = [];
        request.on("data", (part: Buffer) => parts.push(part));
        request.on("end", () => {
            const body = JSON.parse(Buffer.concat(parts).toString()) as { prompt: string; max_tokens: number };
            const output = answer(body.prompt, body.max_tokens);
            if (output !== undefined) {
                response.writeHead(200, { "content-type": "text/event-stream" });
                response.end(`data: ${JSON.stringify({ choices: [{ text: output }] })}\n\ndata: [DONE]\n\n`);
            }
        });
    });
    servers.push(server);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

test("the same seed gives the same arrivals, another seed others, at the planned rate", () => {
    const plan = makePlan({ phases: [{ name: "steady", seconds: 100, rates: { short: 50 } }] });
    const arrivals = buildArrivals(plan, 7);
    assert.deepEqual(arrivals, buildArrivals(plan, 7));
    assert.notDeepEqual(arrivals, buildArrivals(plan, 8));
    const tolerance = 4 * Math.sqrt(5_000);
    assert.ok(Math.abs(arrivals.length - 5_000) < tolerance, `${arrivals.length} arrivals instead of about 5000`);
    const large = arrivals.filter(arrival => arrival.customer === "large").length / arrivals.length;
    assert.ok(Math.abs(large - 20 / 21) < 0.02, `share of the large customer is ${large}`);
    const long = arrivals.filter(arrival => arrival.promptTokens >= 2_000).length / arrivals.length;
    assert.ok(Math.abs(long - 0.02) < 0.01, `share of long prompts is ${long}`);
});

const cases = [
    { name: "the right answer counts as completed", answer: makeExpectedOutput, kind: OutcomeKind.Completed },
    {
        name: "another request's answer counts as wrong",
        answer: (prompt: string, tokens: number) => makeExpectedOutput(`${prompt}x`, tokens),
        kind: OutcomeKind.Wrong,
    },
    {
        name: "an answer that lacks its last token counts as wrong",
        answer: (prompt: string, tokens: number) => makeExpectedOutput(prompt, tokens - 1),
        kind: OutcomeKind.Wrong,
    },
    { name: "a request without any answer counts as hung", answer: () => undefined, kind: OutcomeKind.Hung },
];

for (const { name, answer, kind } of cases) {
    test(name, async () => {
        const run = await runLoad(makePlan(), 3, [await startEntry(answer)], noFaults, timers);
        assert.ok(run.outcomes.length >= 5);
        assert.deepEqual([...new Set(run.outcomes.map(outcome => outcome.kind))], [kind]);
        const summary = computeLoadSummary(run);
        assert.equal(summary.byPhase.find(group => group.name === "surge")?.sent, 5);
        // Sending does not wait for answers: all requests of the run were in flight together when none was answered.
        assert.ok(kind !== OutcomeKind.Hung || summary.overhead.maxInFlight === run.outcomes.length);
    });
}
