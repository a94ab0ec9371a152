import assert from "node:assert/strict";
import { test } from "node:test";
import { createManualTimerService } from "../../src/base/manualTimerService.js";
import { createBatchingRunner } from "../../src/sidecar/itemBatcher.js";
import { Work, WorkListener } from "../../src/sidecar/work.js";

const intervalMs = 25;

interface Step {
    readonly atMs: number;
    readonly items?: readonly string[];
    readonly ends?: boolean;
}

const cases: readonly {
    readonly name: string;
    readonly steps: readonly Step[];
    readonly expected: readonly string[];
}[] = [
    {
        name: "the first token is not delayed, later tokens of a fast stream are batched",
        steps: [{ atMs: 0, items: ["a"] }, { atMs: 10, items: ["b"] }, { atMs: 20, items: ["c"] }, { atMs: 60 }],
        expected: ["0 a", "25 bc"],
    },
    {
        name: "a stream that is slower than the interval is not delayed",
        steps: [{ atMs: 0, items: ["a"] }, { atMs: 40, items: ["b"] }, { atMs: 80, items: ["c"] }],
        expected: ["0 a", "40 b", "80 c"],
    },
    {
        name: "pending tokens are sent before the end of the stream",
        steps: [{ atMs: 0, items: ["a"] }, { atMs: 5, items: ["b"] }, { atMs: 6, ends: true }, { atMs: 60 }],
        expected: ["0 a", "6 b", "6 end"],
    },
];

for (const { name, steps, expected } of cases) {
    test(name, () => {
        const timers = createManualTimerService();
        const startMs = timers.now();
        const seen: string[] = [];
        const record = (text: string) => seen.push(`${timers.now() - startMs} ${text}`);
        let listener: WorkListener | undefined;
        const runner = createBatchingRunner(
            (work, given) => {
                listener = given;
                return { cancel: () => undefined };
            },
            timers,
            intervalMs,
        );
        runner({} as Work, { handleItems: items => record(items.join("")), handleEnd: () => record("end") });
        for (const { atMs, items, ends } of steps) {
            timers.advance(startMs + atMs - timers.now());
            if (items) {
                listener!.handleItems(items);
            }
            if (ends) {
                listener!.handleEnd([], 0);
            }
        }
        assert.deepEqual(seen, expected);
    });
}
