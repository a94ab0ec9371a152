import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createManualTimerService } from "../../src/base/manualTimerService.js";
import { watchAcknowledgement } from "../../src/entry/acknowledgementWatch.js";

interface WatchCase {
    readonly name: string;
    readonly answered: boolean;
    readonly unsent: boolean;
    /** Time by which this process runs the first check late, in milliseconds. */
    readonly lateMs: number;
    /** Whether the connection is given up at the first check, and at the second. */
    readonly unresponsive: readonly [first: boolean, second: boolean];
}

// Guards against giving up a connection because this process was busy, and against never giving up a silent one.
const cases: readonly WatchCase[] = [
    { name: "a silent connection is given up", answered: false, unsent: false, lateMs: 0, unresponsive: [true, true] },
    { name: "an answered one is kept", answered: true, unsent: false, lateMs: 0, unresponsive: [false, false] },
    { name: "a late check is repeated", answered: false, unsent: false, lateMs: 500, unresponsive: [false, true] },
    { name: "unsent bytes delay the verdict", answered: false, unsent: true, lateMs: 0, unresponsive: [false, false] },
];

describe("watch of a dispatch", () => {
    for (const { name, answered, unsent, lateMs, unresponsive } of cases) {
        test(name, () => {
            const timers = createManualTimerService();
            let stalledMs = 0;
            let isUnresponsive = false;
            // A stall shows as a clock that is ahead of the timers.
            const stalled = { ...timers, now: () => timers.now() + stalledMs };
            watchAcknowledgement(stalled, {
                isAnswered: () => answered,
                hasUnsentBytes: () => unsent,
                handleUnresponsive: () => {
                    isUnresponsive = true;
                },
            });
            stalledMs = lateMs;
            timers.advance(1_000);
            assert.equal(isUnresponsive, unresponsive[0]);
            timers.advance(1_000);
            assert.equal(isUnresponsive, unresponsive[1]);
        });
    }
});
