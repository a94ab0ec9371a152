import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { makeExpectedOutput } from "../../src/emulator/engine/tokens.js";
import { Fleet, startFleet } from "./fleet.js";

const timeLimitMs = 6_000;
/** The requirement: no request passes its limit by more than one second. */
const toleranceMs = 1_000;
const requestsPerEntry = 6;
const tokens = 60;

let fleet: Fleet;
before(async () => {
    fleet = await startFleet({ entries: 2, engines: 4, services: 0 });
});
after(() => fleet.close());

interface Outcome {
    readonly status: number;
    readonly body: string;
    readonly expected: string;
    readonly elapsedMs: number;
}

async function run(entry: number, index: number, stream: boolean): Promise<Outcome> {
    const prompt = `entry ${entry} question ${index} `.repeat(20);
    const startedMs = performance.now();
    const response = await fleet.send(
        entry,
        "/v1/completions",
        { model: "demo", prompt, max_tokens: tokens, stream },
        { "jujubelane-time-limit-ms": String(timeLimitMs) },
    );
    const body = await response.text();
    const elapsedMs = performance.now() - startedMs;
    return { status: response.status, body, expected: makeExpectedOutput(prompt, tokens), elapsedMs };
}

function readText(outcome: Outcome, stream: boolean): { text: string; isComplete: boolean } {
    if (!stream) {
        const choices = (JSON.parse(outcome.body) as { choices?: { text: string }[] }).choices;
        return { text: choices?.[0]?.text ?? "", isComplete: choices !== undefined };
    }
    const events = outcome.body.split("\n\n").filter(event => event.startsWith("data: {"))
        .map(event => JSON.parse(event.slice("data: ".length)) as { choices?: { text: string }[] });
    const text = events.map(event => event.choices?.[0]?.text ?? "").join("");
    return { text, isComplete: outcome.body.includes("data: [DONE]") };
}

const pauseMs = 4_000;

/** Pauses so far. Each must end before the fleet is closed, because a process that has exited cannot be resumed. */
const pauses: Promise<void>[] = [];

function pause(pid: number | undefined): void {
    process.kill(pid!, "SIGSTOP");
    pauses.push(
        new Promise(resolve =>
            setTimeout(() => {
                process.kill(pid!, "SIGCONT");
                resolve();
            }, pauseMs)
        ),
    );
}

interface ProcessFault {
    readonly name: string;
    readonly inject: (fleet: Fleet) => void;
    /** Whether non-streamed requests, which can be retried on another endpoint, must succeed despite the fault. */
    readonly nonStreamedMustSucceed: boolean;
    /** Replaces a process that the fault has killed. */
    readonly repair?: (fleet: Fleet) => Promise<void>;
}

// The cases pause and kill processes of one shared fleet, so their order matters.
const cases: readonly ProcessFault[] = [
    { name: "sidecar paused", inject: f => pause(f.engines[0]!.sidecar.child.pid), nonStreamedMustSucceed: true },
    { name: "engine paused", inject: f => pause(f.engines[0]!.backend.child.pid), nonStreamedMustSucceed: false },
    {
        name: "sidecar and engine of different endpoints paused together",
        inject: f => {
            pause(f.engines[0]!.sidecar.child.pid);
            pause(f.engines[1]!.backend.child.pid);
        },
        nonStreamedMustSucceed: false,
    },
    {
        name: "sidecar killed",
        inject: f => void f.engines[0]!.sidecar.kill(),
        nonStreamedMustSucceed: true,
        // The next case kills an engine. Requests that ran on it are retried one at a time per remaining endpoint, so
        // this endpoint has to serve again.
        repair: f => f.engines[0]!.replaceSidecar(),
    },
    { name: "engine killed", inject: f => void f.engines[1]!.backend.kill(), nonStreamedMustSucceed: true },
    {
        name: "sidecar paused and another endpoint's engine killed",
        inject: f => {
            pause(f.engines[2]!.sidecar.child.pid);
            void f.engines[3]!.backend.kill();
        },
        nonStreamedMustSucceed: false,
    },
];

for (const { name, inject, nonStreamedMustSucceed, repair } of cases) {
    test(`requests end within their limits with complete answers or errors: ${name}`, async () => {
        const injection = setTimeout(() => inject(fleet), 700);
        const streams = [true, false];
        const outcomes = await Promise.all(
            streams.flatMap(stream =>
                [0, 1].flatMap(entry =>
                    Array.from({ length: requestsPerEntry / 2 }, async (unused, index) => ({
                        stream,
                        ...await run(entry, index, stream),
                    }))
                )
            ),
        );
        clearTimeout(injection);
        for (const outcome of outcomes) {
            assert.ok(outcome.elapsedMs <= timeLimitMs + toleranceMs, `ended after ${outcome.elapsedMs} ms`);
            const { text, isComplete } = readText(outcome, outcome.stream);
            if (isComplete) {
                assert.equal(text, outcome.expected);
            }
            else {
                assert.ok(outcome.expected.startsWith(text), "the text does not belong to this request's answer");
                assert.match(outcome.body, /"verdict":"(not-run|may-have-run)"/);
            }
            if (!outcome.stream && nonStreamedMustSucceed) {
                assert.equal(outcome.status, 200, outcome.body);
            }
        }
        await repair?.(fleet);
        await new Promise(resolve => setTimeout(resolve, pauseMs));
        await Promise.all(pauses);
    });
}
