import assert from "node:assert/strict";
import * as http from "node:http";
import { after, before, test } from "node:test";
import { makeExpectedOutput } from "../../src/emulator/engine/tokens.js";
import { formatBeginning, formatMerge, formatPart, splitPrompt } from "../../src/scheduling/splitPrompt.js";
import { Fleet, fleetKeys, startFleet } from "./fleet.js";

let fleet: Fleet;
before(async () => {
    fleet = await startFleet({
        entries: 1,
        engines: 1,
        services: 0,
        engineFlags: ["--memory-tokens", "10000", "--prefill-tokens-per-second", "20000"],
        sidecarFlags: ["--max-queued-requests", "1"],
    });
});
after(() => fleet.close());

const lines = Array.from({ length: 1_500 }, (unused, index) => `crew ${index} cuts field ${index % 17} at dawn\n`);
/** About 13,000 tokens; the engine's memory holds 10,000. */
const largePrompt = lines.join("");

function send(prompt: string, headers: Record<string, string> = {}, tokens = 8): Promise<Response> {
    return fleet.send(0, "/v1/completions", { model: "demo", prompt, max_tokens: tokens }, headers);
}

test("a prompt larger than every endpoint is refused as not run with the size that fits", async () => {
    const response = await send(largePrompt);
    const body = await response.json() as { error: { code: string; largest_prompt_tokens: number } };
    assert.deepEqual([response.status, body.error.code], [413, "prompt_too_large"]);
    assert.equal(response.headers.get("jujubelane-verdict"), "not-run");
    assert.equal(body.error.largest_prompt_tokens, 9_000 - 8);
    assert.equal((await send("x".repeat(4 * body.error.largest_prompt_tokens))).status, 200);
});

test("a prompt that the customer allows to be split is answered from all of its parts", async () => {
    const response = await send(largePrompt, { "jujubelane-split": "allow" });
    const body = await response.json() as { choices: { text: string }[] };
    assert.equal(response.status, 200);
    assert.equal(response.headers.get("jujubelane-parts"), "2");
    const beginning = formatBeginning(largePrompt);
    // The emulated engine's output depends on the whole prompt, so only the merge of all parts gives this text.
    const candidates = [...Array(largePrompt.length).keys()].filter(bytes => bytes > 25_000 && bytes < 36_000)
        .map(bytes => splitPrompt(largePrompt, bytes))
        .filter((parts, index, all) => parts.length === 2 && parts[0] !== all[index - 1]?.[0])
        .map(parts => {
            const answers = parts.map((part, index) =>
                makeExpectedOutput(formatPart(part, index, parts.length, beginning), 8)
            );
            return makeExpectedOutput(formatMerge(answers, beginning), 8);
        });
    assert.ok(candidates.includes(body.choices[0]!.text), body.choices[0]!.text);
});

test("a body that no endpoint can take is refused before it is read", async () => {
    const { hostname, port } = new URL(fleet.entries[0]!.address);
    const status = await new Promise<number | undefined>((resolve, reject) => {
        const request = http.request({
            hostname,
            port,
            method: "POST",
            path: "/v1/completions",
            headers: { authorization: `Bearer ${fleetKeys.planner}`, "content-length": 4_000_000 },
        }, response => {
            resolve(response.statusCode);
            request.destroy();
        });
        request.on("error", reject);
        // Only the first byte is sent, so a response shows that the entry did not wait for the rest of the body.
        request.write("{");
    });
    assert.equal(status, 413);
});

test("an overloaded endpoint answers 429 with a time and a ticket that a later request may carry", async () => {
    const longPrompt = "y".repeat(4 * 8_000);
    const responses = await Promise.all(
        Array.from({ length: 6 }, (unused, index) => send(`${index}${longPrompt}`, {}, 60)),
    );
    const refused = responses.find(response => response.status === 429);
    assert.ok(refused, `statuses ${responses.map(response => response.status).join(" ")}`);
    assert.ok(Number(refused.headers.get("retry-after")) >= 1);
    assert.equal(refused.headers.get("jujubelane-verdict"), "not-run");
    const ticket = refused.headers.get("jujubelane-ticket") ?? "";
    assert.equal((await send("again", { "jujubelane-ticket": ticket })).status, 200);
    const { logLines } = fleet.entries[0]!;
    assert.ok(!logLines.some(line => line.includes("TicketIgnored")));
    assert.equal((await send("forged", { "jujubelane-ticket": `${ticket}A` })).status, 200);
    assert.ok(logLines.some(line => line.includes("TicketIgnored") && line.includes("reason=forged")));
});
