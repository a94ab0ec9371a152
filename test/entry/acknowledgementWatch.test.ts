import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createManualTimerService } from "../../src/base/manualTimerService.js";
import { watchAcknowledgement } from "../../src/entry/acknowledgementWatch.js";

interface WatchCase {
    readonly name: string;
    readonly answered: boolean;
    readonly unsent: boolean;
    /** Delay with which this process runs the first check, in milliseconds. */
    readonly lateMs: number;
    /** Whether the connection is reported as unresponsive by the end of the first check, and of the second. */
    readonly unresponsive: readonly [first: boolean, second: boolean];
}

// Guards against closing a connection because this process was busy, and against never closing an unresponsive one.
const cases: readonly WatchCase[] = [
    { name: "a silent connection is reported", answered: false, unsent: false, lateMs: 0, unresponsive: [true, true] },
    {
        name: "a connection that has answered is kept",
        answered: true,
        unsent: false,
        lateMs: 0,
        unresponsive: [false, false],
    },
    {
        name: "a check that runs late is repeated",
        answered: false,
        unsent: false,
        lateMs: 500,
        unresponsive: [false, true],
    },
    {
        name: "unsent bytes postpone the report",
        answered: false,
        unsent: true,
        lateMs: 0,
        unresponsive: [false, false],
    },
];

describe("acknowledgement watch", () => {
    for (const { name, answered, unsent, lateMs, unresponsive } of cases) {
        test(name, () => {
            const timers = createManualTimerService();
            let stalledMs = 0;
            let isUnresponsive = false;
            // A stalled process sees a clock that is ahead of the timers.
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
