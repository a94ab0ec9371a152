import assert from "node:assert/strict";
import { test } from "node:test";
import { makeExpectedOutput } from "../../src/emulator/engine/tokens.js";
import { startSystem, TestSystem } from "./system.js";

interface StreamEvent {
    readonly choices?: readonly { readonly text: string }[];
    readonly error?: { readonly code: string };
}

async function readStream(response: Response): Promise<{ text: string; isComplete: boolean; errorCode?: string }> {
    const body = await response.text();
    const events = body.split("\n\n").filter(event => event.startsWith("data: {"))
        .map(event => JSON.parse(event.slice("data: ".length)) as StreamEvent);
    return {
        text: events.map(event => event.choices?.[0]?.text ?? "").join(""),
        isComplete: body.includes("data: [DONE]"),
        errorCode: events.find(event => event.error)?.error?.code,
    };
}

const requests = 8;
const tokens = 120;

interface AnswerCase {
    readonly name: string;
    readonly inject: (system: TestSystem) => void;
    /** Whether every answer must be complete despite the fault. */
    readonly isRecoverable: boolean;
}

const cases: readonly AnswerCase[] = [
    { name: "no fault", inject: () => undefined, isRecoverable: true },
    { name: "connection stays silent", inject: s => s.endpoints[0]!.relay.pauseConnections(), isRecoverable: true },
    {
        name: "connection silent, its frames delivered after the resume",
        inject: system => {
            system.endpoints[0]!.relay.pauseConnections();
            setTimeout(() => system.endpoints[0]!.relay.resumeConnections(), 1_200);
        },
        isRecoverable: true,
    },
    {
        name: "connections silent twice",
        inject: system => {
            system.endpoints[0]!.relay.pauseConnections();
            setTimeout(() => system.endpoints[0]!.relay.pauseConnections(), 900);
        },
        isRecoverable: true,
    },
    {
        name: "link closed and reconnects refused",
        inject: s => s.endpoints[0]!.relay.disconnect(),
        isRecoverable: false,
    },
    { name: "engine gone", inject: s => void s.endpoints[0]!.engine!.close(), isRecoverable: false },
];

for (const { name, inject, isRecoverable } of cases) {
    test(`each customer receives its own complete answer or an error: ${name}`, async () => {
        const system = await startSystem({ engine: { decodeTokensPerSecond: 100 } });
        try {
            setTimeout(() => inject(system), 400);
            const answers = await Promise.all(Array.from({ length: requests }, async (unused, index) => {
                const prompt = `question ${index} `.repeat(10 + index);
                const body = { model: "demo", prompt, max_tokens: tokens, stream: true };
                return { prompt, ...await readStream(await system.send("/v1/completions", body)) };
            }));
            for (const answer of answers) {
                const expected = makeExpectedOutput(answer.prompt, tokens);
                if (answer.isComplete) {
                    assert.equal(answer.text, expected);
                }
                else {
                    assert.ok(expected.startsWith(answer.text), "the text does not belong to this request's answer");
                    assert.ok(answer.errorCode, "an incomplete answer carries no error");
                }
                assert.equal(answer.isComplete || !isRecoverable, true, `answer incomplete: ${answer.errorCode}`);
            }
        }
        finally {
            await system.close();
        }
    });
}
